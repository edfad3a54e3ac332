//! Headers that concern one connection and are never passed on.

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers that belong to one connection and not to a message.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers of a message that are passed on: without those of one connection, and without those that
/// `passes` rejects.
pub fn end_to_end<F>(headers: &HeaderMap, passes: F) -> HeaderMap
where
    F: Fn(&HeaderName, &HeaderValue) -> bool,
{
    let by_connection = named_by_connection(headers);
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let is_hop = HOP_BY_HOP.contains(name) || by_connection.contains(name);
        if !is_hop && passes(name, value) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Headers that the header `connection` declares as belonging to the connection.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
