//! Upstreams that are cold after their start and tolerate a low rate of requests from all instances
//! together.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use comfreyweir_fleet::{
    config::{ColdStart, Config, Service},
    upstream::Upstream,
};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, send_request,
    start, upstream_entry, wait_until,
};

const SERVED: ScriptStep = ScriptStep::Answer(200, "served");
/// Requests a second that a cold upstream tolerates.
const RATE: f64 = 7.1;
const COLD: Duration = Duration::from_secs(6);

/// The configuration of the tests, with care for cold upstreams.
fn careful_config() -> Config {
    let mut config = config(1);
    let service = Service {
        cold: Some(ColdStart {
            time: COLD,
            per_s: RATE,
        }),
        ..(*config.services["plain"]).clone()
    };
    config.services.insert("plain".to_owned(), Rc::new(service));
    config
}

/// An upstream's entry that is written anew every 0.3 s, with the time for which it stays cold.
struct ListedUpstream {
    upstream: FakeUpstream,
    /// When it starts, and until when it is cold.
    cold: (Instant, Instant),
    heartbeat: JoinHandle<()>,
}

impl ListedUpstream {
    async fn start(shared: &Rc<SharedState>, id: &str, cold_for: Duration) -> Self {
        let upstream = FakeUpstream::start(id, &[SERVED]).await;
        let entry = upstream_entry(&upstream, "plain", &[]);
        let started = Instant::now();
        let warm_at = started + cold_for;
        let shared = Rc::clone(shared);
        let write = move || {
            shared.add_upstream(Upstream {
                cold_for: warm_at.saturating_duration_since(Instant::now()),
                ..entry.clone()
            });
        };
        write();
        let heartbeat = actix_rt::spawn(async move {
            loop {
                sleep(Duration::from_millis(300)).await;
                write();
            }
        });
        Self {
            upstream,
            cold: (started, warm_at),
            heartbeat,
        }
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.upstream.observed.borrow().times.clone()
    }

    /// Checks that it got no more in any second while it was cold than it tolerates.
    fn assert_kept(&self) {
        let (_, warm_at) = self.cold;
        let mut times = self.arrivals();
        times.retain(|at| *at < warm_at);
        let second = Duration::from_secs(1);
        let in_second = |from: &Instant| {
            let times = times.iter().filter(|at| from <= at);
            times.filter(|at| **at < *from + second).count()
        };
        let most = times.iter().map(in_second).max().unwrap_or(0);
        let most = f64::from(u32::try_from(most).unwrap());
        let allowed = RATE * 1.5 + 5.0;
        assert!(
            most <= allowed,
            "{}: {most}, {allowed} allowed",
            self.upstream.id
        );
    }

    /// What it got while it was cold, as a part of what it tolerates.
    fn used(&self) -> f64 {
        let (started, warm_at) = self.cold;
        let while_cold = self.arrivals().into_iter().filter(|at| *at < warm_at);
        let count = f64::from(u32::try_from(while_cold.count()).unwrap());
        count / (RATE * (warm_at - started).as_secs_f64())
    }
}

impl Drop for ListedUpstream {
    fn drop(&mut self) {
        self.heartbeat.abort();
    }
}

#[derive(Clone, Debug)]
struct Outcome {
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

struct Fleet {
    shared: Rc<SharedState>,
    instances: Rc<RefCell<Vec<TestInstance>>>,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
}

impl Fleet {
    async fn start(shared: Rc<SharedState>, instances: usize) -> Self {
        shared.publish_config(careful_config());
        let fleet = Self {
            shared,
            instances: Rc::default(),
            outcomes: Rc::default(),
        };
        for i in 0..instances {
            fleet.add(&format!("e{i}")).await;
        }
        fleet
    }

    /// Starts an instance and waits until a holder answers it.
    async fn add(&self, name: &str) {
        let instance = start(&self.shared, name).await;
        wait_until("a holder answers", async || {
            let status = get(instance.entry.admin_addr(), "/status").await;
            status.body.contains("\"placement_is_fresh\": true")
        })
        .await;
        self.instances.borrow_mut().push(instance);
    }

    /// Sends a request each 5 ms for a time, to all instances in turn.
    fn send(&self, time: Duration) -> JoinHandle<()> {
        let instances = Rc::clone(&self.instances);
        let outcomes = Rc::clone(&self.outcomes);
        actix_rt::spawn(async move {
            let begin = Instant::now();
            let mut number = 0;
            while begin.elapsed() < time {
                number += 1;
                let addr = {
                    let instances = instances.borrow();
                    instances[number % instances.len()].entry.addr()
                };
                let outcomes = Rc::clone(&outcomes);
                actix_rt::spawn(async move {
                    let sent_at = Instant::now();
                    let res = send_request(addr, "/read/", &format!("r{number}"), "").await;
                    outcomes.borrow_mut().push(Outcome {
                        status: res.status,
                        retry_after: res.header("retry-after").and_then(|t| t.parse().ok()),
                        took: sent_at.elapsed(),
                    });
                });
                sleep(Duration::from_millis(5)).await;
            }
            // Requests in flight get their answers.
            sleep(Duration::from_secs(1)).await;
        })
    }

