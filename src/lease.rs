//! The catalogue on this instance and the lease for its use. See
//! [`crate::follow`] for how the lease is extended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::catalogue::Catalogue;
use crate::clock::Time;
use crate::event;

/// The catalogue with its lease, shared with the request path.
pub(crate) struct LeasedCatalogue {
    catalogue: ArcSwap<Catalogue>,
    /// Expiry of the lease on this instance's clock, in microseconds. Only grows.
    expires: AtomicU64,
    /// Whether the lease was held at the last check. Only used for logging.
    last_held: AtomicBool,
}

/// The catalogue lease has expired: an accepted change may not have reached this
/// instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseLost;

impl LeasedCatalogue {
    /// Starts with an empty catalogue and without a lease.
    pub(crate) fn new() -> Self {
        Self {
            catalogue: ArcSwap::from_pointee(Catalogue::default()),
            expires: AtomicU64::new(0),
            last_held: AtomicBool::new(false),
        }
    }

    /// Returns the catalogue if the lease is held at `now`.
    pub(crate) fn get(&self, now: Time) -> Result<Arc<Catalogue>, LeaseLost> {
        // The lease is read first: read after the catalogue, it could belong to a
        // newer catalogue than the one returned.
        let held = now.0 < self.expires.load(Ordering::Acquire);
        self.log_change(held);
        if held {
            return Ok(self.catalogue.load_full());
        }
        Err(LeaseLost)
    }

    /// Returns the latest catalogue, with or without a lease.
    pub(crate) fn latest(&self) -> Arc<Catalogue> {
        self.catalogue.load_full()
    }

    /// Time left on the lease.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        Time(self.expires.load(Ordering::Acquire)).since(now)
    }

    /// Replaces the catalogue. The lease must be extended only afterwards.
    pub(crate) fn publish(&self, catalogue: Catalogue) {
        let revision = catalogue.revision;
        tracing::info!(
            event = event::CATALOGUE_APPLIED.id,
            revision,
            "applied a new catalogue"
        );
        self.catalogue.store(Arc::new(catalogue));
    }

    /// Extends the lease. Never shortens it.
    pub(crate) fn extend(&self, until: Time) {
        self.expires.fetch_max(until.0, Ordering::AcqRel);
    }

    fn log_change(&self, held: bool) {
        if self.last_held.swap(held, Ordering::Relaxed) == held {
            return;
        }
        if held {
            tracing::info!(event = event::LEASE_HELD.id, "catalogue lease acquired");
        } else {
            tracing::warn!(
                event = event::LEASE_LOST.id,
                "catalogue lease expired without confirmation by a voter; refusing new requests"
            );
        }
    }
}
