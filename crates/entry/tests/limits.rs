//! Upstreams that name in their answers how many requests a second they take from all instances
//! together.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use actix_rt::{
    task::JoinHandle,
    time::{Instant, sleep},
};
use comfreyweir_entry::platform::{LimitNotice, UpstreamNotice};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, send_request,
    start, upstream_entry, wait_until,
};

/// Time from the first answer with a limit from which on the limit is kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the windows in which what an upstream gets is counted.
const WINDOW: Duration = Duration::from_secs(4);

const SERVED: ScriptStep = ScriptStep::Answer(200, "served");

fn limited(line: &'static str) -> ScriptStep {
    ScriptStep::AnswerWith(200, line, "served")
}

/// Most requests that an upstream with a limit may get in [`WINDOW`].
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

struct Fleet {
    instances: Rc<RefCell<Vec<TestInstance>>>,
    shared: Rc<SharedState>,
    /// When each request was sent, its status and `Retry-After`, and how long it took.
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Clone, Debug)]
struct Outcome {
    sent_at: Instant,
    status: u16,
    retry_after: Option<f64>,
    took: Duration,
}

impl Fleet {
    async fn start(upstreams: &[&FakeUpstream], instances: usize) -> Self {
        let shared = SharedState::new();
        shared.publish_config(config(1));
        for upstream in upstreams {
            shared.add_upstream(upstream_entry(upstream, "plain", &[]));
        }
        let fleet = Self {
            instances: Rc::default(),
            shared,
            outcomes: Rc::default(),
            tasks: Vec::new(),
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

    /// Sends a request each `interval` for `time`, to all instances in turn.
    fn send(&mut self, interval: Duration, time: Duration) {
        let instances = Rc::clone(&self.instances);
        let outcomes = Rc::clone(&self.outcomes);
        self.tasks.push(actix_rt::spawn(async move {
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
                        sent_at,
                        status: res.status,
                        retry_after: res.header("retry-after").and_then(|t| t.parse().ok()),
                        took: sent_at.elapsed(),
                    });
                });
                sleep(interval).await;
            }
        }));
    }

    async fn join(&mut self) {
        for task in self.tasks.drain(..) {
            task.await.unwrap();
        }
        // Requests in flight get their answers.
        sleep(Duration::from_secs(1)).await;
    }

    fn outcomes(&self, from: Instant) -> Vec<Outcome> {
        let outcomes = self.outcomes.borrow();
        let sent = outcomes.iter().filter(|o| o.sent_at >= from);
        sent.cloned().collect()
    }

    #[allow(clippy::cast_precision_loss)]
    fn served(&self, from: Instant) -> f64 {
        let outcomes = self.outcomes(from);
        let served = outcomes.iter().filter(|o| o.status == 200).count();
        served as f64 / outcomes.len() as f64
    }
}

/// Arrivals in `[from, to)`.
fn arrivals(upstream: &FakeUpstream, from: Instant, to: Instant) -> usize {
    let observed = upstream.observed.borrow();
    let times = observed.times.iter();
    times.filter(|at| from <= **at && **at < to).count()
}

/// Most arrivals in a [`WINDOW`] that begins [`CONTACT`] after the first one, or later.
fn most_in_window(upstream: &FakeUpstream, first: Instant) -> usize {
    let times = upstream.observed.borrow().times.clone();
    let begins = times.iter().filter(|at| **at >= first + CONTACT);
    begins
        .map(|at| arrivals(upstream, *at, *at + WINDOW))
        .max()
        .unwrap_or(0)
}

#[allow(clippy::cast_precision_loss)]
fn assert_kept(upstream: &FakeUpstream, limit: f64, first: Instant) {
    let most = most_in_window(upstream, first);
    let allowed = allowed(limit);
    assert!(
        most as f64 <= allowed,
        "{}: {most} in a window, {allowed} allowed",
        upstream.id
    );
}

/// Guards against an upstream that gets what it would without its limit, when other ones could serve
/// everything.
#[actix_rt::test]
async fn upstream_gets_no_more_requests_than_its_limit_from_all_instances() {
    for (instances, line, limit) in [(3, "x-limit: 1\r\n", 1.0), (8, "x-limit: 0.5\r\n", 0.5)] {
        let named = FakeUpstream::start("u1", &[limited(line)]).await;
        let others = [
            FakeUpstream::start("u2", &[SERVED]).await,
            FakeUpstream::start("u3", &[SERVED]).await,
        ];
        let mut fleet = Fleet::start(&[&named, &others[0], &others[1]], instances).await;
        let begin = Instant::now();
        fleet.send(Duration::from_millis(20), Duration::from_secs(9));
        fleet.join().await;
        assert_kept(&named, limit, begin);
        let served = fleet.served(begin);
        assert!(served > 0.99, "{served}");
    }
}

