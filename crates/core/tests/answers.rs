//! Each caller receives the complete answer to its own request, or an error that says the answer is
//! incomplete.

use std::time::Duration;

use awc::http::{Method, StatusCode};
use comfreyweir_standins::{
    engine::{EngineRecord, Faults, RequestOutcome},
    kv,
};
use futures_util::future::join_all;
use support::{Cluster, ClusterSpec, start, until, until_some};

mod support;

const PROMPT: &str = "List the faults of forklift 17 since its last service.";
const MAX_TOKENS: u32 = 32;
const LIMIT: Duration = Duration::from_secs(10);

/// Two replicas of one model on two engines.
fn spec() -> ClusterSpec {
    let mut spec = ClusterSpec::new(1)
        .engines(2, 1_000)
        .model("assistant", 800, 2)
        .workspace("lodz", 1_000_000, 1_000_000);
    for engine in &mut spec.engines {
        engine.settings.output_tokens = 64;
        // Few slots: requests queue in a burst, which makes the planner add the second replica.
        engine.settings.slots = 2;
        engine.settings.times.token_us = 5_000;
    }
    spec
}

/// Starts a cluster, waits until the model has a replica on each engine, and returns the cluster
/// with the complete answer text to `PROMPT`.
async fn start_with_two_replicas(spec: ClusterSpec) -> (Cluster, String) {
    let cluster = start(spec).await;
    let caller = cluster.caller(0, "lodz");
    let both_engines_used = async || {
        // Many concurrent requests create the demand for the second replica.
        let burst = (0..32).map(|_| caller.chat("assistant", PROMPT, MAX_TOKENS));
        join_all(burst).await;
        let records = cluster.engine_records().await.unwrap();
        records.iter().all(|r| !r.requests.is_empty())
    };
    until(LIMIT, "requests on both engines", both_engines_used)
        .await
        .unwrap();
    let answer = caller.chat("assistant", PROMPT, MAX_TOKENS).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    (cluster, answer.text())
}

/// Injects the faults on both engines, whichever of them the next request goes to.
async fn set_faults_on_both_engines(cluster: &Cluster, faults: Faults) {
    for engine in ["engine-0", "engine-1"] {
        cluster.set_engine_faults(engine, &faults).await.unwrap();
    }
}

#[actix_rt::test]
async fn stream_cut_in_the_middle_goes_on_at_another_replica() {
    let (cluster, full_text) = start_with_two_replicas(spec()).await;
    let cut = Faults {
        runs: 1,
        cut_after_tokens: Some(7),
        ..Faults::default()
    };
    set_faults_on_both_engines(&cluster, cut).await;
    let caller = cluster.caller(0, "lodz");
    let streamed = caller.stream("assistant", PROMPT, MAX_TOKENS);
    let streamed = streamed.await.unwrap();
    // Each engine cuts one run, so the answer is assembled from three runs.
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, full_text);
    assert_eq!(streamed.chunks, MAX_TOKENS as usize);
    assert_eq!(streamed.usage.unwrap()["completion_tokens"], MAX_TOKENS);
    let metrics = cluster.metrics(0).await.unwrap();
    assert!(metrics.sum("comfreyweir_gate_streams_resumed_total", &[]) >= 2.0);
}

/// Crashes the engine that serves the only stream and checks that the caller still receives the
/// complete text.
async fn check_stream_survives_engine_crash(cluster: &Cluster, full_text: &str) {
    let caller = cluster.caller(0, "lodz");
    let stream =
        actix_rt::spawn(async move { caller.stream("assistant", PROMPT, MAX_TOKENS).await });
    let running = async || {
        let records = cluster.engine_records().await.unwrap();
        let runs = |r: &&EngineRecord| {
            r.requests
                .iter()
                .any(|r| r.outcome == RequestOutcome::Running && r.output_tokens > 3)
        };
        records.iter().find(runs).map(|r| r.name.clone())
    };
    let engine = until_some(LIMIT, "a running stream", running)
        .await
        .unwrap();
    cluster.crash_engine(&engine).await.unwrap();
    let streamed = stream.await.unwrap().unwrap();
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, full_text);
    assert_eq!(streamed.chunks, MAX_TOKENS as usize);
}

#[actix_rt::test]
async fn stream_continues_on_another_replica_after_an_engine_crash() {
    let (cluster, full_text) = start_with_two_replicas(spec()).await;
    check_stream_survives_engine_crash(&cluster, &full_text).await;
}

#[actix_rt::test]
async fn stream_continues_after_an_engine_crash_while_the_key_value_service_is_down() {
    let (cluster, full_text) = start_with_two_replicas(spec()).await;
    let down = kv::Faults {
        outage: kv::Outage::Silent,
        ..kv::Faults::default()
    };
    cluster.set_kv_faults(&down).await.unwrap();
    check_stream_survives_engine_crash(&cluster, &full_text).await;
}

