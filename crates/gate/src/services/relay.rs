//! Streams an answer to the caller and records it for retries with the same idempotency key.

use std::time::Duration;

use actix_http::{Method, Response, body::BoxBody, header};
use bytes::{Bytes, BytesMut};
use tokio::{sync::mpsc, time::timeout};

use comfreyweir_http::body::{BodyPiece, RelayedBody};

use super::{
    claim_record::{MAX_RECORDED_BYTES, RecordedAnswer},
    headers,
};
use crate::{
    body::declared_length,
    upstream::{AnswerBody, UpstreamAnswer},
};

/// Pieces of an answer that are buffered for a slow caller.
const PIECE_BUFFER: usize = 16;

/// What to do with the answer when the caller has disconnected or reads too slowly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OnCallerGone {
    /// Close the connection, which cancels the call.
    Cancel,
    /// Read it to its end, because the call may have side effects and its outcome is recorded.
    ReadToEnd,
}

/// An answer whose body is being streamed to the caller.
pub(super) struct Relay {
    answer: Box<UpstreamAnswer>,
    has_body: bool,
    tx: mpsc::Sender<BodyPiece>,
}

/// Splits an answer into the response for the caller and the relay of its body.
pub(super) fn split_answer(
    answer: Box<UpstreamAnswer>,
    method: &Method,
) -> (Response<BoxBody>, Relay) {
    let has_body = *method != Method::HEAD;
    let (tx, rx) = mpsc::channel(PIECE_BUFFER);
    let mut res = Response::build(answer.status);
    for (name, value) in &headers::for_caller(&answer.headers) {
        res.append_header((name.clone(), value.clone()));
    }
    let length = declared_length(&answer.headers).filter(|_| has_body);
    let body = if has_body {
        BoxBody::new(RelayedBody::new(rx, length))
    } else {
        BoxBody::new(actix_http::body::None::new())
    };
    let res = res
        .message_body(body)
        .expect("status and headers come from a valid answer");
    (
        res,
        Relay {
            answer,
            has_body,
            tx,
        },
    )
}

impl Relay {
    /// Streams the body. Returns the answer to record if it was read to its end.
    pub(super) async fn run(
        mut self,
        stall_timeout: Duration,
        on_caller_gone: OnCallerGone,
    ) -> Option<RecordedAnswer> {
        let mut recorder = AnswerRecorder::default();
        if self.has_body {
            self.forward_body(stall_timeout, on_caller_gone, &mut recorder)
                .await?;
        }
        Some(recorder.finish(&self.answer))
    }

    /// Returns `None` if the body was not read to its end.
    async fn forward_body(
        &mut self,
        stall_timeout: Duration,
        on_caller_gone: OnCallerGone,
        recorder: &mut AnswerRecorder,
    ) -> Option<()> {
        let mut caller = Some(self.tx.clone());
        loop {
            let piece = next_piece(
                &mut self.answer.body,
                caller.as_ref(),
                stall_timeout,
                on_caller_gone,
            )
            .await?;
            if let BodyPiece::Bytes(bytes) = &piece {
                recorder.add(bytes);
            }
            let is_last = !matches!(piece, BodyPiece::Bytes(_));
            let read_failed = matches!(piece, BodyPiece::Failed(_));
            if let Some(tx) = &caller
                && !send_to_caller(tx, piece, stall_timeout).await
            {
                caller = None;
            }
            if caller.is_none() && on_caller_gone == OnCallerGone::Cancel {
                return None;
            }
            if is_last {
                return (!read_failed).then_some(());
            }
        }
    }
}

/// Reads the next piece; `None` if the caller has disconnected and the call is to be cancelled.
async fn next_piece(
    body: &mut AnswerBody,
    caller: Option<&mpsc::Sender<BodyPiece>>,
    stall_timeout: Duration,
    on_caller_gone: OnCallerGone,
) -> Option<BodyPiece> {
    let cancelled = async {
        match caller {
            Some(tx) if on_caller_gone == OnCallerGone::Cancel => tx.closed().await,
            _ => std::future::pending().await,
        }
    };
    tokio::select! {
        read = body.next(stall_timeout) => Some(match read {
            Ok(Some(bytes)) => BodyPiece::Bytes(bytes),
            Ok(None) => BodyPiece::End,
            Err(e) => BodyPiece::Failed(e),
        }),
        () = cancelled => None,
    }
}

/// Sends a piece to the caller. Returns false if the caller has disconnected or did not read for
/// `stall_timeout`.
async fn send_to_caller(
    tx: &mpsc::Sender<BodyPiece>,
    piece: BodyPiece,
    stall_timeout: Duration,
) -> bool {
    matches!(timeout(stall_timeout, tx.send(piece)).await, Ok(Ok(())))
}

/// Collects the body of an answer up to [`MAX_RECORDED_BYTES`].
#[derive(Default)]
struct AnswerRecorder {
    body: BytesMut,
    too_large: bool,
}

impl AnswerRecorder {
    fn add(&mut self, bytes: &Bytes) {
        self.too_large |= self.body.len() + bytes.len() > MAX_RECORDED_BYTES;
        if !self.too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    fn finish(self, answer: &UpstreamAnswer) -> RecordedAnswer {
        let header_value = |name| {
            let value = answer.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let body = (!self.too_large).then_some(&self.body[..]);
        let mut recorded = RecordedAnswer::new(answer.status.as_u16(), body);
        recorded.content_type = header_value(header::CONTENT_TYPE);
        recorded.location = header_value(header::LOCATION);
        recorded
    }
}
