//! Requests through one instance: what callers get, and what upstreams see.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::{
    config::RouteKind,
    upstream::{Holding, LoadedModel, Phase, Upstream},
};
use support::{
    Bench, FakeUpstream, Play, Shared, ask, get, platform::config, read, request, send, start,
    until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::Instant};

fn entry_of(fake: &FakeUpstream, service: &str, models: &[&str]) -> Upstream {
    let models = models.iter().map(|name| LoadedModel {
        name: (*name).to_owned(),
        adapters: Vec::new(),
    });
    Upstream {
        id: fake.id.clone(),
        service: service.to_owned(),
        addr: fake.addr,
        zone: "a".to_owned(),
        slots: 8,
        phase: Phase::Ready,
        born_ms: None,
        holds: Holding {
            models: models.collect(),
            ..Holding::default()
        },
    }
}

async fn bench(plain: &[&FakeUpstream], engines: &[(&FakeUpstream, &[&str])]) -> Bench {
    let shared = Shared::new();
    shared.configure(config(1));
    for fake in plain {
        shared.list(entry_of(fake, "plain", &[]));
    }
    for (fake, models) in engines {
        shared.list(entry_of(fake, "llm", models));
    }
    start(&shared, "e1").await
}

async fn fake(id: &str, script: &[Play]) -> FakeUpstream {
    FakeUpstream::start(id, script).await
}

#[actix_rt::test]
async fn request_and_answer_pass_unchanged() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&up], &[]).await;
    let got = ask(
        bench.entry.addr(),
        "/book/a%2e/b?x=1",
        "r1",
        "x-own: 7\r\nx-workspace: forged\r\n",
    )
    .await;
    assert_eq!(
        (got.status, got.body.as_str(), got.whole),
        (200, "served", true)
    );
    assert_eq!(got.header("x-seal").as_deref(), Some("u1"));
    assert_eq!(got.header("x-id").as_deref(), Some("r1"));
    let seen = up.request(0);
    assert!(
        seen.starts_with("POST /book/a%2e/b?x=1 HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    let header = |name| support::upstream::header(&seen, name);
    assert_eq!(header("x-own").as_deref(), Some("7"));
    assert_eq!(header("host").as_deref(), Some("h"));
    assert_eq!(header("x-workspace").as_deref(), Some("vans"));
    assert_eq!(header("x-expect").as_deref(), Some("u1"));
    assert!(!seen.contains("secret-key"));
    let left: u64 = header("x-deadline").unwrap().parse().unwrap();
    assert!(
        (1_500..=2_000).contains(&left),
        "the route's limit is below the deadline: {left}"
    );
}

#[actix_rt::test]
async fn wrong_requests_are_told_so() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&up], &[]).await;
    let addr = bench.entry.addr();
    assert_eq!(ask(addr, "/nowhere/", "r1", "").await.status, 404);
    let unknown =
        "POST /read/ HTTP/1.1\r\nhost: h\r\nx-id: r2\r\nx-key: no\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send(addr, unknown).await.status, 401);
    let without = "GET /read/ HTTP/1.1\r\nhost: h\r\nx-id: r3\r\n\r\n";
    assert_eq!(send(addr, without).await.status, 401);
    assert_eq!(up.arrivals(), 0);
}

#[actix_rt::test]
async fn instance_without_configuration_asks_to_come_back() {
    let shared = Shared::new();
    let settings = support::settings("e1");
    let platform = support::MemoryPlatform::new(Rc::clone(&shared));
    let ready = settings.listen.ready;
    let entry = comfreyweir_entry::spawn(settings, platform).await.unwrap();
    let got = ask(entry.addr(), "/read/", "r1", "").await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert_eq!(get(ready, "/-/ready").await.status, 503);
}

/// At most once: a request that an upstream may have run is not sent again, nor refused as not run.
#[actix_rt::test]
async fn booking_that_may_have_run_is_not_repeated() {
    let first = fake("u1", &[Play::Close]).await;
    let second = fake("u2", &[Play::Close]).await;
    let bench = bench(&[&first, &second], &[]).await;
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(got.status, 502);
    assert_eq!(first.arrivals() + second.arrivals(), 1);
}