#[actix_rt::test]
async fn stream_that_stalls_goes_on_at_another_replica() {
    let mut spec = spec();
    spec.limits.stall_ms = 300;
    let (cluster, full_text) = start_with_two_replicas(spec).await;
    let stall = Faults {
        runs: 1,
        stall_after_tokens: Some(5),
        ..Faults::default()
    };
    set_faults_on_both_engines(&cluster, stall).await;
    let caller = cluster.caller(0, "lodz");
    let streamed = caller.stream("assistant", PROMPT, MAX_TOKENS);
    let streamed = streamed.await.unwrap();
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, full_text);
}

#[actix_rt::test]
async fn stream_that_cannot_go_on_ends_with_an_error() {
    let (cluster, full_text) = start_with_two_replicas(spec()).await;
    let cut = Faults {
        runs: 100,
        cut_after_tokens: Some(3),
        ..Faults::default()
    };
    set_faults_on_both_engines(&cluster, cut).await;
    let caller = cluster.caller(0, "lodz");
    let streamed = caller.stream("assistant", PROMPT, MAX_TOKENS);
    let streamed = streamed.await.unwrap();
    assert!(!streamed.done, "{streamed:?}");
    assert_eq!(streamed.broken, None);
    let error = streamed.error.unwrap();
    assert_eq!(error["error"]["run"], "unknown");
    assert!(full_text.starts_with(&streamed.text));
}

#[actix_rt::test]
async fn crossed_answers_are_never_delivered() {
    let (cluster, full_text) = start_with_two_replicas(spec()).await;
    let crossed = Faults {
        runs: 1,
        wrong_echo: true,
        ..Faults::default()
    };
    for _ in 0..3 {
        set_faults_on_both_engines(&cluster, crossed).await;
        let caller = cluster.caller(0, "lodz");
        let answer = caller.chat("assistant", PROMPT, MAX_TOKENS).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
        assert_eq!(answer.text(), full_text);
    }
    set_faults_on_both_engines(
        &cluster,
        Faults {
            runs: 100,
            ..crossed
        },
    )
    .await;
    let caller = cluster.caller(0, "lodz");
    let answer = caller.chat("assistant", PROMPT, MAX_TOKENS).await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(
        (answer.code().as_str(), answer.run_status().as_str()),
        ("upstream_failed", "unknown")
    );
}

#[actix_rt::test]
async fn answers_of_many_callers_stay_apart() {
    let (cluster, _) = start_with_two_replicas(spec()).await;
    let caller = cluster.caller(0, "lodz");
    let prompts: Vec<String> = (0..40).map(|i| format!("question number {i}")).collect();
    let completions = join_all(prompts.iter().map(|p| caller.chat("assistant", p, 8))).await;
    let streams = join_all(prompts.iter().map(|p| caller.stream("assistant", p, 8))).await;
    let mut texts = std::collections::BTreeSet::new();
    for (full_text, streamed) in completions.iter().zip(&streams) {
        let full_text = full_text.as_ref().unwrap().text();
        assert_eq!(full_text, streamed.as_ref().unwrap().text);
        texts.insert(full_text);
    }
    assert_eq!(texts.len(), prompts.len(), "each prompt has its own answer");
}

#[actix_rt::test]
async fn caller_that_leaves_cancels_its_run() {
    let mut spec = spec();
    for engine in &mut spec.engines {
        engine.settings.times.token_us = 50_000;
    }
    let cluster = start(spec).await;
    let caller = cluster.caller(0, "lodz");
    assert_eq!(
        caller.chat("assistant", PROMPT, 2).await.unwrap().status,
        StatusCode::OK
    );
    let cancelled_count = async || {
        let records = cluster.engine_records().await.unwrap();
        let requests = records.iter().flat_map(|r| &r.requests);
        requests
            .filter(|r| r.outcome == RequestOutcome::Cancelled)
            .count()
    };
    for (cancelled_before, stream) in [true, false].into_iter().enumerate() {
        let body = serde_json::json!({
            "model": "assistant", "prompt": PROMPT, "max_tokens": 60, "stream": stream,
        });
        let req = caller
            .request(Method::POST, "/v1/completions")
            .send_json(&body);
        let running = async || {
            let records = cluster.engine_records().await.unwrap();
            let mut requests = records.iter().flat_map(|r| &r.requests);
            requests.any(|r| r.outcome == RequestOutcome::Running)
        };
        tokio::select! {
            () = async { let _answer = req.await; std::future::pending::<()>().await } => {}
            result = until(LIMIT, "a running request", running) => result.unwrap(),
        }
        until(LIMIT, "a cancelled run", async || {
            cancelled_count().await > cancelled_before
        })
        .await
        .unwrap();
    }
    let idle = async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_in_flight", &[]) == 0.0
    };
    until(LIMIT, "an idle gate", idle).await.unwrap();
}
