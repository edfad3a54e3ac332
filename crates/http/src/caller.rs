//! A caller's connection.
//!
//! The HTTP server does not poll the connection while a handler runs, so it does not notice that
//! the caller has disconnected. Handlers therefore watch the connection themselves; otherwise the
//! request of a disconnected caller would keep its token reservation and count as demand.

use std::{
    cell::Cell,
    future::Future,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::shutdown::{Phase, ShutdownState};

/// Time by which the connection outlasts the head timeout, so that the HTTP server can answer a
/// slow head before the connection is closed.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_millis(250);
/// Interval between checks for a disconnect while the connection has unread data, which keeps it
/// readable all the time.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Most bytes of a request with a body that belong to no body, such as chunk headers and trailers,
/// beside those that [`MAX_OVERHEAD_RATIO`] allows.
const MAX_OVERHEAD_BYTES: u64 = 256 << 10;
/// Most bytes that are received for each byte that the body may have. Chunks of one byte need six.
const MAX_OVERHEAD_RATIO: u64 = 16;

/// Timeouts of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerTimeouts {
    /// Longest time that a write may block.
    pub stall: Duration,
    /// Longest time from the first to the last byte of a request head.
    pub head: Duration,
    /// Longest time that the connection may stay idle between two requests.
    pub idle: Duration,
}

/// A caller's connection as the HTTP server reads and writes it.
///
/// The HTTP server limits the time for the first request head only. A later head that is never
/// completed would keep the connection open, and delay a planned stop, for ever. Reads between
/// requests therefore time out here.
pub struct CallerStream {
    shared: Rc<SharedConnection>,
    timeouts: CallerTimeouts,
    shutdown: Rc<ShutdownState>,
    stall_timer: Option<Pin<Box<Sleep>>>,
    wait_timer: Option<(WaitFor, Pin<Box<Sleep>>)>,
}

/// Handle to a caller's connection, for handlers that watch it for a disconnect.
#[derive(Clone)]
pub struct CallerConnection(Rc<SharedConnection>);

/// Marks a request of the connection as being answered until it is dropped. Meanwhile the timeouts
/// between requests don't apply.
pub struct ActiveRequest(Rc<SharedConnection>);

struct SharedConnection {
    io: TcpStream,
    /// Number of requests that are being answered.
    active_requests: Cell<usize>,
    /// Whether any bytes were read since the last request began or ended.
    has_read_since_request: Cell<bool>,
    /// Bytes that the connection may still receive before the next request.
    receivable_bytes: Cell<u64>,
    /// Whether nothing more may be written.
    is_aborted: Cell<bool>,
}

/// What a connection waits for while no request is being answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaitFor {
    /// The first byte of the next request.
    NextRequest,
    /// The rest of a request head.
    RestOfHead,
    /// The HTTP server to close it, because the process is draining.
    Close,
}