#[actix_rt::test]
async fn read_that_fails_is_repeated_elsewhere() {
    let first = fake("u1", &[Play::Close]).await;
    let second = fake("u2", &[Play::Answer(500, "failed")]).await;
    let third = fake("u3", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&first, &second, &third], &[]).await;
    for i in 0..6 {
        let got = ask(bench.entry.addr(), "/read/", &format!("r{i}"), "").await;
        assert!(
            got.status == 200 || got.status == 500 || got.status == 502,
            "{got:?}"
        );
    }
    let failed = first.arrivals() + second.arrivals();
    assert!(
        third.arrivals() >= 3,
        "{failed} failed, {} served",
        third.arrivals()
    );
}

#[actix_rt::test]
async fn request_that_did_not_run_is_sent_elsewhere() {
    let full = fake("u1", &[Play::NotRun(503)]).await;
    let sound = fake("u2", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&full, &sound], &[]).await;
    for i in 0..4 {
        let got = ask(bench.entry.addr(), "/book/", &format!("r{i}"), "").await;
        assert_eq!(got.status, 200);
    }
}

#[actix_rt::test]
async fn refusal_after_all_turned_it_away_says_not_run_and_when_to_come_back() {
    let full = fake("u1", &[Play::NotRun(503)]).await;
    let bench = bench(&[&full], &[]).await;
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

/// Regression: an answer without a length was passed on as empty and whole.
#[actix_rt::test]
async fn answer_that_ends_with_its_connection_is_passed_on_whole() {
    let up = fake(
        "u1",
        &[Play::Unframed {
            body: "served",
            reset: false,
        }],
    )
    .await;
    let bench = bench(&[&up], &[]).await;
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!((got.status, got.body.as_str()), (200, "served"));
}

/// Regression: the same answer cut by a reset was passed on as whole.
#[actix_rt::test]
async fn answer_that_is_reset_is_not_whole() {
    let up = fake(
        "u1",
        &[Play::Unframed {
            body: "ser",
            reset: true,
        }],
    )
    .await;
    let bench = bench(&[&up], &[]).await;
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(got.status, 502);
}

#[actix_rt::test]
async fn answer_to_another_request_is_not_passed_on() {
    let up = fake("u1", &[Play::OtherId]).await;
    let bench = bench(&[&up], &[]).await;
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(got.status, 502);
    assert!(!got.body.contains("wrong"));
}

#[actix_rt::test]
async fn silent_upstream_is_given_up_at_the_limit_of_the_route() {
    let up = fake("u1", &[Play::Silent]).await;
    let bench = bench(&[&up], &[]).await;
    let begun = Instant::now();
    let got = ask(bench.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(got.status, 504);
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(2_450), "{took:?}");
}

#[actix_rt::test]
async fn caller_that_leaves_ends_its_request_upstream() {
    let up = fake("u1", &[Play::Silent]).await;
    let bench = bench(&[&up], &[]).await;
    let mut io = TcpStream::connect(bench.entry.addr()).await.unwrap();
    io.write_all(request("/book/", "r1", "").as_bytes())
        .await
        .unwrap();
    until("the request arrives", async || up.arrivals() == 1).await;
    drop(io);
    let begun = Instant::now();
    until("it is given up", async || up.record.borrow().closed == 1).await;
    assert!(
        begun.elapsed() < Duration::from_millis(450),
        "{:?}",
        begun.elapsed()
    );
}

const FAST: Duration = Duration::from_millis(5);

#[actix_rt::test]
async fn broken_stream_goes_on_at_another_engine_without_a_gap() {
    let broken = Play::Events {
        to: 3,
        breaks: true,
        gap: FAST,
    };
    let whole = Play::Events {
        to: 6,
        breaks: false,
        gap: FAST,
    };
    let first = fake("u1", &[broken.clone(), whole.clone()]).await;
    let second = fake("u2", &[broken, whole]).await;
    let bench = bench(&[], &[(&first, &["m1"]), (&second, &["m1"])]).await;
    // One engine breaks off first, the other when the stream goes on there: take each once.
    let got = ask(bench.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    let events: Vec<_> = got.body.lines().filter(|l| l.starts_with("data")).collect();
    let begun: Vec<_> = (1..=events.len()).map(|i| format!("data: e{i}")).collect();
    assert_eq!(events, begun, "no event is missing or comes twice");
    let resumed = [&first, &second]
        .into_iter()
        .flat_map(|u| u.record.borrow().requests.clone());
    let last: Vec<_> = resumed
        .filter_map(|r| support::upstream::header(&r, "x-last"))
        .collect();
    assert_eq!(last, ["3"]);
}

#[actix_rt::test]
async fn stream_that_cannot_go_on_does_not_look_whole() {
    let broken = Play::Events {
        to: 3,
        breaks: true,
        gap: FAST,
    };
    let only = fake("u1", &[broken]).await;
    let bench = bench(&[], &[(&only, &["m1"])]).await;
    let got = ask(
        bench.entry.addr(),
        "/tell/",
        "r1",
        "x-model: m1\r\nx-deadline: 900\r\n",
    )
    .await;
    assert_eq!(got.status, 200);
    assert!(!got.whole && got.body.ends_with("data: e3\n\n"), "{got:?}");
}

/// Pattern: a model is asked for that no engine holds.
#[actix_rt::test]
async fn model_that_no_engine_holds_is_loaded_for_the_request() {
    let whole = Play::Events {
        to: 3,
        breaks: false,
        gap: FAST,
    };
    let up = fake("u1", &[whole]).await;
    let bench = bench(&[], &[(&up, &["m1"])]).await;
    until("the planning duty is taken", async || {
        get(bench.entry.admin_addr(), "/status")
            .await
            .body
            .contains("\"placement_is_fresh\": true")
    })
    .await;
    let got = ask(bench.entry.addr(), "/tell/", "r1", "x-model: m2\r\n").await;
    assert_eq!((got.status, got.whole), (200, true), "{got:?}");
    let orders = bench.shared.orders.borrow();
    let ops: Vec<_> = orders
        .iter()
        .map(|(_, call)| format!("{:?}", call.order))
        .collect();
    assert!(
        ops[0].starts_with("Unload") && ops[1].starts_with("Load"),
        "{ops:?}"
    );
    let counts: Vec<_> = orders.iter().map(|(_, call)| call.expected).collect();
    assert_eq!(counts, [0, 1]);
    assert!(orders.iter().all(|(_, call)| call.fence > 0));
}

/// A version that was in force is never followed by an older one.
#[actix_rt::test]
async fn withdrawn_key_and_dropped_route_stop_and_stay_stopped() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&up], &[]).await;
    let addr = bench.entry.addr();
    assert_eq!(ask(addr, "/read/", "r1", "").await.status, 200);
    let mut newer = config(7);
    newer.keys.clear();
    bench.shared.configure(newer);
    until("the key is withdrawn", async || {
        ask(addr, "/read/", "r2", "").await.status == 401
    })
    .await;
    bench.shared.configure(config(6));
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(ask(addr, "/read/", "r3", "").await.status, 401);
}

