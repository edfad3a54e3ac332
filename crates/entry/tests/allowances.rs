//! Requests that find too little left of their workspace's allowance.

mod support;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use comfreyweir_fleet::{
    config::{Allowance, Config, Route, RouteKind, Unit, Workspace},
    quota::GRANT_TTL,
};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, send_request,
    start_with, upstream_entry, wait_until,
};
use tokio::time::sleep;

const PER_S: f64 = 4_000.0;
/// Units of a request, and the whole burst, which is refilled in 0.75 s.
const COST: u64 = 3_000;

fn config_with_allowance(per_s: f64) -> Config {
    let mut config = config(1);
    let route = Route {
        time_limit: Duration::from_secs(20),
        ..support::platform::route("/slow/", RouteKind::NonIdempotent, "plain")
    };
    config.routes.get_mut("h").unwrap().push(Rc::new(route));
    let workspace = Workspace {
        name: "vans".to_owned(),
        rank: None,
        allowance: Some(Allowance {
            per_s,
            burst: 3_000.0,
            unit: Unit::Tokens { plain: COST },
        }),
        home_regions: Vec::new(),
    };
    let workspace = Rc::new(workspace);
    config.workspaces.insert("vans".to_owned(), workspace);
    config
}

/// Starts an instance whose workspace has spent its whole allowance just now.
async fn start_with_spent_allowance(per_s: f64) -> (Rc<SharedState>, TestInstance, FakeUpstream) {
    let shared = SharedState::new();
    shared.publish_config(config_with_allowance(per_s));
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let instance = start_with(&shared, "e1", |s| s.timing.grace_s = 2.0).await;
    wait_until("the duty is taken", async || {
        let status = get(instance.entry.admin_addr(), "/status").await.body;
        status.contains("\"may_order\": true")
    })
    .await;
    // The bucket of a new holder begins with the refill of half a second.
    sleep(GRANT_TTL + Duration::from_secs(1)).await;
    let deadline = "x-deadline: 19000\r\n";
    let response = send_request(instance.entry.addr(), "/slow/x", "r0", deadline).await;
    assert_eq!(response.status, 200, "{}", response.body);
    (shared, instance, upstream)
}

/// Value of the first metric that begins with `name`; 0 if there is none.
async fn metric(instance: &TestInstance, name: &str) -> f64 {
    let metrics = get(instance.entry.admin_addr(), "/metrics").await.body;
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.map_or(0.0, |line| {
        line.rsplit_once(' ').unwrap().1.parse().unwrap()
    })
}

/// Guards against a refusal where a wait for the refill would do: half of the route's time limit is 1 s, the
/// refill takes 0.75 s.
#[actix_rt::test]
async fn large_request_waits_for_the_refill_and_is_served() {
    let (_shared, instance, _upstream) = start_with_spent_allowance(PER_S).await;
    let asked_at = Instant::now();
    let response = send_request(instance.entry.addr(), "/book/x", "r1", "").await;
    assert_eq!(response.status, 200, "{}", response.body);
    assert!(asked_at.elapsed() < Duration::from_secs(2));
    let waits = "comfreyweir_allowance_waits_total{end=\"served\"}";
    assert!(metric(&instance, waits).await >= 1.0);
}

/// Guards against a request that waits in vain, and against a caller that comes back too early: half of the
/// deadline is 0.5 s, the refill takes 0.75 s.
#[actix_rt::test]
async fn request_that_the_refill_does_not_cover_in_time_is_refused_at_once() {
    let (_shared, instance, _upstream) = start_with_spent_allowance(PER_S).await;
    let asked_at = Instant::now();
    let deadline = "x-deadline: 1000\r\n";
    let response = send_request(instance.entry.addr(), "/book/x", "r1", deadline).await;
    assert_eq!(response.status, 429, "{}", response.body);
    assert!(asked_at.elapsed() < Duration::from_millis(500));
    let retry_after = response.header("retry-after").unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!((0.7..=1.0).contains(&retry_after), "{retry_after}");
    let refusals = "comfreyweir_allowance_refusals_total{cause=\"exhausted\"}";
    assert!(metric(&instance, refusals).await >= 1.0);
}

/// Guards against a request that waits for its units until the end of a stop, and is then cut off: the
/// refill takes 3 s, and the stop ends after 2 s.
#[actix_rt::test]
async fn request_that_waits_at_a_stop_is_refused() {
    let (_shared, instance, _upstream) = start_with_spent_allowance(1_000.0).await;
    let addr = instance.entry.addr();
    let deadline = "x-deadline: 19000\r\n";
    let caller =
        actix_rt::spawn(async move { send_request(addr, "/slow/x", "r1", deadline).await });
    wait_until("the request waits", async || {
        let status = get(instance.entry.admin_addr(), "/status").await.body;
        status.contains("\"in_flight\": 1")
    })
    .await;
    instance.entry.stop().await;
    let response = caller.await.unwrap();
    assert!([429, 503].contains(&response.status), "{response:?}");
    assert!(response.header("retry-after").is_some());
}
