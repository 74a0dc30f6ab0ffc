//! HTTP forms of final answers.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::http::ResponseBody;
use crate::request::Answer;

/// Number of the request, on each response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Content type of JSON answers.
pub(crate) const JSON: &str = "application/json";

/// Content type of token streams.
pub(crate) const EVENTS: &str = "text/event-stream";

/// JSON body of an answer that isn't a whole answer.
fn error(answer: &Answer) -> String {
    serde_json::json!({ "error": answer.body() }).to_string()
}

/// The event that ends a stream which isn't whole.
pub(crate) fn error_event(answer: &Answer) -> String {
    format!("data: {}\n\n", error(answer))
}

/// A response for an answer that isn't a whole one.
pub(crate) fn refuse(answer: &Answer, id: &str) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = reply(status, JSON, error(answer), id);
    if let Some(pause) = answer.retry_after() {
        let secs = seconds(pause).to_string();
        let value = secs.parse().expect("digits are a valid header");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Whole seconds, rounded up: coming back early would be refused again.
fn seconds(pause: Duration) -> u64 {
    pause
        .as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}

/// A response with a body.
pub(crate) fn reply(
    status: StatusCode,
    kind: &str,
    body: impl Into<ResponseBody>,
    id: &str,
) -> Response<ResponseBody> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, kind)
        .header(REQUEST_ID, id)
        .body(body.into())
        .unwrap_or_else(|_| Response::new(ResponseBody::from(String::new())))
}

/// A plain line for probes.
pub(crate) fn plain(status: StatusCode, line: &str) -> Response<ResponseBody> {
    reply(status, "text/plain; charset=utf-8", line.to_owned(), "-")
}

/// The request's task ended without an answer, which only a panic can cause.
pub(crate) fn lost(id: &str) -> Response<ResponseBody> {
    let body = r#"{"error":{"code":"outcome_unknown","ran":"unknown","message":"the request's task failed: ask with the same key, or check its effect before sending it again"}}"#;
    reply(StatusCode::BAD_GATEWAY, JSON, body.to_owned(), id)
}
