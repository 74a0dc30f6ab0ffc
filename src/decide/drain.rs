//! Decides until when an instance that was asked to stop passes requests on.
//!
//! Load pattern: an instance is stopped in calm. Bodies that it was receiving become complete late,
//! and requests that wait for room find it late. Passed on, they would be cut off at the end of the
//! grace period with their upstreams at work, and nobody could tell whether they ran. Rejected, they
//! are repeated at another instance at once.

use std::time::Duration;

use crate::clock::Time;

/// Time after the signal until which new connections are accepted. The load balancer checks once a
/// second and removes an instance after two failed checks.
const ACCEPT_TIME: Duration = Duration::from_millis(2_500);

/// Time after the signal until which requests are passed on. Their upstreams have the rest of the
/// grace period.
const PASS_TIME: Duration = Duration::from_millis(3_000);

/// Share of the grace period that [`PASS_TIME`] may take, so that most of a shorter one is left to
/// the upstreams as well.
const PASS_SHARE: f64 = 0.375;

/// Share of the grace period after which running responses are cut off, to end before the process
/// is killed.
const ANSWER_SHARE: f64 = 0.94;

/// Times of a shutdown, each from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Drain {
    began: Time,
    grace: Duration,
}

impl Drain {
    /// A shutdown that began `now` and may take `grace`.
    pub(crate) fn new(now: Time, grace: Duration) -> Self {
        Self { began: now, grace }
    }

    /// Time for which new connections are accepted.
    pub(crate) fn accept_time(&self) -> Duration {
        ACCEPT_TIME.min(self.answer_time())
    }

    /// Time after which running responses are cut off.
    pub(crate) fn answer_time(&self) -> Duration {
        self.grace.mul_f64(ANSWER_SHARE)
    }

    /// Whether a request that no upstream has run may still be passed on.
    pub(crate) fn may_pass(&self, now: Time) -> bool {
        now.since(self.began) < PASS_TIME.min(self.grace.mul_f64(PASS_SHARE))
    }
}
