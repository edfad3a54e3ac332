//! Requests through one instance: what callers receive and what upstreams see.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::{config::RouteKind, upstream::Phase};
use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, get, platform::config, read_response,
    request_text, send_raw, send_request, start, upstream_entry, wait_until,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::Instant};

async fn start_instance(
    plain: &[&FakeUpstream],
    engines: &[(&FakeUpstream, &[&str])],
) -> TestInstance {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    for upstream in plain {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    for (upstream, models) in engines {
        shared.add_upstream(upstream_entry(upstream, "llm", models));
    }
    start(&shared, "e1").await
}

async fn start_upstream(id: &str, script: &[ScriptStep]) -> FakeUpstream {
    FakeUpstream::start(id, script).await
}

#[actix_rt::test]
async fn request_and_answer_pass_unchanged() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let response = send_request(
        instance.entry.addr(),
        "/book/a%2e/b?x=1",
        "r1",
        "x-own: 7\r\nx-workspace: forged\r\n",
    )
    .await;
    assert_eq!(
        (response.status, response.body.as_str(), response.complete),
        (200, "served", true)
    );
    assert_eq!(response.header("x-seal").as_deref(), Some("u1"));
    assert_eq!(response.header("x-id").as_deref(), Some("r1"));
    let seen = upstream.request(0);
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
    let remaining_ms: u64 = header("x-deadline").unwrap().parse().unwrap();
    assert!(
        (1_500..=2_000).contains(&remaining_ms),
        "the route's limit is below the deadline: {remaining_ms}"
    );
}

#[actix_rt::test]
async fn requests_without_route_or_valid_key_are_refused() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let addr = instance.entry.addr();
    assert_eq!(send_request(addr, "/nowhere/", "r1", "").await.status, 404);
    let unknown_key =
        "POST /read/ HTTP/1.1\r\nhost: h\r\nx-id: r2\r\nx-key: no\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(send_raw(addr, unknown_key).await.status, 401);
    let without_key = "GET /read/ HTTP/1.1\r\nhost: h\r\nx-id: r3\r\n\r\n";
    assert_eq!(send_raw(addr, without_key).await.status, 401);
    assert_eq!(upstream.arrivals(), 0);
}

#[actix_rt::test]
async fn instance_without_configuration_answers_503_with_retry_after() {
    let shared = SharedState::new();
    let settings = support::settings("e1");
    let platform = support::MemoryPlatform::new(Rc::clone(&shared), "e1");
    let ready = settings.listen.ready;
    let entry = comfreyweir_entry::spawn(settings, platform).await.unwrap();
    let response = send_request(entry.addr(), "/read/", "r1", "").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(get(ready, "/-/ready").await.status, 503);
}

/// A non-idempotent request that an upstream may have run is neither sent again nor refused as not
/// run.
#[actix_rt::test]
async fn booking_that_may_have_run_is_not_repeated() {
    let first = start_upstream("u1", &[ScriptStep::Close]).await;
    let second = start_upstream("u2", &[ScriptStep::Close]).await;
    let instance = start_instance(&[&first, &second], &[]).await;
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(response.status, 502);
    assert_eq!(first.arrivals() + second.arrivals(), 1);
}

#[actix_rt::test]
async fn failed_read_is_retried_at_another_upstream() {
    let first = start_upstream("u1", &[ScriptStep::Close]).await;
    let second = start_upstream("u2", &[ScriptStep::Answer(500, "failed")]).await;
    let third = start_upstream("u3", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&first, &second, &third], &[]).await;
    for i in 0..6 {
        let response = send_request(instance.entry.addr(), "/read/", &format!("r{i}"), "").await;
        assert!(
            response.status == 200 || response.status == 500 || response.status == 502,
            "{response:?}"
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
    let full = start_upstream("u1", &[ScriptStep::NotRun(503)]).await;
    let healthy = start_upstream("u2", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&full, &healthy], &[]).await;
    for i in 0..4 {
        let response = send_request(instance.entry.addr(), "/book/", &format!("r{i}"), "").await;
        assert_eq!(response.status, 200);
    }
}

