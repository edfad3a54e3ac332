//! Streams that pause: sound ones that are slow, and stalled ones.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::config::Config;
use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance, platform, send_request, start,
    upstream_entry,
};
use tokio::time::Instant;

/// A configuration in which streams may take 8 s, and callers give them up after 4 s without an event.
fn config() -> Config {
    let mut config = platform::config(1);
    for route in config.routes.values_mut().flatten() {
        let route = Rc::make_mut(route);
        route.time_limit = Duration::from_secs(8);
        route.stream_idle_timeout = Duration::from_secs(4);
    }
    config
}

async fn start_with_engines(engines: &[&FakeUpstream]) -> TestInstance {
    let shared = SharedState::new();
    shared.publish_config(config());
    for engine in engines {
        shared.add_upstream(upstream_entry(engine, "llm", &["m1"]));
    }
    start(&shared, "i1").await
}

async fn stream(instance: &TestInstance, id: &str) -> Response {
    let extra = "x-model: m1\r\nx-deadline: 8000\r\n";
    send_request(instance.entry.addr(), "/tell/", id, extra).await
}

/// Guards against cutting a stream that is slow but sound where no other engine could continue it.
#[actix_rt::test]
async fn slow_stream_is_not_cut_where_no_other_engine_could_continue_it() {
    let step = ScriptStep::Events {
        last: 3,
        disconnects: false,
        interval: Duration::from_millis(2_200),
    };
    let engine = FakeUpstream::start("u1", &[step]).await;
    let instance = start_with_engines(&[&engine]).await;
    let res = stream(&instance, "slow").await;
    assert!(res.status == 200 && res.complete, "{res:?}");
    assert!(res.body.contains("e3"), "{res:?}");
    assert_eq!(engine.arrivals(), 1);
}

/// Guards against a stalled stream that is kept because a byte comes now and then.
#[actix_rt::test]
async fn stream_that_brings_no_event_but_bytes_goes_on_elsewhere() {
    let stalls = ScriptStep::EventsThenBytes {
        last: 2,
        interval: Duration::from_millis(200),
    };
    let goes_on = ScriptStep::Events {
        last: 4,
        disconnects: false,
        interval: Duration::from_millis(10),
    };
    let first = FakeUpstream::start("u1", &[stalls.clone(), goes_on.clone()]).await;
    let second = FakeUpstream::start("u2", std::slice::from_ref(&goes_on)).await;
    let instance = start_with_engines(&[&first, &second]).await;
    for n in 0.. {
        let began_at = Instant::now();
        let res = stream(&instance, &format!("stalled{n}")).await;
        assert!(res.status == 200 && res.complete, "{res:?}");
        assert!(res.body.contains("e4"), "{res:?}");
        assert!(began_at.elapsed() < Duration::from_secs(4));
        if first.arrivals() > 0 {
            return;
        }
    }
}

/// A stream that stays silent ends when its caller would give it up.
#[actix_rt::test]
async fn silent_stream_ends_after_the_time_that_callers_wait() {
    let engine = FakeUpstream::start("u1", &[ScriptStep::EventsThenSilence { last: 2 }]).await;
    let instance = start_with_engines(&[&engine]).await;
    let began_at = Instant::now();
    let res = stream(&instance, "silent").await;
    assert!(!res.complete, "{res:?}");
    let took = began_at.elapsed();
    assert!(
        (Duration::from_secs(4)..Duration::from_secs(6)).contains(&took),
        "{took:?}"
    );
}
