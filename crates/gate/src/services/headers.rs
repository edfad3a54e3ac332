//! Which headers pass between callers and plain services.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use comfreyweir_external::engine::{
    PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, WORKSPACE_HEADER,
};

use comfreyweir_http::headers::end_to_end;

use crate::auth::API_KEY_HEADER;

/// Header with which a caller names a call that must not run twice.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that only the gate may set, so that callers cannot forge them.
const SET_BY_GATE: [&str; 4] = [
    WORKSPACE_HEADER,
    REQUEST_ID_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
];

/// Headers of a request that the HTTP client sets anew, or that end at the gate.
const ENDS_AT_GATE: [HeaderName; 4] = [
    header::HOST,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::AUTHORIZATION,
];

/// Headers of a request for the upstream: without connection headers, credentials and forgeries.
pub fn for_upstream(headers: &HeaderMap, key: Option<&str>, workspace: Option<&str>) -> HeaderMap {
    let mut kept = end_to_end(headers, |name, value| {
        !ENDS_AT_GATE.contains(name)
            && !SET_BY_GATE.contains(&name.as_str())
            && name.as_str() != API_KEY_HEADER
            && !key.is_some_and(|key| contains(value.as_bytes(), key.as_bytes()))
    });
    if let Some(value) = workspace.and_then(|w| HeaderValue::from_str(w).ok()) {
        kept.insert(HeaderName::from_static(WORKSPACE_HEADER), value);
    }
    kept
}

/// Headers of an answer for the caller.
pub fn for_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers, |name, _| {
        *name != header::CONTENT_LENGTH && name.as_str() != REQUEST_ID_HEADER
    })
}

/// Whether `text` contains `part`. Used to find a key where callers may have put it by mistake.
pub fn contains(text: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && text.windows(part.len()).any(|window| window == part)
}