#[actix_rt::test]
async fn refusal_after_all_turned_it_away_says_not_run_and_when_to_come_back() {
    let full = start_upstream("u1", &[ScriptStep::NotRun(503)]).await;
    let instance = start_instance(&[&full], &[]).await;
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

/// Regression: an answer without a declared length was passed on as empty and complete.
#[actix_rt::test]
async fn answer_that_ends_with_its_connection_is_passed_on_whole() {
    let upstream = start_upstream(
        "u1",
        &[ScriptStep::Unframed {
            body: "served",
            reset: false,
        }],
    )
    .await;
    let instance = start_instance(&[&upstream], &[]).await;
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!((response.status, response.body.as_str()), (200, "served"));
}

/// Regression: an answer without a declared length that was cut by a reset was passed on as
/// complete.
#[actix_rt::test]
async fn answer_that_is_reset_is_not_whole() {
    let upstream = start_upstream(
        "u1",
        &[ScriptStep::Unframed {
            body: "ser",
            reset: true,
        }],
    )
    .await;
    let instance = start_instance(&[&upstream], &[]).await;
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(response.status, 502);
}

#[actix_rt::test]
async fn answer_to_another_request_is_not_passed_on() {
    let upstream = start_upstream("u1", &[ScriptStep::WrongRequestId]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(response.status, 502);
    assert!(!response.body.contains("wrong"));
}

#[actix_rt::test]
async fn silent_upstream_is_given_up_at_the_limit_of_the_route() {
    let upstream = start_upstream("u1", &[ScriptStep::Silent]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let started = Instant::now();
    let response = send_request(instance.entry.addr(), "/book/", "r1", "").await;
    assert_eq!(response.status, 504);
    let took = started.elapsed();
    assert!(took < Duration::from_millis(2_450), "{took:?}");
}

#[actix_rt::test]
async fn caller_that_leaves_ends_its_request_upstream() {
    let upstream = start_upstream("u1", &[ScriptStep::Silent]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    io.write_all(request_text("/read/", "r1", "").as_bytes())
        .await
        .unwrap();
    wait_until("the request arrives", async || upstream.arrivals() == 1).await;
    drop(io);
    let started = Instant::now();
    wait_until("the upstream connection is closed", async || {
        upstream.observed.borrow().closed_connections == 1
    })
    .await;
    assert!(
        started.elapsed() < Duration::from_millis(450),
        "{:?}",
        started.elapsed()
    );
}

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

#[actix_rt::test]
async fn broken_stream_goes_on_at_another_engine_without_a_gap() {
    let interrupted = ScriptStep::Events {
        last: 3,
        disconnects: true,
        interval: EVENT_INTERVAL,
    };
    let complete = ScriptStep::Events {
        last: 6,
        disconnects: false,
        interval: EVENT_INTERVAL,
    };
    let first = start_upstream("u1", &[interrupted.clone(), complete.clone()]).await;
    let second = start_upstream("u2", &[interrupted, complete]).await;
    let instance = start_instance(&[], &[(&first, &["m1"]), (&second, &["m1"])]).await;
    // Either engine may be chosen first, so both scripts begin with a stream that breaks after
    // event 3.
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    let events: Vec<_> = response
        .body
        .lines()
        .filter(|l| l.starts_with("data"))
        .collect();
    let expected: Vec<_> = (1..=events.len()).map(|i| format!("data: e{i}")).collect();
    assert_eq!(events, expected, "an event is missing or comes twice");
    let requests = [&first, &second]
        .into_iter()
        .flat_map(|u| u.observed.borrow().requests.clone());
    let resume_positions: Vec<_> = requests
        .filter_map(|r| support::upstream::header(&r, "x-last"))
        .collect();
    assert_eq!(resume_positions, ["3"]);
}

#[actix_rt::test]
async fn stream_that_cannot_go_on_does_not_look_whole() {
    let interrupted = ScriptStep::Events {
        last: 3,
        disconnects: true,
        interval: EVENT_INTERVAL,
    };
    let only = start_upstream("u1", &[interrupted]).await;
    let instance = start_instance(&[], &[(&only, &["m1"])]).await;
    let response = send_request(
        instance.entry.addr(),
        "/tell/",
        "r1",
        "x-model: m1\r\nx-deadline: 900\r\n",
    )
    .await;
    assert_eq!(response.status, 200);
    assert!(
        !response.complete && response.body.ends_with("data: e3\n\n"),
        "{response:?}"
    );
}

/// Guards against a stream without a length that its engine broke off being ended as complete.
#[actix_rt::test]
async fn unframed_stream_that_breaks_off_goes_on_at_another_engine() {
    let script = [ScriptStep::UnframedEvents {
        last: 6,
        breaks_off_after: Some(3),
        content_type: EVENT_STREAM,
    }];
    let first = start_upstream("u1", &script).await;
    let second = start_upstream("u2", &script).await;
    let instance = start_instance(&[], &[(&first, &["m1"]), (&second, &["m1"])]).await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    let events = (1..=6).map(|i| format!("id: {i}\ndata: e{i}\n\n"));
    assert_eq!(response.body, events.collect::<String>());
    assert!(response.complete, "{response:?}");
    assert_eq!((first.arrivals(), second.arrivals()), (1, 1));
}

/// Guards against a stream whose answer names no media type being ended as complete when its engine
/// broke it off.
#[actix_rt::test]
async fn stream_without_a_media_type_goes_on_at_another_engine() {
    let script = [ScriptStep::UnframedEvents {
        last: 6,
        breaks_off_after: Some(3),
        content_type: "",
    }];
    let first = start_upstream("u1", &script).await;
    let second = start_upstream("u2", &script).await;
    let instance = start_instance(&[], &[(&first, &["m1"]), (&second, &["m1"])]).await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    assert!(
        response.complete && response.body.ends_with("data: e6\n\n"),
        "{response:?}"
    );
    assert_eq!((first.arrivals(), second.arrivals()), (1, 1));
}

/// An answer of another media type on a stream's route is passed on as it is.
#[actix_rt::test]
async fn answer_that_is_no_event_stream_may_end_anywhere() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "no events")]).await;
    let instance = start_instance(&[], &[(&upstream, &["m1"])]).await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    assert_eq!(
        (response.body.as_str(), response.complete),
        ("no events", true)
    );
}

