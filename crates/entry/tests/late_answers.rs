//! Answers too many: an upstream writes one on a kept connection, so that it arrives where the next
//! request's answer is expected.

mod support;

use std::{rc::Rc, time::Duration};

use comfreyweir_fleet::config::RouteKind;
use futures_util::future::join_all;
use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance,
    platform::{config, route},
    send_request, start, upstream_entry,
};

/// An answer that says that the request did not run, without an identifier.
const REFUSAL: &str = "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const UNMARKED_REFUSAL: &str = "HTTP/1.1 503 No\r\nretry-after: 9\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n";
const SEALED: &str = "HTTP/1.1 200 OK\r\nx-seal: u1\r\ncontent-length: 7\r\n\r\nanother";
/// Answers to the request r1.
const REFUSAL_OF_R1: &str =
    "HTTP/1.1 503 No\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const SEALED_OF_R1: &str =
    "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: u1\r\ncontent-length: 7\r\n\r\nanother";
/// The refusal of the request that it is written for.
const OWN_REFUSAL: &str =
    "HTTP/1.1 503 No\r\nx-id: ID\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const EXTRA_ANSWERS: [&str; 6] = [
    REFUSAL,
    UNMARKED_REFUSAL,
    MISDIRECTED,
    SEALED,
    REFUSAL_OF_R1,
    SEALED_OF_R1,
];

const SERVED: ScriptStep = ScriptStep::Answer(200, "served");
/// Answers after a moment, so that several connections are in use at once.
const SERVED_LATER: ScriptStep = ScriptStep::AnswerThenExtra {
    takes: Duration::from_millis(50),
    extra: "",
    after: Duration::ZERO,
};
const MODEL: &str = "x-model: m1\r\n";

async fn start_instance(plain: &[&FakeUpstream], engines: &[&FakeUpstream]) -> TestInstance {
    let shared = SharedState::new();
    let mut config = config(1);
    let once = route("/once/", RouteKind::NonIdempotent, "llm");
    config.routes.get_mut("h").unwrap().push(Rc::new(once));
    shared.publish_config(config);
    for upstream in plain {
        shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    }
    for upstream in engines {
        shared.add_upstream(upstream_entry(upstream, "llm", &["m1"]));
    }
    start(&shared, "e1").await
}

async fn book(instance: &TestInstance, id: &str) -> Response {
    send_request(instance.entry.addr(), "/book/", id, "").await
}

/// Guards against an answer without an identifier, on a kept connection, being taken for that of the
/// request that was just sent: callers were told that it had not run though it ran, or got the answer
/// to another request.
#[actix_rt::test]
async fn late_answer_is_not_taken_for_that_of_the_next_booking() {
    let mut wrong = Vec::new();
    for extra in EXTRA_ANSWERS {
        for after_ms in [0, 5, 20] {
            let after = Duration::from_millis(after_ms);
            let script = [SERVED, ScriptStep::ExtraThenAnswer { extra, after }];
            let upstream = FakeUpstream::start("u1", &script).await;
            let instance = start_instance(&[&upstream], &[]).await;
            assert_eq!(book(&instance, "r1").await.status, 200);
            let response = book(&instance, "r2").await;
            if response.status != 502 || upstream.arrivals() != 2 {
                wrong.push((extra, after, response, upstream.arrivals()));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a late refusal without an identifier being believed, so that a booking that runs
/// was sent to a second upstream.
#[actix_rt::test]
async fn booking_that_meets_a_late_refusal_is_not_sent_to_a_second_upstream() {
    for extra in [REFUSAL, MISDIRECTED, REFUSAL_OF_R1] {
        let after = Duration::ZERO;
        let script = [SERVED, ScriptStep::ExtraThenAnswer { extra, after }];
        let first = FakeUpstream::start("u1", &script).await;
        let second = FakeUpstream::start("u2", &script).await;
        let instance = start_instance(&[&first, &second], &[]).await;
        for n in 1..=6 {
            book(&instance, &format!("r{n}")).await;
            assert_eq!(first.arrivals() + second.arrivals(), n, "{extra:?}");
        }
    }
}

/// Guards against answers that come together with another one, or shortly after it, on a connection
/// that is used again at once.
#[actix_rt::test]
async fn answer_written_right_after_another_is_not_taken_for_that_of_the_next_booking() {
    for extra in EXTRA_ANSWERS {
        for after_us in [0, 100, 300, 1_000, 3_000] {
            let answer_then_extra = ScriptStep::AnswerThenExtra {
                takes: Duration::ZERO,
                extra,
                after: Duration::from_micros(after_us),
            };
            let upstream = FakeUpstream::start("u1", &[answer_then_extra]).await;
            let instance = start_instance(&[&upstream], &[]).await;
            for n in 1..=10 {
                let id = format!("b{n}");
                let response = book(&instance, &id).await;
                let is_own = response.status == 200 && response.body == "served";
                assert!(
                    is_own || response.status == 502,
                    "{after_us} us: {extra:?}: {response:?}"
                );
                assert_eq!(upstream.arrivals(), n);
            }
        }
    }
}

/// Guards against a refusal that is written once more being taken for the answer when the request is
/// sent to the same upstream again: its caller was told that it had not run, or it was sent a third
/// time, though it ran.
#[actix_rt::test]
async fn refusal_written_once_more_is_not_taken_for_the_answer_to_the_next_send() {
    for idle_connections in [1, 2, 3] {
        let mut script = vec![SERVED_LATER; idle_connections];
        script.push(ScriptStep::NotRun(503));
        script.push(ScriptStep::ExtraThenAnswer {
            extra: OWN_REFUSAL,
            after: Duration::ZERO,
        });
        let engine = FakeUpstream::start("u1", &script).await;
        let instance = start_instance(&[], &[&engine]).await;
        let addr = instance.entry.addr();
        let ids: Vec<_> = (0..idle_connections).map(|n| format!("r{n}")).collect();
        let served = ids.iter().map(|id| send_request(addr, "/once/", id, MODEL));
        let served = join_all(served).await;
        assert!(served.iter().all(|res| res.status == 200), "{served:?}");
        let response = send_request(addr, "/once/", "again", MODEL).await;
        let sent = engine.arrivals() - idle_connections;
        assert_eq!(
            (response.status, sent),
            (200, 2),
            "{idle_connections} idle connections"
        );
    }
}

/// A refusal with the identifier of its request is believed on a kept connection, and the request is
/// sent elsewhere.
#[actix_rt::test]
async fn refusal_of_a_sound_upstream_is_believed_on_a_kept_connection() {
    let script = [SERVED, ScriptStep::NotRun(503)];
    let full = FakeUpstream::start("u1", &script).await;
    let instance = start_instance(&[&full], &[]).await;
    assert_eq!(book(&instance, "r1").await.status, 200);
    assert_eq!(book(&instance, "r2").await.status, 503);
    assert_eq!(full.observed.borrow().connections, 1);
}
