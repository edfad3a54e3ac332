//! Reading of request bodies, and response bodies for the HTTP server.

use std::{
    convert::Infallible,
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

use crate::{caller::CallerConnection, upstream::CallError};

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

/// Bytes of a buffered answer that are handed to the HTTP server at a time. It copies them, and asks for
/// more once the caller has taken most of them.
const PIECE_BYTES: usize = 16 << 10;

/// A buffered answer's body, which the HTTP server gets in pieces, so that it does not copy all of it
/// for a caller that reads slowly.
pub struct PiecedBody {
    rest: Bytes,
    length: u64,
}

impl PiecedBody {
    /// Creates a body from all of its bytes.
    pub fn new(body: Bytes) -> Self {
        let length = body.len() as u64;
        Self { rest: body, length }
    }
}

impl MessageBody for PiecedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(self.rest.split_to(length))))
    }
}

/// An answer's body that another task sends piece by piece over a channel.
///
/// Unless the task sends [`BodyPiece::End`], the body ends with an error. The connection then
/// closes without the proper end of the body, so that the caller can tell that it is truncated.
pub struct RelayedBody {
    pieces: mpsc::Receiver<BodyPiece>,
    length: Option<u64>,
    caller: Option<CallerConnection>,
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
        Self {
            pieces,
            length,
            caller: None,
        }
    }

    /// Releases each piece from what `caller` holds. The sender counts it by
    /// [`CallerConnection::hold_piece`].
    #[must_use]
    pub fn counted_for(mut self, caller: Option<CallerConnection>) -> Self {
        self.caller = caller;
        self
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
            Some(BodyPiece::Bytes(bytes)) => {
                if let Some(caller) = &self.caller {
                    caller.release_piece(bytes.len());
                }
                Some(Ok(bytes))
            }
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
    let declared = declared_length(headers).unwrap_or(0);
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(ReadError::TooLarge { limit });
    }
    // Pages that nothing is written to take no memory; a buffer that grows leaves gaps in the heap.
    let mut buf = BytesMut::with_capacity(declared);
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
