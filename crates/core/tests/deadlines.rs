//! Every waiting request is served or refused before its deadline, never dropped.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::future::join_all;
use support::{Answer, Caller, ClusterSpec, start, until};

mod support;

const LIMIT: Duration = Duration::from_secs(10);
/// Under overload, more than half of the refusals have to arrive within this time.
const FAST_REFUSAL: Duration = Duration::from_millis(150);
/// Allowance for an answer to travel back to its caller on a busy machine.
const RETURN_TIME: Duration = Duration::from_millis(150);

fn spec(gates: usize) -> ClusterSpec {
    ClusterSpec::new(gates)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .workspace("large", 1_000_000, 1_000_000)
        .workspace("small", 1_000_000, 1_000_000)
}

async fn send_request(caller: &Caller, model: &str, deadline: Duration) -> Answer {
    let deadline = deadline.as_millis().to_string();
    let headers = [("x-deadline-ms", deadline.as_str())];
    let body = serde_json::json!({ "model": model, "prompt": "hi", "max_tokens": 10 });
    let body = Bytes::from(body.to_string());
    let answer = caller.send(Method::POST, "/v1/completions", &headers, body);
    answer.await.expect("no request is dropped")
}

#[actix_rt::test]
async fn overload_of_three_times_the_capacity_is_served_or_refused_in_time() {
    const DEADLINE: Duration = Duration::from_millis(800);
    const LOAD_DURATION: Duration = Duration::from_secs(3);
    let mut spec = spec(2);
    // A request takes 10 tokens of 5 ms, and 5 ms to the first token: 2 slots serve 36 requests per
    // second.
    spec.engines[0].settings.slots = 2;
    spec.engines[0].settings.times.token_us = 5_000;
    let cluster = start(spec).await;
    for gate in 0..2 {
        let warm = send_request(&cluster.caller(gate, "large"), "assistant", LIMIT).await;
        assert_eq!(warm.status, StatusCode::OK, "{:?}", warm.body);
    }
    let started = Instant::now();
    let mut requests = Vec::new();
    let mut number = 0;
    while started.elapsed() < LOAD_DURATION {
        // One request in ten comes from the small workspace.
        let workspace = if number % 10 == 0 { "small" } else { "large" };
        let caller = cluster.caller(number % 2, workspace);
        requests.push(actix_rt::spawn(async move {
            (
                workspace,
                send_request(&caller, "assistant", DEADLINE).await,
            )
        }));
        number += 1;
        actix_rt::time::sleep_until(tokio::time::Instant::from_std(
            started + Duration::from_millis(9) * u32::try_from(number).unwrap(),
        ))
        .await;
    }
    let answers: Vec<(&str, Answer)> = join_all(requests)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let served = |workspace: &str| {
        let workspace_answers = answers.iter().filter(|(w, _)| *w == workspace);
        let served_count = workspace_answers
            .clone()
            .filter(|(_, a)| a.status == StatusCode::OK)
            .count();
        (served_count, workspace_answers.count())
    };
    let codes: std::collections::BTreeMap<String, usize> = answers.iter().fold(
        std::collections::BTreeMap::default(),
        |mut codes, (_, a)| {
            *codes
                .entry(format!("{} {} {}", a.status, a.code(), a.run_status()))
                .or_default() += 1;
            codes
        },
    );
    println!(
        "small {:?}, large {:?}, {codes:?}",
        served("small"),
        served("large")
    );
    for (_, answer) in &answers {
        assert!(
            answer.took <= DEADLINE + RETURN_TIME,
            "late by {:?}: {answer:?}",
            answer.took
        );
        if answer.status != StatusCode::OK {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert!(!answer.run_status().is_empty(), "{answer:?}");
        }
    }
    let refused = || answers.iter().filter(|(_, a)| a.status != StatusCode::OK);
    let fast_refusals = refused().filter(|(_, a)| a.took <= FAST_REFUSAL).count();
    assert!(
        fast_refusals * 2 > refused().count(),
        "only {fast_refusals} of {} refusals were fast",
        refused().count()
    );
    let (served_count, total) = served("small");
    assert!(
        served_count * 100 >= total * 95,
        "the small workspace got {served_count} of {total}"
    );
    assert!(served("large").0 > 0);
}

#[actix_rt::test]
async fn load_that_takes_too_long_is_refused_as_soon_as_it_is_known() {
    let mut spec = spec(1).model("summary", 400, 1);
    spec.engines[0].settings.times.load_remote_ms = 300;
    spec.weights.slowdown = 10.0;
    let cluster = start(spec).await;
    let caller = cluster.caller(0, "small");
    // The first load takes three seconds, from which the gate estimates later loads.
    let slow = send_request(&caller, "assistant", LIMIT).await;
    assert_eq!(slow.status, StatusCode::OK, "{slow:?}");
    let answer = send_request(&caller, "summary", Duration::from_millis(2_500)).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.code(), "deadline_exceeded");
    assert_eq!(answer.run_status(), "no");
    assert!(
        answer.took < Duration::from_secs(1),
        "refused after {:?}",
        answer.took
    );
    assert!(answer.header("retry-after").is_some());
}

#[actix_rt::test]
async fn caller_that_leaves_while_it_waits_frees_its_place() {
    let mut spec = spec(1);
    spec.engines[0].settings.times.load_remote_ms = 60_000;
    let cluster = start(spec).await;
    let waiting_count = async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_waiting", &[])
    };
    let caller = cluster.caller(0, "small");
    {
        let request = send_request(&caller, "assistant", LIMIT);
        tokio::select! {
            answer = request => panic!("answered: {answer:?}"),
            result = until(LIMIT, "a waiting request", async || waiting_count().await > 0.0) => result.unwrap(),
        }
    }
    drop(caller);
    let freed = async || waiting_count().await == 0.0;
    until(Duration::from_secs(2), "a free place", freed)
        .await
        .unwrap();
}
