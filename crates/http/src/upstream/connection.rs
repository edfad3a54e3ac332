//! A connection that records what happened on it.

use std::{
    cell::{Cell, RefCell},
    future::{Ready, ready},
    io,
    mem::MaybeUninit,
    net::SocketAddr,
    pin::Pin,
    rc::{Rc, Weak},
    task::{Context, Poll, ready},
};

use actix_http::Uri;
use actix_rt::net::{ActixStream, Ready as Readiness};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::{Client, Connector};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{head_filter::HeadFilter, idle::IdleConnections};

/// Bytes that are read at once until the head of the answer is whole.
const HEAD_READ_BYTES: usize = 4096;

/// What happened on the connection of a call.
#[derive(Debug, Default)]
pub struct Track {
    written: Cell<bool>,
    ended: Cell<bool>,
    failed: Cell<bool>,
    reusable: Cell<bool>,
}

impl Track {
    /// Creates the record of a call that has not begun.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Whether a first byte of the request may have reached the upstream.
    pub fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Whether the upstream has closed the connection.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Whether reading failed, so that what was read is not all that was sent.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Allows the connection to serve another call: its answer was read to the end.
    pub(super) fn set_reusable(&self) {
        self.reusable.set(true);
    }
}

/// The connection of one call.
#[derive(Debug)]
pub(super) struct Tracked {
    io: Option<TcpStream>,
    addr: SocketAddr,
    track: Rc<Track>,
    idle: Weak<RefCell<IdleConnections>>,
    head: HeadFilter,
}

impl Tracked {
    pub(super) fn new(
        io: TcpStream,
        addr: SocketAddr,
        track: Rc<Track>,
        idle: Weak<RefCell<IdleConnections>>,
        has_body: bool,
    ) -> Self {
        Self {
            io: Some(io),
            addr,
            track,
            idle,
            head: HeadFilter::new(has_body),
        }
    }

    fn io(&self) -> &TcpStream {
        self.io.as_ref().expect("only drop takes the stream")
    }

    /// Reads from the connection and notes its end.
    fn read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut *self).pin().poll_read(cx, buf);
        match &poll {
            Poll::Ready(Ok(())) if buf.filled().len() == before => self.track.ended.set(true),
            Poll::Ready(Err(_)) => {
                self.track.ended.set(true);
                self.track.failed.set(true);
            }
            _ => {}
        }
        poll
    }

    fn pin(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        let io = self.get_mut().io.as_mut();
        Pin::new(io.expect("only drop takes the stream"))
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        let Some(io) = self.io.take() else { return };
        if !self.track.reusable.get() || self.track.ended.get() {
            return;
        }
        if let Some(idle) = self.idle.upgrade() {
            idle.borrow_mut().put(self.addr, io);
        }
    }
}

impl AsyncRead for Tracked {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.head.is_open() {
            return this.read(cx, buf);
        }
        while this.head.pull(buf) == 0 {
            let mut space = [MaybeUninit::uninit(); HEAD_READ_BYTES];
            let mut piece = ReadBuf::uninit(&mut space);
            ready!(this.read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                this.head.open();
                this.head.pull(buf);
                break;
            }
            this.head.push(piece.filled());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let track = Rc::clone(&self.track);
        let poll = self.pin().poll_write(cx, buf);
        if matches!(poll, Poll::Ready(Ok(n)) if n > 0) {
            track.written.set(true);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.pin().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The client shuts down connections that the upstream does not keep alive.
        self.track.reusable.set(false);
        self.pin().poll_shutdown(cx)
    }
}

impl ActixStream for Tracked {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Readiness>> {
        ActixStream::poll_read_ready(self.io(), cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Readiness>> {
        ActixStream::poll_write_ready(self.io(), cx)
    }
}

/// Connector that hands one open connection to the HTTP client, and no other.
#[derive(Clone)]
pub(super) struct HandOver(Rc<Cell<Option<Tracked>>>);

impl HandOver {
    /// A client for one call over `stream`.
    pub(super) fn client(stream: Tracked) -> Client {
        let hand_over = Self(Rc::new(Cell::new(Some(stream))));
        Client::builder()
            .connector(Connector::new().connector(hand_over))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }
}

impl Service<ConnectInfo<Uri>> for HandOver {
    type Response = Connection<Uri, Tracked>;
    type Error = ConnectError;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let stream = self.0.take();
        ready(match stream {
            Some(stream) => Ok(Connection::new(info.request().clone(), stream)),
            None => Err(ConnectError::Unresolved),
        })
    }
}
