//! Bodies of requests, and of answers on their way to callers.

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

type Error = Box<dyn std::error::Error>;

/// Body of an answer that counts as in flight until it was sent or dropped.
struct Counted<G> {
    body: BoxBody,
    _guard: G,
}

/// Counts a body as in flight until it was sent or dropped.
pub fn counted<G>(body: BoxBody, guard: G) -> BoxBody
where
    G: Unpin + 'static,
{
    BoxBody::new(Counted {
        body,
        _guard: guard,
    })
}

impl<G> MessageBody for Counted<G>
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

/// Length that a message declares for its body.
pub fn declared_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Body of an answer that a task passes on in pieces.
///
/// It ends with an error unless the task said that the body is whole, so that a caller never
/// takes a cut body for a whole one.
pub struct RelayedBody {
    pieces: mpsc::Receiver<Piece>,
    length: Option<u64>,
}

/// A piece of an answer's body.
pub enum Piece {
    /// Some of its bytes.
    Bytes(Bytes),
    /// Its end: the body is whole.
    End,
    /// The upstream failed.
    Failed(CallError),
}

impl RelayedBody {
    /// A body of declared length, if any, made of the pieces.
    pub fn new(pieces: mpsc::Receiver<Piece>, length: Option<u64>) -> Self {
        Self { pieces, length }
    }
}

impl MessageBody for RelayedBody {
    type Error = Error;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Error>>> {
        let piece = match ready!(self.pieces.poll_recv(cx)) {
            Some(Piece::Bytes(bytes)) => Some(Ok(bytes)),
            Some(Piece::End) => None,
            Some(Piece::Failed(e)) => Some(Err(e.into())),
            None => Some(Err("the answer was given up".into())),
        };
        Poll::Ready(piece)
    }
}

/// Why the body of a request could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadError {
    /// It is larger than is taken.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It paused for too long.
    #[snafu(display("the body paused for more than {} ms", stall.as_millis()))]
    TooSlow {
        /// The limit that has passed.
        stall: Duration,
    },
    /// It broke off or cannot be decoded.
    #[snafu(display("the body cannot be read: {source}"))]
    Broken {
        /// What failed.
        source: PayloadError,
    },
}

/// Reads the whole body of a request, of at most `limit` bytes and without a pause over `stall`.
pub async fn read_whole(
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