/// Guards against a stream that may not be resumed being ended as complete after its engine broke
/// off.
#[actix_rt::test]
async fn unframed_stream_that_may_not_go_on_does_not_look_whole() {
    let interrupted = ScriptStep::UnframedEvents {
        last: 6,
        breaks_off_after: Some(3),
        content_type: EVENT_STREAM,
    };
    let upstream = start_upstream("u1", &[interrupted]).await;
    let shared = SharedState::new();
    let mut once_config = config(1);
    let route = comfreyweir_fleet::config::Route {
        is_resumable: false,
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    };
    once_config
        .routes
        .insert("h".to_owned(), vec![Rc::new(route)]);
    shared.publish_config(once_config);
    shared.add_upstream(upstream_entry(&upstream, "llm", &["m1"]));
    let instance = start(&shared, "e1").await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    assert_eq!(
        (response.status, response.complete),
        (200, false),
        "{response:?}"
    );
    assert_eq!(upstream.arrivals(), 1);
}

/// A model must not stay unloaded because no engine holds it when its first request arrives.
#[actix_rt::test]
async fn model_that_no_engine_holds_is_loaded_for_the_request() {
    let complete = ScriptStep::Events {
        last: 3,
        disconnects: false,
        interval: EVENT_INTERVAL,
    };
    let upstream = start_upstream("u1", &[complete]).await;
    let instance = start_instance(&[], &[(&upstream, &["m1"])]).await;
    wait_until("an instance holds the planning duty", async || {
        get(instance.entry.admin_addr(), "/status")
            .await
            .body
            .contains("\"placement_is_fresh\": true")
    })
    .await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m2\r\n").await;
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    let orders = instance.shared.orders.borrow();
    let order_texts: Vec<_> = orders
        .iter()
        .map(|(_, call)| format!("{:?}", call.order))
        .collect();
    assert!(
        order_texts[0].starts_with("Unload") && order_texts[1].starts_with("Load"),
        "{order_texts:?}"
    );
    let counts: Vec<_> = orders.iter().map(|(_, call)| call.expected).collect();
    assert_eq!(counts, [0, 1]);
    assert!(orders.iter().all(|(_, call)| call.fence > 0));
}

