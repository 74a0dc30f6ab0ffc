//! Decides what follows a failed attempt at an upstream.
//!
//! Load pattern: an upstream refuses, closes the connection, sends an invalid response or
//! nothing, and the caller still has time. Whether the request may be sent again depends on what
//! is known to have run: after an attempt that may have run, a request that is not idempotent is
//! not sent again.

use std::time::Duration;

use super::refusal::{Reason, Rejection, Unsent};
use crate::configuration::RetryPolicy;

/// Number of attempts that no upstream ran after which the request is refused. Each of them met
/// a full or dying upstream, so further ones would only delay the refusal.
const MAX_NOT_RUN: u32 = 4;

/// Remaining time below which no further attempt is made: connecting and running the shortest
/// request takes about this long.
const MIN_REMAINING: Duration = Duration::from_millis(60);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent, or the upstream reported that it didn't run the request.
    NotRun,
    /// It may have run, or ran without a usable response.
    Unknown,
    /// The upstream ran it and returned an error of its own.
    Answered,
}

/// Number of attempts so far, including those that still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptCounts {
    /// Attempts that may have run, or still run. Falls only for an attempt of which
    /// [`Failure::NotRun`] is proved.
    may_have_run: u32,
    /// Attempts that were not run.
    not_run: u32,
}

impl AttemptCounts {
    pub(crate) fn new(_: Unsent) -> Self {
        Self {
            may_have_run: 0,
            not_run: 0,
        }
    }

    pub(crate) fn may_have_run(self) -> u32 {
        self.may_have_run
    }

    pub(crate) fn not_run(self) -> u32 {
        self.not_run
    }

    /// Rejects the request; `None` once an attempt may have run.
    pub(crate) fn reject(self, reason: Reason) -> Option<Rejection> {
        (self.may_have_run == 0).then(|| Rejection::new(reason))
    }

    /// Counts an attempt that begins.
    pub(crate) fn record_start(&mut self) {
        self.may_have_run += 1;
    }

    /// Records the failure of an attempt that was counted when it began.
    pub(crate) fn record_failure(&mut self, failure: Failure) {
        if failure == Failure::NotRun {
            self.may_have_run -= 1;
            self.not_run += 1;
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Make another attempt, if the retry budget allows it.
    Again,
    /// Return the upstream's own error.
    Pass,
    /// Tell the caller that the request did not run.
    Refuse,
    /// Tell the caller that the request may have run.
    Fail,
}

impl NextStep {
    /// Label in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Again => "again",
            Self::Pass => "pass",
            Self::Refuse => "refuse",
            Self::Fail => "fail",
        }
    }
}

/// Returns what follows `failure`, which `counts` already includes. For an attempt that is silent
/// and still runs, [`Failure::Unknown`] tells whether another may start beside it.
pub(crate) fn next_step(
    repeat: RetryPolicy,
    attempts: u32,
    counts: AttemptCounts,
    failure: Failure,
    left: Duration,
) -> NextStep {
    let may_repeat = repeat != RetryPolicy::Never || counts.may_have_run == 0;
    let in_bounds =
        counts.may_have_run < attempts && counts.not_run < MAX_NOT_RUN && left >= MIN_REMAINING;
    if may_repeat && in_bounds {
        return NextStep::Again;
    }
    give_up(counts, failure)
}

/// Returns how the request ends if no further attempt is made.
pub(crate) fn give_up(counts: AttemptCounts, failure: Failure) -> NextStep {
    match failure {
        Failure::Answered => NextStep::Pass,
        _ if counts.may_have_run == 0 => NextStep::Refuse,
        _ => NextStep::Fail,
    }
}
