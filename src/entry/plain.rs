//! Answers that are read whole before they are handed on.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_ENCODING, CONTENT_TYPE};
use hyper::http::response::Parts;
use tokio::time::timeout;

use super::attempt::{Final, Opened, Run};
use super::body::{self, Body};
use super::{head, stream};
use crate::clock::millis;
use crate::decide::refusal::Reason;
use crate::decide::retry::{Failure, NextStep};
use crate::event;
use crate::gate::Running;

impl Run {
    /// Answers the request. `running` counts it until its last byte.
    pub(super) async fn answer(mut self, running: Running) -> Response<Body> {
        loop {
            let opened = match self.open().await {
                Ok(opened) => opened,
                Err(Final::Pass(opened)) => *opened,
                Err(end) => return self.conclude(&end),
            };
            if is_stream(&opened) {
                return stream::answer(self, opened, running);
            }
            let upstream = opened.chosen.upstream.clone();
            match self.collect(opened).await {
                Some((head, body)) => {
                    self.record_harmless();
                    return self.deliver(head, body, &upstream.id);
                }
                None => {
                    self.record_cut(&upstream);
                    self.blame(Some(upstream.key), "cut_body");
                    match self.fail(Failure::Unknown, "cut_body") {
                        NextStep::Again => {}
                        NextStep::Refuse => return self.conclude(&Final::Refuse(Reason::NotRun)),
                        NextStep::Pass | NextStep::Fail => return self.conclude(&Final::Fail),
                    }
                }
            }
        }
    }

    /// The whole body, or nothing when it broke off.
    async fn collect(&self, opened: Opened) -> Option<(Parts, Bytes)> {
        let Opened { mut answer, .. } = opened;
        let collected = timeout(self.left(), answer.response.body_mut().collect()).await;
        let body = collected.ok()?.ok()?.to_bytes();
        let (head, _) = answer.response.into_parts();
        // Nobody asked for an encoding: these aren't the upstream's bytes.
        (!head.headers.contains_key(CONTENT_ENCODING)).then_some((head, body))
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
        let mut response = Response::new(body::whole(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = head::to_caller(head.headers);
        response
    }
}

fn is_stream(opened: &Opened) -> bool {
    let map = opened.answer.response.headers();
    let kind = head::text(map, CONTENT_TYPE.as_str());
    let events = kind.is_some_and(|k| k.starts_with("text/event-stream"));
    events && opened.answer.response.status().is_success()
}