#[actix_rt::test]
async fn leaving_upstream_gets_no_new_request() {
    let leaving = fake("u1", &[Play::Answer(200, "served")]).await;
    let stays = fake("u2", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&leaving, &stays], &[]).await;
    let mut entry = entry_of(&leaving, "plain", &[]);
    entry.phase = Phase::Draining(None);
    bench.shared.list(entry);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let before = leaving.arrivals();
    for i in 0..10 {
        assert_eq!(
            ask(bench.entry.addr(), "/read/", &format!("r{i}"), "")
                .await
                .status,
            200
        );
    }
    assert_eq!(leaving.arrivals(), before);
}

#[actix_rt::test]
async fn requests_are_served_while_the_store_is_down() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&up], &[]).await;
    bench.shared.is_down.set(true);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        ask(bench.entry.addr(), "/book/", "r1", "").await.status,
        200
    );
}

#[actix_rt::test]
async fn planned_stop_finishes_what_is_under_way() {
    let slow = Play::Events {
        to: 20,
        breaks: false,
        gap: Duration::from_millis(50),
    };
    let up = fake("u1", &[slow]).await;
    let bench = bench(&[], &[(&up, &["m1"])]).await;
    let addr = bench.entry.addr();
    let caller = actix_rt::spawn(async move { ask(addr, "/tell/", "r1", "x-model: m1\r\n").await });
    until("the request arrives", async || up.arrivals() == 1).await;
    let ready = bench.ready;
    let stopping = actix_rt::spawn(bench.entry.stop());
    until("it tells that it stops", async || {
        get(ready, "/-/ready").await.status == 503
    })
    .await;
    let got = caller.await.unwrap();
    assert!(got.whole && got.body.ends_with("data: e20\n\n"), "{got:?}");
    stopping.await.unwrap();
}

