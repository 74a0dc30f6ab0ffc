//! Heads of requests and answers: what is read and what is passed on.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue};

use crate::platform::headers;

/// Headers that concern one connection only.
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

/// Headers that only this system sets towards upstreams.
const OWN: &[&str] = &[
    headers::KEY,
    headers::ORGANISATION,
    headers::EXPECTED,
    headers::PATH,
    headers::DEADLINE,
];

/// Removes what concerns one connection, named ones included.
fn strip_connection(map: &mut HeaderMap) {
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

/// The headers of a request as upstreams get them, but for those that differ
/// from attempt to attempt.
pub(super) fn to_upstream(mut map: HeaderMap, organisation: Option<&str>) -> HeaderMap {
    strip_connection(&mut map);
    for name in OWN {
        map.remove(*name);
    }
    // The body is read whole by now.
    map.remove(EXPECT);
    map.remove(CONTENT_LENGTH);
    let value = organisation.and_then(|o| HeaderValue::from_str(o).ok());
    if let Some(value) = value {
        map.insert(HeaderName::from_static(headers::ORGANISATION), value);
    }
    map
}

/// The headers of an upstream's answer as callers get them.
pub(super) fn to_caller(mut map: HeaderMap) -> HeaderMap {
    strip_connection(&mut map);
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

/// Time that the client gives.
pub(super) fn deadline(map: &HeaderMap) -> Option<Duration> {
    let millis: f64 = number(map, headers::DEADLINE)?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Prompt tokens and the most answer tokens.
pub(super) fn tokens(map: &HeaderMap) -> Option<(f64, f64)> {
    let (prompt, answer) = text(map, headers::TOKENS)?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}
