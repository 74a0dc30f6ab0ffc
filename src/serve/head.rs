//! Headers of a caller's request.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName};

/// Key under which a non-idempotent request runs at most once.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time limit of the request, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Marks a request that may run at most once, with the value `true`.
const NON_IDEMPOTENT: HeaderName = HeaderName::from_static("x-non-idempotent");

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = crate::claim::MAX_KEY;

/// Headers that determine how a request is handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestHeaders {
    /// API key from the `Authorization` header.
    pub(crate) api_key: Option<String>,
    pub(crate) idempotency_key: Option<String>,
    /// Time limit set by the caller.
    pub(crate) deadline: Option<Duration>,
    /// Whether the caller forbids a second run.
    pub(crate) non_idempotent: bool,
}

/// A header is invalid or repeated. The request is refused, because a wrong
/// guess could run it twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InvalidHeader(pub(crate) &'static str);

impl RequestHeaders {
    /// Parses the headers; others are ignored.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, InvalidHeader> {
        let api_key = single_value(headers, &AUTHORIZATION, "authorization")?
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(str::to_owned);
        let key = single_value(headers, &IDEMPOTENCY_KEY, "idempotency-key")?;
        if key.is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
            return Err(InvalidHeader("idempotency-key"));
        }
        let deadline = single_value(headers, &DEADLINE, "x-deadline-ms")?
            .map(|v| v.parse().map_err(|_| InvalidHeader("x-deadline-ms")))
            .transpose()?;
        let non_idempotent = match single_value(headers, &NON_IDEMPOTENT, "x-non-idempotent")? {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(InvalidHeader("x-non-idempotent")),
        };
        Ok(Self {
            api_key,
            idempotency_key: key.map(str::to_owned),
            deadline: deadline.map(Duration::from_millis),
            non_idempotent,
        })
    }
}

/// Returns the value of a header. A repeated header is invalid: an intermediary
/// may act on the other value.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    display_name: &'static str,
) -> Result<Option<&'a str>, InvalidHeader> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(InvalidHeader(display_name));
    }
    first
        .map(|v| v.to_str().map_err(|_| InvalidHeader(display_name)))
        .transpose()
}
