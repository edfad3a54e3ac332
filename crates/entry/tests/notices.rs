//! What upstreams say of themselves beside their answers: that they leave, or want no requests for a
//! time.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_entry::platform::UpstreamNotice;
use comfreyweir_fleet::upstream::{Phase, Upstream};
use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance, get, platform::config,
    send_request, start, start_with, upstream_entry, wait_until,
};
use tokio::time::Instant;

fn shared_state(upstreams: &[&FakeUpstream]) -> Rc<SharedState> {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    for upstream in upstreams {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    shared
}

async fn ask(instance: &TestInstance, path: &str, id: &str) -> Response {
    send_request(instance.entry.addr(), path, id, "").await
}

/// Sends requests until `upstream` has answered one.
async fn ask_until_answered_by(instance: &TestInstance, upstream: &FakeUpstream) {
    let before = upstream.arrivals();
    let mut asked = 0;
    wait_until("the upstream gets a request", async || {
        asked += 1;
        ask(instance, "/read/", &format!("q{asked}")).await;
        upstream.arrivals() > before
    })
    .await;
}

const SERVED: ScriptStep = ScriptStep::Answer(200, "served");
const LEAVING: &str = "x-leaving: 1\r\n";

/// Guards against requests to an upstream that has said in an answer that it leaves.
#[actix_rt::test]
async fn upstream_that_says_it_leaves_gets_no_more_requests() {
    for step in [
        ScriptStep::AnswerWith(200, LEAVING, "served"),
        ScriptStep::AnswerWith(500, LEAVING, "failed"),
        ScriptStep::AnswerWith(503, "x-leaving: 1\r\nx-not-run: 1\r\n", ""),
    ] {
        let leaves = FakeUpstream::start("u1", std::slice::from_ref(&step)).await;
        let stays = FakeUpstream::start("u2", &[SERVED]).await;
        let instance = start(&shared_state(&[&leaves, &stays]), "e1").await;
        ask_until_answered_by(&instance, &leaves).await;
        let before = leaves.arrivals();
        for i in 0..20 {
            assert_eq!(ask(&instance, "/read/", &format!("r{i}")).await.status, 200);
        }
        assert_eq!(leaves.arrivals(), before, "{step:?}");
        // The list still has it as ready, and without the store no other comes.
        instance.shared.store_is_down.set(true);
        actix_rt::time::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(ask(&instance, "/read/", "r20").await.status, 200);
        assert_eq!(leaves.arrivals(), before, "{step:?}");
    }
}

/// An answer of another process at the address says nothing of the upstream.
#[actix_rt::test]
async fn misdirected_answer_marks_no_upstream() {
    let answer = ScriptStep::AnswerWith(421, LEAVING, "");
    let upstream = FakeUpstream::start("u1", &[answer, SERVED]).await;
    let instance = start(&shared_state(&[&upstream]), "e1").await;
    ask_until_answered_by(&instance, &upstream).await;
    assert_eq!(ask(&instance, "/read/", "r1").await.status, 200);
}

/// The holder passes on what one instance has heard.
#[actix_rt::test]
async fn instances_learn_from_each_other_that_an_upstream_leaves() {
    let leaves = FakeUpstream::start("u1", &[ScriptStep::AnswerWith(200, LEAVING, "served")]).await;
    let stays = FakeUpstream::start("u2", &[SERVED]).await;
    let shared = shared_state(&[&leaves, &stays]);
    let first = start(&shared, "e1").await;
    let second = start(&shared, "e2").await;
    for instance in [&first, &second] {
        wait_until("a holder answers", async || {
            let status = get(instance.entry.admin_addr(), "/status").await;
            status.body.contains("\"placement_is_fresh\": true")
        })
        .await;
    }
    ask_until_answered_by(&first, &leaves).await;
    // Two exchanges and a read of the list by the holder.
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let before = leaves.arrivals();
    for i in 0..20 {
        assert_eq!(ask(&second, "/read/", &format!("r{i}")).await.status, 200);
    }
    assert_eq!(leaves.arrivals(), before);
}

/// An engine that says so in its answer to a report request or an order gets no requests either.
#[actix_rt::test]
async fn engine_that_says_in_a_report_that_it_leaves_gets_no_requests() {
    let engine = FakeUpstream::start("u1", &[SERVED]).await;
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.add_upstream(upstream_entry(&engine, "llm", &["m1"]));
    shared.notice.set(UpstreamNotice {
        is_leaving: true,
        ..UpstreamNotice::default()
    });
    let instance = start(&shared, "e1").await;
    wait_until("the engine has reported", async || {
        let metrics = get(instance.entry.admin_addr(), "/metrics").await.body;
        metrics.contains("upstream_notices_total{notice=\"leaving\"} 1")
    })
    .await;
    let extra = "x-model: m1\r\nx-deadline: 500\r\n";
    let response = send_request(instance.entry.addr(), "/tell/", "r1", extra).await;
    assert_eq!((response.status, engine.arrivals()), (503, 0));
}

/// Guards against requests to an upstream that wants none for a time. Waiting requests take others.
#[actix_rt::test]
async fn upstream_that_wants_no_requests_gets_none_until_its_time_is_over() {
    let turned_away = ScriptStep::AnswerWith(503, "x-not-run: 1\r\nretry-after: 1.5\r\n", "");
    let closed = FakeUpstream::start("u1", &[turned_away, SERVED]).await;
    let open = FakeUpstream::start("u2", &[SERVED]).await;
    let instance = start(&shared_state(&[&closed, &open]), "e1").await;
    ask_until_answered_by(&instance, &closed).await;
    let closed_at = Instant::now();
    let mut asked = 0;
    while closed.arrivals() == 1 {
        assert!(
            closed_at.elapsed() < Duration::from_secs(8),
            "never used again"
        );
        asked += 1;
        let response = ask(&instance, "/read/", &format!("r{asked}")).await;
        assert_eq!(response.status, 200);
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let time = closed_at.elapsed();
    assert!(time >= Duration::from_millis(1_480), "{time:?}");
}

/// Guards against requests that wait to their deadline for upstreams that want none for longer.
#[actix_rt::test]
async fn request_is_refused_at_once_if_all_upstreams_want_none_for_longer() {
    let turned_away = ScriptStep::AnswerWith(503, "x-not-run: 1\r\nretry-after: 20\r\n", "");
    let only = FakeUpstream::start("u1", &[turned_away]).await;
    let instance = start(&shared_state(&[&only]), "e1").await;
    let started = Instant::now();
    for id in ["r1", "r2", "r3"] {
        let response = ask(&instance, "/book/", id).await;
        assert_eq!(response.status, 503);
        let retry_after = response.header("retry-after").unwrap();
        let retry_after: f64 = retry_after.parse().unwrap();
        assert!((18.0..=22.0).contains(&retry_after), "{retry_after}");
    }
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(only.arrivals(), 1);
}

/// Guards against requests to an upstream whose entry is removed while the lists come slowly: the
/// instance took the time between two of them for an outage of the store.
#[actix_rt::test]
async fn removed_upstream_is_out_of_use_in_time_while_lists_come_slowly() {
    let removed = FakeUpstream::start("u1", &[SERVED]).await;
    let stays = FakeUpstream::start("u2", &[SERVED]).await;
    let shared = shared_state(&[&removed, &stays]);
    let drain_ms = 4_000;
    let instance = start_with(&shared, "e1", |settings| {
        settings.timing.drain_ms = drain_ms;
    })
    .await;
    let page_time = Duration::from_millis(1_600);
    shared.paging.set(Some((100, page_time)));
    actix_rt::time::sleep(page_time * 3).await;
    shared.remove_upstream("u1");
    actix_rt::time::sleep(Duration::from_millis(drain_ms)).await;
    let before = removed.arrivals();
    for i in 0..20 {
        assert_eq!(ask(&instance, "/read/", &format!("r{i}")).await.status, 200);
    }
    assert_eq!(removed.arrivals(), before);
}

/// Guards against requests to an upstream that drains while the rest of a long list is read.
#[actix_rt::test]
async fn draining_upstream_gets_no_request_before_the_whole_list_is_read() {
    let upstream = FakeUpstream::start("a0", &[SERVED]).await;
    let shared = shared_state(&[&upstream]);
    let entry = upstream_entry(&upstream, "plain", &[]);
    for i in 1..40 {
        shared.add_upstream(Upstream {
            id: format!("b{i}"),
            service: "other".to_owned(),
            ..entry.clone()
        });
    }
    let instance = start(&shared, "e1").await;
    shared.paging.set(Some((1, Duration::from_millis(40))));
    shared.add_upstream(Upstream {
        phase: Phase::Draining(None),
        ..entry
    });
    shared.remove_upstream("b39");
    wait_until("the upstream gets no requests", async || {
        let extra = "x-deadline: 60\r\n";
        let response = send_request(instance.entry.addr(), "/read/", "r1", extra).await;
        response.status == 503
    })
    .await;
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    assert!(status.contains("\"upstreams\": 40,"), "{status}");
}
