//! What to do after an attempt at an upstream has failed.
//!
//! Load pattern: an upstream refuses, breaks off, answers garbage or falls
//! silent, and the caller still has time. Whether the request may be sent
//! again depends on what is known to have run; an attempt that may have run
//! forbids another one for requests that aren't idempotent.

use std::time::Duration;

use crate::configuration::RetryPolicy;

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
pub(crate) struct Tries {
    /// Attempts that may have run.
    pub(crate) run: u32,
    /// Attempts that were not run.
    pub(crate) idle: u32,
}

impl Tries {
    /// Counts a failed attempt.
    pub(crate) fn count(&mut self, failure: Failure) {
        match failure {
            Failure::NotRun => self.idle += 1,
            Failure::Unknown | Failure::Answered => self.run += 1,
        }
    }
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Another attempt, if the retry budget allows it.
    Again,
    /// Hand on the upstream's own failure.
    Pass,
    /// Tell the caller that it did not run.
    Refuse,
    /// Tell the caller that it may have run.
    Fail,
}

impl Next {
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

/// The step after `failure`, which `tries` counts already.
pub(crate) fn next(
    repeat: RetryPolicy,
    attempts: u32,
    tries: Tries,
    failure: Failure,
    left: Duration,
) -> Next {
    let may_repeat = repeat != RetryPolicy::Never || tries.run == 0;
    let in_bounds = tries.run < attempts && tries.idle < MOST_NOT_RUN && left >= LEAST_LEFT;
    if may_repeat && in_bounds {
        return Next::Again;
    }
    give_up(tries, failure)
}

/// The answer when no further attempt is made.
pub(crate) fn give_up(tries: Tries, failure: Failure) -> Next {
    match failure {
        Failure::Answered => Next::Pass,
        _ if tries.run == 0 => Next::Refuse,
        _ => Next::Fail,
    }
}
