//! Reading of request bodies, with refusals for those that cannot be read.

use std::time::Duration;

use actix_http::{
    Payload, StatusCode,
    header::{self, HeaderMap},
};
use bytes::Bytes;
use comfreyweir_http::body::{ReadError, read_body};
pub(crate) use comfreyweir_http::body::{attach_guard, declared_length};

use crate::{Refusal, RefusalCode};

/// Reads a request body without content encoding. Refuses a body of more than `limit` bytes, and
/// one that sends nothing for longer than `stall`.
pub(crate) async fn read(
    headers: &HeaderMap,
    body: Payload,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, Refusal> {
    check_encoding(headers)?;
    read_any_encoding(headers, body, limit, stall).await
}

/// Like [`read`], but takes any content encoding. The body is not decoded.
pub(crate) async fn read_any_encoding(
    headers: &HeaderMap,
    body: Payload,
    limit: usize,
    stall: Duration,
) -> Result<Bytes, Refusal> {
    let read = read_body(headers, body, limit, stall).await;
    read.map_err(|e| read_refusal(&e))
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
        RefusalCode::UnsupportedEncoding,
        "the body must be sent without content encoding",
    ))
}

fn read_refusal(e: &ReadError) -> Refusal {
    let (status, code) = match e {
        ReadError::TooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, RefusalCode::TooLarge),
        ReadError::TooSlow { .. } => (StatusCode::REQUEST_TIMEOUT, RefusalCode::RequestTimeout),
        ReadError::Broken { .. } => (StatusCode::BAD_REQUEST, RefusalCode::InvalidRequest),
    };
    Refusal::not_run(status, code, e.to_string())
}
