//! What the head of a caller's request says.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName};

/// Names the only run that a non-idempotent request may have.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Milliseconds that the caller gives the request.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");

/// `true` marks a request that may run at most once.
const NON_IDEMPOTENT: HeaderName = HeaderName::from_static("x-non-idempotent");

/// Longest idempotency key, in bytes.
const MAX_KEY: usize = crate::claim::MAX_KEY;

/// The caller's wishes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    /// API key.
    pub(crate) secret: Option<String>,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// Time that the caller gives.
    pub(crate) deadline: Option<Duration>,
    /// Whether the caller forbids a second run.
    pub(crate) once: bool,
}

/// A header that can't be understood; guessing at it could run a request
/// twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Unclear(pub(crate) &'static str);

impl Head {
    /// Reads the headers that matter.
    pub(crate) fn parse(headers: &HeaderMap) -> Result<Self, Unclear> {
        let secret = text(headers, &AUTHORIZATION, "authorization")?
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(str::to_owned);
        let key = text(headers, &IDEMPOTENCY_KEY, "idempotency-key")?;
        if key.is_some_and(|k| k.is_empty() || k.len() > MAX_KEY) {
            return Err(Unclear("idempotency-key"));
        }
        let deadline = text(headers, &DEADLINE, "x-deadline-ms")?
            .map(|v| v.parse().map_err(|_| Unclear("x-deadline-ms")))
            .transpose()?;
        let once = match text(headers, &NON_IDEMPOTENT, "x-non-idempotent")? {
            None | Some("false") => false,
            Some("true") => true,
            Some(_) => return Err(Unclear("x-non-idempotent")),
        };
        Ok(Self {
            secret,
            key: key.map(str::to_owned),
            deadline: deadline.map(Duration::from_millis),
            once,
        })
    }
}

/// The one value of a header. Two values are unclear: an intermediary may act
/// on the other one.
fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<&'a str>, Unclear> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Unclear(shown));
    }
    first
        .map(|v| v.to_str().map_err(|_| Unclear(shown)))
        .transpose()
}
