//! Applies the rate limits that upstreams announce in their responses.

use rand::RngExt;

use super::Entry;
use super::attempt::Run;
use super::view::{CurrentReply, Upstream};
use crate::clock::Time;
use crate::decide::rate::{self, LimitUpdate};
use crate::event;
use crate::sync::{LimitRecord, address_from_key};

impl Run {
    /// Returns whether a request may be sent to an upstream now, and if so, counts it against the
    /// upstream's rate limit.
    pub(super) fn acquire_send(&self, upstream: &Upstream) -> bool {
        let entry = &self.entry;
        // The upstream may have asked for a pause since it was chosen.
        if !entry.may_send(upstream) {
            return false;
        }
        let (now, instances) = (entry.now(), entry.view().entry_count());
        let limiter = &mut entry.shared().rate_limiter;
        limiter.try_acquire(now, upstream.key, &upstream.id, upstream.born, instances)
    }
}

impl Entry {
    /// Applies the limit header `text` of a response. A response without the header lifts
    /// the limit only if its request was sent, at `sent`, after the latest update.
    pub(super) fn note_limit(&self, sent: Time, upstream: &Upstream, text: Option<&str>) {
        let limit = match rate::parse(text) {
            Ok(limit) => limit,
            Err(text) => {
                tracing::debug!(upstream = %upstream.id, limit = text, "ignoring invalid rate limit");
                return;
            }
        };
        let now = self.now();
        let update = LimitUpdate {
            upstream: upstream.start(),
            limit,
            at: if limit.is_some() { now } else { sent },
        };
        self.apply_limit(now, upstream.key, update, "answer");
    }

    /// A subset of this instance's latest limit updates, for the leader.
    pub(super) fn limit_records(&self) -> Vec<LimitRecord> {
        let now = self.now();
        let limiter = &self.shared().rate_limiter;
        LimitRecord::latest(now, limiter, rand::rng().random())
    }

    /// Applies the leader's limit updates. Their ages are counted back from `sent`, when the
    /// leader was polled, so that an update never replaces a newer one.
    pub(super) fn apply_leader_limits(&self, sent: Time, current: &CurrentReply) {
        let now = self.now();
        for limit in &current.reply().limits {
            self.apply_limit(now, limit.address, limit.update(sent), "leader");
        }
    }

    fn apply_limit(&self, now: Time, address: u64, update: LimitUpdate, source: &'static str) {
        let (id, limit) = (update.upstream.id.clone(), update.limit);
        let instances = self.view().entry_count();
        let draw = rand::rng().random();
        let limiter = &mut self.shared().rate_limiter;
        if limiter.apply(now, address, update, instances, draw) {
            tracing::info!(
                event = event::LIMIT_CHANGED.id,
                upstream = %id,
                address = %address_from_key(address),
                limit,
                instances,
                source,
                "rate limit changed"
            );
        }
    }
}
