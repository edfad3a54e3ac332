//! Calls to upstreams.
//!
//! Each call opens or reuses a connection itself and hands it to the HTTP client, so that writes
//! can be observed on the socket: only a request of which no byte was written is known not to have
//! run. The HTTP client's errors don't tell, since it reports a connection that failed after the
//! request was received just like one that was never opened.

mod answer;
mod connection;
mod head_filter;
mod idle;
mod unfinished;

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Method, StatusCode,
    body::MessageBody,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use snafu::Snafu;
use tokio::{net::TcpStream, time::timeout};

pub use self::{
    answer::{AnswerBody, Framing, UpstreamAnswer},
    connection::CallProgress,
};
use self::{
    connection::{CallConnection, SingleConnectionConnector},
    idle::IdleConnections,
    unfinished::UnfinishedBytes,
};

/// Default timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Default for the bytes of unfinished answers that all calls may hold together.
const MAX_UNFINISHED_BYTES: usize = 16 << 20;

/// Whether an answer's status is one of HTTP, from 100 to 599. The HTTP client also takes all other
/// numbers of three digits that do not begin with 0.
pub fn is_valid_status(status: StatusCode) -> bool {
    (100..600).contains(&status.as_u16())
}

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionKind {
    /// Only a new one, for calls that must run at most once.
    Fresh,
    /// An idle one if there is any, for calls that may be retried. The upstream may close an idle
    /// connection just as the call is written.
    Reusable,
}

/// Whether an answer must carry the identifier of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestIdEcho {
    /// An answer without it is an error. For engines, which always echo it.
    Required,
    /// The header may be missing in the first answer on a connection, which is then not used again;
    /// a different identifier is an error. For plain services.
    ///
    /// An upstream may write an answer too many, which arrives where that of the connection's next
    /// request is expected. Without an identifier it cannot be told from that request's own.
    IfPresent,
}

/// Why a call did not yield a complete answer. [`CallProgress::has_written_bytes`] tells whether
/// the upstream may have received any part of the request.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("cannot connect to upstream {addr}: {source}"))]
    Connect {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The connection failed before the head of the answer was read.
    #[snafu(display("upstream {addr} did not answer: {reason}"))]
    NoAnswer {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Cause, for logs.
        reason: String,
    },
    /// The status of the answer is none: it is not between 100 and 599.
    #[snafu(display("upstream {addr} answered with {status}, which is no status"))]
    InvalidStatus {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The number in the answer.
        status: u16,
    },
    /// The answer carries the identifier of another request, or lacks one that it needs.
    #[snafu(display("upstream {addr} answered another request"))]
    WrongRequestId {
        /// Address of the upstream.
        addr: SocketAddr,
    },
    /// The body of the answer ended early.
    #[snafu(display("answer of upstream {addr} is incomplete: {reason}"))]
    Incomplete {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Cause, for logs.
        reason: String,
    },
    /// The answer does not continue the stream that it was asked to.
    #[snafu(display("answer of upstream {addr} does not continue the stream: {reason}"))]
    NotContinued {
        /// Address of the upstream.
        addr: SocketAddr,
        /// Cause, for logs.
        reason: String,
    },
    /// No bytes of the body arrived within the stall limit.
    #[snafu(display("answer of upstream {addr} paused for {} ms", after.as_millis()))]
    Stalled {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The limit that was exceeded.
        after: Duration,
    },
    /// An event of the stream exceeds the limit.
    #[snafu(display("an event of upstream {addr} is larger than {limit} bytes"))]
    EventTooLarge {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The limit in bytes.
        limit: u64,
    },
    /// The body of the answer exceeds the limit.
    #[snafu(display("answer of upstream {addr} is larger than {limit} bytes"))]
    TooLarge {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The limit in bytes.
        limit: usize,
    },
}

impl CallError {
    /// Whether nobody listens at the address of the upstream.
    pub fn is_refused_connection(&self) -> bool {
        let is_refused = |e: &io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
        matches!(self, Self::Connect { source, .. } if is_refused(source))
    }
}