    fn served(&self) -> f64 {
        let outcomes = self.outcomes.borrow();
        let served = outcomes.iter().filter(|o| o.status == 200).count();
        f64::from(u32::try_from(served).unwrap())
            / f64::from(u32::try_from(outcomes.len()).unwrap())
    }
}

/// Guards against an upstream that starts cold under a burst and gets its share of it, from its first
/// request on, when others could serve everything.
#[actix_rt::test]
async fn upstream_that_is_listed_cold_gets_no_more_than_it_tolerates_and_others_serve_the_rest() {
    let shared = SharedState::new();
    let warm = [
        ListedUpstream::start(&shared, "u1", Duration::ZERO).await,
        ListedUpstream::start(&shared, "u2", Duration::ZERO).await,
    ];
    let fleet = Fleet::start(Rc::clone(&shared), 4).await;
    let sending = fleet.send(COLD + Duration::from_secs(6));
    sleep(Duration::from_secs(2)).await;
    // With equal loads, the first one in the list gets all requests.
    let cold = ListedUpstream::start(&shared, "u0", COLD).await;
    sleep(Duration::from_secs(4)).await;
    let addr = fleet.instances.borrow()[1].entry.admin_addr();
    let status = get(addr, "/status").await.body;
    assert!(status.contains("\"cold\": {\n    \"u0\""), "{status}");
    sending.await.unwrap();
    cold.assert_kept();
    // It takes up to 1.4 s until its entry is read.
    assert!(cold.used() > 0.5, "{}", cold.used());
    assert!(fleet.served() > 0.99, "{}", fleet.served());
    let (started, warm_at) = cold.cold;
    let others = warm.iter().flat_map(ListedUpstream::arrivals);
    let others = others.filter(|at| started <= *at && *at < warm_at).count();
    let others = f64::from(u32::try_from(others).unwrap());
    // Its share would be far above what it tolerates.
    let cold_s = (warm_at - started).as_secs_f64();
    assert!(others > 4.0 * RATE * cold_s, "{others}");
    // Warm, it gets more than it may while it is cold.
    let times = cold.arrivals();
    let last = *times.last().unwrap();
    let late = times
        .iter()
        .filter(|at| **at > last - Duration::from_secs(1));
    let late = f64::from(u32::try_from(late.count()).unwrap());
    assert!(last > warm_at && late > RATE * 1.5 + 5.0, "{late}");
}

/// Guards against more than cold upstreams tolerate while the holder of the planning duty stops and
/// another one begins, and instances start.
#[actix_rt::test]
async fn bound_holds_while_instances_stop_and_start() {
    let shared = SharedState::new();
    let _warm = ListedUpstream::start(&shared, "u9", Duration::ZERO).await;
    let fleet = Fleet::start(Rc::clone(&shared), 4).await;
    let sending = fleet.send(Duration::from_secs(9));
    sleep(Duration::from_secs(1)).await;
    let cold = [
        ListedUpstream::start(&shared, "u2", COLD).await,
        ListedUpstream::start(&shared, "u3", COLD).await,
    ];
    for i in 0..2 {
        sleep(Duration::from_secs(1)).await;
        let stopped = fleet.instances.borrow_mut().remove(0);
        fleet.add(&format!("n{i}")).await;
        stopped.entry.stop().await;
    }
    sending.await.unwrap();
    cold.iter().for_each(ListedUpstream::assert_kept);
    assert!(fleet.served() > 0.99, "{}", fleet.served());
}

/// Guards against more than cold upstreams tolerate while no holder can be found, since the store does
/// not answer and the holder has ended.
#[actix_rt::test]
async fn bound_holds_without_a_holder() {
    let shared = SharedState::new();
    let _warm = ListedUpstream::start(&shared, "u9", Duration::ZERO).await;
    let fleet = Fleet::start(Rc::clone(&shared), 4).await;
    let sending = fleet.send(Duration::from_secs(8));
    let cold = ListedUpstream::start(&shared, "u2", COLD).await;
    sleep(Duration::from_secs(2)).await;
    shared.store_is_down.set(true);
    let ended = fleet.instances.borrow_mut().remove(0);
    drop(ended);
    sending.await.unwrap();
    cold.assert_kept();
}

/// Guards against a service all of whose upstreams are cold: requests that can be served in time are
/// refused, or others wait for nothing.
#[actix_rt::test]
async fn requests_wait_for_cold_upstreams_or_are_refused_with_a_time() {
    let shared = SharedState::new();
    let cold = [
        ListedUpstream::start(&shared, "u1", COLD).await,
        ListedUpstream::start(&shared, "u2", COLD).await,
    ];
    let fleet = Fleet::start(Rc::clone(&shared), 3).await;
    let (_, warm_at) = cold[0].cold;
    let left = warm_at.saturating_duration_since(Instant::now());
    fleet.send(left).await.unwrap();
    cold.iter().for_each(ListedUpstream::assert_kept);
    let outcomes = fleet.outcomes.borrow();
    let refused = outcomes.iter().filter(|o| o.status != 200);
    for refused in refused.clone() {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.retry_after.is_some_and(|s| s > 0.0), "{refused:?}");
    }
    assert!(refused.count() > 0);
    let waited = outcomes.iter().filter(|o| o.status == 200);
    let waited = waited.filter(|o| o.took > Duration::from_millis(50));
    assert!(waited.count() > 5);
    let used = cold.iter().map(ListedUpstream::used).sum::<f64>() / 2.0;
    assert!(used > 0.5, "{used}");
}

