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

use super::attempt::{Outcome, Run};
use super::cause::BLOCKED;
use super::reroute::Stall;
use super::retry::{GrantedRetry, RetryReason};
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

/// Whether another attempt may start beside one that is stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hedge {
    Granted,
    /// The retry budget is used up.
    Denied,
    /// The route allows no more attempts, or too little time is left.
    NoAttempts,
    /// The request may crash engines.
    Suspect,
}

impl Hedge {
    /// Label in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Granted => "hedged",
            Self::Denied => "denied",
            Self::NoAttempts => "no_attempts",
            Self::Suspect => "suspect",
        }
    }
}

/// An attempt that has ended.
pub(super) struct Ended {
    pub(super) upstream: Upstream,
    /// Whether it passed through a path of engines.
    pub(super) is_path: bool,
    pub(super) outcome: Outcome,
    /// The retry that granted it.
    pub(super) retry: Option<GrantedRetry>,
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
    /// Upstreams of the running attempts, each once, and whether the attempt is stalled.
    upstreams: Vec<(u64, bool)>,
}

impl Default for Running {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            attempts: FuturesUnordered::new(),
            sender,
            receiver,
            upstreams: Vec::new(),
        }
    }
}

impl Running {
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Whether every running attempt is stalled; true if none runs.
    pub(super) fn all_stalled(&self) -> bool {
        self.upstreams.iter().all(|(_, stalled)| *stalled)
    }

    /// Where attempts report that they are stalled.
    pub(super) fn stalls(&self) -> mpsc::UnboundedSender<Stalled> {
        self.sender.clone()
    }

    pub(super) fn start(&mut self, attempt: Attempt, selection: Selection) {
        // What was reported before led to this attempt.
        while let Ok(stalled) = self.receiver.try_recv() {
            self.record_stall(stalled.first);
        }
        self.upstreams.push((selection.upstream.key, false));
        self.attempts.push(Box::pin(attempt.make(selection)));
    }

    /// Returns whether an attempt at `upstream` runs.
    fn record_stall(&mut self, upstream: u64) -> bool {
        let found = self.upstreams.iter_mut().find(|(key, _)| *key == upstream);
        found.map(|(_, stalled)| *stalled = true).is_some()
    }

    fn record_end(&mut self, ended: &Ended) {
        self.upstreams.retain(|(key, _)| *key != ended.upstream.key);
    }

    /// Waits until an attempt has ended; forever if none runs.
    pub(super) async fn next_end(&mut self) -> Ended {
        let Some(ended) = self.attempts.next().await else {
            return std::future::pending().await;
        };
        self.record_end(&ended);
        ended
    }

    /// Waits until an attempt has ended or is stalled.
    pub(super) async fn next(&mut self) -> Progress {
        loop {
            tokio::select! {
                biased;
                Some(ended) = self.attempts.next() => {
                    self.record_end(&ended);
                    return Progress::Ended(Box::new(ended));
                }
                Some(stalled) = self.receiver.recv() => {
                    // The attempt may have ended since.
                    if self.record_stall(stalled.first) {
                        return Progress::Stalled(stalled);
                    }
                }
                else => std::future::pending().await,
            }
        }
    }
}

impl Run {
    /// Whether another attempt may start beside one that is stalled.
    pub(super) fn may_hedge(&mut self, stalled: &Stalled) -> bool {
        let Stalled { first, stall } = *stalled;
        let (cause, reason) = match stall {
            Stall::DeadEngine(culprit) => {
                if !self.has_failed_at(culprit) {
                    self.exclude_upstream(Some(culprit), BLOCKED);
                }
                (BLOCKED, RetryReason::Blocked)
            }
            Stall::Unknown => ("silent", RetryReason::Silent),
        };
        let outcome = self.decide_hedge(reason);
        let stalled = metric::STALLED_ATTEMPTS.name;
        metrics::counter!(stalled, "cause" => cause, "outcome" => outcome.name()).increment(1);
        tracing::info!(
            event = event::ATTEMPT_STALLED.id,
            attempt = self.call.attempt,
            address = %address_from_key(first),
            cause,
            outcome = outcome.name(),
            events = self.events,
            last = self.last_event,
            left_ms = millis(self.left()),
            "attempt stalled"
        );
        // An engine can't run the same request twice at a time.
        if !self.has_failed_at(first) {
            self.failed_upstreams.push(first);
        }
        outcome == Hedge::Granted
    }

    fn has_failed_at(&self, upstream: u64) -> bool {
        self.failed_upstreams.contains(&upstream)
    }

    fn decide_hedge(&mut self, reason: RetryReason) -> Hedge {
        // A request that may crash engines runs on one at a time.
        if self.suspect(&self.entry.view()).is_some() {
            return Hedge::Suspect;
        }
        match self.next_step(Failure::Unknown) {
            NextStep::Again if self.acquire_retry(reason) => Hedge::Granted,
            NextStep::Again => Hedge::Denied,
            _ => Hedge::NoAttempts,
        }
    }
}