/// A call to an upstream, without its body.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub path: String,
    /// Headers to send. The caller has removed those that must not be forwarded.
    pub headers: HeaderMap,
    /// Header that carries the identifier, in the request and in the answer.
    pub id_header: HeaderName,
    /// Identifier of the request.
    pub request_id: String,
    /// Whether the answer must echo the identifier.
    pub echo: RequestIdEcho,
    /// Whether the call may reuse an idle connection.
    pub connection: ConnectionKind,
}

/// Client for calls to upstreams. Clones share their idle connections.
#[derive(Clone)]
pub struct UpstreamClient {
    idle: Rc<RefCell<IdleConnections>>,
    connect_timeout: Duration,
    unfinished: UnfinishedBytes,
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new(CONNECT_TIMEOUT)
    }
}

impl UpstreamClient {
    /// Creates a client that fails calls whose connection is not open within `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            idle: Rc::default(),
            connect_timeout,
            unfinished: UnfinishedBytes::new(MAX_UNFINISHED_BYTES as u64),
        }
    }

    /// Sets the limit on what calls hold of answers while more may come: heads, chunk headers and events
    /// that are incomplete. While all calls together hold more bytes, those that go on sending them
    /// fail.
    #[must_use]
    pub fn with_unfinished_limit(mut self, bytes: usize) -> Self {
        self.unfinished = UnfinishedBytes::new(bytes as u64);
        self
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// The caller owns `progress`, so that it can read it after dropping this future. Dropping the
    /// future, or the answer before the end of its body, closes the connection.
    pub async fn send<B>(
        &self,
        call: UpstreamCall,
        body: B,
        progress: &Rc<CallProgress>,
    ) -> Result<UpstreamAnswer, CallError>
    where
        B: MessageBody + 'static,
    {
        let addr = call.addr;
        let (io, is_reused) = self.connect(&call).await?;
        let has_body = call.method != Method::HEAD;
        let idle = Rc::downgrade(&self.idle);
        let part = self.unfinished.part();
        let connection = CallConnection::new(io, addr, Rc::clone(progress), idle, (has_body, part));
        let client = SingleConnectionConnector::client(connection);
        let url = format!("http://{addr}{}", call.path);
        let mut req = client.request(call.method, url);
        for (name, value) in &call.headers {
            req = req.append_header((name.clone(), value.clone()));
        }
        req = req.insert_header((call.id_header.clone(), call.request_id.clone()));
        let res = req.send_body(body).await.map_err(|e| CallError::NoAnswer {
            addr,
            reason: e.to_string(),
        })?;
        let status = res.status();
        if !is_valid_status(status) {
            let status = status.as_u16();
            return InvalidStatusSnafu { addr, status }.fail();
        }
        let echoed_id = res
            .headers()
            .get(&call.id_header)
            .map(HeaderValue::as_bytes);
        let has_id = echoed_id.is_some();
        let is_own = match echoed_id {
            Some(echoed_id) => echoed_id == call.request_id.as_bytes(),
            None => call.echo == RequestIdEcho::IfPresent && !is_reused,
        };
        if !is_own {
            return WrongRequestIdSnafu { addr }.fail();
        }
        let event_part = self.unfinished.part();
        let progress = Rc::clone(progress);
        Ok(UpstreamAnswer::new(
            addr,
            res,
            progress,
            (has_id, event_part),
        ))
    }

    /// Whether `addr` refuses connections: its host runs, and no process listens there. False if it
    /// is not known within `limit`.
    pub async fn is_refused(&self, addr: SocketAddr, limit: Duration) -> bool {
        let connected = timeout(limit, TcpStream::connect(addr)).await;
        connected.is_ok_and(|c| c.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused))
    }

    /// Returns a connection, and whether it has carried other calls.
    async fn connect(&self, call: &UpstreamCall) -> Result<(TcpStream, bool), CallError> {
        let addr = call.addr;
        if call.connection == ConnectionKind::Reusable
            && let Some(io) = self.idle.borrow_mut().take(addr)
        {
            return Ok((io, true));
        }
        let opened = timeout(self.connect_timeout, TcpStream::connect(addr)).await;
        let io = opened
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|source| CallError::Connect { addr, source })?;
        let _ = io.set_nodelay(true);
        Ok((io, false))
    }
}
