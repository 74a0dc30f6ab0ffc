//! How a request waits for upstreams: for those that aren't known yet, and in
//! line for room.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::time::{sleep, timeout};

use super::attempt::Run;
use super::select::Chosen;
use super::view::View;
use crate::clock::millis;
use crate::decide::refusal::Reason;
use crate::decide::waiting;
use crate::event;

/// A request in the line; dropping it leaves.
struct Waiter<'a> {
    count: &'a AtomicUsize,
    /// Requests that were in the line before.
    before: usize,
}

impl<'a> Waiter<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        let before = count.fetch_add(1, Ordering::Relaxed);
        Self { count, before }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Run {
    /// Waits for upstreams to become known, if there may be others than those
    /// that are.
    ///
    /// Engines also seem full while most of them aren't known: the only paths
    /// pass between domains then, and that link is shared out narrowly.
    pub(super) async fn wait(&self, reason: Reason) -> Result<Chosen, Reason> {
        if !matches!(reason, Reason::Full | Reason::NoUpstream) {
            return Err(reason);
        }
        let mut found = Err(reason);
        if !self.entry.view().is_complete() {
            let ready = |_: &View, _| self.choose(0.0).is_ok();
            self.entry.hold(self.left(), ready).await;
            found = self.choose(0.0);
        }
        match found {
            Err(Reason::Full) => self.wait_room().await,
            found => found,
        }
    }

    /// Waits in line for room on the engines.
    async fn wait_room(&self) -> Result<Chosen, Reason> {
        let entry = &self.entry;
        let waiters = Waiter::new(&entry.waiters);
        let objective = self.call.route.objective;
        let pace = entry.shared().pace;
        let began = entry.now();
        let spent = began.since(self.call.began);
        let limit = waiting::limit(objective, spent, self.left(), waiters.before, &pace);
        let Some(limit) = limit else {
            return Err(Reason::Full);
        };
        let mut first = None;
        let search = async {
            let _first = entry.line.lock().await;
            first = Some(entry.now());
            loop {
                let waited = entry.now().since(began).div_duration_f64(limit);
                match self.choose(waited) {
                    Err(Reason::Full) => sleep(waiting::POLL_INTERVAL).await,
                    found => return found,
                }
            }
        };
        let found = timeout(limit, search).await;
        let found = found.unwrap_or(Err(Reason::Full));
        if let Some(first) = first {
            let turn = entry.now().since(first);
            entry.shared().pace.record_turn(turn, found.is_ok());
        }
        tracing::info!(
            event = event::REQUEST_WAITED.id,
            attempt = self.call.attempt,
            before = waiters.before,
            waited_ms = millis(entry.now().since(began)),
            limit_ms = millis(limit),
            found = found.is_ok(),
            sharers = entry.sharers(),
            "waited for room"
        );
        found
    }
}
