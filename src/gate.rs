//! Admission of new requests and the count of running ones, for a graceful shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::clock::Time;
use crate::lease::LeasedCatalogue;

/// Counts running requests. Closed while the instance drains.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed: AtomicBool,
    running: AtomicUsize,
}

/// One running request. Dropping the guard uncounts it.
#[derive(Debug)]
pub(crate) struct RunningGuard(Arc<Gate>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gate {
    /// Admits and counts a new request, or returns `None` while draining.
    ///
    /// The count is incremented before the gate is checked. In the other order, a shutdown
    /// between the two would see no running request and cut off the one just admitted.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<RunningGuard> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let running = RunningGuard(Arc::clone(self));
        (!self.closed.load(Ordering::SeqCst)).then_some(running)
    }

    /// Counts work for a request that was admitted earlier, such as recording its outcome. A
    /// shutdown must wait for it too.
    pub(crate) fn track(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(Arc::clone(self))
    }

    /// Stops admitting requests.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether the instance is draining.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Number of running requests.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns why the load balancer should send no requests here, or `None` if it should.
    pub(crate) fn unready_reason(
        &self,
        leased: &LeasedCatalogue,
        now: Time,
    ) -> Option<&'static str> {
        if self.is_closed() {
            return Some("draining\n");
        }
        leased.get(now).is_err().then_some("no catalogue lease\n")
    }
}
