//! Configurations are in force in time at all instances, also during a series of changes, and if one of
//! the ways by which an instance learns of them fails.

mod support;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use actix_rt::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use comfreyweir_fleet::config::{Config, RouteKind};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get,
    platform::{config, route},
    send_request, start, upstream_entry, wait_until,
};

/// Time within which a configuration must be in force.
const BOUND: Duration = Duration::from_secs(2);
/// Pause between two versions of a series.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Number of versions that each version's routes are written for.
const MAX_VERSIONS: u64 = 100;

/// A version that has added the routes of all versions up to itself, and still has those that later
/// versions remove.
fn version(number: u64) -> Config {
    let mut config = config(number);
    let added = (1..=number).map(|n| format!("/added-{n}/"));
    let kept = (number + 1..=MAX_VERSIONS).map(|n| format!("/removed-{n}/"));
    let routes = added
        .chain(kept)
        .map(|prefix| Rc::new(route(&prefix, RouteKind::Idempotent, "plain")));
    config.routes.get_mut("h").unwrap().extend(routes);
    config
}

/// A request that was handled as only an older version allows.
#[derive(Debug)]
#[expect(dead_code, reason = "part of the output of a failed test")]
struct Outdated {
    instance: String,
    path: String,
    status: u16,
    /// Time from the acceptance of the version until the request was sent.
    after: Duration,
}

struct Fleet {
    shared: Rc<SharedState>,
    instances: RefCell<BTreeMap<String, TestInstance>>,
    /// When the store accepted each version.
    accepted: Rc<RefCell<BTreeMap<u64, Instant>>>,
    upstream: FakeUpstream,
}

impl Fleet {
    async fn start(instances: usize) -> Self {
        let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
        let shared = SharedState::new();
        shared.publish_config(version(1));
        shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
        let fleet = Self {
            shared,
            instances: RefCell::default(),
            accepted: Rc::default(),
            upstream,
        };
        for i in 0..instances {
            let name = format!("e{i}");
            let instance = start(&fleet.shared, &name).await;
            wait_until("a holder answers", async || {
                status(&instance).await["placement_is_fresh"] == true
            })
            .await;
            fleet.instances.borrow_mut().insert(name, instance);
        }
        fleet
    }

    /// Publishes a version every [`CHANGE_PAUSE`] for `time`.
    fn change_for(&self, time: Duration) -> JoinHandle<()> {
        let count = u64::try_from(time.as_millis() / CHANGE_PAUSE.as_millis()).unwrap();
        let configs = (2..2 + count).map(version).collect();
        let (shared, accepted) = (Rc::clone(&self.shared), Rc::clone(&self.accepted));
        actix_rt::spawn(async move {
            let record = |version| {
                accepted.borrow_mut().insert(version, Instant::now());
            };
            shared.publish_series(configs, CHANGE_PAUSE, record).await;
        })
    }

    /// The newest version that was accepted `age` ago or earlier, and when.
    fn accepted_before(&self, age: Duration) -> Option<(u64, Instant)> {
        let accepted = self.accepted.borrow();
        let mut before = accepted.iter().filter(|(_, at)| at.elapsed() > age);
        before.next_back().map(|(version, at)| (*version, *at))
    }

    /// Sends requests to instances for `time` that show which version each goes by, and returns those
    /// that were handled as only a version allows that is older than the one that has to be in force.
    async fn outdated_for(&self, time: Duration, names: &[String]) -> Vec<Outdated> {
        let addrs: Vec<_> = {
            let instances = self.instances.borrow();
            let addr = |name: &String| (name.clone(), instances[name].entry.addr());
            names.iter().map(addr).collect()
        };
        let (begin, mut number, mut outdated) = (Instant::now(), 0, Vec::new());
        while begin.elapsed() < time {
            for (name, addr) in &addrs {
                let Some((version, accepted_at)) = self.accepted_before(BOUND) else {
                    continue;
                };
                number += 1;
                let is_added = number % 2 == 0;
                let change = if is_added { "added" } else { "removed" };
                let path = format!("/{change}-{version}/");
                let after = accepted_at.elapsed();
                let id = format!("{name}-{number}");
                let status = send_request(*addr, &path, &id, "").await.status;
                let is_outdated = status == if is_added { 404 } else { 200 };
                if is_outdated {
                    outdated.push(Outdated {
                        instance: name.clone(),
                        path,
                        status,
                        after,
                    });
                }
            }
            sleep(ROUND_PAUSE).await;
        }
        outdated
    }

