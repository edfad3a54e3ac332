//! A withdrawn key is refused on open connections, and its queued requests are refused too.

use std::time::Duration;

use awc::http::StatusCode;
use support::{ClusterSpec, start, until};

mod support;

const LIMIT: Duration = Duration::from_secs(5);

fn spec() -> ClusterSpec {
    ClusterSpec::new(2)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .model("slow", 400, 1)
        .workspace("lodz", 100_000, 100_000)
}

#[actix_rt::test]
async fn withdrawn_key_is_refused_on_open_connections_and_in_the_queue() {
    let mut spec = spec();
    spec.engines[0].settings.times.load_remote_ms = 1_000;
    let mut cluster = start(spec).await;
    let caller = cluster.caller(0, "lodz");
    let answer = caller.chat("assistant", "hi", 4).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    cluster
        .set_weights(&comfreyweir_standins::weights::Settings {
            slowdown: 100.0,
            ..Default::default()
        })
        .await
        .unwrap();
    let queued = cluster.caller(1, "lodz");
    let queued = actix_rt::spawn(async move { queued.chat("slow", "hi", 4).await.unwrap() });
    let is_queued = async || {
        let metrics = cluster.metrics(1).await.unwrap();
        metrics.sum("comfreyweir_gate_waiting", &[]) > 0.0
    };
    until(LIMIT, "a queued request", is_queued).await.unwrap();
    let mut catalog = cluster.full_catalog();
    let keys = catalog.keys.values_mut();
    keys.for_each(|key| key.withdrawn = true);
    cluster.publish(&catalog).await.unwrap();
    let refused = async || {
        let answer = caller.chat("assistant", "hi", 4).await.unwrap();
        answer.status == StatusCode::UNAUTHORIZED
    };
    until(LIMIT, "a refusal on the open connection", refused)
        .await
        .unwrap();
    let answer = tokio::time::timeout(LIMIT, queued).await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{answer:?}");
    assert_eq!(
        (answer.code().as_str(), answer.run_status().as_str()),
        ("invalid_key", "no")
    );
}
