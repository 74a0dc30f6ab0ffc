//! Records whether this instance itself reaches the upstreams of each service.

use super::Entry;
use crate::clock::{Time, millis};
use crate::decide::reachability::Change;
use crate::event;
use crate::sync::address_from_key;

impl Entry {
    /// Records that a connection of this instance to an upstream failed.
    pub(super) fn record_unreached(&self, service: &str, upstream: u64) {
        let entrances = self.view().entrances(service);
        let now = self.now();
        let reachability = &mut self.shared().reachability;
        let change = reachability.record_failure(now, service, upstream, entrances);
        if let Some(Change::Lost { failed }) = change {
            tracing::warn!(
                event = event::SERVICE_UNREACHABLE.id,
                service,
                failed,
                entrances,
                last = %address_from_key(upstream),
                "no upstream of the service is reachable"
            );
        }
    }

    /// Records that an upstream responded on a connection that this instance opened at `opened`.
    pub(super) fn record_reached(&self, service: &str, upstream: u64, opened: Time) {
        let now = self.now();
        let reachability = &mut self.shared().reachability;
        let change = reachability.record_response(now, service, opened);
        if let Some(Change::Regained { after }) = change {
            tracing::info!(
                event = event::SERVICE_REACHABLE.id,
                service,
                first = %address_from_key(upstream),
                lost_ms = millis(after),
                "the service is reachable again"
            );
        }
    }
}
