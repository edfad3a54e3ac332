//! TCP streams that record the bytes they receive and can be reset at any time.

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

/// Maximum number of bytes that an [`InboundLog`] stores.
const INBOUND_LIMIT_BYTES: usize = 64 << 20;

/// Bytes received on one connection.
type ReceivedBytes = Rc<RefCell<Vec<u8>>>;

/// Bytes that a stand-in has received, per connection.
///
/// Tests search these raw bytes for leaked credentials, because parsed requests do not include
/// trailers.
#[derive(Clone, Default)]
pub(crate) struct InboundLog {
    connections: Rc<RefCell<Vec<ReceivedBytes>>>,
    total_bytes: Rc<Cell<usize>>,
}

impl InboundLog {
    /// Whether more than [`INBOUND_LIMIT_BYTES`] were received, so that some bytes were not stored.
    pub(crate) fn is_truncated(&self) -> bool {
        self.total_bytes.get() > INBOUND_LIMIT_BYTES
    }

    /// Number of connections whose stored bytes contain `text`, which must not be empty.
    pub(crate) fn count_connections_with(&self, text: &str) -> usize {
        let connections = self.connections.borrow();
        let contains = |bytes: &[u8]| bytes.windows(text.len()).any(|w| w == text.as_bytes());
        let matching = connections.iter().filter(|bytes| contains(&bytes.borrow()));
        matching.count()
    }

    fn add_connection(&self) -> ReceivedBytes {
        let received = Rc::default();
        self.connections.borrow_mut().push(Rc::clone(&received));
        received
    }

    fn record(&self, received: &RefCell<Vec<u8>>, bytes: &[u8]) {
        self.total_bytes.set(self.total_bytes.get() + bytes.len());
        if !self.is_truncated() {
            received.borrow_mut().extend_from_slice(bytes);
        }
    }
}

/// Handle that resets one connection.
#[derive(Clone, Default)]
pub(crate) struct ResetHandle {
    is_reset: Rc<Cell<bool>>,
}

impl ResetHandle {
    /// Makes all further reads and writes fail; the connection is reset when its stream is dropped.
    pub(crate) fn reset(&self) {
        self.is_reset.set(true);
    }

    fn check(&self) -> io::Result<()> {
        if self.is_reset.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

/// A TCP stream that can be reset through its [`ResetHandle`] and optionally records received
/// bytes.
pub(crate) struct RecordingStream {
    stream: TcpStream,
    breaker: ResetHandle,
    inbound: Option<(InboundLog, ReceivedBytes)>,
}

impl RecordingStream {
    pub(crate) fn new(stream: TcpStream, inbound: Option<&InboundLog>) -> Self {
        Self {
            stream,
            breaker: ResetHandle::default(),
            inbound: inbound.map(|inbound| (inbound.clone(), inbound.add_connection())),
        }
    }

    pub(crate) fn breaker(&self) -> ResetHandle {
        self.breaker.clone()
    }
}

impl Drop for RecordingStream {
    fn drop(&mut self) {
        if self.breaker.is_reset.get() {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for RecordingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.breaker.check()?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some((inbound, received)) = &self.inbound {
            inbound.record(received, &buf.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for RecordingStream {
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
