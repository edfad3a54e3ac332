//! A caller's connection.
//!
//! The HTTP server does not look at the connection while a request waits for its handler, so a
//! handler watches it by itself; otherwise the tokens and the demand of a caller that has left
//! would stay taken.

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

use crate::stopping::{Phase, Stopping};

/// Time that the server has for answering a slow head before the connection is cut.
const HEAD_MARGIN: Duration = Duration::from_millis(250);
/// Period of looking again at a connection that has unread data.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Time limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Longest time without progress of a write.
    pub stall: Duration,
    /// Longest time from the first byte of a head to its end.
    pub head: Duration,
    /// Longest time between two requests.
    pub idle: Duration,
}

/// A caller's connection as the HTTP server reads and writes it.
///
/// The server limits the time of the first head only. After that, half a head would keep a
/// connection open, and a stop waiting, for ever; so the time between requests is limited here.
pub struct CallerStream {
    shared: Rc<Shared>,
    limits: CallerLimits,
    stopping: Rc<Stopping>,
    stalled: Option<Pin<Box<Sleep>>>,
    between: Option<(Pause, Pin<Box<Sleep>>)>,
}

/// A caller's connection as handlers watch it.
#[derive(Clone)]
pub struct Caller(Rc<Shared>);

/// A request of a connection that is being answered, until it is dropped.
pub struct Busy(Rc<Shared>);

struct Shared {
    io: TcpStream,
    /// Requests that are being answered.
    busy: Cell<usize>,
    /// Whether something was read since the last request began.
    has_read: Cell<bool>,
}

/// What a connection without a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Pause {
    /// The first byte of a request.
    Idle,
    /// The rest of a head.
    Head,
    /// Its end, because the gate stops.
    Stopping,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(io: TcpStream, limits: CallerLimits, stopping: Rc<Stopping>) -> Self {
        let shared = Shared {
            io,
            busy: Cell::new(0),
            has_read: Cell::new(false),
        };
        Self {
            shared: Rc::new(shared),
            limits,
            stopping,
            stalled: None,
            between: None,
        }
    }

    /// The connection, to be watched.
    pub fn caller(&self) -> Caller {
        Caller(Rc::clone(&self.shared))
    }

    fn pause(&self) -> Option<Pause> {
        if self.shared.busy.get() > 0 {
            return None;
        }
        Some(if self.shared.has_read.get() {
            Pause::Head
        } else if self.stopping.phase() == Phase::Draining {
            Pause::Stopping
        } else {
            Pause::Idle
        })
    }

    /// Fails when a connection without a request has waited for too long.
    fn poll_between(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(pause) = self.pause() else {
            self.between = None;
            return Poll::Pending;
        };
        if self.between.as_ref().is_none_or(|(of, _)| *of != pause) {
            // The server answers a slow first head by itself, a little earlier.
            let limit = match pause {
                Pause::Idle => self.limits.idle,
                Pause::Head | Pause::Stopping => self.limits.head + HEAD_MARGIN,
            };
            self.between = Some((pause, Box::pin(sleep(limit))));
        }
        if let Some((_, timer)) = &mut self.between {
            ready!(timer.as_mut().poll(cx));
        }
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stall = self.limits.stall;
        let timer = self.stalled.get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Caller {
    /// Notes a request that is being answered.
    pub fn begin(&self) -> Busy {
        self.0.busy.set(self.0.busy.get() + 1);
        self.0.has_read.set(false);
        Busy(Rc::clone(&self.0))
    }

    /// Completes when the caller has closed its side of the connection.
    pub async fn left(&self) {
        loop {
            match self.0.io.ready(Interest::READABLE).await {
                Ok(readiness) if !readiness.is_read_closed() => {}
                _ => return,
            }
            sleep(LOOK_PERIOD).await;
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.has_read.set(false);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let Poll::Ready(readable) = self.shared.io.poll_read_ready(cx) else {
                return self.poll_between(cx);
            };
            readable?;
            match self.shared.io.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    self.shared.has_read.set(true);
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
        loop {
            let Poll::Ready(writable) = self.shared.io.poll_write_ready(cx) else {
                ready!(self.poll_stalled(cx))?;
                return Poll::Pending;
            };
            writable?;
            match self.shared.io.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    self.stalled = None;
                    return Poll::Ready(done);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The socket is closed when the last handle is dropped; a half-close is sent right away.
        let shut = std::os::fd::AsFd::as_fd(&self.shared.io)
            .try_clone_to_owned()
            .map(std::net::TcpStream::from)
            .and_then(|io| io.shutdown(std::net::Shutdown::Write));
        Poll::Ready(shut)
    }
}
