//! What to do after an attempt at an upstream has failed.
//!
//! Load pattern: an upstream refuses, breaks off, answers garbage or falls
//! silent, and the caller still has time. Whether the request may be sent
//! again depends on what is known to have run; an attempt that may have run
//! forbids another one for requests that aren't idempotent.

use std::time::Duration;

use crate::configuration::Repeat;

/// Attempts that no upstream ran, after which the search is given up. Each
/// met a full or dying upstream; more would only delay the refusal.
const MOST_NOT_RUN: u32 = 4;

/// Time left below which no further attempt is made: connecting and running
/// the shortest request takes about this long.
const LEAST_LEFT: Duration = Duration::from_millis(60);

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent, or the upstream says that it didn't run it.
    NotRun,
    /// It may have run, or has run without a usable answer.
    Unknown,
    /// The upstream ran it and answered with a failure of its own.
    Answered,
}

/// Attempts so far, the failed one included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AttemptCounts {
    /// Attempts that may have run.
    pub(crate) may_have_run: u32,
    /// Attempts that were not run.
    pub(crate) not_run: u32,
}

impl AttemptCounts {
    /// Counts a failed attempt.
    pub(crate) fn record(&mut self, failure: Failure) {
        match failure {
            Failure::NotRun => self.not_run += 1,
            Failure::Unknown | Failure::Answered => self.may_have_run += 1,
        }
    }
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Another attempt, if the retry budget allows it.
    Again,
    /// Hand on the upstream's own failure.
    Pass,
    /// Tell the caller that it did not run.
    Refuse,
    /// Tell the caller that it may have run.
    Fail,
}

impl NextStep {
    /// As metrics name it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Again => "again",
            Self::Pass => "pass",
            Self::Refuse => "refuse",
            Self::Fail => "fail",
        }
    }
}

/// The step after `failure`, which `counts` counts already.
pub(crate) fn next_step(
    repeat: Repeat,
    attempts: u32,
    counts: AttemptCounts,
    failure: Failure,
    left: Duration,
) -> NextStep {
    let may_repeat = repeat != Repeat::Never || counts.may_have_run == 0;
    let in_bounds =
        counts.may_have_run < attempts && counts.not_run < MOST_NOT_RUN && left >= LEAST_LEFT;
    if may_repeat && in_bounds {
        return NextStep::Again;
    }
    give_up(counts, failure)
}

/// The answer when no further attempt is made.
pub(crate) fn give_up(counts: AttemptCounts, failure: Failure) -> NextStep {
    match failure {
        Failure::Answered => NextStep::Pass,
        _ if counts.may_have_run == 0 => NextStep::Refuse,
        _ => NextStep::Fail,
    }
}
