//! Requests from a caller through a gate to an engine, with real processes.

mod support;

use awc::http::StatusCode;

use support::{ClusterSpec, record_checks, start};

const PROMPT: &str = "Summarize the faults of forklift 17.";

fn spec() -> ClusterSpec {
    ClusterSpec::new(2)
        .engines(2, 1_000)
        .model("assistant", 400, 1)
        .workspace("lodz", 100_000, 100_000)
}

#[actix_rt::test]
async fn cold_warm_and_streamed_requests_are_served() {
    let cluster = start(spec()).await;

    let cold = cluster.caller(0, "lodz").chat("assistant", PROMPT, 8).await;
    let cold = cold.unwrap();
    assert_eq!(cold.status, StatusCode::OK, "{:?}", cold.body);

    let warm = cluster.caller(1, "lodz").chat("assistant", PROMPT, 8).await;
    let warm = warm.unwrap();
    assert_eq!(warm.status, StatusCode::OK, "{:?}", warm.body);
    assert_eq!(warm.text(), cold.text());

    let streamed = cluster
        .caller(1, "lodz")
        .stream("assistant", PROMPT, 8)
        .await;
    let streamed = streamed.unwrap();
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, cold.text());
    assert_eq!(streamed.chunks, 8);
    assert_eq!(streamed.usage.unwrap()["completion_tokens"], 8);

    let records = cluster.engine_records().await.unwrap();
    assert_eq!(record_checks::count_load_orders(&records, "assistant@1"), 1);
    assert!(record_checks::broken_invariants(&records).is_empty());
    assert_eq!(
        cluster
            .count_connections_receiving(&ClusterSpec::key_of("lodz"))
            .await
            .unwrap(),
        0
    );
}

#[actix_rt::test]
async fn requests_are_served_with_a_proxy_on_every_link() {
    let cluster = start(spec().proxied()).await;
    for gate in 0..2 {
        let answer = cluster
            .caller(gate, "lodz")
            .chat("assistant", PROMPT, 4)
            .await;
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }
    for link in [support::Link::GateKv(0), support::Link::PlannerKv(1)] {
        let counts = cluster.link_counts(&link).await.unwrap();
        assert!(counts.to_caller_bytes > 0, "{link:?}");
    }
}
