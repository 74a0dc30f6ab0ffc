//! Reads and filters the headers of requests and responses.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING,
};

use super::proxy::RESERVED_HEADERS;
use crate::platform::headers;

/// Headers that apply to a single connection.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
];

/// Headers that only the router sets on requests to upstreams.
const RESERVED: &[&str] = &[
    headers::CREDENTIAL,
    headers::ORGANISATION,
    headers::EXPECTED_UPSTREAM,
    headers::PATH,
    headers::DEADLINE,
];

/// Removes hop-by-hop headers, including those named by `Connection`.
fn strip_hop_by_hop(map: &mut HeaderMap) {
    let named: Vec<HeaderName> = map
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP {
        map.remove(*name);
    }
    for name in named {
        map.remove(name);
    }
}

/// Request headers for upstreams, without those that differ between attempts.
pub(super) fn to_upstream(mut map: HeaderMap, organisation: Option<&str>) -> HeaderMap {
    strip_hop_by_hop(&mut map);
    for name in RESERVED {
        map.remove(*name);
    }
    for name in RESERVED_HEADERS {
        map.remove(*name);
    }
    // The body has been read in full by now.
    map.remove(EXPECT);
    map.remove(CONTENT_LENGTH);
    let value = organisation.and_then(|o| HeaderValue::from_str(o).ok());
    if let Some(value) = value {
        map.insert(HeaderName::from_static(headers::ORGANISATION), value);
    }
    map
}

/// Response headers for callers.
pub(super) fn to_caller(mut map: HeaderMap) -> HeaderMap {
    for name in RESERVED_HEADERS {
        map.remove(*name);
    }
    end_to_end(map)
}

/// Whether a body has a length or chunks, so that its end is known from its bytes.
pub(super) fn is_framed(map: &HeaderMap) -> bool {
    map.contains_key(CONTENT_LENGTH) || map.contains_key(TRANSFER_ENCODING)
}

/// The headers that concern both ends, not one connection.
pub(super) fn end_to_end(mut map: HeaderMap) -> HeaderMap {
    strip_hop_by_hop(&mut map);
    map.remove(CONTENT_LENGTH);
    map
}

/// The value of a header as text.
pub(super) fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// The value of a header as a number.
pub(super) fn number<T: std::str::FromStr>(map: &HeaderMap, name: &str) -> Option<T> {
    text(map, name)?.trim().parse().ok()
}

/// The client's id of the attempt; "-" if it sent none.
pub(super) fn attempt(map: &HeaderMap) -> &str {
    text(map, headers::ATTEMPT_ID).unwrap_or("-")
}

/// Time that the client allows, sent in milliseconds.
pub(super) fn deadline(map: &HeaderMap) -> Option<Duration> {
    let millis: f64 = number(map, headers::DEADLINE)?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Number of prompt tokens and maximum number of response tokens.
pub(super) fn tokens(map: &HeaderMap) -> Option<(f64, f64)> {
    let (prompt, answer) = text(map, headers::TOKEN_USAGE)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}
