//! Non-idempotent calls run at most once, and a call whose answer says "not run" has not run.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use comfreyweir_standins::{
    kv,
    proxy::{self, Mode},
    service::{self, FaultStage, RequestProgress},
};

mod support;

use support::{Answer, Caller, Cluster, ClusterSpec, Link, gate_name, start, until};

const ORDER_BODY: &[u8] = b"{\"part\":\"hydraulic hose\",\"count\":1}";
const LIMIT: Duration = Duration::from_secs(10);

fn spec(gates: usize) -> ClusterSpec {
    let mut spec = ClusterSpec::new(gates)
        .workspace("lodz", 1_000, 1_000)
        .service("booking-0")
        .service("booking-1")
        .route("/orders", &["booking-0"], false)
        .route("/visits", &["booking-0", "booking-1"], false)
        .route("/stock", &["booking-0", "booking-1"], true);
    spec.planners = 1;
    spec.limits.deadline_ms = 3_000;
    spec
}

/// Sends an order; `None` if the call fails before a complete answer arrives.
async fn send_order(
    caller: &Caller,
    path: &str,
    key: Option<&str>,
    extra_headers: &[(&str, &str)],
) -> Option<Answer> {
    let mut headers = vec![("content-type", "application/json")];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    headers.extend(extra_headers);
    let body = Bytes::from_static(ORDER_BODY);
    caller.send(Method::POST, path, &headers, body).await.ok()
}

/// Number of calls of a path that ran, from the services' records.
async fn count_runs(cluster: &Cluster, path: &str) -> usize {
    let mut count = 0;
    for name in ["booking-0", "booking-1"] {
        let record = cluster.service_record(name).await.unwrap();
        let is_run =
            |call: &&service::Call| call.path == path && call.reached == RequestProgress::Run;
        count += record.calls.iter().filter(is_run).count();
    }
    count
}

fn reports_not_run(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.run_status() == "no")
}

#[actix_rt::test]
async fn order_runs_at_most_once_wherever_the_upstream_breaks_off() {
    let cluster = start(spec(2)).await;
    let stages = [
        FaultStage::BeforeRead,
        FaultStage::AfterHead,
        FaultStage::MidBody,
        FaultStage::BeforeAnswer,
        FaultStage::MidAnswer,
    ];
    for stage in stages {
        let path = format!("/orders/{stage:?}");
        let faults = service::Faults {
            stage: Some(stage),
            calls: 1,
            ..service::Faults::default()
        };
        cluster
            .set_service_faults("booking-0", &faults)
            .await
            .unwrap();

        let first = send_order(&cluster.caller(0, "lodz"), &path, Some(&path), &[]).await;
        let run_count = count_runs(&cluster, &path).await;
        assert!(run_count <= 1, "{stage:?}");
        if stage != FaultStage::BeforeRead {
            let claims_not_run = reports_not_run(first.as_ref());
            assert!(
                !claims_not_run,
                "{stage:?}: the head was received, {first:?}"
            );
        }
        // "Not run" is a true answer if the connection was closed before anything was written.
        let not_run = reports_not_run(first.as_ref());
        assert!(!not_run || run_count == 0, "{stage:?}");

        let resent = send_order(&cluster.caller(1, "lodz"), &path, Some(&path), &[]).await;
        let resent = resent.unwrap();
        let run_count_after = count_runs(&cluster, &path).await;
        if not_run {
            assert!(resent.status.is_success(), "{stage:?}: {:?}", resent.body);
            assert_eq!(run_count_after, 1, "{stage:?}");
        } else {
            assert_eq!(
                resent.status,
                StatusCode::CONFLICT,
                "{stage:?}: {:?}",
                resent.body
            );
            assert_eq!(resent.run_status(), "unknown", "{stage:?}");
            assert_eq!(
                run_count_after, run_count,
                "{stage:?}: the resent order ran"
            );
        }
    }
}

