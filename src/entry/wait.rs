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
            let ready = |_: &View, _| self.choose().is_ok();
            self.entry.hold(self.left(), ready).await;
            found = self.choose();
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
        let Some(limit) = waiting::limit(objective, self.left(), waiters.before) else {
            return Err(Reason::Full);
        };
        let search = async {
            let _first = entry.line.lock().await;
            loop {
                match self.choose() {
                    Err(Reason::Full) => sleep(waiting::LOOK).await,
                    found => return found,
                }
            }
        };
        let began = entry.now();
        let found = timeout(limit, search).await;
        let found = found.unwrap_or(Err(Reason::Full));
        tracing::info!(
            event = event::REQUEST_WAITED.id,
            attempt = self.call.attempt,
            before = waiters.before,
            waited_ms = millis(entry.now().since(began)),
            limit_ms = millis(limit),
            found = found.is_ok(),
            "waited for room"
        );
        found
    }
}
