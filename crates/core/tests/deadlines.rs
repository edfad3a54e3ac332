//! Every waiting request is served or refused in time, never dropped.

use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::future::join_all;
use support::{Answer, Caller, ClusterSpec, start, until};

mod support;

const LIMIT: Duration = Duration::from_secs(10);
/// Most refusals of an overload come within this time.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Time for an answer on its way back to a caller of this test, on a busy machine.
const WAY: Duration = Duration::from_millis(150);

fn spec(gates: usize) -> ClusterSpec {
    ClusterSpec::new(gates)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .workspace("large", 1_000_000, 1_000_000)
        .workspace("small", 1_000_000, 1_000_000)
}

async fn ask(caller: &Caller, model: &str, deadline: Duration) -> Answer {
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
    const PERIOD: Duration = Duration::from_secs(3);
    let mut spec = spec(2);
    // 2 slots of 10 tokens, 5 ms each, and 5 ms to the first: 36 requests a second.
    spec.engines[0].settings.slots = 2;
    spec.engines[0].settings.times.token_us = 5_000;
    let cluster = start(spec).await;
    for gate in 0..2 {
        let warm = ask(&cluster.caller(gate, "large"), "assistant", LIMIT).await;
        assert_eq!(warm.status, StatusCode::OK, "{:?}", warm.body);
    }
    let began = Instant::now();
    let mut asked = Vec::new();
    let mut number = 0;
    while began.elapsed() < PERIOD {
        // One in ten comes from the small workspace.
        let workspace = if number % 10 == 0 { "small" } else { "large" };
        let caller = cluster.caller(number % 2, workspace);
        asked.push(actix_rt::spawn(async move {
            (workspace, ask(&caller, "assistant", DEADLINE).await)
        }));
        number += 1;
        actix_rt::time::sleep_until(tokio::time::Instant::from_std(
            began + Duration::from_millis(9) * u32::try_from(number).unwrap(),
        ))
        .await;
    }
    let answers: Vec<(&str, Answer)> = join_all(asked)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    let served = |workspace: &str| {
        let of = answers.iter().filter(|(w, _)| *w == workspace);
        let ok = of
            .clone()
            .filter(|(_, a)| a.status == StatusCode::OK)
            .count();
        (ok, of.count())
    };
    let codes: std::collections::BTreeMap<String, usize> = answers.iter().fold(
        std::collections::BTreeMap::default(),
        |mut codes, (_, a)| {
            *codes
                .entry(format!("{} {} {}", a.status, a.code(), a.run()))
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
            answer.took <= DEADLINE + WAY,
            "late by {:?}: {answer:?}",
            answer.took
        );
        if answer.status != StatusCode::OK {
            assert!(answer.header("retry-after").is_some(), "{answer:?}");
            assert!(!answer.run().is_empty(), "{answer:?}");
        }
    }
    let refused = || answers.iter().filter(|(_, a)| a.status != StatusCode::OK);
    let at_once = refused().filter(|(_, a)| a.took <= AT_ONCE).count();
    assert!(
        at_once * 2 > refused().count(),
        "only {at_once} of {} refusals came at once",
        refused().count()
    );
    let (ok, all) = served("small");
    assert!(
        ok * 100 >= all * 95,
        "the small workspace got {ok} of {all}"
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
    // The first load shows how slow the store is: three seconds.
    let slow = ask(&caller, "assistant", LIMIT).await;
    assert_eq!(slow.status, StatusCode::OK, "{slow:?}");
    let answer = ask(&caller, "summary", Duration::from_millis(2_500)).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.code(), "deadline_exceeded");
    assert_eq!(answer.run(), "no");
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
    let waiting = async || {
        let metrics = cluster.metrics(0).await.unwrap();
        metrics.sum("comfreyweir_gate_waiting", &[])
    };
    let caller = cluster.caller(0, "small");
    {
        let asked = ask(&caller, "assistant", LIMIT);
        tokio::select! {
            answer = asked => panic!("answered: {answer:?}"),
            begun = until(LIMIT, "a waiting request", async || waiting().await > 0.0) => begun.unwrap(),
        }
    }
    drop(caller);
    let freed = async || waiting().await == 0.0;
    until(Duration::from_secs(2), "a free place", freed)
        .await
        .unwrap();
}
