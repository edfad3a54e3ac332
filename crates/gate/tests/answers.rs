//! Callers receive the whole answer to their own request, or are told.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_config::settings::Limits;
use support::{Engine, KEY, Play, ask, bench, call, until};
use tokio::{io::AsyncWriteExt, net::TcpStream};

#[actix_rt::test]
async fn whole_answer() {
    let engine = Engine::start(vec![Play::Answer { tokens: 3 }]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), false, "").await;
    assert_eq!(got.status, 200, "{got:?}");
    assert!(got.body.contains("t0 t1 t2 "), "{got:?}");
    let received = engine.received.borrow()[0].clone();
    assert!(!received.head.contains(KEY) && !received.body.contains(KEY));
    assert_eq!(received.header("x-workspace").as_deref(), Some("vans"));
    assert!(received.body.contains("\"model\":\"m@1\""));
}

#[actix_rt::test]
async fn streamed_answer() {
    let engine = Engine::start(vec![Play::Answer { tokens: 5 }]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), true, "").await;
    assert_eq!(got.tokens(), "t0 t1 t2 t3 t4 ");
    assert!(got.body.ends_with("data: [DONE]\n\n"), "{got:?}");
    assert!(!got.body.contains("usage"), "{got:?}");
}

#[actix_rt::test]
async fn models_of_the_workspace() {
    let bench = bench(&[], Limits::default()).await;
    let auth = format!("authorization: Bearer {KEY}\r\n");
    let got = call(bench.gate.addr(), "GET", "/v1/models", &auth, "").await;
    assert!(
        got.body.contains("\"m\"") && !got.body.contains("secret"),
        "{got:?}"
    );
}

#[actix_rt::test]
async fn half_an_answer_is_asked_for_again() {
    let engine = Engine::start(vec![Play::Half, Play::Close, Play::Answer { tokens: 3 }]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), false, "").await;
    assert_eq!(got.status, 200, "{got:?}");
    assert!(got.body.contains("t0 t1 t2 "), "{got:?}");
    assert_eq!(engine.runs(), 3);
}

#[actix_rt::test]
async fn request_that_did_not_run_is_sent_again() {
    let engine = Engine::start(vec![Play::NotRun, Play::Answer { tokens: 3 }]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), false, "").await;
    assert_eq!(got.status, 200, "{got:?}");
}

#[actix_rt::test]
async fn refusal_before_the_first_byte_says_not_run() {
    let engine = Engine::start(vec![Play::NotRun]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), false, "x-deadline-ms: 300\r\n").await;
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(got.error("run"), "no");
    assert!(got.head.contains("retry-after: "), "{got:?}");
}

#[actix_rt::test]
async fn refusal_after_the_first_byte_never_says_not_run() {
    for play in [Play::Silent, Play::Close, Play::Half, Play::Crossed] {
        for stream in [false, true] {
            let engine = Engine::start(vec![play, Play::NotRun]).await;
            let bench = bench(&[&engine], Limits::default()).await;
            let began = Instant::now();
            let got = ask(bench.gate.addr(), stream, "x-deadline-ms: 300\r\n").await;
            assert!(got.status >= 500, "{play:?}: {got:?}");
            assert!(began.elapsed() < Duration::from_secs(2), "{play:?}");
            assert_eq!(got.error("run"), "unknown", "{play:?}: {got:?}");
        }
    }
}

#[actix_rt::test]
async fn caller_that_leaves_its_queue_frees_tokens_and_demand() {
    let bench = bench(&[], Limits::default()).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 46\r\n\r\n"
    );
    let body = r#"{"model":"m","prompt":"hi there","n":1       }"#;
    let mut io = TcpStream::connect(bench.gate.addr()).await.unwrap();
    io.write_all(head.as_bytes()).await.unwrap();
    io.write_all(body.as_bytes()).await.unwrap();
    until("demand", || bench.view.waiting("m@1") == 1).await;
    drop(io);
    until("no demand", || bench.view.waiting("m@1") == 0).await;
    let tokens = bench.allowances.tokens("vans").unwrap();
    assert!(tokens >= 100_000.0, "{tokens}");
}

#[actix_rt::test]
async fn slow_caller_is_bounded_and_cut_off() {
    const MOST_BYTES: usize = 32 << 20;
    let engine = Engine::start(vec![Play::Endless]).await;
    let limits = Limits {
        stall_ms: 500,
        ..Limits::default()
    };
    let bench = bench(&[&engine], limits).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 45\r\n\r\n"
    );
    let mut io = TcpStream::connect(bench.gate.addr()).await.unwrap();
    io.write_all(head.as_bytes()).await.unwrap();
    let body = r#"{"model":"m","prompt":"hi","stream":true    }"#;
    io.write_all(body.as_bytes()).await.unwrap();
    // The caller reads nothing, so that the gate stops reading, and gives the caller up.
    until("the end of the run", || *engine.cancelled.borrow() == 1).await;
    assert!(*engine.sent.borrow() < MOST_BYTES);
}

/// Regression: chunks of engines that send no time had `created: null`, which clients reject.
#[actix_rt::test]
async fn streamed_chunks_carry_their_time() {
    let engine = Engine::start(vec![Play::Answer { tokens: 2 }]).await;
    let bench = bench(&[&engine], Limits::default()).await;
    let got = ask(bench.gate.addr(), true, "").await;
    let chunks = got.body.lines().filter_map(|l| l.strip_prefix("data: "));
    let chunks: Vec<serde_json::Value> = chunks
        .filter_map(|c| serde_json::from_str(c).ok())
        .collect();
    assert!(!chunks.is_empty(), "{got:?}");
    let times: Vec<_> = chunks.iter().map(|c| c["created"].as_u64()).collect();
    assert!(times[0].is_some_and(|t| t > 1_700_000_000), "{times:?}");
    assert!(times.iter().all(|t| *t == times[0]), "{times:?}");
}

/// Regression: a path with dot segments reached what lies outside its route's prefix at upstreams
/// that resolve them, also on routes that need no key.
#[actix_rt::test]
async fn paths_with_dot_segments_are_refused() {
    let bench = bench(&[], Limits::default()).await;
    let auth = format!("authorization: Bearer {KEY}\r\n");
    for path in [
        "/orders/../v1/models",
        "/orders/%2e%2e/v1/models",
        "/orders/.%2E/x",
        "/orders/a/./b",
        "/orders/..",
    ] {
        let got = call(bench.gate.addr(), "GET", path, &auth, "").await;
        assert_eq!(got.status, 400, "{path}: {got:?}");
    }
    for path in ["/orders/a..b", "/orders/.hidden", "/orders/x?to=../y"] {
        let got = call(bench.gate.addr(), "GET", path, &auth, "").await;
        assert_eq!(got.status, 404, "{path}: {got:?}");
    }
}