    /// Name of the instance that holds the planning duty.
    async fn holder(&self) -> String {
        let admin = {
            let instances = self.instances.borrow();
            instances.values().next().unwrap().entry.admin_addr()
        };
        let status = get(admin, "/status").await.body;
        let status: serde_json::Value = serde_json::from_str(&status).unwrap();
        let process = status["holder"]["process"].as_str().unwrap();
        process.split('/').next().unwrap().to_owned()
    }

    /// Names of the instances other than `excluded`.
    fn others(&self, excluded: &str) -> Vec<String> {
        let names = self.instances.borrow();
        let names = names.keys().filter(|name| *name != excluded);
        names.cloned().collect()
    }

    /// Ends an instance at once, as if its process were killed.
    fn kill(&self, name: &str) {
        let killed = self.instances.borrow_mut().remove(name);
        drop(killed.unwrap());
    }

    /// Leaves the next reads and watches of a key of the instances without an answer.
    fn leave_unanswered(&self, names: &[String], key: &str, calls: usize) {
        let mut unanswered = self.shared.unanswered.borrow_mut();
        for name in names {
            unanswered.insert((name.clone(), key.to_owned()), calls);
        }
    }
}

async fn status(instance: &TestInstance) -> serde_json::Value {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    serde_json::from_str(&status).unwrap()
}

/// Guards against an older configuration during a series of changes while everything works.
#[actix_rt::test]
async fn each_version_of_a_series_is_in_force_in_time() {
    let fleet = Fleet::start(3).await;
    let changing = fleet.change_for(Duration::from_secs(5));
    let names = fleet.others("");
    let outdated = fleet.outdated_for(Duration::from_secs(6), &names).await;
    assert!(outdated.is_empty(), "{outdated:#?}");
    changing.await.unwrap();
}

/// Guards against an instance that the store turns away and that gets no configuration from the holder
/// for as long as newer ones follow each other.
#[actix_rt::test]
async fn series_reaches_an_instance_that_the_store_turns_away() {
    let fleet = Fleet::start(3).await;
    let holder = fleet.holder().await;
    let rejected = fleet.others(&holder)[0].clone();
    let turn_away = fleet.shared.rejected.borrow_mut().insert(rejected.clone());
    assert!(turn_away);
    let changing = fleet.change_for(Duration::from_secs(8));
    let outdated = fleet
        .outdated_for(Duration::from_secs(9), &[rejected])
        .await;
    assert!(outdated.is_empty(), "{outdated:#?}");
    changing.await.unwrap();
}

/// Guards against an older configuration where the holder is lost and the first calls of the others to
/// the store get no answer.
#[actix_rt::test]
async fn series_is_in_force_in_time_if_the_holder_is_lost_and_calls_stay_unanswered() {
    for calls in 1..=2 {
        let fleet = Fleet::start(3).await;
        let holder = fleet.holder().await;
        let names = fleet.others(&holder);
        let changing = fleet.change_for(Duration::from_secs(8));
        sleep(Duration::from_secs(2)).await;
        fleet.kill(&holder);
        // The last news from the holder have been followed up by then.
        sleep(Duration::from_millis(400)).await;
        fleet.leave_unanswered(&names, "op/config", calls);
        let outdated = fleet.outdated_for(Duration::from_secs(6), &names).await;
        assert!(outdated.is_empty(), "{calls} {outdated:#?}");
        changing.await.unwrap();
    }
}