/// An older configuration never replaces a newer one that was in force.
#[actix_rt::test]
async fn withdrawn_key_and_dropped_route_stop_and_stay_stopped() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let addr = instance.entry.addr();
    assert_eq!(send_request(addr, "/read/", "r1", "").await.status, 200);
    let mut newer = config(7);
    newer.keys.clear();
    instance.shared.publish_config(newer);
    wait_until("the key is withdrawn", async || {
        send_request(addr, "/read/", "r2", "").await.status == 401
    })
    .await;
    instance.shared.publish_config(config(6));
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(send_request(addr, "/read/", "r3", "").await.status, 401);
}

#[actix_rt::test]
async fn leaving_upstream_gets_no_new_request() {
    let leaving = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let stays = start_upstream("u2", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&leaving, &stays], &[]).await;
    let mut entry = upstream_entry(&leaving, "plain", &[]);
    entry.phase = Phase::Draining(None);
    instance.shared.add_upstream(entry);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let before = leaving.arrivals();
    for i in 0..10 {
        assert_eq!(
            send_request(instance.entry.addr(), "/read/", &format!("r{i}"), "")
                .await
                .status,
            200
        );
    }
    assert_eq!(leaving.arrivals(), before);
}

#[actix_rt::test]
async fn requests_are_served_while_the_store_is_down() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    instance.shared.store_is_down.set(true);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(
        send_request(instance.entry.addr(), "/book/", "r1", "")
            .await
            .status,
        200
    );
}

#[actix_rt::test]
async fn planned_stop_finishes_what_is_under_way() {
    let slow = ScriptStep::Events {
        last: 20,
        disconnects: false,
        interval: Duration::from_millis(50),
    };
    let upstream = start_upstream("u1", &[slow]).await;
    let instance = start_instance(&[], &[(&upstream, &["m1"])]).await;
    let addr = instance.entry.addr();
    let caller =
        actix_rt::spawn(async move { send_request(addr, "/tell/", "r1", "x-model: m1\r\n").await });
    wait_until("the request arrives", async || upstream.arrivals() == 1).await;
    let ready = instance.ready;
    let stopping = actix_rt::spawn(instance.entry.stop());
    wait_until("the readiness check reports the stop", async || {
        get(ready, "/-/ready").await.status == 503
    })
    .await;
    let response = caller.await.unwrap();
    assert!(
        response.complete && response.body.ends_with("data: e20\n\n"),
        "{response:?}"
    );
    stopping.await.unwrap();
}

#[actix_rt::test]
async fn keep_alive_connection_serves_several_requests() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    for i in 0..3 {
        let text = request_text("/book/", &format!("r{i}"), "");
        io.write_all(text.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut io).await.status, 200);
    }
    assert_eq!(upstream.arrivals(), 3);
}

/// Regression: a request still queued at the end of a planned stop got no answer.
#[actix_rt::test]
async fn request_that_waits_at_the_end_of_a_stop_is_refused() {
    let upstream = start_upstream("u1", &[ScriptStep::Answer(200, "served")]).await;
    let shared = SharedState::new();
    let mut initial_config = config(1);
    let route = std::rc::Rc::new(comfreyweir_fleet::config::Route {
        stream_idle_timeout: Duration::from_secs(20),
        time_limit: Duration::from_secs(20),
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    });
    initial_config.routes.insert("h".to_owned(), vec![route]);
    shared.publish_config(initial_config);
    shared.add_upstream(upstream_entry(&upstream, "llm", &["m1"]));
    let instance = support::start_with(&shared, "e1", |s| s.timing.grace_s = 2.0).await;
    let addr = instance.entry.addr();
    let extra = "x-model: unknown\r\nx-deadline: 20000\r\n";
    let caller = actix_rt::spawn(async move { send_request(addr, "/tell/", "r1", extra).await });
    wait_until("the request is queued", async || {
        get(instance.entry.admin_addr(), "/status")
            .await
            .body
            .contains("\"in_flight\": 1")
    })
    .await;
    instance.entry.stop().await;
    let response = caller.await.unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some());
}

