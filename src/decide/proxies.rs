//! Chooses the instance that carries a request to its upstream, for an instance that doesn't reach
//! the upstream itself.
//!
//! Load pattern: most instances lose their links at once, and the few others carry all requests.
//! Each sender knows a few of them, prefers the one that carries fewest of its own requests, and
//! leaves out for a short time each that refused, so that a full one isn't asked by every request.
//! One that only sent nothing in time may wait for a slow upstream, or may be paused like all the
//! others: it is asked after the others, but asked.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::InstanceId;

/// Time for which an instance that refused or failed is left out. Short, since it may have been
/// full for a moment, and the others are few.
const EXCLUSION: Duration = Duration::from_millis(500);

/// Maximum number of instances that are remembered.
pub(crate) const MAX_PROXIES: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Requests of this instance that it carries.
    carried: u32,
    excluded_until: Time,
    /// Time until which others are preferred, since it sent nothing in time.
    silent_until: Time,
}

/// Instances that may carry requests of this one.
#[derive(Debug, Default)]
pub(crate) struct Proxies {
    /// Those that the leader named last, at most [`MAX_PROXIES`].
    known: Vec<InstanceId>,
    /// Records of known instances and of those that carry requests.
    records: HashMap<InstanceId, Record>,
}

impl Proxies {
    /// Replaces the known instances. An empty list changes nothing: a new leader may not know any
    /// yet.
    pub(crate) fn update(&mut self, ids: impl Iterator<Item = InstanceId>) {
        let ids: Vec<InstanceId> = ids.take(MAX_PROXIES).collect();
        if ids.is_empty() {
            return;
        }
        self.records
            .retain(|id, record| record.carried > 0 || ids.contains(id));
        self.known = ids;
    }

    /// Returns the known instance that carries fewest requests of this one, without those in
    /// `tried` and those that are left out now. One that was silent is chosen only if all others
    /// are left out or were silent too. `draw` in [0, 1) breaks ties.
    pub(crate) fn choose(&self, now: Time, tried: &[InstanceId], draw: f64) -> Option<InstanceId> {
        let count = self.known.len();
        let start = (draw * count as f64) as usize;
        let rotated = (0..count).map(|i| self.known[(start + i) % count]);
        let usable = rotated.filter(|id| !tried.contains(id) && self.is_usable(now, *id));
        usable.min_by_key(|id| {
            let record = self.record(*id);
            (now < record.silent_until, record.carried)
        })
    }

    /// Whether some instance may be asked now.
    pub(crate) fn any_usable(&self, now: Time) -> bool {
        self.known.iter().any(|id| self.is_usable(now, *id))
    }

    /// Records that an instance refused or failed to carry a request.
    pub(crate) fn exclude(&mut self, now: Time, id: InstanceId) {
        if self.known.contains(&id) {
            self.records.entry(id).or_default().excluded_until = now + EXCLUSION;
        }
    }

    /// Records that an instance sent nothing in time.
    pub(crate) fn record_silent(&mut self, now: Time, id: InstanceId) {
        if self.known.contains(&id) {
            self.records.entry(id).or_default().silent_until = now + EXCLUSION;
        }
    }

    /// Counts a request that an instance begins to carry.
    pub(crate) fn begin(&mut self, id: InstanceId) {
        self.records.entry(id).or_default().carried += 1;
    }

    /// Counts the end of a request that an instance carried.
    pub(crate) fn end(&mut self, id: InstanceId) {
        if let Some(record) = self.records.get_mut(&id) {
            record.carried = record.carried.saturating_sub(1);
        }
    }

    /// Number of requests of this instance that others carry.
    pub(crate) fn carried(&self) -> u32 {
        self.records.values().map(|r| r.carried).sum()
    }

    fn is_usable(&self, now: Time, id: InstanceId) -> bool {
        now >= self.record(id).excluded_until
    }

    fn record(&self, id: InstanceId) -> Record {
        self.records.get(&id).copied().unwrap_or_default()
    }
}
