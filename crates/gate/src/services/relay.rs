//! Passing an answer on to the caller, and recording it for callers that ask again.

use std::time::Duration;

use actix_http::{Method, Response, body::BoxBody, header};
use bytes::{Bytes, BytesMut};
use tokio::{sync::mpsc, time::timeout};

use comfreyweir_http::body::{Piece, RelayedBody};

use super::{
    claim::{MAX_RECORDED_BYTES, RecordedAnswer},
    headers,
};
use crate::{
    body::declared_length,
    upstream::{Answer, AnswerBody},
};

/// Pieces of an answer that may wait for a slow caller.
const PIECES: usize = 16;

/// What to do with the answer when its caller has left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Abandoned {
    /// Close the connection, which cancels the call.
    Cancel,
    /// Read it to its end: the call has an effect, and its outcome is recorded.
    ReadToEnd,
}

/// An answer that is being passed on.
pub(super) struct Relay {
    answer: Box<Answer>,
    has_body: bool,
    tx: mpsc::Sender<Piece>,
}

/// Splits an answer into the response for the caller and the relay of its body.
pub(super) fn begin(answer: Box<Answer>, method: &Method) -> (Response<BoxBody>, Relay) {
    let has_body = *method != Method::HEAD;
    let (tx, rx) = mpsc::channel(PIECES);
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
    /// Passes the body on. Returns the whole answer if it was read to its end.
    pub(super) async fn run(
        mut self,
        stall: Duration,
        abandoned: Abandoned,
    ) -> Option<RecordedAnswer> {
        let mut recorder = Recorder::default();
        if self.has_body {
            self.pass_on(stall, abandoned, &mut recorder).await?;
        }
        Some(recorder.finish(&self.answer))
    }

    async fn pass_on(
        &mut self,
        stall: Duration,
        abandoned: Abandoned,
        recorder: &mut Recorder,
    ) -> Option<()> {
        let mut caller = Some(self.tx.clone());
        loop {
            let piece =
                next_piece(&mut self.answer.body, caller.as_ref(), stall, abandoned).await?;
            if let Piece::Bytes(bytes) = &piece {
                recorder.add(bytes);
            }
            let last = !matches!(piece, Piece::Bytes(_));
            let failed = matches!(piece, Piece::Failed(_));
            if let Some(tx) = &caller
                && !deliver(tx, piece, stall).await
            {
                caller = None;
            }
            if caller.is_none() && abandoned == Abandoned::Cancel {
                return None;
            }
            if last {
                return (!failed).then_some(());
            }
        }
    }
}

/// Reads the next piece; `None` when the caller has left and the call is to be cancelled.
async fn next_piece(
    body: &mut AnswerBody,
    caller: Option<&mpsc::Sender<Piece>>,
    stall: Duration,
    abandoned: Abandoned,
) -> Option<Piece> {
    let cancelled = async {
        match caller {
            Some(tx) if abandoned == Abandoned::Cancel => tx.closed().await,
            _ => std::future::pending().await,
        }
    };
    tokio::select! {
        read = body.next(stall) => Some(match read {
            Ok(Some(bytes)) => Piece::Bytes(bytes),
            Ok(None) => Piece::End,
            Err(e) => Piece::Failed(e),
        }),
        () = cancelled => None,
    }
}

/// Hands a piece to the caller; false when it has left or reads too slowly.
async fn deliver(tx: &mpsc::Sender<Piece>, piece: Piece, stall: Duration) -> bool {
    matches!(timeout(stall, tx.send(piece)).await, Ok(Ok(())))
}

/// Keeps the body of an answer up to the size that is recorded.
#[derive(Default)]
struct Recorder {
    body: BytesMut,
    too_large: bool,
}

impl Recorder {
    fn add(&mut self, bytes: &Bytes) {
        self.too_large |= self.body.len() + bytes.len() > MAX_RECORDED_BYTES;
        if !self.too_large {
            self.body.extend_from_slice(bytes);
        }
    }

    fn finish(self, answer: &Answer) -> RecordedAnswer {
        let text = |name| {
            let value = answer.headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let body = (!self.too_large).then_some(&self.body[..]);
        let mut recorded = RecordedAnswer::new(answer.status.as_u16(), body);
        recorded.content_type = text(header::CONTENT_TYPE);
        recorded.location = text(header::LOCATION);
        recorded
    }
}