/// Guards against a service all of whose upstreams have named a limit: they get more than it, or far
/// less, or requests wait that cannot be served.
#[actix_rt::test]
async fn what_limited_upstreams_take_is_used_and_the_rest_is_refused_at_once() {
    let named = [
        FakeUpstream::start("u1", &[limited("x-limit: 3\r\n")]).await,
        FakeUpstream::start("u2", &[limited("x-limit: 3\r\n")]).await,
        FakeUpstream::start("u3", &[limited("x-limit: 3\r\n")]).await,
        FakeUpstream::start("u4", &[limited("x-limit: 3\r\n")]).await,
    ];
    let mut fleet = Fleet::start(&[&named[0], &named[1], &named[2], &named[3]], 3).await;
    let begin = Instant::now();
    let time = Duration::from_secs(10);
    fleet.send(Duration::from_millis(20), time);
    fleet.join().await;
    for upstream in &named {
        assert_kept(upstream, 3.0, begin);
    }
    let from = begin + CONTACT;
    let outcomes = fleet.outcomes(from);
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    let taken = 12.0 * time.saturating_sub(CONTACT).as_secs_f64();
    #[allow(clippy::cast_precision_loss)]
    let used = served as f64 / taken;
    assert!(used > 0.9, "{used} of what they take is used");
    for refused in outcomes.iter().filter(|o| o.status != 200) {
        assert_eq!(refused.status, 503, "{refused:?}");
        let retry_after = refused.retry_after.unwrap();
        assert!(retry_after > 0.0 && retry_after < 5.0, "{refused:?}");
        assert!(refused.took < Duration::from_millis(600), "{refused:?}");
    }
}

/// Guards against a limit that goes on after the upstream has ended it, with nothing sent that could
/// show it.
#[actix_rt::test]
async fn upstream_is_used_again_soon_after_it_has_ended_its_limit() {
    let named = FakeUpstream::start("u1", &[limited("x-limit: 0.1\r\n")]).await;
    let mut fleet = Fleet::start(&[&named], 4).await;
    let begin = Instant::now();
    fleet.send(Duration::from_millis(40), Duration::from_secs(16));
    sleep(Duration::from_secs(8)).await;
    assert_kept(&named, 0.1, begin);
    named.set_script(&[SERVED]);
    sleep(Duration::from_secs(6)).await;
    let ended = Instant::now();
    fleet.join().await;
    let served = fleet.served(ended);
    assert!(served > 0.95, "{served}");
}

/// Guards against a limit that another process names under an identifier, or that changes.
#[actix_rt::test]
async fn limit_that_rises_and_falls_is_kept() {
    let named = FakeUpstream::start("u1", &[limited("x-limit: 2\r\n")]).await;
    let mut fleet = Fleet::start(&[&named], 4).await;
    let begin = Instant::now();
    fleet.send(Duration::from_millis(20), Duration::from_secs(20));
    sleep(Duration::from_secs(6)).await;
    named.set_script(&[limited("x-limit: 10\r\n")]);
    sleep(Duration::from_secs(6)).await;
    named.set_script(&[limited("x-limit: 1\r\n")]);
    let fallen = Instant::now();
    assert_kept(&named, 10.0, begin);
    fleet.join().await;
    assert_kept(&named, 1.0, fallen);
    let while_risen = arrivals(&named, fallen - WINDOW, fallen);
    assert!(while_risen >= 36, "{while_risen}");
}

/// Guards against more than the limit while instances stop, one after the other, and others start:
/// the holder of the planning duty is among them.
#[actix_rt::test]
async fn limit_holds_while_instances_stop_and_start() {
    let named = FakeUpstream::start("u1", &[limited("x-limit: 2\r\n")]).await;
    let other = FakeUpstream::start("u2", &[SERVED]).await;
    let mut fleet = Fleet::start(&[&named, &other], 4).await;
    let begin = Instant::now();
    fleet.send(Duration::from_millis(20), Duration::from_secs(14));
    sleep(Duration::from_secs(4)).await;
    for i in 0..2 {
        let stopped = fleet.instances.borrow_mut().remove(0);
        fleet.add(&format!("n{i}")).await;
        stopped.entry.stop().await;
        sleep(Duration::from_secs(2)).await;
    }
    fleet.join().await;
    assert_kept(&named, 2.0, begin);
    let served = fleet.served(begin);
    assert!(served > 0.99, "{served}");
}

