//! Connection of one call, which records its progress and returns to the idle pool if possible.

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

use super::{head_filter::HeadFilter, idle::IdleConnections, unfinished::UnfinishedPart};

/// Size of the buffer for reads until the head of the answer is complete, in bytes.
const HEAD_BUFFER_BYTES: usize = 4096;

/// Most bytes of an answer that belong to no body, such as heads, informational answers, chunk
/// headers and trailers, beside those that [`MAX_OVERHEAD_RATIO`] allows.
const MAX_OVERHEAD_BYTES: u64 = 256 << 10;
/// Most bytes that are received for each byte of the body. Chunks of one byte need six.
const MAX_OVERHEAD_RATIO: u64 = 16;

/// Progress of the connection of one call.
#[derive(Debug, Default)]
pub struct CallProgress {
    written: Cell<bool>,
    ended: Cell<bool>,
    failed: Cell<bool>,
    reusable: Cell<bool>,
    received_bytes: Cell<u64>,
    body_bytes: Cell<u64>,
}

impl CallProgress {
    /// Creates the record for a call that has not been sent yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Whether any byte of the request was written, so that the upstream may have received it.
    pub fn has_written_bytes(&self) -> bool {
        self.written.get()
    }

    /// Whether the connection was seen to end, by a close or an error.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Whether a read failed, so that a part of what the upstream sent may be missing.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Records bytes of the answer's body.
    pub(super) fn record_body(&self, bytes: u64) {
        self.body_bytes.set(self.body_bytes.get() + bytes);
    }

    /// Records bytes that were read from the connection. Fails if too many of them bring the body no
    /// further: the upstream may send such bytes without end.
    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let received = self.received_bytes.get() + bytes as u64;
        self.received_bytes.set(received);
        let allowed = self.body_bytes.get() * MAX_OVERHEAD_RATIO + MAX_OVERHEAD_BYTES;
        if received > allowed {
            let reason = "too many bytes that belong to no body";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(())
    }

    /// Lets the connection be reused, because its answer was read completely.
    pub(super) fn set_reusable(&self) {
        self.reusable.set(true);
    }
}

/// The connection of one call. Dropping it puts it into the idle pool if it is reusable, and closes
/// it otherwise.
#[derive(Debug)]
pub(super) struct CallConnection {
    io: Option<TcpStream>,
    addr: SocketAddr,
    progress: Rc<CallProgress>,
    idle: Weak<RefCell<IdleConnections>>,
    head_filter: HeadFilter,
    /// Bytes received since the body was last brought further.
    unfinished: UnfinishedPart,
    /// Bytes of the body at the last read.
    body_bytes: u64,
}

impl CallConnection {
    pub(super) fn new(
        io: TcpStream,
        addr: SocketAddr,
        progress: Rc<CallProgress>,
        idle: Weak<RefCell<IdleConnections>>,
        (has_body, unfinished): (bool, UnfinishedPart),
    ) -> Self {
        Self {
            io: Some(io),
            addr,
            progress,
            idle,
            head_filter: HeadFilter::new(has_body),
            unfinished,
            body_bytes: 0,
        }
    }

    fn io(&self) -> &TcpStream {
        self.io.as_ref().expect("the socket is present until drop")
    }

    /// Reads from the socket and records what was read, and the end.
    fn read_and_record(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let mut poll = Pin::new(&mut *self).pin_io().poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &poll {
            let bytes = buf.filled().len() - before;
            let received = self.progress.record_received(bytes);
            poll = Poll::Ready(received.and_then(|()| self.record_unfinished(bytes)));
        }
        match &poll {
            Poll::Ready(Ok(())) if buf.filled().len() == before => self.progress.ended.set(true),
            Poll::Ready(Err(_)) => {
                self.progress.ended.set(true);
                self.progress.failed.set(true);
            }
            _ => {}
        }
        poll
    }

    /// Counts bytes that may be kept until more of the answer arrives. Fails if those before brought the
    /// body no further, and all calls together hold too many.
    fn record_unfinished(&mut self, bytes: usize) -> io::Result<()> {
        let body_bytes = self.progress.body_bytes.get();
        if self.body_bytes != body_bytes {
            self.body_bytes = body_bytes;
            self.unfinished.set(0);
        }
        let has_room = self.unfinished.may_grow();
        self.unfinished.set(self.unfinished.bytes() + bytes as u64);
        if has_room {
            return Ok(());
        }
        let reason = "too many bytes of unfinished answers";
        Err(io::Error::new(io::ErrorKind::OutOfMemory, reason))
    }

    fn pin_io(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        let io = self.get_mut().io.as_mut();
        Pin::new(io.expect("the socket is present until drop"))
    }
}

impl Drop for CallConnection {
    fn drop(&mut self) {
        let Some(io) = self.io.take() else { return };
        if !self.progress.reusable.get() || self.progress.ended.get() {
            return;
        }
        if let Some(idle) = self.idle.upgrade() {
            idle.borrow_mut().put(self.addr, io);
        }
    }
}

impl AsyncRead for CallConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.head_filter.is_bypassed() {
            return this.read_and_record(cx, buf);
        }
        while this.head_filter.pull(buf) == 0 {
            let mut space = [MaybeUninit::uninit(); HEAD_BUFFER_BYTES];
            let mut piece = ReadBuf::uninit(&mut space);
            ready!(this.read_and_record(cx, &mut piece))?;
            if piece.filled().is_empty() {
                this.head_filter.release();
                this.head_filter.pull(buf);
                break;
            }
            this.head_filter.push(piece.filled());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Rc::clone(&self.progress);
        let poll = self.pin_io().poll_write(cx, buf);
        if matches!(poll, Poll::Ready(Ok(n)) if n > 0) {
            progress.written.set(true);
        }
        poll
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.pin_io().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP client shuts down connections that the upstream does not keep alive.
        self.progress.reusable.set(false);
        self.pin_io().poll_shutdown(cx)
    }
}

impl ActixStream for CallConnection {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Readiness>> {
        ActixStream::poll_read_ready(self.io(), cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Readiness>> {
        ActixStream::poll_write_ready(self.io(), cx)
    }
}

/// Connector that gives the HTTP client one connection, which is open already. A second request for
/// a connection fails.
#[derive(Clone)]
pub(super) struct SingleConnectionConnector(Rc<Cell<Option<CallConnection>>>);

impl SingleConnectionConnector {
    /// Creates an HTTP client for one call over `connection`.
    pub(super) fn client(connection: CallConnection) -> Client {
        let connector = Self(Rc::new(Cell::new(Some(connection))));
        Client::builder()
            .connector(Connector::new().connector(connector))
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }
}

impl Service<ConnectInfo<Uri>> for SingleConnectionConnector {
    type Response = Connection<Uri, CallConnection>;
    type Error = ConnectError;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connection = self.0.take();
        ready(match connection {
            Some(connection) => Ok(Connection::new(info.request().clone(), connection)),
            None => Err(ConnectError::Unresolved),
        })
    }
}
