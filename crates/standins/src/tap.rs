//! Connections that record what they received and can be broken at any moment.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that an [`Inbound`] keeps at most.
const INBOUND_LIMIT_BYTES: usize = 64 << 20;

/// Bytes received on one connection.
type Log = Rc<RefCell<Vec<u8>>>;

/// All bytes that a stand-in has received on all its connections.
///
/// Leaked credentials are searched for here, because a parsed request no longer shows trailers.
#[derive(Clone, Default)]
pub(crate) struct Inbound {
    connections: Rc<RefCell<Vec<Log>>>,
    total: Rc<Cell<usize>>,
}

impl Inbound {
    /// Whether some bytes were left out because too many were received.
    pub(crate) fn is_truncated(&self) -> bool {
        self.total.get() > INBOUND_LIMIT_BYTES
    }

    /// Number of connections on which `text` was received.
    pub(crate) fn count(&self, text: &str) -> usize {
        let connections = self.connections.borrow();
        let contains = |bytes: &[u8]| bytes.windows(text.len()).any(|w| w == text.as_bytes());
        let found = connections.iter().filter(|bytes| contains(&bytes.borrow()));
        found.count()
    }

    fn open(&self) -> Log {
        let log = Rc::default();
        self.connections.borrow_mut().push(Rc::clone(&log));
        log
    }

    fn add(&self, log: &RefCell<Vec<u8>>, bytes: &[u8]) {
        self.total.set(self.total.get() + bytes.len());
        if !self.is_truncated() {
            log.borrow_mut().extend_from_slice(bytes);
        }
    }
}

/// Breaks one connection.
#[derive(Clone, Default)]
pub(crate) struct Breaker {
    broken: Rc<Cell<bool>>,
}

impl Breaker {
    /// Makes the connection fail at once: nothing more is read or written.
    pub(crate) fn cut(&self) {
        self.broken.set(true);
    }

    fn check(&self) -> io::Result<()> {
        if self.broken.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// A connection with its log and its breaker.
pub(crate) struct Tap {
    stream: TcpStream,
    breaker: Breaker,
    inbound: Option<(Inbound, Log)>,
}

impl Tap {
    pub(crate) fn new(stream: TcpStream, inbound: Option<&Inbound>) -> Self {
        Self {
            stream,
            breaker: Breaker::default(),
            inbound: inbound.map(|inbound| (inbound.clone(), inbound.open())),
        }
    }

    pub(crate) fn breaker(&self) -> Breaker {
        self.breaker.clone()
    }
}

impl Drop for Tap {
    fn drop(&mut self) {
        if self.breaker.broken.get() {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Tap {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.breaker.check()?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some((inbound, log)) = &self.inbound {
            inbound.add(log, &buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for Tap {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.breaker.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