/// Guards against more than the limit while no holder can be found, since the store does not answer
/// and the holder has ended.
#[actix_rt::test]
async fn limit_holds_without_a_holder() {
    let named = FakeUpstream::start("u1", &[limited("x-limit: 2\r\n")]).await;
    let mut fleet = Fleet::start(&[&named], 4).await;
    let begin = Instant::now();
    fleet.send(Duration::from_millis(20), Duration::from_secs(14));
    sleep(Duration::from_secs(3)).await;
    fleet.shared.store_is_down.set(true);
    let ended = fleet.instances.borrow_mut().remove(0);
    drop(ended);
    fleet.join().await;
    assert_kept(&named, 2.0, begin);
    // Each of the others keeps its share.
    let late = arrivals(
        &named,
        begin + Duration::from_secs(8),
        begin + Duration::from_secs(14),
    );
    assert!(late >= 4, "{late}");
}

/// Guards against what reaches a limited engine beside requests: report requests, orders, and streams
/// that break off and go on there.
#[actix_rt::test]
async fn limit_holds_for_requests_reports_orders_and_streams_that_go_on_together() {
    let limit = 1.0;
    let breaks = ScriptStep::Events {
        last: 2,
        disconnects: true,
        interval: Duration::ZERO,
    };
    let named = FakeUpstream::start("u1", std::slice::from_ref(&breaks)).await;
    let other = FakeUpstream::start("u2", &[breaks]).await;
    for upstream in [&named, &other] {
        upstream.observed.borrow_mut().lines = "x-limit: 1\r\n";
    }
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.add_upstream(upstream_entry(&named, "llm", &["m1"]));
    shared.add_upstream(upstream_entry(&other, "llm", &["m1"]));
    shared.notice.set(UpstreamNotice {
        limit: LimitNotice::Named(limit),
        ..UpstreamNotice::default()
    });
    let mut instances = Vec::new();
    for name in ["e1", "e2", "e3"] {
        instances.push(start(&shared, name).await);
    }
    let begin = Instant::now();
    let mut number = 0;
    while begin.elapsed() < Duration::from_secs(10) {
        number += 1;
        let addr = instances[number % 3].entry.addr();
        let model = if number % 4 == 0 { "m2" } else { "m1" };
        actix_rt::spawn(async move {
            let extra = format!("x-model: {model}\r\n");
            send_request(addr, "/tell/", &format!("r{number}"), &extra).await;
        });
        sleep(Duration::from_millis(50)).await;
    }
    for upstream in [&named, &other] {
        let mut times = upstream.observed.borrow().times.clone();
        let calls = shared.engine_calls.borrow();
        let calls = calls.iter().filter(|(id, _)| *id == upstream.id);
        times.extend(calls.map(|(_, at)| *at));
        assert!(times.len() > 4, "{}", times.len());
        let begins = times.iter().filter(|at| **at >= begin + CONTACT);
        for from in begins {
            let in_window = times
                .iter()
                .filter(|at| from <= at && **at < *from + WINDOW);
            let count = f64::from(u32::try_from(in_window.count()).unwrap());
            assert!(count <= allowed(limit), "{}: {count}", upstream.id);
        }
    }
}

/// Guards against values that are no number of requests being taken for a limit, or for its end.
#[actix_rt::test]
async fn values_that_are_no_limit_change_nothing() {
    for line in [
        "x-limit: -1\r\n",
        "x-limit: NaN\r\n",
        "x-limit: 1,2\r\n",
        "x-limit: \r\n",
    ] {
        let named = FakeUpstream::start("u1", &[limited(line)]).await;
        let fleet = Fleet::start(&[&named], 1).await;
        for i in 0..30 {
            let addr = fleet.instances.borrow()[0].entry.addr();
            let res = send_request(addr, "/read/", &format!("r{i}"), "").await;
            assert_eq!(res.status, 200, "{line:?}");
        }
        named.set_script(&[limited("x-limit: 0.2\r\n"), limited(line)]);
        let mut refused = 0;
        for i in 30..60 {
            let addr = fleet.instances.borrow()[0].entry.addr();
            let res = send_request(addr, "/read/", &format!("r{i}"), "").await;
            refused += usize::from(res.status == 503);
        }
        assert!(refused >= 27, "{refused}");
    }
}
