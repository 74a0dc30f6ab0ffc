//! Responses of this instance itself.

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use rand::RngExt;

use super::body::{self, Body};
use crate::decide::refusal::{self, Reason};
use crate::fingerprint::Fingerprint;
use crate::metric;
use crate::platform::{call, headers};

/// Builds the response to a request that did not run and never will, with a retry delay.
pub(super) fn refuse(reason: Reason, refused: f64) -> Response<Body> {
    metrics::counter!(metric::REFUSALS.name, "reason" => reason.code()).increment(1);
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason.code());
    let after = refusal::retry_after(reason, refused, rand::rng().random());
    let after = HeaderValue::try_from(format!("{:.2}", after.as_secs_f64()));
    let name = HeaderName::from_static(headers::RETRY_AFTER);
    response
        .headers_mut()
        .insert(name, after.expect("digits and a dot"));
    response
}

/// Response body for a quarantined request, or one with a quarantined part in its prompt.
pub(super) fn quarantine_body(fingerprint: &Fingerprint, part: Option<&str>) -> Body {
    body::full(call::quarantined_body(&fingerprint.to_string(), part).into())
}

/// An error response of this instance.
pub(super) fn error_response(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(body::full(call::error_body(reason).into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
