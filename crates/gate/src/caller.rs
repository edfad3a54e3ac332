//! A caller's connection.
//!
//! The HTTP server does not look at the connection while a request waits for its handler, so a
//! handler watches it by itself; otherwise the tokens and the demand of a caller that has left
//! would stay taken.

use std::{
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

/// Period of looking again at a connection that has unread data.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// A caller's connection as the HTTP server reads and writes it.
pub(crate) struct CallerStream {
    io: Rc<TcpStream>,
    stall: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

/// A caller's connection as handlers watch it.
#[derive(Clone)]
pub struct Caller(Rc<TcpStream>);

impl CallerStream {
    /// Wraps a connection; a write that makes no progress for `stall` fails.
    pub(crate) fn new(io: TcpStream, stall: Duration) -> Self {
        Self {
            io: Rc::new(io),
            stall,
            stalled: None,
        }
    }

    /// The connection, to be watched.
    pub(crate) fn caller(&self) -> Caller {
        Caller(Rc::clone(&self.io))
    }

    fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stall = self.stall;
        let timer = self.stalled.get_or_insert_with(|| Box::pin(sleep(stall)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Caller {
    /// Completes when the caller has closed its side of the connection.
    pub async fn left(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(readiness) if !readiness.is_read_closed() => {}
                _ => return,
            }
            sleep(LOOK_PERIOD).await;
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.io.poll_read_ready(cx))?;
            match self.io.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
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
            let Poll::Ready(writable) = self.io.poll_write_ready(cx) else {
                ready!(self.poll_stalled(cx))?;
                return Poll::Pending;
            };
            writable?;
            match self.io.try_write(buf) {
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
        let shut = std::os::fd::AsFd::as_fd(&*self.io)
            .try_clone_to_owned()
            .map(std::net::TcpStream::from)
            .and_then(|io| io.shutdown(std::net::Shutdown::Write));
        Poll::Ready(shut)
    }
}
