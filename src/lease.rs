//! The catalogue in force on this instance, and the lease under which it may
//! be acted on. See [`crate::follow`] for how the lease is extended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::catalogue::Catalogue;
use crate::clock::Time;
use crate::event;

/// The catalogue under its lease, shared with the request path.
pub(crate) struct LeasedCatalogue {
    catalogue: ArcSwap<Catalogue>,
    /// End of the lease on this instance's clock, in microseconds. Only grows.
    until: AtomicU64,
    /// Whether the last look found the lease held; only for the log.
    held: AtomicBool,
}

/// The lease on the catalogue has run out: a change may have been accepted
/// that this instance doesn't know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseLost;

impl LeasedCatalogue {
    /// No catalogue and no lease.
    pub(crate) fn new() -> Self {
        Self {
            catalogue: ArcSwap::from_pointee(Catalogue::default()),
            until: AtomicU64::new(0),
            held: AtomicBool::new(false),
        }
    }

    /// The catalogue, if it may be acted on at `now`.
    pub(crate) fn get(&self, now: Time) -> Result<Arc<Catalogue>, LeaseLost> {
        // Read in this order: a lease read after the catalogue could belong
        // to a newer one than the catalogue that is returned.
        let held = now.0 < self.until.load(Ordering::Acquire);
        self.note(held);
        if held {
            return Ok(self.catalogue.load_full());
        }
        Err(LeaseLost)
    }

    /// The catalogue as last applied, whether or not it may be acted on.
    pub(crate) fn latest(&self) -> Arc<Catalogue> {
        self.catalogue.load_full()
    }

    /// Time left on the lease.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        Time(self.until.load(Ordering::Acquire)).since(now)
    }

    /// Puts a newer catalogue in force; the lease must be extended after it.
    pub(crate) fn publish(&self, catalogue: Catalogue) {
        let revision = catalogue.revision;
        tracing::info!(
            event = event::CATALOGUE_APPLIED.id,
            revision,
            "catalogue in force"
        );
        self.catalogue.store(Arc::new(catalogue));
    }

    /// Extends the lease; it never gets shorter.
    pub(crate) fn extend(&self, until: Time) {
        self.until.fetch_max(until.0, Ordering::AcqRel);
    }

    fn note(&self, held: bool) {
        if self.held.swap(held, Ordering::Relaxed) == held {
            return;
        }
        if held {
            tracing::info!(event = event::LEASE_HELD.id, "catalogue lease held");
        } else {
            tracing::warn!(
                event = event::LEASE_LOST.id,
                "catalogue lease lost: no voter confirms it; new work is refused"
            );
        }
    }
}
