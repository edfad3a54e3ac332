//! What is logged of entries that cannot be used. Apart from other tests, since a process has one
//! logger.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use comfreyweir_fleet::upstream::Upstream;
use spdlog::{Logger, formatter::JsonFormatter, sink::WriteSink};
use support::{
    FakeUpstream, SharedState, TestInstance, get, platform::config, start_with, upstream_entry,
    wait_until,
};

/// Most lines on ignored entries in the time of the test.
const MAX_LINES: usize = 20;
const MAX_LINE_BYTES: usize = 1_200;
const KEYS: usize = 40;
const WRITES: usize = 30;

async fn upstreams(instance: &TestInstance) -> u64 {
    let status = get(instance.entry.admin_addr(), "/status").await.body;
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    status["upstreams"].as_u64().unwrap()
}

/// Waits until the list has been read again, by an upstream that is listed in it.
async fn read_again(instance: &TestInstance, shared: &SharedState, upstream: &Upstream) {
    let before = upstreams(instance).await;
    shared.add_upstream(upstream.clone());
    wait_until("the list is read", async || {
        upstreams(instance).await > before
    })
    .await;
}

/// Guards against a line for each heartbeat of an entry that is ignored, and for each key of a writer
/// that always uses another one.
#[actix_rt::test]
async fn ignored_entries_are_logged_within_bounds() {
    let sink = Arc::new(
        WriteSink::builder()
            .target(Vec::new())
            .formatter(JsonFormatter::new())
            .build()
            .unwrap(),
    );
    let logger = Logger::builder().sink(Arc::clone(&sink) as _).build();
    spdlog::set_default_logger(Arc::new(logger.unwrap()));
    let lines = || {
        let logged = sink.with_target(|logged: &mut Vec<u8>| logged.clone());
        let logged = String::from_utf8(logged).unwrap();
        let lines = logged.lines().filter(|line| line.contains("is ignored"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };

    let upstream = FakeUpstream::start("u1", &[]).await;
    let listed = |n: usize| Upstream {
        id: format!("u{n}"),
        ..upstream_entry(&upstream, "plain", &[])
    };
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.add_upstream(listed(0));
    let instance = start_with(&shared, "e1", |settings| {
        settings.timing.drain_ms = 200;
    })
    .await;
    for n in 1..=WRITES {
        shared.write("servers/odd", Bytes::from(format!("odd {n}")), 0);
        read_again(&instance, &shared, &listed(n)).await;
    }
    assert_eq!(lines().len(), 1, "{:?}", lines());
    let long = "x".repeat(2_000);
    for n in 0..KEYS {
        shared.write(
            &format!("servers/odd{n}{long}"),
            Bytes::from(long.clone()),
            0,
        );
    }
    read_again(&instance, &shared, &listed(WRITES + 1)).await;
    assert!(lines().len() <= MAX_LINES, "{}", lines().len());
    assert!(lines().iter().all(|line| line.len() <= MAX_LINE_BYTES));
}
