//! Header filters between callers and plain services.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use comfreyweir_external::engine::{
    PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, WORKSPACE_HEADER,
};

use comfreyweir_http::headers::end_to_end;

use crate::auth::API_KEY_HEADER;

/// Header with the caller's idempotency key, for a call that must not run more than once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that only the gate may set, so that callers cannot forge them.
const SET_BY_GATE: [&str; 4] = [
    WORKSPACE_HEADER,
    REQUEST_ID_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
];

/// Headers of a request that the HTTP client sets itself, or that are meant for the gate only.
const NOT_FORWARDED: [HeaderName; 4] = [
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::AUTHORIZATION,
];

/// Request headers to send upstream: without connection headers, credentials, headers that only
/// the gate may set, and any header whose value contains the caller's `key`.
pub fn for_upstream(headers: &HeaderMap, key: Option<&str>, workspace: Option<&str>) -> HeaderMap {
    let mut forwarded = end_to_end(headers, |name, value| {
        !NOT_FORWARDED.contains(name)
            && !SET_BY_GATE.contains(&name.as_str())
            && name.as_str() != API_KEY_HEADER
            && !key.is_some_and(|key| contains_bytes(value.as_bytes(), key.as_bytes()))
    });
    if let Some(value) = workspace.and_then(|w| HeaderValue::from_str(w).ok()) {
        forwarded.insert(HeaderName::from_static(WORKSPACE_HEADER), value);
    }
    forwarded
}

/// Headers of an upstream's answer to send to the caller: without connection headers, the length,
/// which the HTTP server sets, and the request identifier, which the gate sets.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers, |name, _| {
        *name != header::CONTENT_LENGTH && name.as_str() != REQUEST_ID_HEADER
    })
}

/// Whether `haystack` contains `needle`; an empty needle is never found. Used to find API keys that
/// a caller put in the wrong place.
pub fn contains_bytes(haystack: &[u8], needle: &[u8]) -> bool {
    !needle.is_empty()
        && haystack
            .windows(needle.len())
            .any(|window| window == needle)
}
