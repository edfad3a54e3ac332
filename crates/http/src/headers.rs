//! Removal of hop-by-hop headers from messages that are forwarded.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers that apply to one connection only and must not be forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Copies the headers of a message that is forwarded: all but the hop-by-hop headers, those that
/// its `connection` headers list, and those for which `passes` returns false.
pub fn end_to_end<F>(headers: &HeaderMap, passes: F) -> HeaderMap
where
    F: Fn(&HeaderName, &HeaderValue) -> bool,
{
    let connection_headers = headers_listed_in_connection(headers);
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let is_hop_by_hop = HOP_BY_HOP_HEADERS.contains(name) || connection_headers.contains(name);
        if !is_hop_by_hop && passes(name, value) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Names that the `connection` headers list as hop-by-hop.
fn headers_listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
