//! What one caller's connection carries: requests one after the other, and several at once.

mod support;

use std::time::Duration;

use support::{
    FakeUpstream, ScriptStep, SharedState, TestInstance, platform::config, read_response,
    request_text, start, upstream_entry,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

const PAUSE: Duration = Duration::from_millis(50);

async fn start_instance(upstream: &FakeUpstream) -> TestInstance {
    let shared = SharedState::new();
    shared.publish_config(config(1));
    shared.add_upstream(upstream_entry(upstream, "plain", &[]));
    start(&shared, "e1").await
}

/// Guards against a count of body bytes that outlasts its request: the connection would stop reading
/// before the end of a later body.
#[actix_rt::test]
async fn connection_is_usable_after_requests_that_were_refused_with_their_bodies() {
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&upstream).await;
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    // After a request whose body has a declared length and was not read, the connection is closed.
    let refused = "GET /nowhere/ HTTP/1.1\r\nhost: h\r\n\r\n";
    let chunked = "POST /nowhere/ HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
                   4\r\nbody\r\n0\r\n\r\n";
    for request in [refused, chunked, refused, chunked] {
        io.write_all(request.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut io).await.status, 404);
    }
    let body = "b".repeat(50_000);
    for id in ["r2", "r3"] {
        let head =
            request_text("/read/", id, "").replace("content-length: 4", "content-length: 50000");
        let head = head.trim_end_matches("body");
        io.write_all(head.as_bytes()).await.unwrap();
        sleep(PAUSE).await;
        let (first, rest) = body.split_at(10_000);
        io.write_all(first.as_bytes()).await.unwrap();
        sleep(PAUSE).await;
        io.write_all(rest.as_bytes()).await.unwrap();
        let response = read_response(&mut io).await;
        assert_eq!((response.status, response.body.as_str()), (200, "served"));
        assert_eq!(response.header("x-id").as_deref(), Some(id));
    }
    assert!(upstream.request(0).ends_with(&body));
}

/// Guards against requests that are lost or stay unread because an earlier one is being answered.
#[actix_rt::test]
async fn pipelined_requests_are_all_answered_in_their_order() {
    let upstream = FakeUpstream::start("u1", &[ScriptStep::Answer(200, "served")]).await;
    let instance = start_instance(&upstream).await;
    let mut io = TcpStream::connect(instance.entry.addr()).await.unwrap();
    let get = |id: usize| {
        format!("GET /read/ HTTP/1.1\r\nhost: h\r\nx-id: r{id}\r\nx-key: secret-key\r\n\r\n")
    };
    let requests: String = (0..200)
        .map(|id| {
            if id % 2 == 0 {
                get(id)
            } else {
                request_text("/read/", &format!("r{id}"), "")
            }
        })
        .collect();
    io.write_all(requests.as_bytes()).await.unwrap();
    let mut text = String::new();
    while text.matches("HTTP/1.1 200").count() < 200 {
        let mut piece = [0; 4_096];
        let n = tokio::time::timeout(
            Duration::from_secs(20),
            tokio::io::AsyncReadExt::read(&mut io, &mut piece),
        );
        let n = n.await.expect("all are answered").unwrap();
        assert!(n > 0, "closed after {text}");
        text += &String::from_utf8_lossy(&piece[..n]);
    }
    let ids: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("x-id: r"))
        .collect();
    let expected: Vec<_> = (0..200).map(|id| id.to_string()).collect();
    assert_eq!(ids, expected);
}
