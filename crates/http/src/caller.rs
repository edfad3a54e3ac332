//! A caller's connection.
//!
//! The HTTP server does not poll the connection while a handler runs, so it does not notice that
//! the caller has disconnected. Handlers therefore watch the connection themselves; otherwise the
//! request of a disconnected caller would keep its token reservation and count as demand.

use std::{
    cell::Cell,
    future::Future,
    io,
    net::SocketAddr,
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

use crate::{
    memory::{
        CallerMemory, ConnectionMemory, RETRY_INTERVAL,
        budget::Activity,
        request_end::{HeadScanner, body_length},
    },
    shutdown::{Phase, ShutdownState},
};

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
/// Bytes of a body that are read before the HTTP server hands them on.
const BODY_BURST_BYTES: usize = 32 << 10;
/// The same where the end of the body is not known, so that what follows it may be pipelined requests.
/// Each of them takes many times its length once it is parsed.
const CHUNKED_BURST_BYTES: usize = 4 << 10;

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
    /// Runs while there is no memory to read more.
    memory_timer: Option<Pin<Box<Sleep>>>,
    scanner: HeadScanner,
    /// Whether bytes of an incomplete header section were handed over.
    is_within_head: bool,
    /// Bytes that were read and belong to a later request.
    leftover: Vec<u8>,
    /// Bytes handed over since the HTTP server was last given time to process them.
    burst: usize,
    /// Bytes that the caller has not taken, as of the last write.
    unsent: usize,
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
    /// Whether the connection is reset when it closes.
    is_reset_on_close: Cell<bool>,
    phase: Cell<ReadPhase>,
    /// Bytes after the header section that were handed over with it; `None` if it was not scanned.
    bytes_after_head: Cell<Option<u64>>,
    memory: ConnectionMemory,
}

/// What the connection reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// A header section.
    Head,
    /// Nothing until the HTTP server has seen the header section that was handed over.
    Parsing,
    /// What the handler of a request reads, which has not declared a body.
    Any,
    /// The body of the request that is being answered, and its rest if that is known.
    Body(Option<u64>),
    /// Nothing until the request has been answered: what follows belongs to the next one.
    Hold,
    /// The rest of a body that nobody wants.
    Discard,
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
    pub fn new(
        io: TcpStream,
        peer: SocketAddr,
        memory: &Rc<CallerMemory>,
        timeouts: CallerTimeouts,
        shutdown: Rc<ShutdownState>,
    ) -> Self {
        let shared = SharedConnection {
            io,
            active_requests: Cell::new(0),
            has_read_since_request: Cell::new(false),
            receivable_bytes: Cell::new(u64::MAX),
            is_aborted: Cell::new(false),
            is_reset_on_close: Cell::new(false),
            phase: Cell::new(ReadPhase::Head),
            bytes_after_head: Cell::new(None),
            memory: memory.open(peer.ip()),
        };
        Self {
            shared: Rc::new(shared),
            timeouts,
            shutdown,
            stall_timer: None,
            wait_timer: None,
            memory_timer: None,
            scanner: HeadScanner::default(),
            is_within_head: false,
            leftover: Vec::new(),
            burst: 0,
            unsent: 0,
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
        self.0.phase.set(ReadPhase::Any);
        self.0.memory.begin_request();
        ActiveRequest(Rc::clone(&self.0))
    }

    /// Declares that the request has a body, of this length if that is known.
    pub fn expect_body(&self, length: Option<u64>) {
        let after_head = self.0.bytes_after_head.take();
        let rest = length.and_then(|length| Some(length.saturating_sub(after_head?)));
        self.0.phase.set(ReadPhase::Body(rest));
        self.0.memory.set_activity(Activity::SendsBody);
    }

    /// Declares that the request is complete. Nothing more is read until it has been answered.
    pub fn end_body(&self) {
        self.0.phase.set(ReadPhase::Hold);
        self.0.memory.set_activity(Activity::Served);
    }

    /// Whether there is memory for a body of this length, in bytes.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.0.memory.has_room(bytes)
    }

    /// Completes when there is no memory for the request that is being read.
    pub async fn refused(&self) {
        self.0.memory.refused().await;
    }

    /// Counts a piece of a stream until [`Self::release_piece`]. Waits while there is no memory for it,
    /// unless no other piece of the stream waits for the caller.
    pub async fn hold_piece<F>(&self, bytes: usize, is_queue_empty: F)
    where
        F: Fn() -> bool,
    {
        self.0.memory.hold_piece(bytes, is_queue_empty).await;
    }

    /// Releases a piece of a stream that was handed to the HTTP server.
    pub fn release_piece(&self, bytes: usize) {
        self.0.memory.release_piece(bytes);
    }

    /// Counts bytes that are buffered for the caller until the request has been answered. Waits until
    /// there is memory for them; false if there will be none.
    pub async fn hold_buffered(&self, bytes: usize) -> bool {
        self.0.memory.hold_buffered(bytes).await
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

    /// Resets the connection when it closes: where only the close marks the end of a response, an orderly
    /// one would make an incomplete response look complete.
    pub fn reset_on_close(&self) {
        self.0
            .is_reset_on_close
            .set(self.0.io.set_zero_linger().is_ok());
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
        self.0.memory.release();
        self.0.bytes_after_head.set(None);
        if let ReadPhase::Body(None | Some(1..)) = self.0.phase.get() {
            // The rest of a body may follow. The HTTP server discards it.
            self.0.phase.set(ReadPhase::Discard);
            self.0.memory.set_activity(Activity::SendsBody);
        } else {
            self.0.receivable_bytes.set(u64::MAX);
            self.0.phase.set(ReadPhase::Head);
        }
        self.0.memory.wake();
    }
}

