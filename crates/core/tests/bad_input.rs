//! Invalid input gets a clear error; it never hangs or crashes the gate and never reaches an
//! engine.

use std::{net::SocketAddr, time::Duration};

use awc::http::{Method, StatusCode};
use bytes::Bytes;
use support::{Answer, Cluster, ClusterSpec, start};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};

mod support;

const CHAT_PATH: &str = "/v1/chat/completions";
const LIMIT: Duration = Duration::from_secs(10);

async fn cluster() -> Cluster {
    let mut spec = ClusterSpec::new(1)
        .engines(1, 1_000)
        .model("assistant", 400, 1)
        .model("hidden", 400, 1)
        .workspace("lodz", 1_000_000, 1_000_000)
        .workspace("poznan", 1_000_000, 1_000_000);
    let hidden = spec.catalog.models.get_mut("hidden").unwrap();
    hidden.workspaces = vec!["poznan".to_owned()];
    spec.limits.body_bytes = 10_000;
    spec.limits.head_ms = 500;
    spec.limits.stall_ms = 500;
    spec.limits.idle_ms = 1_000;
    start(spec).await
}

async fn post_chat(cluster: &Cluster, headers: &[(&str, &str)], body: &str) -> Answer {
    let caller = cluster.caller(0, "lodz");
    let body = Bytes::copy_from_slice(body.as_bytes());
    caller
        .send(Method::POST, CHAT_PATH, headers, body)
        .await
        .unwrap()
}

fn assert_refused(answer: &Answer, status: StatusCode, code: &str) {
    assert_eq!(answer.status, status, "{:?}", answer.body);
    assert_eq!(answer.code(), code, "{:?}", answer.body);
    assert_eq!(answer.run_status(), "no");
    let message = &answer.json()["error"]["message"];
    assert!(message.as_str().is_some_and(|m| !m.is_empty()));
}

