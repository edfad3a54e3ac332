//! Upstreams that send bytes without end: the call fails long before its time is over, and the
//! connection is closed.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

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
    time::timeout,
};

/// Time that a call has, as for a caller with a long deadline.
const CALL_TIME: Duration = Duration::from_secs(20);
/// Time within which the call must have failed. The limits are reached within milliseconds.
const MAX_TIME: Duration = Duration::from_secs(4);
/// Bytes in one write of the upstream.
const WRITE_BYTES: usize = 16 << 10;

/// Starts an upstream that answers a request with `head` and then `pattern` again and again, until
/// the connection is closed.
async fn start_endless(head: &str, pattern: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let head = head.to_owned();
    let piece = pattern.repeat(WRITE_BYTES.div_ceil(pattern.len()));
    actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        assert!(io.read(&mut buf).await.unwrap() > 0);
        io.write_all(head.as_bytes()).await.unwrap();
        while io.write_all(piece.as_bytes()).await.is_ok() {}
    });
    addr
}

/// Calls an upstream and reads its answer. Returns the number of bytes of the body and the error.
async fn call(addr: SocketAddr) -> (usize, CallError) {
    let call = UpstreamCall {
        addr,
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        id_header: HeaderName::from_static("x-id"),
        request_id: "r1".to_owned(),
        echo: RequestIdEcho::IfPresent,
        connection: ConnectionKind::Fresh,
    };
    let progress = CallProgress::new();
    let started = Instant::now();
    let mut bytes = 0;
    let read = async {
        let mut answer = UpstreamClient::default()
            .send(call, Bytes::new(), &progress)
            .await?;
        while let Some(piece) = answer.body.next(CALL_TIME).await? {
            bytes += piece.len();
        }
        Ok(())
    };
    let result = timeout(CALL_TIME, read).await;
    assert!(started.elapsed() < MAX_TIME, "{:?}", started.elapsed());
    (bytes, result.unwrap().unwrap_err())
}

#[actix_rt::test]
async fn head_without_end_fails_the_call() {
    for (head, pattern) in [
        ("", "a"),
        ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
        ("HTTP/1.1 200 OK\r\nx-a: ", "b"),
        ("HTTP/1.1 200 OK\r\n", "\r\r"),
    ] {
        let (bytes, e) = call(start_endless(head, pattern).await).await;
        assert!(matches!(e, CallError::NoAnswer { .. }), "{pattern:?}: {e}");
        assert_eq!(bytes, 0);
    }
}

/// Guards against reading informational answers at full speed until the deadline.
#[actix_rt::test]
async fn informational_answers_without_end_fail_the_call() {
    for status in ["100 Continue", "103 Early Hints\r\nlink: </a>"] {
        let pattern = format!("HTTP/1.1 {status}\r\n\r\n");
        let (bytes, e) = call(start_endless("", &pattern).await).await;
        assert!(matches!(e, CallError::NoAnswer { .. }), "{e}");
        assert_eq!(bytes, 0);
    }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";

/// Guards against reading what belongs to no body at full speed until the deadline.
#[actix_rt::test]
async fn chunk_headers_and_trailers_without_end_fail_the_call() {
    for (begin, pattern) in [("", "0"), ("1;", "a"), ("1 ", " "), ("0\r\n", "x-a: b\r\n")] {
        let head = format!("{CHUNKED}{begin}");
        let (bytes, e) = call(start_endless(&head, pattern).await).await;
        assert!(
            matches!(e, CallError::Incomplete { .. }),
            "{pattern:?}: {e}"
        );
        assert_eq!(bytes, 5);
    }
}

/// Guards against an event that is buffered without limit.
#[actix_rt::test]
async fn event_without_end_fails_the_call() {
    let framings = [
        "",
        "transfer-encoding: chunked\r\n",
        "content-length: 999999999999\r\n",
    ];
    for framing in framings {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}\r\n");
        let pattern = if framing.contains("chunked") {
            "8\r\ndata: a\n\r\n"
        } else {
            "data: a\n"
        };
        let (bytes, e) = call(start_endless(&head, pattern).await).await;
        assert!(
            matches!(e, CallError::EventTooLarge { .. }),
            "{framing}: {e}"
        );
        assert!(bytes <= 1 << 20, "{bytes}");
    }
}
