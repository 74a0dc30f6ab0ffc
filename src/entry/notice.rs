//! Reads what upstreams ask for in the heads of their responses: rate limits, pauses, and that they
//! are leaving.

use hyper::{HeaderMap, StatusCode};
use rand::RngExt;

use super::Entry;
use super::head;
use super::view::Upstream;
use crate::clock::{Time, millis};
use crate::decide::backoff;
use crate::event;
use crate::platform::headers;

impl Entry {
    /// Notes what an upstream asks for in a response to a request that was sent at `sent`.
    pub(super) fn note_response(
        &self,
        sent: Time,
        upstream: &Upstream,
        status: StatusCode,
        map: &HeaderMap,
    ) {
        self.note_limit(sent, upstream, head::text(map, headers::RATE_LIMIT));
        if pause_asked(status, map).is_some() {
            self.note_pause(upstream, map);
        }
        if head::text(map, headers::LEAVING).is_some_and(is_set) {
            self.note_leaving(upstream);
        }
    }

    fn note_pause(&self, upstream: &Upstream, map: &HeaderMap) {
        let text = head::text(map, headers::RETRY_AFTER).unwrap_or_default();
        let Some(pause) = backoff::parse(text) else {
            tracing::debug!(upstream = %upstream.id, after = text, "ignoring invalid pause");
            return;
        };
        let (now, draw) = (self.now(), rand::rng().random());
        let backoffs = &mut self.shared().backoffs;
        let kept = backoffs.record_pause(now, upstream.key, &upstream.start(), pause, draw);
        tracing::info!(
            event = event::PAUSE_REQUESTED.id,
            upstream = %upstream.id,
            address = %upstream.address,
            asked_ms = millis(pause),
            kept_ms = millis(kept),
            "the upstream wants no requests for a while"
        );
    }

    fn note_leaving(&self, upstream: &Upstream) {
        let now = self.now();
        let backoffs = &mut self.shared().backoffs;
        if backoffs.record_leaving(now, upstream.key, &upstream.start()) {
            tracing::info!(
                event = event::UPSTREAM_LEAVING.id,
                upstream = %upstream.id,
                address = %upstream.address,
                "the upstream is leaving and gets no more requests"
            );
        }
    }

    /// Whether an upstream takes requests of this instance, as far as it has asked.
    pub(super) fn may_send(&self, upstream: &Upstream) -> bool {
        let backoffs = &self.shared().backoffs;
        backoffs.may_send(self.now(), upstream.key, &upstream.id, upstream.born)
    }
}

/// The pause that a response asks for, as its text.
pub(super) fn pause_asked(status: StatusCode, map: &HeaderMap) -> Option<&str> {
    let refuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    refuses
        .contains(&status)
        .then(|| head::text(map, headers::RETRY_AFTER))?
}

fn is_set(value: &str) -> bool {
    value.trim() == "1"
}