#[actix_rt::test]
async fn invalid_bodies_get_a_clear_error() {
    let cluster = cluster().await;
    let message = r#""messages":[{"role":"user","content":"hi"}]"#;
    let bad = StatusCode::BAD_REQUEST;
    let bodies = [
        (String::new(), bad, "invalid_request"),
        ("{".to_owned(), bad, "invalid_request"),
        ("[]".to_owned(), bad, "invalid_request"),
        ("null".to_owned(), bad, "invalid_request"),
        ("{}".to_owned(), bad, "invalid_request"),
        ("[".repeat(9_000), bad, "invalid_request"),
        (r#"{"model":7}"#.to_owned(), bad, "invalid_request"),
        (
            r#"{"model":"assistant"}"#.to_owned(),
            bad,
            "invalid_request",
        ),
        (
            r#"{"model":"assistant","messages":[]}"#.to_owned(),
            bad,
            "invalid_request",
        ),
        (
            r#"{"model":"assistant","messages":[3]}"#.to_owned(),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"assistant",{message},"max_tokens":-1}}"#),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"assistant",{message},"max_tokens":"x"}}"#),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"assistant",{message},"stream":"yes"}}"#),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"assistant",{message},"n":5}}"#),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"assistant",{message},"stream":true,"stream_options":3}}"#),
            bad,
            "invalid_request",
        ),
        (
            format!(r#"{{"model":"nothing",{message}}}"#),
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            format!(r#"{{"model":"hidden",{message}}}"#),
            StatusCode::NOT_FOUND,
            "not_found",
        ),
        (
            "x".repeat(10_001),
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
        ),
    ];
    for (body, status, code) in bodies {
        let answer = post_chat(&cluster, &[], &body).await;
        assert_refused(&answer, status, code);
    }
    let gzip = post_chat(&cluster, &[("content-encoding", "gzip")], "{}").await;
    assert_refused(
        &gzip,
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        "unsupported_encoding",
    );
    let deadline = post_chat(&cluster, &[("x-deadline-ms", "soon")], "{}").await;
    assert_refused(&deadline, bad, "invalid_request");
    let record = cluster.engine_record("engine-0").await.unwrap();
    assert!(
        record.requests.is_empty(),
        "invalid input reached an engine"
    );
}

#[actix_rt::test]
async fn invalid_paths_methods_and_keys_get_a_clear_error() {
    let cluster = cluster().await;
    let caller = cluster.caller(0, "lodz");
    let wrong_method = caller.get(CHAT_PATH).await.unwrap();
    assert_refused(
        &wrong_method,
        StatusCode::METHOD_NOT_ALLOWED,
        "method_not_allowed",
    );
    let wrong_path = caller.get("/v2/nothing").await.unwrap();
    assert_refused(&wrong_path, StatusCode::NOT_FOUND, "not_found");
    let stranger = cluster.caller_without_key(0);
    let no_key = stranger.get("/v1/models").await.unwrap();
    assert_refused(&no_key, StatusCode::UNAUTHORIZED, "invalid_key");
    for value in ["Bearer wrong", "Bearer ", "Basic cw-lodz", "cw-lodz"] {
        let headers = [("authorization", value)];
        let answer = stranger.send(Method::GET, "/v1/models", &headers, Bytes::new());
        assert_refused(
            &answer.await.unwrap(),
            StatusCode::UNAUTHORIZED,
            "invalid_key",
        );
    }
}

/// Sends raw bytes and returns what the gate answers until it closes the connection.
async fn send_raw(addr: SocketAddr, parts: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    for part in parts {
        let _ = stream.write_all(part).await;
    }
    let mut answer = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut answer)).await;
    let _ = read.expect("the gate did not close the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

#[actix_rt::test]
async fn malformed_and_incomplete_requests_are_refused() {
    let cluster = cluster().await;
    let gate = cluster.layout().gate(0);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer cw-lodz\r\n";
    let cases = [
        ("not HTTP", "hello\r\n\r\n".to_owned(), "400"),
        (
            "content-length and chunked",
            format!("{head}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            "400",
        ),
        (
            "two content-lengths",
            format!("{head}content-length: 5\r\ncontent-length: 6\r\n\r\n"),
            "400",
        ),
        (
            "signed content-length",
            format!("{head}content-length: +5\r\n\r\n"),
            "400",
        ),
        (
            "invalid chunk size",
            format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            "400",
        ),
        (
            "huge head",
            format!("{head}x-big: {}\r\n\r\n", "x".repeat(1 << 20)),
            "",
        ),
        ("partial head", head[..40].to_owned(), "408"),
        (
            "partial body",
            format!("{head}content-length: 50\r\n\r\n{{"),
            "408",
        ),
    ];
    for (name, bytes, status) in cases {
        let started = Instant::now();
        let answer = send_raw(gate, &[bytes.as_bytes()]).await;
        let first = answer.lines().next().unwrap_or_default();
        assert!(first.contains(status), "{name}: {first:?}");
        assert!(!first.contains(" 200"), "{name}: {first:?}");
        assert!(started.elapsed() < Duration::from_secs(5), "{name}");
    }
    let ready = cluster.admin(0).get("/readyz").await.unwrap();
    assert_eq!(ready.status, StatusCode::OK);
    let record = cluster.engine_record("engine-0").await.unwrap();
    assert!(
        record.requests.is_empty(),
        "malformed input reached an engine"
    );
}

/// Sends a request, reads its answer, sends the first 30 bytes of a second head, and returns the
/// open connection.
async fn open_and_send_second_partial_head(gate: SocketAddr, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(gate).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    while !answer.ends_with("]}") {
        let mut buf = [0; 1024];
        let len = stream.read(&mut buf).await.unwrap();
        assert_ne!(len, 0, "{answer}");
        answer.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    stream.write_all(&head.as_bytes()[..30]).await.unwrap();
    stream
}

#[actix_rt::test]
async fn partial_head_on_an_open_connection_times_out() {
    let mut cluster = cluster().await;
    let gate = cluster.layout().gate(0);
    let request = "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer cw-lodz\r\n\r\n";
    let started = Instant::now();
    let answer = send_raw(gate, &[request.as_bytes(), &request.as_bytes()[..30]]).await;
    assert_eq!(answer.matches("200 OK").count(), 1, "{answer}");
    assert!(started.elapsed() < Duration::from_secs(5));
    // The same if the partial head is sent after the answer has been read.
    let mut stream = open_and_send_second_partial_head(gate, request).await;
    let read = timeout(LIMIT, stream.read_to_end(&mut Vec::new())).await;
    let _ = read.expect("the gate did not close the connection after a partial head");
    // A partial head does not keep a gate from stopping either.
    let _stream = open_and_send_second_partial_head(gate, request).await;
    let process = cluster.process_mut("gate-0").unwrap();
    let status = process.terminate(LIMIT).await.unwrap();
    assert!(status.success(), "{}", process.log_tail());
}

#[actix_rt::test]
async fn forged_headers_and_keys_never_reach_an_engine() {
    let cluster = cluster().await;
    let key = ClusterSpec::key_of("lodz");
    let forged = [
        ("x-workspace", "poznan"),
        ("x-request-id", "forged"),
        ("x-priority", "1000"),
        ("x-resume-from", "3"),
        ("x-api-key", key.as_str()),
        ("cookie", key.as_str()),
        ("x-not-run", "1"),
    ];
    let body = r#"{"model":"assistant","prompt":"hi","max_tokens":4}"#;
    let caller = cluster.caller(0, "lodz");
    let path = format!("/v1/completions?api_key={key}&key={key}");
    let body = Bytes::from_static(body.as_bytes());
    let answer = caller
        .send(Method::POST, &path, &forged, body)
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer \
         {key}\r\ntransfer-encoding: chunked\r\ntrailer: x-key\r\n\r\n32\r\n{}\r\n0\r\nx-key: \
         {key}\r\n\r\n",
        r#"{"model":"assistant","prompt":"hi","max_tokens":4}"#
    );
    let _ = send_raw(cluster.layout().gate(0), &[chunked.as_bytes()]).await;
    let record = cluster.engine_record("engine-0").await.unwrap();
    let first = &record.requests[0];
    assert_eq!(first.workspace, "lodz");
    assert_ne!(first.request_id, "forged");
    for name in [
        "x-priority",
        "x-resume-from",
        "x-api-key",
        "cookie",
        "authorization",
    ] {
        assert!(!first.headers.iter().any(|(n, _)| n == name), "{name}");
    }
    assert_eq!(cluster.count_connections_receiving(&key).await.unwrap(), 0);
}