impl CallerStream {
    /// Bytes that may be handed over now, at most `wanted`; 0 if the HTTP server has to wait.
    fn max_read(&self, wanted: usize) -> usize {
        let max = match self.shared.phase.get() {
            ReadPhase::Head => wanted,
            ReadPhase::Parsing | ReadPhase::Hold => 0,
            ReadPhase::Body(Some(rest)) => {
                let rest = usize::try_from(rest).unwrap_or(usize::MAX);
                rest.min(BODY_BURST_BYTES.saturating_sub(self.burst))
            }
            ReadPhase::Any => BODY_BURST_BYTES.saturating_sub(self.burst),
            ReadPhase::Body(None) | ReadPhase::Discard => {
                CHUNKED_BURST_BYTES.saturating_sub(self.burst)
            }
        };
        max.min(wanted)
    }

    /// Records bytes that follow in the phase. Returns how many of them are handed over.
    fn hand_over(&mut self, bytes: &[u8]) -> usize {
        match self.shared.phase.get() {
            ReadPhase::Head => self.hand_over_head(bytes),
            ReadPhase::Body(Some(rest)) => {
                let rest = rest.saturating_sub(bytes.len() as u64);
                self.shared.phase.set(ReadPhase::Body(Some(rest)));
                bytes.len()
            }
            _ => bytes.len(),
        }
    }

    fn hand_over_head(&mut self, bytes: &[u8]) -> usize {
        let Some(end) = self.scanner.scan(bytes) else {
            if !self.is_within_head && !bytes.is_empty() {
                self.is_within_head = true;
                self.shared.memory.begin_head();
            }
            return bytes.len();
        };
        self.is_within_head = false;
        self.shared.memory.set_activity(Activity::Idle);
        self.shared.phase.set(ReadPhase::Parsing);
        let rest = (bytes.len() - end) as u64;
        if rest > 0 && body_length(&bytes[..end]).is_some_and(|length| rest <= length) {
            self.shared.bytes_after_head.set(Some(rest));
            return bytes.len();
        }
        self.shared.bytes_after_head.set(Some(0));
        end
    }

