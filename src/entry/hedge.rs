//! Attempts of one request that run at the same time.
//!
//! Load pattern: the machines of engines, or of this instance, pause for a second or two, and many
//! streams are silent at once. Each of their upstreams goes on later. An attempt that was given up
//! for its silence would cost the caller an answer that is on its way, so another attempt is only
//! started beside it, within the limits on retries. The first of them to give an event, or the head of
//! an answer without events, serves the caller; the others are cancelled.

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use super::attempt::{BLOCKED, Outcome, Run};
use super::reroute::Stall;
use super::retry::RetryReason;
use super::select::Selection;
use super::send::Attempt;
use super::view::Upstream;
use crate::clock::millis;
use crate::decide::retry::{Failure, NextStep};
use crate::event;
use crate::metric;
use crate::sync::address_from_key;

/// An attempt that is silent and goes on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stalled {
    /// The upstream to which it was sent.
    pub(super) first: u64,
    pub(super) stall: Stall,
}

/// An attempt that has ended.
pub(super) struct Ended {
    pub(super) upstream: Upstream,
    /// Whether it passed through a path of engines.
    pub(super) is_path: bool,
    pub(super) outcome: Outcome,
}

/// News of the running attempts.
pub(super) enum Progress {
    Ended(Box<Ended>),
    Stalled(Stalled),
}

/// Attempts of one request that run at the same time. Dropping them cancels them at their
/// upstreams.
pub(super) struct Running {
    attempts: FuturesUnordered<BoxFuture<'static, Ended>>,
    sender: mpsc::UnboundedSender<Stalled>,
    receiver: mpsc::UnboundedReceiver<Stalled>,
    /// Upstreams of the running attempts that are stalled, each once.
    stalled: Vec<u64>,
}

impl Default for Running {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            attempts: FuturesUnordered::new(),
            sender,
            receiver,
            stalled: Vec::new(),
        }
    }
}

impl Running {
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether every running attempt is stalled; true if none runs.
    pub(super) fn all_stalled(&self) -> bool {
        self.stalled.len() >= self.attempts.len()
    }

    /// Where attempts report that they are stalled.
    pub(super) fn stalls(&self) -> mpsc::UnboundedSender<Stalled> {
        self.sender.clone()
    }

    pub(super) fn start(&mut self, attempt: Attempt, selection: Selection) {
        // What was reported before led to this attempt.
        while self.receiver.try_recv().is_ok() {}
        self.attempts.push(Box::pin(attempt.make(selection)));
    }

    /// Waits until an attempt has ended; forever if none runs.
    pub(super) async fn next_end(&mut self) -> Ended {
        let Some(ended) = self.attempts.next().await else {
            return std::future::pending().await;
        };
        self.stalled.retain(|first| *first != ended.upstream.key);
        ended
    }

    /// Waits until an attempt has ended or is stalled.
    pub(super) async fn next(&mut self) -> Progress {
        tokio::select! {
            biased;
            Some(ended) = self.attempts.next() => {
                self.stalled.retain(|first| *first != ended.upstream.key);
                Progress::Ended(Box::new(ended))
            }
            Some(stalled) = self.receiver.recv() => {
                if !self.stalled.contains(&stalled.first) {
                    self.stalled.push(stalled.first);
                }
                Progress::Stalled(stalled)
            }
            else => std::future::pending().await,
        }
    }
}

impl Run {
    /// Whether another attempt may start beside one that is stalled.
    pub(super) fn may_hedge(&mut self, stalled: &Stalled) -> bool {
        let Stalled { first, stall } = *stalled;
        let cause = match stall {
            Stall::DeadEngine(culprit) => {
                if !self.has_failed_at(culprit) {
                    self.exclude_upstream(Some(culprit), BLOCKED);
                }
                BLOCKED
            }
            Stall::Unknown => "silent",
        };
        let outcome = self.hedge_outcome();
        let stalled = metric::STALLED_ATTEMPTS.name;
        metrics::counter!(stalled, "cause" => cause, "outcome" => outcome).increment(1);
        tracing::info!(
            event = event::ATTEMPT_STALLED.id,
            attempt = self.call.attempt,
            address = %address_from_key(first),
            cause,
            outcome,
            events = self.events,
            last = self.last_event,
            left_ms = millis(self.left()),
            "attempt stalled"
        );
        // An engine can't run the same request twice at a time.
        if !self.has_failed_at(first) {
            self.failed_upstreams.push(first);
        }
        outcome == "hedged"
    }

    fn has_failed_at(&self, upstream: u64) -> bool {
        self.failed_upstreams.contains(&upstream)
    }

    fn hedge_outcome(&mut self) -> &'static str {
        // A request that may crash engines runs on one at a time.
        if self.suspect(&self.entry.view()).is_some() {
            return "suspect";
        }
        match self.next_step(Failure::Unknown) {
            NextStep::Again if self.acquire_retry(RetryReason::Silent) => "hedged",
            NextStep::Again => "denied",
            _ => "no_attempts",
        }
    }
}
