//! Answers of upstreams. A body that ends early is an error, never a short body.
//!
//! An orderly close proves nothing by itself: a process that ends in the middle of an answer closes
//! its connections in order too. Event streams are therefore also checked for the end of their last
//! event.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    BoxedPayloadStream, StatusCode, Version,
    header::{self, HeaderMap},
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time::timeout;

use super::{
    CallError, EventTooLargeSnafu, IncompleteSnafu, StalledSnafu, TooLargeSnafu,
    connection::CallProgress, unfinished::UnfinishedPart,
};
use crate::event_stream::EventPosition;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Largest event of a stream, in bytes. Events are buffered until they are complete where a stream
/// may be resumed.
const MAX_EVENT_BYTES: u64 = 256 << 10;

/// Bytes of an answer without a length for which memory is asked at a time.
const HELD_STEP_BYTES: usize = 64 << 10;

/// An upstream's answer: the head, and the body that is yet to be read.
pub struct UpstreamAnswer {
    /// Status code.
    pub status: StatusCode,
    /// All headers as received, including hop-by-hop ones.
    pub headers: HeaderMap,
    /// Reads the body.
    pub body: AnswerBody,
}

/// Body of an answer, read piece by piece. Dropping it before its end closes the connection.
pub struct AnswerBody {
    addr: SocketAddr,
    res: ClientResponse<BoxedPayloadStream>,
    progress: Rc<CallProgress>,
    framing: Framing,
    keep_alive: bool,
    bytes_read: u64,
    has_media_type: bool,
    /// Position in the stream of events; `None` if the answer is none.
    events: Option<EventPosition>,
    /// The event that has not ended yet.
    event_part: UnfinishedPart,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By the length in `content-length`, in bytes.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl Framing {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }
}

impl UpstreamAnswer {
    /// `has_id` is whether the answer carries the identifier of its request. The bytes of unfinished
    /// events are counted by `event_part`.
    pub(super) fn new(
        addr: SocketAddr,
        res: ClientResponse<BoxedPayloadStream>,
        progress: Rc<CallProgress>,
        (has_id, event_part): (bool, UnfinishedPart),
    ) -> Self {
        let status = res.status();
        let headers = res.headers().clone();
        let body = AnswerBody {
            addr,
            framing: body_framing(&headers),
            keep_alive: has_id && allows_keep_alive(&res),
            res,
            progress,
            bytes_read: 0,
            has_media_type: headers.contains_key(header::CONTENT_TYPE),
            events: is_event_stream(&headers).then(EventPosition::default),
            event_part,
        };
        Self {
            status,
            headers,
            body,
        }
    }
}

impl AnswerBody {
    /// Reads the next piece; `None` means that the body is complete. Fails when the body ends early
    /// or no bytes arrive for longer than `stall`.
    pub async fn next(&mut self, stall: Duration) -> Result<Option<Bytes>, CallError> {
        let addr = self.addr;
        let Ok(piece) = timeout(stall, self.res.next()).await else {
            return StalledSnafu { addr, after: stall }.fail();
        };
        match piece {
            Some(Ok(bytes)) => {
                self.bytes_read += bytes.len() as u64;
                self.progress.record_body(bytes.len() as u64);
                if let Some(events) = &mut self.events {
                    events.advance(&bytes);
                    let unfinished = events.unfinished_bytes();
                    let grows = unfinished > self.event_part.bytes();
                    let limit = if grows && !self.event_part.may_grow() {
                        self.event_part.bytes()
                    } else {
                        MAX_EVENT_BYTES
                    };
                    if unfinished > limit {
                        return EventTooLargeSnafu { addr, limit }.fail();
                    }
                    self.event_part.set(unfinished);
                }
                Ok(Some(bytes))
            }
            Some(Err(e)) => IncompleteSnafu {
                addr,
                reason: e.to_string(),
            }
            .fail(),
            None => self.check_end(),
        }
    }

    /// Treats an answer without a media type as a stream of events, because one was asked for.
    pub fn expect_events(&mut self) {
        if !self.has_media_type {
            self.events = Some(EventPosition::default());
        }
    }

