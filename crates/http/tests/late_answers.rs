//! Answers too many on kept connections, which arrive where the answer to the next request is
//! expected.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

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
    net::{TcpListener, TcpStream},
};

const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 1 << 20;

/// A server that writes, for each request on a connection, the next of its answers.
struct Server {
    addr: SocketAddr,
    connections: Rc<Cell<usize>>,
}

impl Server {
    async fn start(answers: &'static [&'static str]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let connections = Rc::new(Cell::new(0));
        let accepted = Rc::clone(&connections);
        actix_rt::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                accepted.set(accepted.get() + 1);
                actix_rt::spawn(serve(io, answers));
            }
        });
        Self { addr, connections }
    }
}

async fn serve(mut io: TcpStream, answers: &[&str]) {
    for answer in answers {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            match io.read_u8().await {
                Ok(byte) => request.push(byte),
                Err(_) => return,
            }
        }
        io.write_all(answer.as_bytes()).await.unwrap();
    }
    let _ = io.read_u8().await;
}

async fn call(
    client: &UpstreamClient,
    addr: SocketAddr,
    id: &str,
    echo: RequestIdEcho,
) -> Result<Bytes, CallError> {
    let call = UpstreamCall {
        addr,
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        id_header: HeaderName::from_static("x-id"),
        request_id: id.to_owned(),
        echo,
        connection: ConnectionKind::Reusable,
    };
    let progress = CallProgress::new();
    let mut answer = client.send(call, Bytes::new(), &progress).await?;
    answer.body.read_all(MAX_BODY_BYTES, STALL_TIMEOUT).await
}

const ANSWER_1: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 3\r\n\r\none";
const ANSWER_2: &str = "HTTP/1.1 200 OK\r\nx-id: 2\r\ncontent-length: 3\r\n\r\ntwo";
const ANSWER_WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nany";

/// Guards against an answer that cannot be told from one too many being taken for the request's own.
#[actix_rt::test]
async fn answer_without_an_identifier_is_not_taken_on_a_kept_connection() {
    let client = UpstreamClient::default();
    let server = Server::start(&[ANSWER_1, ANSWER_WITHOUT_ID]).await;
    for echo in [RequestIdEcho::IfPresent, RequestIdEcho::Required] {
        let first = call(&client, server.addr, "1", echo).await;
        assert_eq!(first.unwrap(), "one");
        let second = call(&client, server.addr, "2", echo).await;
        assert!(
            matches!(second, Err(CallError::WrongRequestId { .. })),
            "{second:?}"
        );
    }
    assert_eq!(server.connections.get(), 2);
}

/// An upstream that echoes no identifiers is served, on a new connection for each call.
#[actix_rt::test]
async fn connection_with_an_answer_without_an_identifier_is_not_used_again() {
    let client = UpstreamClient::default();
    let server = Server::start(&[ANSWER_WITHOUT_ID, ANSWER_1]).await;
    for id in ["1", "2", "3"] {
        let answer = call(&client, server.addr, id, RequestIdEcho::IfPresent).await;
        assert_eq!(answer.unwrap(), "any");
    }
    assert_eq!(server.connections.get(), 3);
}

#[actix_rt::test]
async fn connection_with_echoed_identifiers_is_used_again() {
    let client = UpstreamClient::default();
    let server = Server::start(&[ANSWER_1, ANSWER_2]).await;
    for (id, body) in [("1", "one"), ("2", "two")] {
        let answer = call(&client, server.addr, id, RequestIdEcho::IfPresent).await;
        assert_eq!(answer.unwrap(), body);
    }
    assert_eq!(server.connections.get(), 1);
}
