//! Responses that are read in full before they are forwarded.

use hyper::Response;
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::attempt::{OpenResponse, Run, RunError};
use super::body::Body;
use super::respond::pass_on;
use super::stream;
use super::view::Upstream;
use crate::clock::millis;
use crate::decide::body_budget::Kind;
use crate::decide::refusal::Reason;
use crate::decide::retry::{Failure, NextStep};
use crate::event;
use crate::gate::RunningGuard;
use crate::whole::{BodyBounds, BodyError, WholeBody};

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
            let read = self.read_whole(opened);
            let error = match timeout(self.left(), read).await {
                Ok(Ok((head, body))) => {
                    self.record_harmless();
                    return self.deliver(head, body, &upstream.id);
                }
                // An answer that is late at the deadline says nothing against its upstream.
                Err(_) => return self.final_response(&RunError::TimedOut),
                Ok(Err(error)) => error,
            };
            if let Some(response) = self.next_after(error, &upstream) {
                return response;
            }
        }
    }

    /// Records that a body wasn't read. Returns the response to the caller, unless the request is
    /// sent again.
    fn next_after(&mut self, error: BodyError, upstream: &Upstream) -> Option<Response<Body>> {
        let cause = match error {
            BodyError::Cut => "cut_body",
            BodyError::TooLong => "long_body",
            BodyError::NoMemory => "no_memory",
        };
        if error == BodyError::Cut {
            self.record_cut(upstream);
        }
        // Others use up the memory.
        if error != BodyError::NoMemory {
            self.exclude_upstream(Some(upstream.key), cause);
        }
        let end = match self.record_failure(Failure::Unknown, cause, upstream) {
            NextStep::Again => return None,
            NextStep::Refuse => self.unsent(Reason::NotRun),
            NextStep::Pass | NextStep::Fail => RunError::MayHaveRun,
        };
        Some(self.final_response(&end))
    }

    /// Reads the whole body.
    async fn read_whole(&self, opened: OpenResponse) -> Result<(Parts, WholeBody), BodyError> {
        let OpenResponse { mut answer, .. } = opened;
        let body = answer.response.body_mut();
        let share = self.entry.body_memory.share(Kind::Response);
        let body = WholeBody::read(body, BodyBounds::RESPONSE, share).await?;
        let (head, _) = answer.response.into_parts();
        Ok((head, body))
    }

    fn deliver(&self, head: Parts, body: WholeBody, upstream: &str) -> Response<Body> {
        let (status, bytes) = (head.status, body.len());
        self.count(if status.is_server_error() {
            "upstream_error"
        } else {
            "answered"
        });
        let response = pass_on(head, body);
        tracing::info!(
            event = event::REQUEST_ANSWERED.id,
            attempt = self.call.attempt,
            route = self.call.route.name,
            upstream,
            status = response.status().as_u16(),
            upstream_status = status.as_u16(),
            bytes,
            took_ms = millis(self.entry.now().since(self.call.began)),
            "answered"
        );
        response
    }
}