    /// Whether the answer is a stream of events, or has no media type that says what it is.
    pub fn may_be_events(&self) -> bool {
        self.is_event_stream() || !self.has_media_type
    }

    /// Whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.events.is_some()
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Bytes read since the end of the last event; 0 if the answer is not a stream of events.
    pub fn unfinished_event_bytes(&self) -> u64 {
        self.events.map_or(0, |events| events.unfinished_bytes())
    }

    /// Reads the rest of the body. Fails when that exceeds `limit` bytes.
    pub async fn read_all(&mut self, limit: usize, stall: Duration) -> Result<Bytes, CallError> {
        let mut buf = BytesMut::new();
        while let Some(piece) = self.next(stall).await? {
            if buf.len() + piece.len() > limit {
                let addr = self.addr;
                return TooLargeSnafu { addr, limit }.fail();
            }
            buf.extend_from_slice(&piece);
        }
        Ok(buf.freeze())
    }

    /// Like [`Self::read_all`], but asks `hold` before it buffers more, for the whole `length` if that is
    /// known. `hold` returns false if there is no memory for so many more bytes, which ends the read
    /// with `TooLarge`.
    pub async fn read_held<F>(
        &mut self,
        limit: usize,
        length: Option<u64>,
        stall: Duration,
        hold: F,
    ) -> Result<Bytes, CallError>
    where
        F: AsyncFn(usize) -> bool,
    {
        let addr = self.addr;
        let length = length.map(|n| usize::try_from(n).unwrap_or(usize::MAX));
        let mut granted = length.unwrap_or(0);
        if granted > limit || granted > 0 && !hold(granted).await {
            return TooLargeSnafu { addr, limit }.fail();
        }
        let mut buf = BytesMut::with_capacity(granted);
        while let Some(piece) = self.next(stall).await? {
            let needed = buf.len() + piece.len();
            if needed > limit {
                return TooLargeSnafu { addr, limit }.fail();
            }
            if needed > granted {
                let step = (needed - granted).max(HELD_STEP_BYTES);
                if !hold(step).await {
                    return TooLargeSnafu {
                        addr,
                        limit: granted,
                    }
                    .fail();
                }
                granted += step;
            }
            buf.extend_from_slice(&piece);
        }
        Ok(buf.freeze())
    }

    /// Checks that the body is complete and, if so, lets the connection be reused where possible.
    ///
    /// The HTTP client treats the end of the connection as the end of any body, also of one that
    /// declares a length or is chunked.
    fn check_end(&self) -> Result<Option<Bytes>, CallError> {
        let is_complete = match self.framing {
            Framing::Length(length) => self.bytes_read == length,
            Framing::Chunked => !self.progress.has_ended(),
            // A clean close marks the end of the body; a reset does not.
            Framing::UntilClose => !self.progress.has_failed(),
        };
        if !is_complete {
            return self.incomplete("the connection was closed");
        }
        if self.unfinished_event_bytes() > 0 {
            return self.incomplete("the stream ended inside an event");
        }
        // A clean close is also what a process leaves behind that ends before its first event.
        let closed_before_body = self.framing == Framing::UntilClose && self.bytes_read == 0;
        if closed_before_body && self.events.is_some() {
            return self.incomplete("the stream ended before its first event");
        }
        if self.keep_alive && self.framing != Framing::UntilClose {
            self.progress.set_reusable();
        }
        Ok(None)
    }

    fn incomplete<T>(&self, reason: &str) -> Result<T, CallError> {
        let addr = self.addr;
        IncompleteSnafu { addr, reason }.fail()
    }
}

fn body_framing(headers: &HeaderMap) -> Framing {
    let chunked = headers
        .get(header::TRANSFER_ENCODING)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    if chunked {
        return Framing::Chunked;
    }
    headers
        .get(header::CONTENT_LENGTH)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.trim().parse().ok())
        .map_or(Framing::UntilClose, Framing::Length)
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers
        .get(header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split(';').next());
    media_type.is_some_and(|v| v.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

fn allows_keep_alive(res: &ClientResponse<BoxedPayloadStream>) -> bool {
    let closes = res
        .headers()
        .get(header::CONNECTION)
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().contains("close"));
    res.version() == Version::HTTP_11 && !closes
}
