//! Following the configuration: the revision never goes back, and the reported freshness is never
//! better than the contacts justify.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_clock::SystemClock;
use comfreyweir_config::keys;
use comfreyweir_store::{FollowTiming, Follower, Freshness, KeyRefusal, publish};
use support::{FakeKv, FakePeers, Fault, catalog, wait_until};

const CUT_OFF: Duration = Duration::from_millis(600);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A process whose connection to the service has faults of its own.
struct Process {
    kv: FakeKv,
    peers: FakePeers,
    follower: Follower,
    addr: SocketAddr,
    zone: &'static str,
}

fn spawn(kv: &FakeKv, number: u16, zone: &'static str) -> Process {
    let kv = kv.with_own_faults();
    let peers = FakePeers::default();
    let timing = FollowTiming {
        cut_off: CUT_OFF,
        poll_interval: POLL_INTERVAL,
    };
    let follower = Follower::spawn(kv.clone(), SystemClock, timing, peers.clone());
    Process {
        kv,
        peers,
        follower,
        addr: SocketAddr::from(([127, 0, 0, 1], number)),
        zone,
    }
}

/// Spawns processes alternately in zones a and b, each with all others as peers.
fn spawn_connected(kv: &FakeKv, size: u16) -> Vec<Process> {
    let zone = |n: u16| if n.is_multiple_of(2) { "a" } else { "b" };
    let processes: Vec<Process> = (0..size).map(|n| spawn(kv, n + 1, zone(n))).collect();
    for process in &processes {
        for other in processes.iter().filter(|o| o.addr != process.addr) {
            process
                .peers
                .add(other.addr, other.zone, other.follower.clone());
        }
    }
    processes
}

impl Process {
    fn revision(&self) -> u64 {
        self.follower.current().revision
    }

    fn freshness(&self) -> Freshness {
        self.follower.freshness(Instant::now())
    }

    async fn wait_for_revision(&self, revision: u64) {
        let what = format!("revision {revision}");
        wait_until(WAIT_LIMIT, &what, || self.revision() >= revision).await;
    }

    async fn wait_for_freshness(&self, freshness: Freshness) {
        let what = format!("{freshness:?}");
        wait_until(WAIT_LIMIT, &what, || self.freshness() == freshness).await;
    }
}

#[actix_rt::test]
async fn withdrawn_key_is_refused_after_the_watch() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("secret", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.wait_for_revision(1).await;
    let hash = keys::hash("secret");
    let owner = process.follower.current().owner(&hash).cloned();
    assert_eq!(owner.unwrap().workspace, "school");
    publish(&kv, &catalog("secret", true, 1), 1, "w2")
        .await
        .unwrap();
    process.wait_for_revision(2).await;
    let refusal = process.follower.current().owner(&hash).cloned();
    assert_eq!(refusal, Err(KeyRefusal::Withdrawn));
}

#[actix_rt::test]
async fn older_revision_offered_by_the_service_is_ignored() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    publish(&kv, &catalog("b", false, 1), 1, "w2")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.wait_for_revision(2).await;
    process.kv.stale_by.set(1);
    process.kv.set_fault(Fault::Outage);
    process.wait_for_freshness(Freshness::CutOff).await;
    process.kv.set_fault(Fault::None);
    wait_until(WAIT_LIMIT, "a stale read", || {
        process.follower.stale_reads() > 3
    })
    .await;
    assert_eq!(process.revision(), 2);
    assert_eq!(
        process.freshness(),
        Freshness::CutOff,
        "a stale read does not count as contact"
    );
    process.kv.stale_by.set(0);
    process.wait_for_freshness(Freshness::Current).await;
}

#[actix_rt::test]
async fn revision_comes_from_a_peer_while_the_service_is_unreachable() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let processes = spawn_connected(&kv, 2);
    let [cut_off, other] = &processes[..] else {
        unreachable!()
    };
    cut_off.wait_for_revision(1).await;
    cut_off.kv.set_fault(Fault::Silence);
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    cut_off.wait_for_revision(2).await;
    let end = Instant::now() + 3 * CUT_OFF;
    while Instant::now() < end {
        assert_eq!(cut_off.freshness(), Freshness::Current);
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    // The peer keeps its contact with the service but can no longer be asked. What it reported
    // before must not keep the cut-off process current.
    cut_off.peers.disconnect(other.addr);
    cut_off.wait_for_freshness(Freshness::CutOff).await;
    cut_off.kv.set_fault(Fault::None);
    cut_off.wait_for_freshness(Freshness::Current).await;
}

#[actix_rt::test]
async fn service_outage_is_distinguished_from_a_cut_off_process() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let processes = spawn_connected(&kv, 4);
    for process in &processes {
        process.wait_for_revision(1).await;
    }
    for process in &processes {
        process.kv.set_fault(Fault::Silence);
    }
    for process in &processes {
        process.wait_for_freshness(Freshness::ServiceDown).await;
    }
    // The first process no longer reaches zone b, so it may itself be the one that is cut off.
    processes[0].peers.disconnect(processes[1].addr);
    processes[0].peers.disconnect(processes[3].addr);
    processes[0].wait_for_freshness(Freshness::CutOff).await;
    processes[0].peers.restore_all();
    processes[0]
        .wait_for_freshness(Freshness::ServiceDown)
        .await;
    for process in &processes {
        process.kv.set_fault(Fault::None);
    }
    for process in &processes {
        process.wait_for_freshness(Freshness::Current).await;
    }
}

#[actix_rt::test]
async fn process_that_starts_without_the_service_reads_from_its_peers() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 500), 0, "w1")
        .await
        .unwrap();
    let processes = spawn_connected(&kv, 3);
    for process in &processes {
        process.wait_for_revision(1).await;
        process.kv.set_fault(Fault::Outage);
    }
    let starting = spawn(&kv, 9, "a");
    starting.kv.set_fault(Fault::Outage);
    assert_eq!(
        starting.freshness(),
        Freshness::CutOff,
        "nothing is known at the start"
    );
    for other in &processes {
        starting
            .peers
            .add(other.addr, other.zone, other.follower.clone());
    }
    starting.wait_for_revision(1).await;
    assert_eq!(starting.follower.current().catalog.adapters.len(), 500);
    starting.wait_for_freshness(Freshness::ServiceDown).await;
}

#[actix_rt::test]
async fn slow_service_does_not_hide_a_new_revision() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.wait_for_revision(1).await;
    process.kv.set_fault(Fault::Slow(2 * CUT_OFF));
    process.wait_for_freshness(Freshness::CutOff).await;
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    process.wait_for_revision(2).await;
}

#[actix_rt::test]
async fn revision_that_cannot_be_read_completely_does_not_count_as_contact() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.wait_for_revision(1).await;
    process.kv.set_fault(Fault::Outage);
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    kv.corrupt_chunks();
    process.kv.set_fault(Fault::None);
    process.wait_for_freshness(Freshness::CutOff).await;
    assert_eq!(process.revision(), 1);
    assert_eq!(process.follower.highest_revision_seen(), 2);
}
