//! Streams that pause: sound ones that are slow, and stalled ones.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::config::Config;
use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance, platform, send_request, start,
    start_with, upstream_entry, wait_until,
};
use tokio::time::Instant;

/// Time that an engine takes to turn a stream away, in which its engine goes on.
const HANDOVER_TIME: Duration = Duration::from_millis(220);

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

fn shared_with_engines(engines: &[&FakeUpstream]) -> Rc<SharedState> {
    let shared = SharedState::new();
    shared.publish_config(config());
    for engine in engines {
        shared.add_upstream(upstream_entry(engine, "llm", &["m1"]));
    }
    shared
}

async fn start_with_engines(engines: &[&FakeUpstream]) -> TestInstance {
    start(&shared_with_engines(engines), "i1").await
}

/// A stream whose pauses are longer than those after which a stream is handed over.
fn slow_events(last: u64) -> ScriptStep {
    ScriptStep::Events {
        last,
        disconnects: false,
        interval: Duration::from_millis(2_200),
    }
}

async fn stream(instance: &TestInstance, id: &str) -> Response {
    let extra = "x-model: m1\r\nx-deadline: 8000\r\n";
    send_request(instance.entry.addr(), "/tell/", id, extra).await
}

/// Guards against cutting a stream that is slow but sound where no other engine could continue it.
#[actix_rt::test]
async fn slow_stream_is_not_cut_where_no_other_engine_could_continue_it() {
    let engine = FakeUpstream::start("u1", &[slow_events(3)]).await;
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

/// Guards against cutting a stream of a sound engine that pauses before it is known that another engine
/// takes the stream.
#[actix_rt::test]
async fn stalled_stream_stays_where_the_other_engine_turns_it_away() {
    let first = FakeUpstream::start("u1", &[slow_events(3)]).await;
    let second = FakeUpstream::start("u2", &[ScriptStep::NotRun(503)]).await;
    let instance = start_with_engines(&[&first, &second]).await;
    let res = stream(&instance, "turned-away").await;
    assert!(res.status == 200 && res.complete, "{res:?}");
    assert!(res.body.contains("e3"), "{res:?}");
    assert_eq!(first.arrivals(), 1);
}

/// Guards against cutting a stream that pauses because its key was withdrawn meanwhile.
#[actix_rt::test]
async fn stalled_stream_of_a_withdrawn_key_is_not_cut() {
    let engines = [
        FakeUpstream::start("u1", &[slow_events(3)]).await,
        FakeUpstream::start("u2", &[slow_events(3)]).await,
    ];
    let instance = start_with_engines(&[&engines[0], &engines[1]]).await;
    let addr = instance.entry.addr();
    let caller = actix_rt::spawn(async move {
        let extra = "x-model: m1\r\nx-deadline: 8000\r\n";
        send_request(addr, "/tell/", "withdrawn", extra).await
    });
    let arrivals = || engines.iter().map(FakeUpstream::arrivals).sum::<usize>();
    wait_until("the stream begins", async || arrivals() == 1).await;
    let mut newer = config();
    newer.version = 2;
    newer.keys.clear();
    instance.shared.publish_config(newer);
    wait_until("the key is withdrawn", async || {
        send_request(addr, "/tell/", "later", "x-model: m1\r\n")
            .await
            .status
            == 401
    })
    .await;
    let res = caller.await.unwrap();
    assert!(res.status == 200 && res.complete, "{res:?}");
    assert!(res.body.contains("e3"), "{res:?}");
    let observed = engines.iter().map(|engine| engine.observed.borrow());
    let sent: Vec<_> = observed.flat_map(|o| o.requests.clone()).collect();
    let sends = sent.iter().filter(|req| req.contains("withdrawn"));
    assert_eq!(sends.count(), 1, "{sent:?}");
}

/// Guards against cutting a stream that pauses because the retry budget is spent.
#[actix_rt::test]
async fn stalled_stream_is_not_cut_where_no_retry_is_left() {
    let engines = [
        FakeUpstream::start("u1", &[slow_events(3)]).await,
        FakeUpstream::start("u2", &[slow_events(3)]).await,
    ];
    let shared = shared_with_engines(&[&engines[0], &engines[1]]);
    let instance = start_with(&shared, "i1", |settings| {
        settings.repeats.ratio = 0.0;
        settings.repeats.extra = 0.0;
    })
    .await;
    let res = stream(&instance, "no-retry").await;
    assert!(res.status == 200 && res.complete, "{res:?}");
    assert!(res.body.contains("e3"), "{res:?}");
}

/// Guards against events that come twice or not at all when an engine goes on just as its stream is handed
/// over and turned away.
#[actix_rt::test]
async fn stream_that_goes_on_during_its_handover_is_whole() {
    let goes_on = ScriptStep::Events {
        last: 3,
        disconnects: false,
        interval: Duration::from_millis(1_650),
    };
    let first = FakeUpstream::start("u1", &[goes_on]).await;
    let turns_away = ScriptStep::After(HANDOVER_TIME, Box::new(ScriptStep::NotRun(503)));
    let second = FakeUpstream::start("u2", &[turns_away]).await;
    let shared = shared_with_engines(&[&first]);
    let instance = start(&shared, "i1").await;
    let addr = instance.entry.addr();
    let caller = actix_rt::spawn(async move {
        let extra = "x-model: m1\r\nx-deadline: 8000\r\n";
        send_request(addr, "/tell/", "goes-on", extra).await
    });
    wait_until("the stream begins", async || first.arrivals() == 1).await;
    shared.add_upstream(upstream_entry(&second, "llm", &["m1"]));
    let res = caller.await.unwrap();
    assert!(res.status == 200 && res.complete, "{res:?}");
    for event in ["e1", "e2", "e3"] {
        assert_eq!(res.body.matches(event).count(), 1, "{res:?}");
    }
    assert_eq!(first.arrivals(), 1);
    assert!(second.arrivals() >= 1);
}

/// Guards against ending a silent stream sooner than its caller wants: it lasts until the caller leaves, or
/// its time is over.
#[actix_rt::test]
async fn silent_stream_lasts_until_its_time_is_over() {
    let engine = FakeUpstream::start("u1", &[ScriptStep::EventsThenSilence { last: 2 }]).await;
    let instance = start_with_engines(&[&engine]).await;
    let began_at = Instant::now();
    let res = stream(&instance, "silent").await;
    assert!(!res.complete, "{res:?}");
    let took = began_at.elapsed();
    assert!(
        (Duration::from_secs(8)..Duration::from_secs(9)).contains(&took),
        "{took:?}"
    );
}

/// A caller that gives a silent stream up frees the engine at once.
#[actix_rt::test]
async fn silent_stream_ends_when_its_caller_leaves() {
    let engine = FakeUpstream::start("u1", &[ScriptStep::EventsThenSilence { last: 2 }]).await;
    let instance = start_with_engines(&[&engine]).await;
    let addr = instance.entry.addr();
    let caller = actix_rt::spawn(async move {
        let extra = "x-model: m1\r\nx-deadline: 8000\r\n";
        send_request(addr, "/tell/", "leaves", extra).await
    });
    wait_until("the stream begins", async || engine.arrivals() == 1).await;
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(engine.observed.borrow().closed_connections, 0);
    caller.abort();
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(engine.observed.borrow().closed_connections, 1);
}