/// Guards against an older configuration where connections to the store go silent: at all instances
/// the running call and the next one get no answer.
#[actix_rt::test]
async fn series_is_in_force_in_time_if_connections_to_the_store_go_silent() {
    let fleet = Fleet::start(3).await;
    let names = fleet.others("");
    let changing = fleet.change_for(Duration::from_secs(7));
    sleep(Duration::from_secs(2)).await;
    fleet.leave_unanswered(&names, "op/config", 2);
    let outdated = fleet.outdated_for(Duration::from_secs(5), &names).await;
    assert!(outdated.is_empty(), "{outdated:#?}");
    changing.await.unwrap();
}

/// Guards against an older configuration that counts as the newest since a newer one cannot be decoded:
/// requests that it does not know are refused as if their route did not exist.
#[actix_rt::test]
async fn configuration_is_not_confirmed_by_one_that_cannot_be_decoded() {
    let fleet = Fleet::start(2).await;
    fleet.shared.undecodable.borrow_mut().insert(2);
    fleet.shared.publish_config(version(2));
    sleep(BOUND + Duration::from_millis(200)).await;
    let instances = fleet.instances.take();
    for (name, instance) in &instances {
        let status = status(instance).await;
        assert_eq!(status["configuration"], 1);
        let age = status["configuration_age_ms"].as_u64().unwrap();
        assert!(age >= 2_000, "{name} {age}");
        let addr = instance.entry.addr();
        assert_eq!(send_request(addr, "/read/", "r1", "").await.status, 200);
        let refused = send_request(addr, "/added-2/", "r2", "").await;
        assert_eq!(refused.status, 503, "{name}");
    }
    fleet.shared.publish_config(version(3));
    for instance in instances.values() {
        let addr = instance.entry.addr();
        wait_until("the next version is in force", async || {
            send_request(addr, "/added-3/", "r3", "").await.status == 200
        })
        .await;
        assert_eq!(send_request(addr, "/added-9/", "r4", "").await.status, 404);
    }
}

/// Guards against a final refusal, which callers do not repeat, by a configuration that may no longer be
/// in force.
#[actix_rt::test]
async fn unknown_route_and_key_are_not_refused_for_good_by_an_old_configuration() {
    let fleet = Fleet::start(1).await;
    let addr = fleet.instances.borrow()["e0"].entry.addr();
    let unknown_key = "x-key: no-key\r\n";
    let refused = send_request(addr, "/none/", "r1", "").await;
    assert_eq!(refused.status, 404);
    fleet.shared.store_is_down.set(true);
    let instance = fleet.instances.take().remove("e0").unwrap();
    wait_until("the configuration is old", async || {
        status(&instance).await["configuration_age_ms"].as_u64() >= Some(2_000)
    })
    .await;
    let refused = send_request(addr, "/none/", "r2", "").await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    let request = format!(
        "POST /read/ HTTP/1.1\r\nhost: h\r\nx-id: r3\r\n{unknown_key}x-deadline: 3000\r\n\
         content-length: 0\r\n\r\n"
    );
    assert_eq!(support::send_raw(addr, &request).await.status, 503);
    assert_eq!(send_request(addr, "/read/", "r4", "").await.status, 200);
    fleet.shared.store_is_down.set(false);
    wait_until("the configuration is confirmed", async || {
        send_request(addr, "/none/", "r5", "").await.status == 404
    })
    .await;
    assert_eq!(support::send_raw(addr, &request).await.status, 401);
}

