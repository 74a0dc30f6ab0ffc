//! Requests that wait for upstreams: for unknown ones to become known, and in a queue for
//! room.

use tokio::time::{sleep, timeout};

use super::attempt::Run;
use super::select::Selection;
use super::view::View;
use super::waiters::Search;
use crate::clock::millis;
use crate::decide::quarantine;
use crate::decide::rank::Rank;
use crate::decide::refusal::Reason;
use crate::decide::waiting;
use crate::event;

impl Run {
    /// Waits for more upstreams to become known, if some may be unknown yet.
    ///
    /// Engines also seem full while most of them are unknown: the only paths then cross
    /// domains, and little of that link is allotted.
    pub(super) async fn wait(&self, reason: Reason) -> Result<Selection, Reason> {
        if !matches!(reason, Reason::Full | Reason::NoUpstream) {
            return Err(reason);
        }
        let mut found = Err(reason);
        if self.model().is_some() && self.suspect(&self.entry.view()).is_some() {
            found = self.wait_for_spare().await;
        }
        if found.is_ok() {
            return found;
        }
        if !self.entry.view().is_complete() {
            let ready = |_: &View, _| self.choose(0.0).is_ok();
            self.entry.wait_until(self.left(), ready).await;
            found = self.choose(0.0);
        }
        match found {
            Err(Reason::Full | Reason::NoUpstream) if self.has_begun() => {
                self.wait_to_resume().await
            }
            Err(Reason::Full) => self.wait_for_room().await,
            found => found,
        }
    }

    /// Waits for an engine that can be spared, then lets the request enter any engine: suspects are
    /// mostly harmless, and their callers wait.
    async fn wait_for_spare(&self) -> Result<Selection, Reason> {
        let limit = quarantine::suspect_limit(self.left());
        let search = async {
            loop {
                sleep(waiting::POLL_INTERVAL).await;
                if let Ok(found) = self.choose(0.0) {
                    return found;
                }
            }
        };
        if let Ok(found) = timeout(limit, search).await {
            return Ok(found);
        }
        self.suspicion.lift_restriction();
        self.choose(0.0)
    }

    /// Waits for another path for a response that has begun. Several of them look for one in turn,
    /// since the first may need an engine that the others don't.
    async fn wait_to_resume(&self) -> Result<Selection, Reason> {
        let entry = &self.entry;
        let objective = self.call.route.objective;
        let began = entry.now();
        let limit = waiting::resume_limit(self.left());
        let search = async {
            loop {
                let _turn = entry.resume_lock.lock().await;
                let turn = entry.now();
                while entry.now().since(turn) < waiting::RESUME_TURN {
                    let waited = entry.now().since(began);
                    match self.choose(waiting::resume_urgency(objective, waited)) {
                        Err(Reason::Full | Reason::NoUpstream) => {
                            sleep(waiting::POLL_INTERVAL).await;
                        }
                        found => return found,
                    }
                }
            }
        };
        let found = timeout(limit, search).await;
        let found = found.unwrap_or(Err(Reason::Full));
        tracing::info!(
            event = event::RESUME_WAITED.id,
            attempt = self.call.attempt,
            waited_ms = millis(entry.now().since(began)),
            limit_ms = millis(limit),
            found = found.is_ok(),
            "waited to resume"
        );
        found
    }

    /// Waits in the queue for room on the engines.
    async fn wait_for_room(&self) -> Result<Selection, Reason> {
        let (entry, call) = (&self.entry, &self.call);
        let timing = entry.shared().queue_timing;
        let spent = entry.now().since(call.began);
        let (objective, left) = (call.route.objective, self.left());
        let limit = |ahead| waiting::limit(objective, spent, left, ahead, &timing);
        let tokens = call.work.tokens();
        let waiter =
            entry
                .waiters
                .join(&call.service, call.rank, &call.organisation, tokens, limit);
        let Some(waiter) = waiter else {
            return Err(Reason::Full);
        };
        let (ahead, limit) = (waiter.ahead, waiter.limit);
        let search = waiter.search(&*entry.clock, |waited| self.choose(waited));
        let Search {
            found,
            waited,
            at_front,
            displaced,
        } = search.await;
        if let Some(at_front) = at_front {
            let timing = &mut entry.shared().queue_timing;
            timing.record_front_time(at_front, found.is_ok());
        }
        let rank = call.rank.map(Rank::index);
        if displaced {
            tracing::info!(
                event = event::RANK_DISPLACED.id,
                attempt = call.attempt,
                rank,
                waited_ms = millis(waited),
                "displaced by a more urgent request"
            );
        }
        tracing::info!(
            event = event::REQUEST_WAITED.id,
            attempt = call.attempt,
            rank,
            before = ahead,
            waited_ms = millis(waited),
            limit_ms = millis(limit),
            found = found.is_ok(),
            sharers = entry.sharers(),
            reserve = self.call.rank.map(|_| self.reserve()),
            reserve_age_ms = self.reserve_age().map(millis),
            "waited for room"
        );
        found
    }
}
