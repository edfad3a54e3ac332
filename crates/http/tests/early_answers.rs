//! Answers that begin while the request is still being written, and break off.

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
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const LIMIT: Duration = Duration::from_secs(10);
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 1 << 20;
/// Lengths of uploads, in bytes: within the socket buffers, and beyond those of both sides (4 MB for
/// writing and 6 MB for reading is Linux's default).
const UPLOADS: [usize; 4] = [64 << 10, 1 << 20, 16 << 20, 32 << 20];

/// How an upstream answers an upload that it does not read to its end.
#[derive(Clone, Copy, Debug)]
struct EarlyAnswer {
    /// Head and body.
    text: &'static str,
    /// Bytes of the request that are read first.
    reads: usize,
    /// Number of writes that the answer is sent in.
    writes: usize,
    /// Pause before the connection is reset.
    pause: Duration,
}

impl EarlyAnswer {
    async fn send(self, mut io: TcpStream) {
        let mut buf = vec![0; 4096];
        let mut read = 0;
        while read < self.reads.max(1) {
            let n = io.read(&mut buf).await.unwrap();
            if n == 0 {
                break;
            }
            read += n;
        }
        let bytes = self.text.as_bytes();
        for piece in bytes.chunks(bytes.len().div_ceil(self.writes)) {
            io.write_all(piece).await.unwrap();
            sleep(Duration::from_millis(5)).await;
        }
        sleep(self.pause).await;
        #[allow(deprecated)]
        io.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Sends an upload and returns what is read as the body of its answer.
async fn upload(bytes: usize, early: EarlyAnswer) -> Result<Bytes, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (io, _) = listener.accept().await.unwrap();
        early.send(io).await;
    });
    let call = async {
        let progress = CallProgress::new();
        let client = UpstreamClient::default();
        let body = Bytes::from(vec![b'u'; bytes]);
        let mut answer = client.send(call(addr), body, &progress).await?;
        answer.body.read_all(MAX_BODY_BYTES, STALL_TIMEOUT).await
    };
    timeout(LIMIT, call).await.expect("the call ends")
}

fn call(addr: SocketAddr) -> UpstreamCall {
    UpstreamCall {
        addr,
        method: Method::POST,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        id_header: HeaderName::from_static("x-id"),
        request_id: "r1".to_owned(),
        echo: RequestIdEcho::IfPresent,
        connection: ConnectionKind::Fresh,
    }
}

/// Guards against delivering as complete what an upstream had written of an answer without a length
/// when it reset the connection. The error may be seen by a write of the upload before a read.
#[actix_rt::test]
async fn answer_that_is_reset_during_an_upload_is_incomplete() {
    let texts = [
        "HTTP/1.1 200 OK\r\n\r\na part of the answer",
        "HTTP/1.0 200 OK\r\n\r\na part of the answer",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
        "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
        "HTTP/1.1 200 OK\r\n\r\n",
    ];
    for bytes in UPLOADS {
        for text in texts {
            for reads in [1, bytes / 2] {
                for writes in [1, 4] {
                    for pause in [0, 50].map(Duration::from_millis) {
                        let early = EarlyAnswer {
                            text,
                            reads,
                            writes,
                            pause,
                        };
                        let body = upload(bytes, early).await;
                        assert!(body.is_err(), "{bytes} {early:?}: {body:?}");
                    }
                }
            }
        }
    }
}
