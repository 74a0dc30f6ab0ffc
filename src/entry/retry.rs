//! Retries that the budget of this instance granted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::Entry;
use super::call::Context;
use crate::clock::millis;
use crate::event;
use crate::metric;

/// A granted retry. It counts against the limit from the grant on, and for a window after it was
/// sent; one that is dropped unsent no longer counts.
pub(super) struct GrantedRetry {
    entry: Arc<Entry>,
    service: String,
    sent: AtomicBool,
}

impl GrantedRetry {
    /// Counts a retry of a request, if the limit on retries to its service allows one.
    pub(super) fn acquire(context: &Context, reason: RetryReason) -> Option<Self> {
        let Context { entry, call, .. } = context;
        let (now, service) = (entry.now(), &call.service);
        let instances = entry.view().entry_count();
        let mut shared = entry.shared();
        let budget = &mut shared.retry_budget;
        let granted = match reason {
            RetryReason::Failed | RetryReason::Blocked => {
                budget.try_acquire(now, service, instances)
            }
            RetryReason::Silent => budget.try_acquire_hedge(now, service, instances),
        };
        let left = shared.retry_budget.remaining(now, service, instances);
        drop(shared);
        let outcome = if granted { "granted" } else { "denied" };
        metrics::counter!(metric::RETRIES.name, "service" => service.clone(), "outcome" => outcome)
            .increment(1);
        tracing::info!(
            event = event::RETRY_DECIDED.id,
            attempt = call.attempt,
            service,
            ?reason,
            outcome,
            left,
            instances,
            up_ms = millis(now.since(entry.started)),
            "retry decided"
        );
        granted.then(|| Self {
            entry: Arc::clone(entry),
            service: service.clone(),
            sent: AtomicBool::new(false),
        })
    }

    /// Whether the retry was sent.
    fn is_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }

    /// Records that the retry is sent. Only the first call has an effect: a carried attempt is
    /// offered to several instances, of which one passes it on.
    pub(super) fn record_sent(&self) {
        if !self.sent.swap(true, Ordering::Relaxed) {
            let now = self.entry.now();
            let mut shared = self.entry.shared();
            shared.retry_budget.record_sent(now, &self.service);
        }
    }
}

impl Drop for GrantedRetry {
    fn drop(&mut self) {
        if !self.is_sent() {
            self.entry.shared().retry_budget.cancel(&self.service);
        }
    }
}

/// Why a request is to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryReason {
    /// An attempt failed.
    Failed,
    /// An attempt waits for an engine that seems dead, and goes on.
    Blocked,
    /// An attempt is silent, and goes on.
    Silent,
}
