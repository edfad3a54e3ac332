//! Request bodies of calls of plain services.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_http::{
    Payload,
    body::{BodySize, BoxBody, MessageBody, None as NoBody},
    header::{self, HeaderMap},
};
use bytes::Bytes;
use futures_util::Stream;
use tokio::time::{Instant, Sleep, sleep};

use crate::body::declared_length;

/// Largest body, in bytes, that is buffered before the call is sent so that it can be sent again.
pub(super) const MAX_BUFFERED_BYTES: u64 = 64 << 10;

type Error = Box<dyn std::error::Error>;

/// Body of a call.
pub(super) enum CallBody {
    /// Read completely; can be sent again.
    Buffered(Bytes),
    /// Streamed from the caller; can be sent once. `None` after that.
    Streamed(Option<StreamedBody>),
}

impl CallBody {
    /// The body for the next attempt; a streamed body is moved out by the first call.
    pub(super) fn for_next_attempt(&mut self) -> BoxBody {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => BoxBody::new(NoBody::new()),
            Self::Buffered(bytes) => BoxBody::new(bytes.clone()),
            Self::Streamed(body) => match body.take() {
                Some(body) => BoxBody::new(body),
                None => BoxBody::new(NoBody::new()),
            },
        }
    }

    /// Whether another attempt would have the complete body.
    pub(super) fn can_be_sent_again(&self) -> bool {
        matches!(self, Self::Buffered(_) | Self::Streamed(Some(_)))
    }
}

/// A body that is streamed from the caller. Fails if the caller sends nothing for `stall_timeout`.
pub(super) struct StreamedBody {
    payload: Payload,
    length: Option<u64>,
    stall_timeout: Duration,
    stall_timer: Pin<Box<Sleep>>,
}

impl StreamedBody {
    /// Wraps the payload of a request with these headers; the stall timer starts now.
    pub(super) fn new(payload: Payload, headers: &HeaderMap, stall_timeout: Duration) -> Self {
        Self {
            payload,
            length: declared_length(headers),
            stall_timeout,
            stall_timer: Box::pin(sleep(stall_timeout)),
        }
    }
}

impl MessageBody for StreamedBody {
    type Error = Error;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        if let Poll::Ready(piece) = Pin::new(&mut self.payload).poll_next(cx) {
            let until = Instant::now() + self.stall_timeout;
            self.stall_timer.as_mut().reset(until);
            return Poll::Ready(piece.map(|piece| piece.map_err(Into::into)));
        }
        ready!(self.stall_timer.as_mut().poll(cx));
        Poll::Ready(Some(Err("the caller paused within its body".into())))
    }
}

/// Whether a request with these headers has a body.
pub(super) fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) || declared_length(headers).unwrap_or(0) > 0
}
