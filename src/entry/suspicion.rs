//! Requests that may crash the engines that run them.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::OwnedMutexGuard;

/// What a request does differently because it may crash the engines that run it.
#[derive(Default)]
pub(super) struct Suspicion {
    /// Whether an engine crashed when it had just begun to run the request. The leader may suspect
    /// it for runs at other instances, too.
    pub(super) own: bool,
    /// Whether the request has waited for long enough to enter any engine.
    pub(super) unrestricted: AtomicBool,
    /// Turn among the suspects of this instance, until the request proves harmless.
    pub(super) turn: Option<OwnedMutexGuard<()>>,
}

impl Suspicion {
    /// Lets the request enter any engine.
    pub(super) fn lift_restriction(&self) {
        self.unrestricted.store(true, Ordering::Relaxed);
    }
}