#[actix_rt::test]
async fn kept_connection_is_answered_to_the_end() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let bench = bench(&[&up], &[]).await;
    let mut io = TcpStream::connect(bench.entry.addr()).await.unwrap();
    for i in 0..3 {
        let text = request("/book/", &format!("r{i}"), "");
        io.write_all(text.as_bytes()).await.unwrap();
        assert_eq!(read(&mut io).await.status, 200);
    }
    assert_eq!(up.arrivals(), 3);
}

/// Regression: a request that still waited at the end of a planned stop got no answer.
#[actix_rt::test]
async fn request_that_waits_at_the_end_of_a_stop_is_refused() {
    let up = fake("u1", &[Play::Answer(200, "served")]).await;
    let shared = Shared::new();
    let mut routes = config(1);
    let patient = std::rc::Rc::new(comfreyweir_fleet::config::Route {
        stream_idle_timeout: Duration::from_secs(20),
        time_limit: Duration::from_secs(20),
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    });
    routes.routes.insert("h".to_owned(), vec![patient]);
    shared.configure(routes);
    shared.list(entry_of(&up, "llm", &["m1"]));
    let bench = support::start_with(&shared, "e1", |s| s.timing.grace_s = 2.0).await;
    let addr = bench.entry.addr();
    let extra = "x-model: unknown\r\nx-deadline: 20000\r\n";
    let caller = actix_rt::spawn(async move { ask(addr, "/tell/", "r1", extra).await });
    until("the request waits", async || {
        get(bench.entry.admin_addr(), "/status")
            .await
            .body
            .contains("\"in_flight\": 1")
    })
    .await;
    bench.entry.stop().await;
    let got = caller.await.unwrap();
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.header("retry-after").is_some());
}

/// At most one engine works on a stream: the silent one is left before another goes on.
///
/// Regression: its connection stayed open until the other had answered.
#[actix_rt::test]
async fn silent_engine_is_left_before_another_goes_on() {
    let first = fake("u1", &[Play::EventsThenSilence { to: 3 }]).await;
    let second = fake("u2", &[Play::Silent]).await;
    let shared = Shared::new();
    let mut patient = config(1);
    let route = comfreyweir_fleet::config::Route {
        time_limit: Duration::from_secs(10),
        stream_idle_timeout: Duration::from_secs(10),
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    };
    patient
        .routes
        .insert("h".to_owned(), vec![std::rc::Rc::new(route)]);
    shared.configure(patient);
    // Only one is listed at first, so that the stream begins there.
    shared.list(entry_of(&first, "llm", &["m1"]));
    let bench = start(&shared, "e1").await;
    let addr = bench.entry.addr();
    let extra = "x-model: m1\r\nx-deadline: 9000\r\n";
    let caller = actix_rt::spawn(async move { ask(addr, "/tell/", "r1", extra).await });
    until("the stream begins", async || first.arrivals() == 1).await;
    shared.list(entry_of(&second, "llm", &["m1"]));
    until("another goes on", async || second.arrivals() == 1).await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        first.record.borrow().closed,
        1,
        "the silent engine still has its connection"
    );
    caller.abort();
}