#[actix_rt::test]
async fn order_that_cannot_be_sent_says_not_run_and_can_be_sent_again() {
    let cluster = start(spec(2).proxied()).await;
    let cut = proxy::Faults {
        mode: Mode::Cut,
        ..proxy::Faults::default()
    };
    cluster.set_link(&Link::Service(0), &cut).await.unwrap();
    let path = "/orders/unreachable";
    let first = send_order(&cluster.caller(0, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert!(!first.status.is_success());
    assert_eq!(count_runs(&cluster, path).await, 0);

    cluster
        .set_link(&Link::Service(0), &proxy::Faults::default())
        .await
        .unwrap();
    let resent = send_order(&cluster.caller(1, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    // The proxy accepts the connection before it resets it, so the gate may be unable to tell
    // whether the order ran and then reports "unknown".
    let expected = usize::from(first.run_status() == "no");
    assert_eq!(
        count_runs(&cluster, path).await,
        expected,
        "{:?} then {:?}",
        first.body,
        resent.body
    );
    assert_eq!(resent.status.is_success(), expected == 1);
}

#[actix_rt::test]
async fn order_to_a_closed_port_says_not_run_and_can_be_sent_again() {
    let mut cluster = start(spec(2)).await;
    cluster.kill(support::UPSTREAMS).unwrap();
    let path = "/orders/closed";
    let first = send_order(&cluster.caller(0, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert_eq!(
        first.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{:?}",
        first.body
    );
    assert_eq!(first.run_status(), "no");
    assert!(first.header("retry-after").is_some());

    cluster.restart(support::UPSTREAMS).await.unwrap();
    let resent = send_order(&cluster.caller(1, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert!(resent.status.is_success(), "{:?}", resent.body);
    assert_eq!(count_runs(&cluster, path).await, 1);
}

#[actix_rt::test]
async fn resend_through_another_gate_gets_the_recorded_answer() {
    let cluster = start(spec(2)).await;
    let path = "/orders/twice";
    let first = send_order(&cluster.caller(0, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert!(first.status.is_success(), "{:?}", first.body);
    let resent = resend_until_replayed(&cluster.caller(1, "lodz"), path, "k1").await;
    assert_eq!(resent.body, first.body);
    assert_eq!(count_runs(&cluster, path).await, 1);
}

/// Resends an order until the gate replays its recorded answer.
async fn resend_until_replayed(caller: &Caller, path: &str, key: &str) -> Answer {
    let probe = async || {
        let resent = send_order(caller, path, Some(key), &[]).await?;
        resent
            .header("idempotent-replayed")
            .is_some()
            .then_some(resent)
    };
    support::until_some(LIMIT, "the recorded answer", probe)
        .await
        .unwrap()
}

#[actix_rt::test]
async fn same_key_through_all_gates_at_once_runs_once() {
    let cluster = start(spec(4)).await;
    let path = "/orders/at-once";
    let callers: Vec<_> = (0..4).map(|gate| cluster.caller(gate, "lodz")).collect();
    let orders = callers
        .iter()
        .map(|caller| send_order(caller, path, Some("k1"), &[]));
    let answers = futures_util::future::join_all(orders).await;
    let mut succeeded = 0;
    for answer in answers {
        let answer = answer.unwrap();
        succeeded += usize::from(answer.status.is_success());
        let expected = answer.status.is_success() || answer.status == StatusCode::CONFLICT;
        assert!(expected, "{:?}", answer.body);
    }
    assert!(succeeded >= 1);
    for caller in &callers {
        resend_until_replayed(caller, path, "k1").await;
    }
    assert_eq!(count_runs(&cluster, path).await, 1);
}

#[actix_rt::test]
async fn order_of_a_killed_gate_is_not_run_again() {
    let mut cluster = start(spec(2)).await;
    let path = "/orders/killed";
    let slow = [("x-test-delay-ms", "1500")];
    let caller = cluster.caller(0, "lodz");
    let pending =
        actix_rt::spawn(async move { send_order(&caller, path, Some("k1"), &slow).await });
    until(LIMIT, "the order at the service", async || {
        has_arrived(&cluster, path).await
    })
    .await
    .unwrap();
    cluster.kill(&gate_name(0)).unwrap();
    assert!(pending.await.unwrap().is_none());

    let resent = send_order(&cluster.caller(1, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert_eq!(resent.status, StatusCode::CONFLICT, "{:?}", resent.body);
    assert_eq!(resent.run_status(), "unknown");
    assert!(count_runs(&cluster, path).await <= 1);
}

async fn has_arrived(cluster: &Cluster, path: &str) -> bool {
    let record = cluster.service_record("booking-0").await.unwrap();
    record.calls.iter().any(|call| call.path == path)
}

#[actix_rt::test]
async fn order_of_a_gate_frozen_before_it_sends_is_not_run_twice() {
    let cluster = start(spec(2)).await;
    let path = "/orders/frozen";
    // Delays the claim of the idempotency key, so that the gate is frozen while the claim is
    // pending.
    let slow = kv::Faults {
        delay_ms: 300,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&slow).await.unwrap();
    let caller = cluster.caller(0, "lodz");
    let pending = actix_rt::spawn(async move { send_order(&caller, path, Some("k1"), &[]).await });
    let writes_before = cluster.kv_counts().await.unwrap().writes;
    let claim_sent = async || cluster.kv_counts().await.unwrap().writes > writes_before;
    until(LIMIT, "the claim at the key-value service", claim_sent)
        .await
        .unwrap();
    cluster.freeze(&gate_name(0)).unwrap();
    cluster.set_kv_faults(&kv::Faults::default()).await.unwrap();

    let resent = send_order(&cluster.caller(1, "lodz"), path, Some("k1"), &[]).await;
    cluster.thaw(&gate_name(0)).unwrap();
    let first = pending.await.unwrap();
    let run_count = count_runs(&cluster, path).await;
    assert!(run_count <= 1, "{first:?} {resent:?}");
    if reports_not_run(first.as_ref()) && reports_not_run(resent.as_ref()) {
        assert_eq!(run_count, 0);
    }
}

#[actix_rt::test]
async fn orders_run_at_most_once_while_answers_of_the_key_value_service_are_lost() {
    let cluster = start(spec(2)).await;
    for number in 0..20 {
        let path = format!("/orders/lost-{number}");
        let faults = kv::Faults {
            lose_answers: 1 + number % 3,
            lose_answers_prefix: "idem/".to_owned(),
            ..kv::Faults::default()
        };
        cluster.set_kv_faults(&faults).await.unwrap();
        let first = send_order(&cluster.caller(0, "lodz"), &path, Some(&path), &[])
            .await
            .unwrap();
        let run_count = count_runs(&cluster, &path).await;
        assert_eq!(
            run_count,
            usize::from(first.status.is_success()),
            "{:?}",
            first.body
        );

        cluster.set_kv_faults(&kv::Faults::default()).await.unwrap();
        if first.status.is_success() {
            resend_until_replayed(&cluster.caller(1, "lodz"), &path, &path).await;
        } else {
            assert_eq!(first.run_status(), "no", "{:?}", first.body);
        }
        assert!(count_runs(&cluster, &path).await <= 1);
    }
}

#[actix_rt::test]
async fn keyed_order_is_refused_while_the_key_value_service_is_down() {
    let cluster = start(spec(2)).await;
    let path = "/orders/outage";
    let down = kv::Faults {
        outage: kv::Outage::Silent,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    let first = send_order(&cluster.caller(0, "lodz"), path, Some("k1"), &[])
        .await
        .unwrap();
    assert_eq!(
        first.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{:?}",
        first.body
    );
    assert_eq!(first.run_status(), "no");
    assert!(first.header("retry-after").is_some());
    assert_eq!(count_runs(&cluster, path).await, 0);

    cluster.set_kv_faults(&kv::Faults::default()).await.unwrap();
    let accepted = async || {
        let resent = send_order(&cluster.caller(1, "lodz"), path, Some("k1"), &[]).await;
        resent.is_some_and(|resent| resent.status.is_success())
    };
    until(LIMIT, "the order after the outage", accepted)
        .await
        .unwrap();
    assert_eq!(count_runs(&cluster, path).await, 1);
}

#[actix_rt::test]
async fn order_without_a_key_is_not_sent_to_a_second_upstream() {
    let cluster = start(spec(1)).await;
    for stage in [
        FaultStage::BeforeRead,
        FaultStage::AfterHead,
        FaultStage::MidBody,
        FaultStage::BeforeAnswer,
    ] {
        let path = format!("/visits/{stage:?}");
        let faults = service::Faults {
            stage: Some(stage),
            calls: 1,
            ..service::Faults::default()
        };
        for name in ["booking-0", "booking-1"] {
            cluster.set_service_faults(name, &faults).await.unwrap();
        }
        let answer = send_order(&cluster.caller(0, "lodz"), &path, None, &[])
            .await
            .unwrap();
        assert!(!answer.status.is_success(), "{stage:?}");
        // If the service closes the connection without reading, it is a race whether the gate has
        // already written to it.
        let not_run = stage == FaultStage::BeforeRead && answer.run_status() == "no";
        assert!(not_run || answer.run_status() == "unknown", "{stage:?}");
        assert!(
            !not_run || count_runs(&cluster, &path).await == 0,
            "{stage:?}"
        );
        let mut calls = 0;
        for name in ["booking-0", "booking-1"] {
            let record = cluster.service_record(name).await.unwrap();
            calls += record.calls.iter().filter(|call| call.path == path).count();
            cluster
                .set_service_faults(name, &service::Faults::default())
                .await
                .unwrap();
        }
        assert!(calls <= 1, "{stage:?}: {calls} calls");
    }
}

#[actix_rt::test]
async fn idempotent_call_is_retried_on_a_second_upstream() {
    let cluster = start(spec(1)).await;
    let faults = service::Faults {
        stage: Some(FaultStage::BeforeAnswer),
        calls: 1,
        ..service::Faults::default()
    };
    cluster
        .set_service_faults("booking-0", &faults)
        .await
        .unwrap();
    for number in 0..4 {
        let path = format!("/stock/{number}");
        let answer = cluster.caller(0, "lodz").get(&path).await.unwrap();
        assert!(answer.status.is_success(), "{:?}", answer.body);
    }
}

#[actix_rt::test]
async fn answer_of_a_caller_that_left_is_recorded() {
    let cluster = start(spec(2)).await;
    let path = "/orders/left";
    let slow = [("x-test-delay-ms", "300")];
    let caller = cluster.caller(0, "lodz");
    let pending =
        actix_rt::spawn(async move { send_order(&caller, path, Some("k1"), &slow).await });
    until(LIMIT, "the order at the service", async || {
        has_arrived(&cluster, path).await
    })
    .await
    .unwrap();
    pending.abort();
    let resent = resend_until_replayed(&cluster.caller(1, "lodz"), path, "k1").await;
    assert!(resent.status.is_success());
    assert_eq!(count_runs(&cluster, path).await, 1);
}

#[actix_rt::test]
async fn idempotency_key_reused_for_another_order_is_refused() {
    let cluster = start(spec(2)).await;
    let first = send_order(&cluster.caller(0, "lodz"), "/orders/a", Some("k1"), &[])
        .await
        .unwrap();
    assert!(first.status.is_success(), "{:?}", first.body);
    let other = send_order(&cluster.caller(1, "lodz"), "/orders/b", Some("k1"), &[])
        .await
        .unwrap();
    assert_eq!(
        other.status,
        StatusCode::UNPROCESSABLE_ENTITY,
        "{:?}",
        other.body
    );
    assert_eq!(other.run_status(), "no");
    assert_eq!(count_runs(&cluster, "/orders/b").await, 0);
}