/// Two engines work on a stream for 400 ms at most: the connection to a silent engine is closed soon after
/// another engine has the stream.
///
/// Regression: that connection stayed open until the other engine had answered.
#[actix_rt::test]
async fn silent_engine_is_disconnected_soon_after_stream_goes_on_elsewhere() {
    let first = start_upstream("u1", &[ScriptStep::EventsThenSilence { last: 3 }]).await;
    let second = start_upstream("u2", &[ScriptStep::Silent]).await;
    let shared = SharedState::new();
    let mut initial_config = config(1);
    let route = comfreyweir_fleet::config::Route {
        time_limit: Duration::from_secs(10),
        stream_idle_timeout: Duration::from_secs(10),
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    };
    initial_config
        .routes
        .insert("h".to_owned(), vec![std::rc::Rc::new(route)]);
    shared.publish_config(initial_config);
    // Only the first engine is listed at the start, so that the stream begins there.
    shared.add_upstream(upstream_entry(&first, "llm", &["m1"]));
    let instance = start(&shared, "e1").await;
    let addr = instance.entry.addr();
    let extra = "x-model: m1\r\nx-deadline: 9000\r\n";
    let caller = actix_rt::spawn(async move { send_request(addr, "/tell/", "r1", extra).await });
    wait_until("the stream begins", async || first.arrivals() == 1).await;
    shared.add_upstream(upstream_entry(&second, "llm", &["m1"]));
    wait_until("another engine resumes the stream", async || {
        second.arrivals() == 1
    })
    .await;
    let arrived_at = second.observed.borrow().times[0];
    actix_rt::time::sleep_until(arrived_at + Duration::from_millis(400)).await;
    assert_eq!(
        first.observed.borrow().closed_connections,
        1,
        "the connection to the silent engine is still open"
    );
    caller.abort();
}

/// A request whose only engine has failed it waits for another engine. Requests behind it that may
/// use the engine must not wait with it.
#[actix_rt::test]
async fn request_that_avoids_an_engine_does_not_hold_up_others() {
    let complete = ScriptStep::Events {
        last: 3,
        disconnects: false,
        interval: EVENT_INTERVAL,
    };
    let upstream = start_upstream("u1", &[ScriptStep::Close, complete]).await;
    let shared = SharedState::new();
    let mut patient_config = config(1);
    let route = std::rc::Rc::new(comfreyweir_fleet::config::Route {
        first_byte_goal: Duration::from_secs(10),
        ..support::platform::route("/tell/", RouteKind::Stream, "llm")
    });
    patient_config.routes.insert("h".to_owned(), vec![route]);
    shared.publish_config(patient_config);
    shared.add_upstream(upstream_entry(&upstream, "llm", &["m1"]));
    let instance = start(&shared, "e1").await;
    let addr = instance.entry.addr();
    let first =
        actix_rt::spawn(async move { send_request(addr, "/tell/", "r1", "x-model: m1\r\n").await });
    wait_until("the engine has failed the first request", async || {
        upstream.observed.borrow().closed_connections == 1
    })
    .await;
    let started = tokio::time::Instant::now();
    let second = send_request(addr, "/tell/", "r2", "x-model: m1\r\n").await;
    assert_eq!((second.status, second.complete), (200, true), "{second:?}");
    assert!(
        started.elapsed() < Duration::from_secs(1),
        "{:?}",
        started.elapsed()
    );
    let first = first.await.unwrap();
    assert_ne!(first.status, 200, "{first:?}");
}

/// Guards against a caller that keeps the processor busy with bytes that belong to no body.
#[actix_rt::test]
async fn chunk_header_of_a_caller_without_end_closes_its_connection() {
    let upstream = start_upstream("u1", &[]).await;
    let instance = start_instance(&[&upstream], &[]).await;
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    let head = "POST /read/ HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: secret-key\r\n\
                transfer-encoding: chunked\r\n\r\n1;";
    io.write_all(head.as_bytes()).await.unwrap();
    let piece = vec![b'a'; 64 << 10];
    let began_at = Instant::now();
    while io.write_all(&piece).await.is_ok() {
        let elapsed = began_at.elapsed();
        assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
    }
    assert_eq!(upstream.arrivals(), 0);
}
