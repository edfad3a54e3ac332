//! Calls to upstreams.
//!
//! Every call hands its own connection to the HTTP client, so that it can be told from the socket
//! whether a first byte was written. The client's errors do not tell: it reports a connection
//! that broke after the request was received in the same words as one that was never opened.

mod answer;
mod connection;
mod head_filter;
mod idle;

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    Method,
    body::MessageBody,
    header::{HeaderMap, HeaderName, HeaderValue},
};
use snafu::Snafu;
use tokio::{net::TcpStream, time::timeout};

pub use self::{
    answer::{Answer, AnswerBody},
    connection::Track,
};
use self::{
    connection::{HandOver, Tracked},
    idle::IdleConnections,
};

/// Longest time for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Which connections a call may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connection {
    /// Only a new one. For calls that must run at most once.
    Fresh,
    /// An idle one if there is any. For calls that may be sent again.
    Reusable,
}

/// Whether an answer has to carry the identifier of its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Echo {
    /// It has to. Engines answer so.
    Required,
    /// It may be without one, but must not carry another. For plain services.
    IfPresent,
}

/// Why a call did not bring a whole answer. [`Track::is_written`] tells whether the upstream may
/// have received any of the request.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// No connection could be opened.
    #[snafu(display("cannot connect to upstream {addr}: {source}"))]
    Connect {
        /// Address of the upstream.
        addr: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// The connection failed before the head of the answer.
    #[snafu(display("upstream {addr} did not answer: {reason}"))]
    NoAnswer {
        /// Address of the upstream.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The answer belongs to another request.
    #[snafu(display("upstream {addr} answered another request"))]
    Crossed {
        /// Address of the upstream.
        addr: SocketAddr,
    },
    /// The answer ended before it was whole.
    #[snafu(display("answer of upstream {addr} is incomplete: {reason}"))]
    Incomplete {
        /// Address of the upstream.
        addr: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// The answer paused for too long.
    #[snafu(display("answer of upstream {addr} paused for {} ms", after.as_millis()))]
    Stalled {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The limit that has passed.
        after: Duration,
    },
    /// The answer is larger than the gate takes.
    #[snafu(display("answer of upstream {addr} is larger than {limit} bytes"))]
    TooLarge {
        /// Address of the upstream.
        addr: SocketAddr,
        /// The limit in bytes.
        limit: usize,
    },
}

/// A call to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, already freed of what must not be forwarded.
    pub headers: HeaderMap,
    /// Header that carries the identifier of the request, both ways.
    pub id_header: HeaderName,
    /// Identifier of the request.
    pub request_id: String,
    /// Whether the answer has to echo it.
    pub echo: Echo,
    /// Which connections it may use.
    pub connection: Connection,
}

/// Connections to upstreams.
#[derive(Clone)]
pub struct Upstreams {
    idle: Rc<RefCell<IdleConnections>>,
    connect_limit: Duration,
}

impl Default for Upstreams {
    fn default() -> Self {
        Self::new(CONNECT_TIMEOUT)
    }
}

impl Upstreams {
    /// Opens connections within `connect_limit`.
    pub fn new(connect_limit: Duration) -> Self {
        Self {
            idle: Rc::default(),
            connect_limit,
        }
    }

    /// Sends a call and waits for the head of its answer.
    ///
    /// `track` is the caller's, so that it can be read after this future was dropped. Dropping
    /// the future or the answer closes the connection.
    pub async fn send<B>(&self, call: Call, body: B, track: &Rc<Track>) -> Result<Answer, CallError>
    where
        B: MessageBody + 'static,
    {
        let addr = call.addr;
        let io = self.connect(&call).await?;
        let has_body = call.method != Method::HEAD;
        let idle = Rc::downgrade(&self.idle);
        let stream = Tracked::new(io, addr, Rc::clone(track), idle, has_body);
        let client = HandOver::client(stream);
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
        let echoed = res
            .headers()
            .get(&call.id_header)
            .map(HeaderValue::as_bytes);
        let is_own = match echoed {
            Some(echoed) => echoed == call.request_id.as_bytes(),
            None => call.echo == Echo::IfPresent,
        };
        if !is_own {
            return CrossedSnafu { addr }.fail();
        }
        Ok(Answer::new(addr, res, Rc::clone(track)))
    }

    async fn connect(&self, call: &Call) -> Result<TcpStream, CallError> {
        let addr = call.addr;
        if call.connection == Connection::Reusable
            && let Some(io) = self.idle.borrow_mut().take(addr)
        {
            return Ok(io);
        }
        let opened = timeout(self.connect_limit, TcpStream::connect(addr)).await;
        let io = opened
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .map_err(|source| CallError::Connect { addr, source })?;
        let _ = io.set_nodelay(true);
        Ok(io)
    }
}
