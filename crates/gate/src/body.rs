//! Bodies of requests and answers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{
    Payload, StatusCode,
    body::{BodySize, BoxBody, MessageBody},
    error::PayloadError,
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::{Code, Refusal};

/// Body of an answer that counts as in flight until it was sent or dropped.
struct Counted<G> {
    body: BoxBody,
    _guard: G,
}

/// Counts a body as in flight until it was sent or dropped.
pub(crate) fn counted<G>(body: BoxBody, guard: G) -> BoxBody
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

/// Reads a request body of at most `limit` bytes; a pause longer than `stall` is refused.
pub(crate) async fn read(
    headers: &HeaderMap,
    body: Payload,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, Refusal> {
    check_encoding(headers)?;
    read_any(headers, body, limit, stall).await
}

/// Does the same with a body of any encoding, which is passed on as it is.
pub(crate) async fn read_any(
    headers: &HeaderMap,
    mut body: Payload,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, Refusal> {
    if declared_length(headers).is_some_and(|n| n > limit as u64) {
        return Err(too_large(limit));
    }
    let mut buf = BytesMut::new();
    loop {
        match timeout(stall, body.next()).await {
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(Ok(piece))) if buf.len() + piece.len() > limit => {
                return Err(too_large(limit));
            }
            Ok(Some(Ok(piece))) => buf.extend_from_slice(&piece),
            Ok(Some(Err(e))) => return Err(broken(&e)),
            Err(_) => return Err(too_slow(stall)),
        }
    }
}

fn check_encoding(headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(encoding) = headers.get(header::CONTENT_ENCODING) else {
        return Ok(());
    };
    if encoding.as_bytes().eq_ignore_ascii_case(b"identity") {
        return Ok(());
    }
    Err(Refusal::not_run(
        StatusCode::UNSUPPORTED_MEDIA_TYPE,
        Code::UnsupportedEncoding,
        "the body must be sent without content encoding",
    ))
}

/// Length that a message declares for its body.
pub(crate) fn declared_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

fn too_large(limit: usize) -> Refusal {
    Refusal::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        Code::TooLarge,
        format!("the body is larger than {limit} bytes"),
    )
}

fn too_slow(stall: Duration) -> Refusal {
    Refusal::not_run(
        StatusCode::REQUEST_TIMEOUT,
        Code::RequestTimeout,
        format!("the body paused for more than {} ms", stall.as_millis()),
    )
}

fn broken(e: &PayloadError) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_REQUEST,
        Code::InvalidRequest,
        format!("the body cannot be read: {e}"),
    )
}
