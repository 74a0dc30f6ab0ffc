//! Reads what upstreams ask for in the heads of their responses: rate limits, pauses, and that they
//! are leaving.

use std::time::Duration;

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
        if let Some(pause) = pause_asked(status, map) {
            self.note_pause(upstream, pause);
        }
        if head::text(map, headers::LEAVING).is_some_and(is_set) {
            self.note_leaving(upstream);
        }
    }

    fn note_pause(&self, upstream: &Upstream, pause: Duration) {
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

/// The pause that a response asks for.
pub(super) fn pause_asked(status: StatusCode, map: &HeaderMap) -> Option<Duration> {
    let refuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !refuses.contains(&status) {
        return None;
    }
    let text = head::text(map, headers::RETRY_AFTER)?;
    let pause = backoff::parse(text);
    if pause.is_none() {
        tracing::debug!(after = text, "ignoring invalid pause");
    }
    pause
}

fn is_set(value: &str) -> bool {
    value.trim() == "1"
}
