//! Following: revisions only rise, and freshness is honest.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyweir_clock::SystemClock;
use comfreyweir_config::keys;
use comfreyweir_store::{FollowTiming, Follower, Freshness, KeyRefusal, publish};
use support::{FakeKv, FakePeers, Fault, catalog, eventually};

const CUT_OFF: Duration = Duration::from_millis(600);
const CONTACT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_secs(10);

/// A process with its own path to the service.
struct Process {
    kv: FakeKv,
    peers: FakePeers,
    follower: Follower,
    addr: SocketAddr,
    zone: &'static str,
}

fn spawn(kv: &FakeKv, number: u16, zone: &'static str) -> Process {
    let kv = kv.path();
    let peers = FakePeers::default();
    let timing = FollowTiming {
        cut_off: CUT_OFF,
        poll_interval: CONTACT,
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

/// Processes in zones a, b and a, in turn, that know each other.
fn fleet(kv: &FakeKv, size: u16) -> Vec<Process> {
    let zone = |n: u16| if n.is_multiple_of(2) { "a" } else { "b" };
    let fleet: Vec<Process> = (0..size).map(|n| spawn(kv, n + 1, zone(n))).collect();
    for process in &fleet {
        for other in fleet.iter().filter(|o| o.addr != process.addr) {
            process
                .peers
                .add(other.addr, other.zone, other.follower.clone());
        }
    }
    fleet
}

impl Process {
    fn revision(&self) -> u64 {
        self.follower.current().revision
    }

    fn freshness(&self) -> Freshness {
        self.follower.freshness(Instant::now())
    }

    async fn reaches(&self, revision: u64) {
        let what = format!("revision {revision}");
        eventually(LONG, &what, || self.revision() >= revision).await;
    }

    async fn becomes(&self, freshness: Freshness) {
        let what = format!("{freshness:?}");
        eventually(LONG, &what, || self.freshness() == freshness).await;
    }
}

#[actix_rt::test]
async fn withdrawn_key_is_refused_after_the_watch() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("secret", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.reaches(1).await;
    let hash = keys::hash("secret");
    let owner = process.follower.current().owner(&hash).cloned();
    assert_eq!(owner.unwrap().workspace, "school");
    publish(&kv, &catalog("secret", true, 1), 1, "w2")
        .await
        .unwrap();
    process.reaches(2).await;
    let refusal = process.follower.current().owner(&hash).cloned();
    assert_eq!(refusal, Err(KeyRefusal::Withdrawn));
}

#[actix_rt::test]
async fn older_revision_offered_by_the_service_is_not_taken() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    publish(&kv, &catalog("b", false, 1), 1, "w2")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.reaches(2).await;
    process.kv.stale_by.set(1);
    process.kv.set_fault(Fault::Outage);
    process.becomes(Freshness::CutOff).await;
    process.kv.set_fault(Fault::None);
    eventually(LONG, "a stale read", || process.follower.stale_reads() > 3).await;
    assert_eq!(process.revision(), 2);
    assert_eq!(
        process.freshness(),
        Freshness::CutOff,
        "a stale read is no contact"
    );
    process.kv.stale_by.set(0);
    process.becomes(Freshness::Current).await;
}

#[actix_rt::test]
async fn revision_comes_from_a_peer_while_the_service_is_cut() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let fleet = fleet(&kv, 2);
    let [cut, other] = &fleet[..] else {
        unreachable!()
    };
    cut.reaches(1).await;
    cut.kv.set_fault(Fault::Silence);
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    cut.reaches(2).await;
    let until = Instant::now() + 3 * CUT_OFF;
    while Instant::now() < until {
        assert_eq!(cut.freshness(), Freshness::Current);
        actix_rt::time::sleep(CONTACT).await;
    }
    // The other keeps its contact; only hearsay would keep the cut one current without it.
    cut.peers.cut(other.addr);
    cut.becomes(Freshness::CutOff).await;
    cut.kv.set_fault(Fault::None);
    cut.becomes(Freshness::Current).await;
}

#[actix_rt::test]
async fn service_down_for_all_is_told_from_a_cut_process() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let fleet = fleet(&kv, 4);
    for process in &fleet {
        process.reaches(1).await;
    }
    for process in &fleet {
        process.kv.set_fault(Fault::Silence);
    }
    for process in &fleet {
        process.becomes(Freshness::ServiceDown).await;
    }
    // Zone b is out of reach for the first process: it can be the one that is cut off.
    fleet[0].peers.cut(fleet[1].addr);
    fleet[0].peers.cut(fleet[3].addr);
    fleet[0].becomes(Freshness::CutOff).await;
    fleet[0].peers.heal();
    fleet[0].becomes(Freshness::ServiceDown).await;
    for process in &fleet {
        process.kv.set_fault(Fault::None);
    }
    for process in &fleet {
        process.becomes(Freshness::Current).await;
    }
}

#[actix_rt::test]
async fn process_that_starts_without_the_service_reads_from_its_peers() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 500), 0, "w1")
        .await
        .unwrap();
    let fleet = fleet(&kv, 3);
    for process in &fleet {
        process.reaches(1).await;
        process.kv.set_fault(Fault::Outage);
    }
    let late = spawn(&kv, 9, "a");
    late.kv.set_fault(Fault::Outage);
    assert_eq!(
        late.freshness(),
        Freshness::CutOff,
        "nothing is known at the start"
    );
    for other in &fleet {
        late.peers
            .add(other.addr, other.zone, other.follower.clone());
    }
    late.reaches(1).await;
    assert_eq!(late.follower.current().catalog.adapters.len(), 500);
    late.becomes(Freshness::ServiceDown).await;
}

#[actix_rt::test]
async fn slow_service_does_not_hide_a_new_revision() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.reaches(1).await;
    process.kv.set_fault(Fault::Slow(2 * CUT_OFF));
    process.becomes(Freshness::CutOff).await;
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    process.reaches(2).await;
}

#[actix_rt::test]
async fn revision_that_cannot_be_read_completely_is_no_contact() {
    let kv = FakeKv::new();
    publish(&kv, &catalog("a", false, 1), 0, "w1")
        .await
        .unwrap();
    let process = spawn(&kv, 1, "a");
    process.reaches(1).await;
    process.kv.set_fault(Fault::Outage);
    publish(&kv, &catalog("a", true, 1), 1, "w2").await.unwrap();
    kv.corrupt_chunks();
    process.kv.set_fault(Fault::None);
    process.becomes(Freshness::CutOff).await;
    assert_eq!(process.revision(), 1);
    assert_eq!(process.follower.highest_revision_seen(), 2);
}
