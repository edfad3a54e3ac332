//! What requests cost the holder of the planning duty, and what becomes of them while it is late.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::{
    config::{Allowance, Config, Unit, Workspace},
    quota::GRANT_TTL,
};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, send_request,
    start_with, upstream_entry, wait_until,
};
use tokio::time::sleep;

/// Exchange period of a fleet of 400 instances, in ms.
const EXCHANGE_MS: u64 = 800;

/// A configuration in which the workspace has an allowance. A sixth of its bucket is one request, which
/// is more than an instance is granted in advance.
fn config_with_allowance() -> Config {
    let mut config = config(1);
    let workspace = Workspace {
        name: "vans".to_owned(),
        rank: None,
        allowance: Some(Allowance {
            per_s: 2_000.0,
            burst: 6_000.0,
            unit: Unit::Tokens { plain: 1_000 },
        }),
        home_regions: Vec::new(),
    };
    let workspace = Rc::new(workspace);
    config.workspaces.insert("vans".to_owned(), workspace);
    config
}

/// Starts the holder of the planning duty and another instance, with exchanges as far apart as in a
/// large fleet.
async fn start_two(shared: &Rc<SharedState>) -> (TestInstance, TestInstance) {
    let holder = start_with(shared, "e1", |s| s.timing.exchange_ms = EXCHANGE_MS).await;
    wait_until("the duty is taken", async || {
        let status = get(holder.entry.admin_addr(), "/status").await.body;
        status.contains("\"may_order\": true")
    })
    .await;
    let other = start_with(shared, "e2", |s| s.timing.exchange_ms = EXCHANGE_MS).await;
    wait_until("the holder has answered", async || {
        let status = get(other.entry.admin_addr(), "/status").await.body;
        status.contains("\"placement_is_fresh\": true")
    })
    .await;
    (holder, other)
}

/// Waits until a new holder grants allowances. Grants of one before it might still be in force.
async fn wait_for_grants() {
    sleep(GRANT_TTL + Duration::from_millis(EXCHANGE_MS)).await;
}

/// Number of views that the holder has sent.
async fn views(holder: &TestInstance) -> u64 {
    let metrics = get(holder.entry.admin_addr(), "/metrics").await.body;
    let line = metrics.lines().find(|l| l.starts_with("comfreyweir_views"));
    let (_, value) = line.unwrap().split_once(' ').unwrap();
    value.parse().unwrap()
}

/// Guards against a holder that sends a whole view for each request that needs a larger grant.
#[actix_rt::test]
async fn requests_that_need_larger_grants_cost_the_holder_no_views() {
    let shared = SharedState::new();
    shared.publish_config(config_with_allowance());
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let (holder, other) = start_two(&shared).await;
    wait_for_grants().await;
    let before = views(&holder).await;
    for n in 0..4 {
        let id = format!("r{n}");
        let response = send_request(other.entry.addr(), "/book/x", &id, "").await;
        assert_eq!(response.status, 200, "{n}: {}", response.body);
        sleep(Duration::from_millis(100)).await;
    }
    let sent = views(&holder).await - before;
    // At most one exchange period ends in this time.
    assert!(sent <= 1, "{sent} views for 4 requests");
}

/// Guards against exchanges without end while a request waits and placements change that do not
/// concern it.
#[actix_rt::test]
async fn waiting_request_costs_no_view_for_each_change_of_other_models() {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    shared.add_upstream(upstream_entry(&upstream, "llm", &["m1"]));
    let (holder, other) = start_two(&shared).await;
    let changing = Rc::clone(&shared);
    let changes = actix_rt::spawn(async move {
        let models = [["m1"], ["m2"]];
        for names in models.iter().cycle() {
            changing.add_upstream(upstream_entry(&upstream, "llm", names));
            sleep(Duration::from_millis(50)).await;
        }
    });
    let before = views(&holder).await;
    let asked = "x-model: unknown\r\n";
    let response = send_request(other.entry.addr(), "/tell/x", "r1", asked).await;
    assert_eq!(response.status, 503, "{}", response.body);
    changes.abort();
    let sent = views(&holder).await - before;
    // The request waits for 2 s. At first the holder may be asked more often than once a period.
    assert!(sent <= 7, "{sent} views for one request that waits");
}

/// Guards against refusals that say that an allowance is exhausted, and let the caller come back much
/// later, while only the holder does not answer.
#[actix_rt::test]
async fn allowance_is_not_called_exhausted_while_the_holder_does_not_answer() {
    let shared = SharedState::new();
    shared.publish_config(config_with_allowance());
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    shared.add_upstream(upstream_entry(&upstream, "plain", &[]));
    let (holder, other) = start_two(&shared).await;
    wait_for_grants().await;
    let response = send_request(other.entry.addr(), "/book/x", "r0", "").await;
    assert_eq!(response.status, 200, "{}", response.body);
    drop(holder);
    // It may wait for half of this time, in which the refill of the last grant does not suffice.
    let deadline = "x-deadline: 1000\r\n";
    let response = send_request(other.entry.addr(), "/book/x", "r1", deadline).await;
    assert_eq!(response.status, 503, "{}", response.body);
    let retry_after = response.header("retry-after").unwrap();
    let retry_after: f64 = retry_after.parse().unwrap();
    assert!(retry_after <= 1.0, "{retry_after}");
}
