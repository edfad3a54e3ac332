//! Answers that break off in their head, and what other upstreams answer when a stream is to go on
//! there.

mod support;

use std::{io, time::Duration};

use support::{
    FakeUpstream, Response, ScriptStep, SharedState, TestInstance, platform::config, request_text,
    send_request, start, upstream_entry,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

async fn start_instance(upstreams: &[&FakeUpstream], service: &str) -> TestInstance {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    let models: &[&str] = if service == "llm" { &["m1"] } else { &[] };
    for upstream in upstreams {
        shared.add_upstream(upstream_entry(upstream, service, models));
    }
    start(&shared, "e1").await
}

/// Streams a request that breaks off after two events, and goes on with `text` at another engine.
async fn stream_continued_by(text: &'static str) -> Response {
    let script = [ScriptStep::EventsThenRaw { last: 2, text }];
    let first = FakeUpstream::start("u1", &script).await;
    let second = FakeUpstream::start("u2", &script).await;
    let instance = start_instance(&[&first, &second], "llm").await;
    let response = send_request(instance.entry.addr(), "/tell/", "r1", "x-model: m1\r\n").await;
    assert_eq!((first.arrivals(), second.arrivals()), (1, 1), "{text:?}");
    response
}

const BEGUN: &str = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

/// Guards against the text of an error, or of anything else that does not go on with the stream, in
/// the middle of it, and against a stream that ends with it as complete.
#[actix_rt::test]
async fn answer_that_does_not_continue_a_stream_is_not_joined_to_it() {
    for text in [
        // No stream, with a success.
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/plain\r\ncontent-length: 11\r\n\r\nall is well",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: application/json\r\ncontent-length: 14\r\n\r\n{\"error\":\"no\"}",
        "HTTP/1.1 206 Some\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/html\r\ncontent-length: 6\r\n\r\n<br>no",
        "HTTP/1.1 206 Some\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 3\ndata: e3\n\n",
        // No media type, and no event.
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 9\r\n\r\nerror: no\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 10\r\n\r\nerror: no\n\n",
        // A whole head in the body.
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\n\r\nHTTP/1.1 500 Error\r\ncontent-length: 2\r\n\r\nno",
        // Events that do not follow.
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 9\r\n\r\ndata: no\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 10\r\n\r\ndata: e3\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 2\ndata: e2\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 1\ndata: e1\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 17\r\n\r\nid: x3\ndata: e3\n\n",
        // Nothing, which does not show that the stream has ended.
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 6\r\n\r\n:note\n",
        "HTTP/1.1 204 None\r\nx-id: ID\r\nx-seal: u\r\n\r\n",
        "HTTP/1.1 500 Error\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 2\r\n\r\nno",
        "HTTP/1.1 503 Busy\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 3\ndata: e3\n\n",
    ] {
        let response = stream_continued_by(text).await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body, BEGUN, "{text:?}");
        assert!(!response.complete, "{text:?}");
    }
}

#[actix_rt::test]
async fn stream_of_events_that_follow_is_joined() {
    for text in [
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 3\ndata: e3\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 16\r\n\r\nid: 3\ndata: e3\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 16\r\n\r\ndata: e3\nid: 3\n\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\ncontent-length: 23\r\n\r\n:wait\n\nid: 3\ndata: e3\n\n",
    ] {
        let response = stream_continued_by(text).await;
        assert!(response.body.starts_with(BEGUN), "{text:?}");
        assert!(response.body.contains("data: e3\n"), "{text:?}");
        assert!(response.complete, "{text:?}");
    }
}

/// Guards against an answer whose head is unfinished reaching the caller as a whole one, empty or short.
#[actix_rt::test]
async fn answer_that_ends_within_its_head_is_a_failure() {
    let heads = [
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-se",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-type: text/event-stream\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 2\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 2\r\n\r",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ncontent-length: 0\r\n",
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\ntransfer-encoding: chunked\r\n",
        // After an informational answer.
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\nx-seal: u\r\n\r",
        "HTTP/1.1 103 Hints\r\nx-id: ID\r\nx-seal: u\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\n",
        "HTTP/1.1 103 Hints\r\nx-id: ID\r\nx-seal: u\r\n\r\nHTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: u\r\n\r",
    ];
    for text in heads {
        for resets in [false, true] {
            for (path, service) in [("/tell/", "llm"), ("/read/", "plain"), ("/book/", "plain")] {
                let upstream = FakeUpstream::start("u1", &[ScriptStep::Raw { text, resets }]).await;
                let instance = start_instance(&[&upstream], service).await;
                let extra = if service == "llm" {
                    "x-model: m1\r\nx-deadline: 400\r\n"
                } else {
                    "x-deadline: 400\r\n"
                };
                let addr = instance.entry.addr();
                let response = send_request(addr, path, "r1", extra).await;
                let case = format!("{path} {resets} {text:?}: {response:?}");
                assert!(response.status >= 500, "{case}");
                assert!(upstream.arrivals() >= 1, "{case}");
                // A request that may have run is not said not to have.
                let is_promise = [408, 421, 429, 503].contains(&response.status);
                assert!(!is_promise, "{case}");
            }
        }
    }
}

/// Guards against an incomplete stream that looks complete to a caller of HTTP/1.0, for whom only the close
/// of the connection marks the end: it has to be a reset.
#[actix_rt::test]
async fn incomplete_stream_to_an_http_1_0_caller_ends_with_a_reset() {
    let step = ScriptStep::Events {
        last: 2,
        disconnects: true,
        interval: Duration::from_millis(10),
    };
    let upstream = FakeUpstream::start("u1", &[step]).await;
    let instance = start_instance(&[&upstream], "llm").await;
    let text = request_text("/tell/", "r1", "x-model: m1\r\n").replace("HTTP/1.1", "HTTP/1.0");
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    io.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(Duration::from_secs(10), io.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.0 200"), "{answer}");
    let end = read.unwrap().map_err(|e| e.kind());
    assert_eq!(end, Err(io::ErrorKind::ConnectionReset), "{answer}");
}
