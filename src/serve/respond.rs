//! HTTP responses for final answers.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderName, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::http::ResponseBody;
use crate::request::Answer;

/// ID of the request, in each response.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Content type of JSON responses.
pub(crate) const JSON: &str = "application/json";

/// Content type of token streams.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";

/// JSON body of a refusal or failure.
fn error_body(answer: &Answer) -> String {
    serde_json::json!({ "error": answer.body() }).to_string()
}

/// Event that ends an incomplete stream.
pub(crate) fn error_event(answer: &Answer) -> String {
    format!("data: {}\n\n", error_body(answer))
}

/// Response for a refusal or failure.
pub(crate) fn error(answer: &Answer, id: &str) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = response(status, JSON, error_body(answer), id);
    if let Some(delay) = answer.retry_after() {
        let secs = ceil_seconds(delay).to_string();
        let value = secs.parse().expect("digits are a valid header");
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Rounds up to whole seconds: an early retry would be refused again.
fn ceil_seconds(delay: Duration) -> u64 {
    delay
        .as_millis()
        .div_ceil(1000)
        .try_into()
        .unwrap_or(u64::MAX)
}

pub(crate) fn response(
    status: StatusCode,
    content_type: &str,
    body: impl Into<ResponseBody>,
    id: &str,
) -> Response<ResponseBody> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, content_type)
        .header(REQUEST_ID, id)
        .body(body.into())
        .unwrap_or_else(|_| Response::new(ResponseBody::from(String::new())))
}

/// Plain text response for health checks.
pub(crate) fn plain_text(status: StatusCode, line: &str) -> Response<ResponseBody> {
    response(status, "text/plain; charset=utf-8", line.to_owned(), "-")
}

/// Response if the request's task ended without an answer, which only a panic can
/// cause.
pub(crate) fn missing_answer(id: &str) -> Response<ResponseBody> {
    let body = r#"{"error":{"code":"outcome_unknown","ran":"unknown","message":"the request's task failed: ask with the same key, or check its effect before sending it again"}}"#;
    response(StatusCode::BAD_GATEWAY, JSON, body.to_owned(), id)
}
