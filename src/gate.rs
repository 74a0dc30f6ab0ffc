//! Whether the instance takes new work, and what work still runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::clock::Time;
use crate::lease::LeasedCatalogue;

/// Counts running requests and closes for a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    closed: AtomicBool,
    running: AtomicUsize,
}

/// One running request. Dropping it gives its place back.
#[derive(Debug)]
pub(crate) struct RunningGuard(Arc<Gate>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Gate {
    /// Counts a new request in, or refuses it while draining.
    ///
    /// The count is raised before the gate is looked at. The other way round,
    /// a shutdown between the two would see no running request and cut off
    /// the one just let in.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<RunningGuard> {
        self.running.fetch_add(1, Ordering::SeqCst);
        let running = RunningGuard(Arc::clone(self));
        (!self.closed.load(Ordering::SeqCst)).then_some(running)
    }

    /// Counts in work that belongs to a request which was let in before, such
    /// as recording its outcome; it must not be cut off either.
    pub(crate) fn track(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::SeqCst);
        RunningGuard(Arc::clone(self))
    }

    /// Lets no new request in from now on.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether the instance drains.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Requests that run now.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Why the platform's balancer should send no work here, if so.
    pub(crate) fn unready_reason(
        &self,
        force: &LeasedCatalogue,
        now: Time,
    ) -> Option<&'static str> {
        if self.is_closed() {
            return Some("draining\n");
        }
        force.get(now).is_err().then_some("no catalogue lease\n")
    }
}