    /// Stops reading until the HTTP server has processed what it was given, if it has to.
    fn poll_pause(&mut self, cx: &mut Context<'_>) -> Option<Poll<io::Result<()>>> {
        match self.shared.phase.get() {
            // The request ends, or the handler reads on, by a wake-up of its own.
            ReadPhase::Hold | ReadPhase::Body(Some(0)) => Some(Poll::Pending),
            ReadPhase::Parsing => {
                // Reached once more before the request begins only if there is no valid request.
                self.shared.phase.set(ReadPhase::Head);
                if !self.leftover.is_empty() {
                    cx.waker().wake_by_ref();
                    return Some(Poll::Pending);
                }
                match self.shared.io.poll_read_ready(cx) {
                    Poll::Ready(_) => {
                        cx.waker().wake_by_ref();
                        Some(Poll::Pending)
                    }
                    Poll::Pending => Some(self.poll_wait_timeout(cx)),
                }
            }
            ReadPhase::Any | ReadPhase::Body(_) | ReadPhase::Discard if self.max_read(1) == 0 => {
                self.burst = 0;
                cx.waker().wake_by_ref();
                Some(Poll::Pending)
            }
            _ => None,
        }
    }

    /// Bytes that there is memory for, at most `wanted`. Pending while there is none.
    fn poll_room(&mut self, cx: &mut Context<'_>, wanted: usize) -> Poll<usize> {
        if self.shared.phase.get() == ReadPhase::Discard {
            return Poll::Ready(wanted);
        }
        loop {
            let room = self.shared.memory.readable(wanted);
            if room > 0 {
                self.memory_timer = None;
                return Poll::Ready(room);
            }
            let timer = self
                .memory_timer
                .get_or_insert_with(|| Box::pin(sleep(RETRY_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.memory_timer = None;
        }
    }

    fn check_open(&self, cx: &Context<'_>) -> io::Result<()> {
        self.shared.memory.set_waker(cx.waker());
        if self.shared.memory.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(cx)?;
        if let Some(paused) = self.poll_pause(cx) {
            return paused;
        }
        let wanted = self.max_read(buf.remaining());
        if !self.leftover.is_empty() {
            let length = wanted.min(self.leftover.len());
            let leftover = std::mem::take(&mut self.leftover);
            let handed_over = self.hand_over(&leftover[..length]);
            buf.put_slice(&leftover[..handed_over]);
            self.leftover = leftover;
            self.leftover.drain(..handed_over);
            self.shared.has_read_since_request.set(true);
            self.burst += handed_over;
            return Poll::Ready(Ok(()));
        }
        loop {
            let Poll::Ready(readiness) = self.shared.io.poll_read_ready(cx) else {
                self.burst = 0;
                return self.poll_wait_timeout(cx);
            };
            readiness?;
            let Poll::Ready(room) = self.poll_room(cx, wanted) else {
                return self.poll_wait_timeout(cx);
            };
            match self
                .shared
                .io
                .try_read(&mut buf.initialize_unfilled()[..room])
            {
                Ok(n) => {
                    self.shared.has_read_since_request.set(true);
                    self.shared.record_received(n)?;
                    if self.shared.phase.get() != ReadPhase::Discard {
                        self.shared.memory.hold_read(n);
                    }
                    let read = &buf.initialize_unfilled()[..n];
                    let handed_over = self.hand_over(read);
                    self.leftover.extend_from_slice(&read[handed_over..]);
                    buf.advance(handed_over);
                    self.burst += handed_over;
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
        self.check_open(cx)?;
        if self.shared.is_aborted.get() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        loop {
            let Poll::Ready(readiness) = self.shared.io.poll_write_ready(cx) else {
                if self.unsent != buf.len() {
                    self.unsent = buf.len();
                    self.shared.memory.set_unsent(buf.len(), 0);
                }
                ready!(self.poll_stall_timeout(cx))?;
                return Poll::Pending;
            };
            readiness?;
            match self.shared.io.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.stall_timer = None;
                    if let Ok(written) = result
                        && self.unsent > 0
                    {
                        self.unsent = buf.len() - written;
                        self.shared.memory.set_unsent(self.unsent, written);
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_open(cx)?;
        if self.shared.is_reset_on_close.get() {
            return Poll::Ready(Ok(()));
        }
        // Handlers may still hold the socket, which closes when its last handle is dropped.
        // Shutting down the write side tells the caller at once.
        let result = std::os::fd::AsFd::as_fd(&self.shared.io)
            .try_clone_to_owned()
            .map(std::net::TcpStream::from)
            .and_then(|io| io.shutdown(std::net::Shutdown::Write));
        Poll::Ready(result)
    }
}