impl SharedConnection {
    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let receivable = self.receivable_bytes.get();
        if receivable == u64::MAX {
            return Ok(());
        }
        let Some(rest) = receivable.checked_sub(bytes as u64) else {
            let reason = "too many bytes that belong to no body";
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        };
        self.receivable_bytes.set(rest);
        Ok(())
    }
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(io: TcpStream, timeouts: CallerTimeouts, shutdown: Rc<ShutdownState>) -> Self {
        let shared = SharedConnection {
            io,
            active_requests: Cell::new(0),
            has_read_since_request: Cell::new(false),
            receivable_bytes: Cell::new(u64::MAX),
            is_aborted: Cell::new(false),
        };
        Self {
            shared: Rc::new(shared),
            timeouts,
            shutdown,
            stall_timer: None,
            wait_timer: None,
        }
    }

    /// Handle for watching the connection.
    pub fn caller(&self) -> CallerConnection {
        CallerConnection(Rc::clone(&self.shared))
    }

    fn wait_for(&self) -> Option<WaitFor> {
        if self.shared.active_requests.get() > 0 {
            return None;
        }
        Some(if self.shared.has_read_since_request.get() {
            WaitFor::RestOfHead
        } else if self.shutdown.phase() == Phase::Draining {
            WaitFor::Close
        } else {
            WaitFor::NextRequest
        })
    }

    /// Fails with `TimedOut` once a connection without a request has exceeded the timeout of what
    /// it waits for.
    fn poll_wait_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(wait_for) = self.wait_for() else {
            self.wait_timer = None;
            return Poll::Pending;
        };
        if self
            .wait_timer
            .as_ref()
            .is_none_or(|(timed, _)| *timed != wait_for)
        {
            // The HTTP server answers a slow first head itself, after `timeouts.head`.
            let limit = match wait_for {
                WaitFor::NextRequest => self.timeouts.idle,
                WaitFor::RestOfHead | WaitFor::Close => self.timeouts.head + HEAD_TIMEOUT_MARGIN,
            };
            self.wait_timer = Some((wait_for, Box::pin(sleep(limit))));
        }
        if let Some((_, timer)) = &mut self.wait_timer {
            ready!(timer.as_mut().poll(cx));
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Fails with `TimedOut` once a write has been blocked for longer than the stall timeout.
    fn poll_stall_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stall = self.timeouts.stall;
        let timer = self
            .stall_timer
            .get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl CallerConnection {
    /// Marks a request as being answered until the returned guard is dropped.
    pub fn begin_request(&self) -> ActiveRequest {
        self.0.active_requests.set(self.0.active_requests.get() + 1);
        self.0.has_read_since_request.set(false);
        self.0.receivable_bytes.set(u64::MAX);
        ActiveRequest(Rc::clone(&self.0))
    }

    /// Limits what the connection receives until the next request begins, for a body of at most
    /// `body_bytes`. Bytes that belong to no body do not count as its length.
    pub fn limit_body(&self, body_bytes: usize) {
        let bytes = (body_bytes as u64).saturating_mul(MAX_OVERHEAD_RATIO);
        let receivable = bytes.saturating_add(MAX_OVERHEAD_BYTES);
        self.0.receivable_bytes.set(receivable);
    }

    /// Completes when the caller has closed at least its sending direction, or the connection has
    /// failed.
    ///
    /// A caller that has closed both directions cannot be told from one that still reads before
    /// something is written: both have sent the end of their input, and nothing else.
    pub async fn closed(&self) {
        loop {
            match self.0.io.ready(Interest::READABLE).await {
                Ok(readiness) if !readiness.is_read_closed() => {}
                _ => return,
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Completes when the connection has failed, as when the caller has reset it, or has closed it in
    /// both directions and something was written since. The end of input alone does not count.
    pub async fn failed(&self) {
        loop {
            match self.0.io.ready(Interest::ERROR).await {
                Ok(readiness) if !readiness.is_error() => {}
                _ => return,
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Closes the connection without writing anything more. Once the handler ends, the HTTP server
    /// closes it instead of writing the response.
    pub fn abort(&self) {
        self.0.is_aborted.set(true);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
        self.0.has_read_since_request.set(false);
        self.0.receivable_bytes.set(u64::MAX);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let Poll::Ready(readiness) = self.shared.io.poll_read_ready(cx) else {
                return self.poll_wait_timeout(cx);
            };
            readiness?;
            match self.shared.io.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    self.shared.has_read_since_request.set(true);
                    self.shared.record_received(n)?;
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.shared.is_aborted.get() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        loop {
            let Poll::Ready(readiness) = self.shared.io.poll_write_ready(cx) else {
                ready!(self.poll_stall_timeout(cx))?;
                return Poll::Pending;
            };
            readiness?;
            match self.shared.io.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.stall_timer = None;
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Handlers may still hold the socket, which closes when its last handle is dropped.
        // Shutting down the write side tells the caller at once.
        let result = std::os::fd::AsFd::as_fd(&self.shared.io)
            .try_clone_to_owned()
            .map(std::net::TcpStream::from)
            .and_then(|io| io.shutdown(std::net::Shutdown::Write));
        Poll::Ready(result)
    }
}