/// Guards against an upstream that becomes cold at any moment and says so in its answers only.
#[actix_rt::test]
async fn upstream_that_says_in_an_answer_that_it_is_cold_is_limited_everywhere() {
    let shared = SharedState::new();
    let _warm = ListedUpstream::start(&shared, "u9", Duration::ZERO).await;
    let named = ListedUpstream::start(&shared, "u2", Duration::ZERO).await;
    let fleet = Fleet::start(Rc::clone(&shared), 4).await;
    let sending = fleet.send(Duration::from_secs(6));
    sleep(Duration::from_secs(1)).await;
    let step = ScriptStep::AnswerWith(200, "x-cold-ms: 2500\r\n", "served");
    named.upstream.set_script(&[step]);
    // An instance may have sent something before it hears the first such answer.
    sleep(Duration::from_secs(1)).await;
    let from = Instant::now();
    sending.await.unwrap();
    let times = named.arrivals().into_iter();
    let late = times.filter(|at| *at >= from && *at < from + Duration::from_secs(3));
    let late = f64::from(u32::try_from(late.count()).unwrap());
    // Three seconds hold no more than three times what one may.
    assert!(late <= 3.0 * (RATE * 1.5 + 5.0), "{late}");
    assert!(fleet.served() > 0.99, "{}", fleet.served());
}

/// Guards against an upstream that ends and starts anew under its identifier and address, and gets its
/// share before the list has the new process.
#[actix_rt::test]
async fn process_at_an_address_that_refused_connections_is_limited_before_it_is_listed() {
    let shared = SharedState::new();
    let _warm = ListedUpstream::start(&shared, "u9", Duration::ZERO).await;
    let ended = FakeUpstream::start("u0", &[SERVED]).await;
    let addr = ended.addr;
    shared.add_upstream(upstream_entry(&ended, "plain", &[]));
    drop(ended);
    let fleet = Fleet::start(Rc::clone(&shared), 2).await;
    let sending = fleet.send(Duration::from_secs(4));
    sleep(Duration::from_secs(1)).await;
    let upstream = FakeUpstream::start_at("u0", addr, &[SERVED]).await;
    let started = Instant::now();
    let until = started + Duration::from_millis(1_400);
    sending.await.unwrap();
    let observed = upstream.observed.borrow();
    let before = observed.times.iter().filter(|at| **at < until).count();
    // 1.4 s touch two seconds.
    let allowed = 2.0 * (RATE * 1.5 + 5.0);
    assert!(
        f64::from(u32::try_from(before).unwrap()) <= allowed,
        "{before}"
    );
    assert!(observed.times.len() > before);
    assert!(fleet.served() > 0.99, "{}", fleet.served());
}

/// Guards against care for cold upstreams of services whose configuration does not ask for it.
#[actix_rt::test]
async fn upstream_of_a_service_without_a_cold_rate_is_not_limited() {
    let shared = SharedState::new();
    let cold = ListedUpstream::start(&shared, "u1", COLD).await;
    let fleet = Fleet::start(Rc::clone(&shared), 2).await;
    let mut careless = config(2);
    careless.version = 2;
    shared.publish_config(careless);
    let addr = fleet.instances.borrow()[0].entry.admin_addr();
    wait_until("the configuration is in force", async || {
        get(addr, "/status")
            .await
            .body
            .contains("\"configuration\": 2")
    })
    .await;
    sleep(COLD).await;
    let _again = ListedUpstream::start(&shared, "u2", COLD).await;
    drop(cold);
    fleet.send(Duration::from_secs(2)).await.unwrap();
    assert!(fleet.served() > 0.99, "{}", fleet.served());
}
