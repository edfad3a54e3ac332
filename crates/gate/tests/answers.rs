//! Callers receive the complete answer to their own request, or an error.

mod support;

use std::time::{Duration, Instant};

use comfreyweir_config::settings::RequestLimits;
use support::{
    KEY, ScriptStep, ScriptedEngine, request_completion, send_request, start_gate, wait_until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream};

#[actix_rt::test]
async fn complete_answer_is_passed_on() {
    let engine = ScriptedEngine::start(vec![ScriptStep::Answer { tokens: 3 }]).await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), false, "").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.contains("t0 t1 t2 "), "{response:?}");
    let received = engine.received.borrow()[0].clone();
    assert!(!received.head.contains(KEY) && !received.body.contains(KEY));
    assert_eq!(received.header("x-workspace").as_deref(), Some("vans"));
    assert!(received.body.contains("\"model\":\"m@1\""));
}

#[actix_rt::test]
async fn streamed_answer_is_passed_on() {
    let engine = ScriptedEngine::start(vec![ScriptStep::Answer { tokens: 5 }]).await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), true, "").await;
    assert_eq!(response.tokens(), "t0 t1 t2 t3 t4 ");
    assert!(response.body.ends_with("data: [DONE]\n\n"), "{response:?}");
    assert!(!response.body.contains("usage"), "{response:?}");
}

#[actix_rt::test]
async fn only_models_of_the_workspace_are_listed() {
    let setup = start_gate(&[], RequestLimits::default()).await;
    let auth = format!("authorization: Bearer {KEY}\r\n");
    let response = send_request(setup.gate.addr(), "GET", "/v1/models", &auth, "").await;
    assert!(
        response.body.contains("\"m\"") && !response.body.contains("secret"),
        "{response:?}"
    );
}

#[actix_rt::test]
async fn truncated_answer_is_requested_again() {
    let engine = ScriptedEngine::start(vec![
        ScriptStep::TruncatedAnswer,
        ScriptStep::Close,
        ScriptStep::Answer { tokens: 3 },
    ])
    .await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), false, "").await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.body.contains("t0 t1 t2 "), "{response:?}");
    assert_eq!(engine.request_count(), 3);
}

#[actix_rt::test]
async fn request_that_did_not_run_is_sent_again() {
    let engine =
        ScriptedEngine::start(vec![ScriptStep::NotRun, ScriptStep::Answer { tokens: 3 }]).await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), false, "").await;
    assert_eq!(response.status, 200, "{response:?}");
}

#[actix_rt::test]
async fn refusal_before_the_first_byte_says_not_run() {
    let engine = ScriptedEngine::start(vec![ScriptStep::NotRun]).await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), false, "x-deadline-ms: 300\r\n").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.error("run"), "no");
    assert!(response.head.contains("retry-after: "), "{response:?}");
}

#[actix_rt::test]
async fn refusal_after_the_first_byte_never_says_not_run() {
    for step in [
        ScriptStep::Silent,
        ScriptStep::Close,
        ScriptStep::TruncatedAnswer,
        ScriptStep::WrongRequestId,
    ] {
        for stream in [false, true] {
            let engine = ScriptedEngine::start(vec![step, ScriptStep::NotRun]).await;
            let setup = start_gate(&[&engine], RequestLimits::default()).await;
            let started = Instant::now();
            let response =
                request_completion(setup.gate.addr(), stream, "x-deadline-ms: 300\r\n").await;
            assert!(response.status >= 500, "{step:?}: {response:?}");
            assert!(started.elapsed() < Duration::from_secs(2), "{step:?}");
            assert_eq!(response.error("run"), "unknown", "{step:?}: {response:?}");
        }
    }
}

#[actix_rt::test]
async fn caller_that_leaves_the_queue_frees_tokens_and_demand() {
    let setup = start_gate(&[], RequestLimits::default()).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 46\r\n\r\n"
    );
    let body = r#"{"model":"m","prompt":"hi there","n":1       }"#;
    let mut io = TcpStream::connect(setup.gate.addr()).await.unwrap();
    io.write_all(head.as_bytes()).await.unwrap();
    io.write_all(body.as_bytes()).await.unwrap();
    wait_until("demand", || setup.view.waiting("m@1") == 1).await;
    drop(io);
    wait_until("no demand", || setup.view.waiting("m@1") == 0).await;
    let tokens = setup.allowances.tokens("vans").unwrap();
    assert!(tokens >= 100_000.0, "{tokens}");
}

#[actix_rt::test]
async fn caller_that_does_not_read_is_cut_off_with_bounded_buffering() {
    const MAX_BYTES_SENT: usize = 32 << 20;
    let engine = ScriptedEngine::start(vec![ScriptStep::Endless]).await;
    let limits = RequestLimits {
        stall_ms: 500,
        ..RequestLimits::default()
    };
    let setup = start_gate(&[&engine], limits).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 45\r\n\r\n"
    );
    let mut io = TcpStream::connect(setup.gate.addr()).await.unwrap();
    io.write_all(head.as_bytes()).await.unwrap();
    let body = r#"{"model":"m","prompt":"hi","stream":true    }"#;
    io.write_all(body.as_bytes()).await.unwrap();
    // The caller reads nothing: the gate must stop reading from the engine and then drop the
    // caller.
    wait_until("the engine call is cancelled", || {
        *engine.closed_by_gate.borrow() == 1
    })
    .await;
    assert!(*engine.bytes_sent.borrow() < MAX_BYTES_SENT);
}

/// Regression: for engines that send no `created` time, chunks had `created: null`, which clients
/// reject.
#[actix_rt::test]
async fn streamed_chunks_carry_a_creation_time() {
    let engine = ScriptedEngine::start(vec![ScriptStep::Answer { tokens: 2 }]).await;
    let setup = start_gate(&[&engine], RequestLimits::default()).await;
    let response = request_completion(setup.gate.addr(), true, "").await;
    let chunks = response
        .body
        .lines()
        .filter_map(|l| l.strip_prefix("data: "));
    let chunks: Vec<serde_json::Value> = chunks
        .filter_map(|c| serde_json::from_str(c).ok())
        .collect();
    assert!(!chunks.is_empty(), "{response:?}");
    let times: Vec<_> = chunks.iter().map(|c| c["created"].as_u64()).collect();
    assert!(times[0].is_some_and(|t| t > 1_700_000_000), "{times:?}");
    assert!(times.iter().all(|t| *t == times[0]), "{times:?}");
}

/// Regression: a path with dot segments reached resources outside its route's prefix at upstreams
/// that resolve such segments, also on routes that need no key.
#[actix_rt::test]
async fn paths_with_dot_segments_are_refused() {
    let setup = start_gate(&[], RequestLimits::default()).await;
    let auth = format!("authorization: Bearer {KEY}\r\n");
    for path in [
        "/orders/../v1/models",
        "/orders/%2e%2e/v1/models",
        "/orders/.%2E/x",
        "/orders/a/./b",
        "/orders/..",
    ] {
        let response = send_request(setup.gate.addr(), "GET", path, &auth, "").await;
        assert_eq!(response.status, 400, "{path}: {response:?}");
    }
    for path in ["/orders/a..b", "/orders/.hidden", "/orders/x?to=../y"] {
        let response = send_request(setup.gate.addr(), "GET", path, &auth, "").await;
        assert_eq!(response.status, 404, "{path}: {response:?}");
    }
}
