//! HTTP client for calls with short answers, which are limited in size as they arrive.
//!
//! A limit of the body does not count bytes that belong to no body, such as informational answers,
//! chunk headers and trailers. A server may send them without end, so the client limits all bytes
//! that a connection receives after a request.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready};
use actix_service::Service;
use actix_tls::connect::{
    ConnectError, ConnectInfo, Connection, Connector as TcpConnector, ConnectorService,
};
use awc::{Client, Connector};
use futures_util::future::LocalBoxFuture;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Creates a client whose calls fail once they have received more than `max_answer_bytes`. It has no
/// timeouts of its own and follows no redirects.
pub fn limited_client(max_answer_bytes: u64) -> Client {
    let connector = LimitedConnector {
        connector: TcpConnector::default().service(),
        max_answer_bytes,
    };
    Client::builder()
        .connector(Connector::new().connector(connector))
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

#[derive(Clone)]
struct LimitedConnector {
    connector: ConnectorService,
    max_answer_bytes: u64,
}

impl Service<ConnectInfo<Uri>> for LimitedConnector {
    type Response = Connection<Uri, LimitedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connected = self.connector.call(info);
        let max_answer_bytes = self.max_answer_bytes;
        Box::pin(async move {
            let (io, target) = connected.await?.into_parts();
            let stream = LimitedStream {
                io,
                received: 0,
                max_answer_bytes,
            };
            Ok(Connection::new(target, stream))
        })
    }
}

/// A connection that fails when it has received too many bytes since the last one was sent.
#[derive(Debug)]
struct LimitedStream {
    io: TcpStream,
    received: u64,
    max_answer_bytes: u64,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.received += (buf.filled().len() - before) as u64;
        if self.received > self.max_answer_bytes {
            let reason = format!("answer has more than {} bytes", self.max_answer_bytes);
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.received = 0;
        Poll::Ready(Ok(sent))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl ActixStream for LimitedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}
