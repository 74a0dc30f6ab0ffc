//! Responses that are read in full before they are forwarded.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::attempt::{OpenResponse, Run, RunError};
use super::body::{self, Body};
use super::{head, stream};
use crate::clock::millis;
use crate::decide::refusal::Reason;
use crate::decide::retry::{Failure, NextStep};
use crate::event;
use crate::gate::RunningGuard;

impl Run {
    /// Answers the request. `running` counts it until its last byte.
    pub(super) async fn answer(mut self, running: RunningGuard) -> Response<Body> {
        loop {
            let opened = match self.open().await {
                Ok(opened) | Err(RunError::UpstreamError(opened)) => *opened,
                Err(end) => return self.final_response(&end),
            };
            if opened.is_stream() {
                return stream::answer(self, opened, running);
            }
            let upstream = opened.selection.upstream.clone();
            match timeout(self.left(), collect(opened)).await {
                Ok(Some((head, body))) => {
                    self.record_harmless();
                    return self.deliver(head, body, &upstream.id);
                }
                // An answer that is late at the deadline says nothing against its upstream.
                Err(_) => return self.final_response(&RunError::TimedOut),
                Ok(None) => {
                    self.record_cut(&upstream);
                    self.exclude_upstream(Some(upstream.key), "cut_body");
                    match self.record_failure(Failure::Unknown, "cut_body") {
                        NextStep::Again => {}
                        NextStep::Refuse => {
                            return self.final_response(&RunError::NotRun(Reason::NotRun));
                        }
                        NextStep::Pass | NextStep::Fail => {
                            return self.final_response(&RunError::MayHaveRun);
                        }
                    }
                }
            }
        }
    }

    fn deliver(&self, head: Parts, bytes: Bytes, upstream: &str) -> Response<Body> {
        self.count(if head.status.is_server_error() {
            "upstream_error"
        } else {
            "answered"
        });
        tracing::info!(
            event = event::REQUEST_ANSWERED.id,
            attempt = self.call.attempt,
            route = self.call.route.name,
            upstream,
            status = head.status.as_u16(),
            bytes = bytes.len(),
            took_ms = millis(self.entry.now().since(self.call.began)),
            "answered"
        );
        let mut response = Response::new(body::full(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = head::to_caller(head.headers);
        response
    }
}

/// Reads the whole body, or returns `None` if it was cut off.
async fn collect(opened: OpenResponse) -> Option<(Parts, Bytes)> {
    let OpenResponse { mut answer, .. } = opened;
    let collected = answer.response.body_mut().collect().await;
    let body = collected.ok()?.to_bytes();
    let (head, _) = answer.response.into_parts();
    // No request asks for a content encoding, so an encoded body isn't the upstream's.
    (!head.headers.contains_key(CONTENT_ENCODING)).then_some((head, body))
}
