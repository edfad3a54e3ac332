//! Callers receive the whole answer to their own request, or are told.

mod support;

use comfreyweir_config::settings::Limits;
use support::{Engine, KEY, Play, ask, bench, call};

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
