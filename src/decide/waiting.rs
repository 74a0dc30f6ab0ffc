//! Limits how requests queue for room on the engines.
//!
//! Load pattern: a burst, or the loss of an engine, leaves more requests than room for some
//! seconds or for long, while several slots per second become free. A request that waits for
//! one is answered sooner than one that is refused and retried, and doesn't use up its caller's
//! last retry. But one that waits until it is late takes the slot of one that could be on time.
//! The queue is therefore only as long as what will be on time, estimated from how fast it moved
//! recently and how long a first event takes; other requests are refused at once.
//!
//! A response that has begun can't be refused any more, only cut off, and its caller has a part of
//! it. It waits beside the queue, for as long as the rest of it can still arrive in time.

use std::time::Duration;

/// Maximum wait for any objective. Limits what a request that is late already may add to its
/// delay, and the wait under a long objective.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Maximum wait of a request that is late already, as a fraction of the objective. A response that
/// has begun waits for longer, and is as urgent as can be after this time.
const RETRY_WAIT: f64 = 0.8;

/// Fraction of the remaining time for which a response that has begun waits for another path. The
/// rest is for the work that is left.
const RESUME_WAIT: f64 = 0.5;

/// Time for which one of several begun responses looks for room before the next one does.
pub(crate) const RESUME_TURN: Duration = Duration::from_millis(200);

/// Fraction of the objective after which a request that finds no room is no longer fresh: an
/// attempt of it has failed.
const FRESH: f64 = 0.25;

/// Maximum number of queued requests at one instance, however fast the queue moves.
pub(crate) const MAX_WAITERS: usize = 12;

/// Interval at which the first request in the queue checks for room.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Weight of the newest observation. The averages reflect some ten requests, which pass within
/// half a second at a busy instance.
const WEIGHT: f64 = 0.2;

/// Number of mean deviations added to the mean time to a first event. Four cover nearly all
/// requests, as for retransmission timers (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// Initial estimates in seconds: a domain frees some thirty slots per second, and first events
/// take 50 ms under low load.
const INITIAL_FRONT_TIME: f64 = 0.03;
const INITIAL_FIRST_EVENT: f64 = 0.05;
const INITIAL_DEVIATION: f64 = 0.02;

/// Recent speed of the queue and of the engines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueTiming {
    /// Mean time for which a request is first in the queue, in seconds.
    front_time: f64,
    /// Mean time from sending a request to its first event, and its mean deviation, in seconds.
    first_event: f64,
    deviation: f64,
}

impl Default for QueueTiming {
    fn default() -> Self {
        Self {
            front_time: INITIAL_FRONT_TIME,
            first_event: INITIAL_FIRST_EVENT,
            deviation: INITIAL_DEVIATION,
        }
    }
}

impl QueueTiming {
    /// Records that a request was first in the queue for `time`, and whether it found room.
    pub(crate) fn record_front_time(&mut self, time: Duration, found: bool) {
        let time = time.as_secs_f64();
        if found || time > self.front_time {
            self.front_time += WEIGHT * (time - self.front_time);
        }
    }

    /// Records the time from sending a request to its first event.
    pub(crate) fn record_first_event(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let difference = (time - self.first_event).abs();
        self.first_event += WEIGHT * (time - self.first_event);
        self.deviation += WEIGHT * (difference - self.deviation);
    }

    /// Time within which most requests get their first event after they were sent.
    pub(crate) fn first_event(&self) -> Duration {
        Duration::from_secs_f64(self.first_event + DEVIATIONS * self.deviation)
    }
}

/// Returns how long a response that has begun may wait for another path, with time `left`.
pub(crate) fn resume_limit(left: Duration) -> Duration {
    left.mul_f64(RESUME_WAIT)
}

/// Returns the part of its usual wait for which a begun response has waited, at most 1. From then
/// on it takes room without regard to others.
pub(crate) fn resume_urgency(objective: Duration, waited: Duration) -> f64 {
    waited.div_duration_f64(retry_limit(objective)).min(1.0)
}

/// Returns how long a request that is late already may wait, apart from its deadline.
fn retry_limit(objective: Duration) -> Duration {
    objective.mul_f64(RETRY_WAIT).min(MAX_WAIT)
}

/// Returns how long a request may wait behind `waiters` others, or `None` if it is refused at
/// once. `spent` is the time since it arrived.
pub(crate) fn limit(
    objective: Duration,
    spent: Duration,
    left: Duration,
    waiters: usize,
    timing: &QueueTiming,
) -> Option<Duration> {
    if waiters >= MAX_WAITERS {
        return None;
    }
    if spent > objective.mul_f64(FRESH) {
        return Some(retry_limit(objective).min(left / 3)).filter(|l| *l > POLL_INTERVAL);
    }
    let limit = objective.saturating_sub(spent + timing.first_event());
    let limit = limit.min(MAX_WAIT).min(left / 3).max(POLL_INTERVAL * 2);
    let ahead = Duration::from_secs_f64(timing.front_time * waiters as f64);
    // One request always waits, since otherwise nothing would show that the queue moves again.
    (waiters == 0 || ahead < limit).then_some(limit)
}
