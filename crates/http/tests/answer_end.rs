//! Ends of answers: which bodies are complete, for each way in which their end is marked.

use std::{net::SocketAddr, time::Duration};

use actix_http::{
    Method,
    header::{HeaderMap, HeaderName},
};
use bytes::Bytes;
use comfreyweir_http::upstream::{
    CallError, CallProgress, ConnectionKind, RequestIdEcho, UpstreamCall, UpstreamClient,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 1 << 20;

/// Sends a request to a server that reads it, answers with `answer` and closes the connection in
/// order. Returns what is read as the body of the answer.
async fn body_of(answer: &str) -> Result<Bytes, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = answer.to_owned();
    let server = actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let n = io.read(&mut buf).await.unwrap();
            assert!(n > 0, "the request is incomplete");
            request.extend_from_slice(&buf[..n]);
        }
        io.write_all(answer.as_bytes()).await.unwrap();
    });
    let progress = CallProgress::new();
    let answer = UpstreamClient::default()
        .send(call(addr), Bytes::new(), &progress)
        .await;
    let body = answer?.body.read_all(MAX_BODY_BYTES, STALL_TIMEOUT).await;
    server.await.unwrap();
    body
}

fn call(addr: SocketAddr) -> UpstreamCall {
    UpstreamCall {
        addr,
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        id_header: HeaderName::from_static("x-id"),
        request_id: "r1".to_owned(),
        echo: RequestIdEcho::IfPresent,
        connection: ConnectionKind::Fresh,
    }
}

fn with_length(content_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn chunked(content_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ntransfer-encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

fn until_close(content_type: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n\r\n{body}")
}

const FRAMINGS: [fn(&str, &str) -> String; 3] = [with_length, chunked, until_close];
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Guards against a stream that its upstream broke off inside an event being read as complete.
#[actix_rt::test]
async fn event_stream_that_ends_inside_an_event_is_incomplete() {
    for frame in FRAMINGS {
        for unfinished in ["i", "id: 3\n", "id: 3\ndata: c", "id: 3\ndata: c\n"] {
            let body = format!("{EVENTS}{unfinished}");
            let read = body_of(&frame("text/event-stream; charset=utf-8", &body)).await;
            assert!(
                matches!(read, Err(CallError::Incomplete { .. })),
                "{unfinished:?}: {read:?}"
            );
        }
    }
}

/// Guards against a stream that is cut between the CR and the LF of its last line being read as
/// complete, one byte short.
#[actix_rt::test]
async fn event_stream_that_ends_inside_a_line_end_is_incomplete() {
    for frame in FRAMINGS {
        for body in ["data: a\r\n\r", "data: a\r\n\r\ndata: b\r\n\r"] {
            let read = body_of(&frame("text/event-stream", body)).await;
            assert!(
                matches!(read, Err(CallError::Incomplete { .. })),
                "{body:?}: {read:?}"
            );
        }
    }
}

/// Guards against a stream that its upstream broke off before the first event being read as
/// complete.
#[actix_rt::test]
async fn event_stream_that_closes_before_its_first_event_is_incomplete() {
    let read = body_of(&until_close("text/event-stream", "")).await;
    assert!(
        matches!(read, Err(CallError::Incomplete { .. })),
        "{read:?}"
    );
}

#[actix_rt::test]
async fn event_stream_that_ends_between_events_is_complete() {
    for frame in FRAMINGS {
        for body in [
            EVENTS,
            "data: a\r\n\r\n",
            "data: a\r\r",
            ": comment\n\ndata: a\n\n",
        ] {
            let read = body_of(&frame("Text/Event-Stream", body)).await;
            assert_eq!(read.unwrap(), body);
        }
    }
}

#[actix_rt::test]
async fn other_answers_may_end_anywhere() {
    for frame in FRAMINGS {
        for body in ["", "id: 3", "{\"text\":\"a\\n\"}"] {
            let read = body_of(&frame("application/json", body)).await;
            assert_eq!(read.unwrap(), body);
        }
    }
}

/// Guards against the answer after an informational one being read as empty and complete.
#[actix_rt::test]
async fn answer_after_informational_ones_is_read_to_its_end() {
    let informational =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    for frame in FRAMINGS {
        let answer = format!("{informational}{}", frame("text/plain", "served"));
        assert_eq!(body_of(&answer).await.unwrap(), "served");
        let answer = format!("{informational}{}", frame("text/event-stream", "id: 1\n"));
        let read = body_of(&answer).await;
        assert!(
            matches!(read, Err(CallError::Incomplete { .. })),
            "{read:?}"
        );
    }
}

/// Sends a request to a server that answers with a few bytes at a time.
async fn body_of_dripped(answer: &'static str, piece_bytes: usize) -> Result<Bytes, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        io.set_nodelay(true).unwrap();
        let mut buf = [0; 4096];
        assert!(io.read(&mut buf).await.unwrap() > 0);
        for piece in answer.as_bytes().chunks(piece_bytes) {
            io.write_all(piece).await.unwrap();
            tokio::task::yield_now().await;
        }
    });
    let progress = CallProgress::new();
    let answer = UpstreamClient::default()
        .send(call(addr), Bytes::new(), &progress)
        .await;
    answer?.body.read_all(MAX_BODY_BYTES, STALL_TIMEOUT).await
}

/// The blank lines that end heads are found wherever the answer is cut into pieces.
#[actix_rt::test]
async fn answer_in_small_pieces_is_read_to_its_end() {
    const ANSWER: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nserved\r\n\r\n";
    for piece_bytes in 1..=9 {
        let body = body_of_dripped(ANSWER, piece_bytes).await.unwrap();
        assert_eq!(body, "served\r\n\r\n", "{piece_bytes}");
    }
}