/// Guards against requests to an upstream that has left, where the holder is lost and the first read of
/// the list gets no answer.
#[actix_rt::test]
async fn upstream_that_leaves_gets_no_late_requests_if_a_read_of_the_list_stays_unanswered() {
    for calls in 1..=2 {
        let fleet = Fleet::start(3).await;
        let holder = fleet.holder().await;
        let names = fleet.others(&holder);
        fleet.kill(&holder);
        fleet.leave_unanswered(&names, "servers/", calls);
        fleet.shared.remove_upstream("u1");
        let left_at = Instant::now();
        let mut sent = BTreeSet::new();
        while left_at.elapsed() < Duration::from_secs(4) {
            for name in &names {
                let addr = fleet.instances.borrow()[name].entry.addr();
                let id = format!("{name}-{}", sent.len());
                send_request(addr, "/read/", &id, "").await;
                sent.insert(id);
            }
            sleep(ROUND_PAUSE).await;
        }
        let observed = fleet.upstream.observed.borrow();
        let late = observed.times.iter().map(|at| *at - left_at).max();
        assert!(late.is_some(), "the upstream got no requests");
        assert!(late <= Some(BOUND), "{calls}: {late:?}");
    }
}

/// Guards against an answer that is long on its way and confirms the configuration as of when it
/// arrives: others would be told that an older one is the newest.
#[actix_rt::test]
async fn late_answer_confirms_the_configuration_only_as_of_its_call() {
    const ANSWER_TIME: Duration = Duration::from_millis(700);
    let fleet = Fleet::start(1).await;
    fleet.shared.answer_time.set(ANSWER_TIME);
    let changing = fleet.change_for(Duration::from_secs(5));
    // Answers of before the delay have arrived by then.
    sleep(Duration::from_secs(1)).await;
    let instance = fleet.instances.take().remove("e0").unwrap();
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(3) {
        let status = status(&instance).await;
        let age = status["configuration_age_ms"].as_u64().unwrap();
        assert!(u128::from(age) >= ANSWER_TIME.as_millis(), "{age} ms");
        sleep(ROUND_PAUSE).await;
    }
    changing.await.unwrap();
}

/// Guards against an instance that knows of a newer configuration, cannot get it in force, and serves by an
/// older one of any age while it says that it is ready.
#[actix_rt::test]
async fn instance_without_a_newer_configuration_that_it_knows_of_serves_nothing() {
    let fleet = Fleet::start(2).await;
    let behind = fleet.others(&fleet.holder().await)[0].clone();
    fleet
        .shared
        .cannot_decode
        .borrow_mut()
        .insert(behind.clone());
    fleet.shared.undecodable.borrow_mut().insert(2);
    fleet.shared.publish_config(version(2));
    let instance = fleet.instances.borrow_mut().remove(&behind).unwrap();
    let addr = instance.entry.addr();
    sleep(BOUND / 2).await;
    assert_eq!(send_request(addr, "/read/", "r1", "").await.status, 200);
    sleep(BOUND / 2 + Duration::from_millis(500)).await;
    let refused = send_request(addr, "/read/", "r2", "").await;
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(get(instance.ready, "/-/ready").await.status, 503);
    assert!(status(&instance).await["newer_configuration_heard_ms"].as_u64() > Some(2_000));
    assert!(status(&instance).await["configuration_waits_for"].is_string());
    fleet.shared.publish_config(version(3));
    wait_until("the next version is in force", async || {
        send_request(addr, "/added-3/", "r3", "").await.status == 200
            && get(instance.ready, "/-/ready").await.status == 200
    })
    .await;
}

/// Guards against a read that never ends: a call that fails in the middle of its answer ended the calls beside
/// it, so that the list of upstreams was not read any more.
#[actix_rt::test]
async fn read_ends_if_a_call_fails_in_the_middle_of_its_answer() {
    let fleet = Fleet::start(1).await;
    let millis = Duration::from_millis;
    // The second of three calls fails while nothing of the others has arrived.
    let broken = [(5_000, 100), (350, 20), (800, 100)];
    let broken = broken.map(|(arrives, fails)| (millis(arrives), millis(fails)));
    fleet.shared.broken_reads.borrow_mut().extend(broken);
    sleep(Duration::from_secs(4)).await;
    let instance = fleet.instances.take().remove("e0").unwrap();
    let age_ms = status(&instance).await["upstreams_age_ms"].as_u64();
    assert!(age_ms < Some(1_000), "{age_ms:?}");
    assert!(fleet.shared.broken_reads.borrow().is_empty());
}
