//! Reading of request bodies, and response bodies for the HTTP server.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_http::{
    Payload,
    body::{BodySize, BoxBody, MessageBody},
    error::PayloadError,
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use snafu::Snafu;
use tokio::{sync::mpsc, time::timeout};

use crate::upstream::CallError;

type BoxError = Box<dyn std::error::Error>;

/// An answer's body that owns a guard for as long as it exists.
struct GuardedBody<G> {
    body: BoxBody,
    _guard: G,
}

/// Attaches `guard` to an answer's body. The HTTP server drops both once the body was sent or the
/// connection has ended, so that a guard can count the answer as in flight until then.
pub fn attach_guard<G>(body: BoxBody, guard: G) -> BoxBody
where
    G: Unpin + 'static,
{
    BoxBody::new(GuardedBody {
        body,
        _guard: guard,
    })
}

impl<G> MessageBody for GuardedBody<G>
where
    G: Unpin,
{
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// Value of `content-length`; `None` if the header is missing or not a number.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// An answer's body that another task sends piece by piece over a channel.
///
/// Unless the task sends [`BodyPiece::End`], the body ends with an error. The connection then
/// closes without the proper end of the body, so that the caller can tell that it is truncated.
pub struct RelayedBody {
    pieces: mpsc::Receiver<BodyPiece>,
    length: Option<u64>,
}

/// A message of the task that relays an answer's body.
pub enum BodyPiece {
    /// Next bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The upstream failed, so that the body stays incomplete.
    Failed(CallError),
}

impl RelayedBody {
    /// Creates a body from the pieces. Without a `length` the HTTP server sends it chunked.
    pub fn new(pieces: mpsc::Receiver<BodyPiece>, length: Option<u64>) -> Self {
        Self { pieces, length }
    }
}

impl MessageBody for RelayedBody {
    type Error = BoxError;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BoxError>>> {
        let piece = match ready!(self.pieces.poll_recv(cx)) {
            Some(BodyPiece::Bytes(bytes)) => Some(Ok(bytes)),
            Some(BodyPiece::End) => None,
            Some(BodyPiece::Failed(e)) => Some(Err(e.into())),
            None => Some(Err(
                "the relaying task stopped before the body was complete".into(),
            )),
        };
        Poll::Ready(piece)
    }
}

/// Why the body of a request could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadError {
    /// The declared or the received length exceeds the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// No bytes arrived within the stall limit.
    #[snafu(display("the body paused for more than {} ms", stall.as_millis()))]
    TooSlow {
        /// Longest time allowed between two pieces.
        stall: Duration,
    },
    /// The connection failed, or the encoding of the body is invalid.
    #[snafu(display("the body cannot be read: {source}"))]
    Broken {
        /// Error of the HTTP server.
        source: PayloadError,
    },
}

/// Reads the complete body of a request.
///
/// Fails when the body exceeds `limit` bytes, without reading it if the declared length does, and
/// when no bytes arrive for longer than `stall`.
pub async fn read_body(
    headers: &HeaderMap,
    mut body: Payload,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, ReadError> {
    if declared_length(headers).is_some_and(|n| n > limit as u64) {
        return Err(ReadError::TooLarge { limit });
    }
    let mut buf = BytesMut::new();
    loop {
        match timeout(stall, body.next()).await {
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Ok(piece))) if buf.len() + piece.len() > limit => {
                return Err(ReadError::TooLarge { limit });
            }
            Ok(Some(Ok(piece))) => buf.extend_from_slice(&piece),
            Ok(Some(Err(source))) => return Err(ReadError::Broken { source }),
            Err(_) => return Err(ReadError::TooSlow { stall }),
        }
    }
}
