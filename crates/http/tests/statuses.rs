//! Statuses that no answer may have.

use std::{net::SocketAddr, time::Duration};

use actix_http::{
    Method,
    header::{HeaderMap, HeaderName},
};
use bytes::Bytes;
use comfreyweir_http::upstream::{
    CallError, CallProgress, ConnectionKind, RequestIdEcho, UpstreamAnswer, UpstreamCall,
    UpstreamClient,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

const LIMIT: Duration = Duration::from_secs(5);

/// Statuses that are none, and a missing one.
pub const INVALID: [&str; 21] = [
    "000",
    "099",
    "600",
    "999",
    "1000",
    "0",
    "20",
    "2000",
    "abc",
    "2x0",
    "-20",
    "+200",
    "",
    "0200",
    "20.",
    " 200",
    "200.0",
    "２００",
    "1e2",
    "0x2",
    "2OO",
];

/// Answers one request with `answer`, and closes the connection.
async fn answer_to(method: Method, answer: String) -> Result<UpstreamAnswer, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        let _ = io.read(&mut buf).await.unwrap();
        io.write_all(answer.as_bytes()).await.unwrap();
    });
    let call = UpstreamCall {
        method,
        ..call(addr)
    };
    let client = UpstreamClient::default();
    let progress = CallProgress::new();
    let sent = client.send(call, Bytes::new(), &progress);
    timeout(LIMIT, sent).await.expect("the call ends")
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

/// Guards against passing on as an answer what has no valid status, in either version of HTTP, with
/// each framing, without a body, and after an informational answer.
#[actix_rt::test]
async fn answer_without_a_valid_status_is_none() {
    let rests = [
        "content-length: 2\r\n\r\nno",
        "transfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
        "\r\nno",
    ];
    for status in INVALID {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            for rest in rests {
                for before in ["", "HTTP/1.1 103 Early\r\n\r\n"] {
                    for method in [Method::GET, Method::HEAD] {
                        // The HTTP client takes the informational answer to HEAD for the final one.
                        let text = format!("{before}{version} {status} Any\r\n{rest}");
                        let answer = answer_to(method.clone(), text.clone()).await;
                        if let Ok(answer) = answer {
                            panic!("{method} {text:?} is {}", answer.status);
                        }
                    }
                }
            }
        }
    }
}

/// A status that has no meaning of its own is one of its class.
#[actix_rt::test]
async fn every_final_status_of_three_digits_up_to_599_is_an_answer() {
    for status in [200, 204, 299, 304, 400, 451, 499, 500, 599] {
        for phrase in ["", " ", " Any phrase"] {
            let text = format!("HTTP/1.1 {status}{phrase}\r\ncontent-length: 0\r\n\r\n");
            let answer = answer_to(Method::GET, text.clone()).await;
            let answer = answer.unwrap_or_else(|e| panic!("{text:?}: {e}"));
            assert_eq!(answer.status.as_u16(), status);
        }
    }
}
