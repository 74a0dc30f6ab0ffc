//! Rate-limit updates of upstreams that a controller passes on between entry instances.

use crate::clock::Time;
use crate::decide::load::unit_hash;
use crate::decide::rate::RateLimiter;
use crate::sync::LimitRecord;

/// Latest update of each upstream. A controller sends no requests, so it only keeps them.
#[derive(Default)]
pub(super) struct LimitUpdates(RateLimiter);

impl LimitUpdates {
    /// Records updates of a message, with their ages counted back from `sent`.
    pub(super) fn record(
        &mut self,
        now: Time,
        sent: Time,
        instances: u32,
        records: &[LimitRecord],
    ) {
        for record in records {
            let (address, update) = (record.address, record.update(sent));
            self.0.apply(now, address, update, instances, 0.0);
        }
    }

    /// Returns a subset of the updates, for a message to `instance`.
    pub(super) fn for_instance(&self, now: Time, instance: u64) -> Vec<LimitRecord> {
        let draw = unit_hash(now.0.wrapping_add(instance));
        LimitRecord::latest(now, &self.0, draw)
    }
}
