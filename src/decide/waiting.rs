//! How requests wait for room on the engines.
//!
//! Load pattern: a burst, or an engine that is lost, leaves more requests than
//! room, for some seconds or for long, while several places a second come free.
//! A request that waits for one of them is answered sooner than one that is
//! refused and comes back, and it doesn't use up its caller's last try. But one
//! that waits so long that it is late takes the place of one that could be on
//! time. So the line is only as long as what will be on time, by how fast it
//! has moved lately and how long a first event takes; what would wait longer is
//! refused at once.

use std::time::Duration;

/// Longest wait, whatever the objective. Limits both what a request that is late
/// already may add to its delay and what a long objective would allow.
const MOST: Duration = Duration::from_secs(2);

/// Part of the objective for which a request waits that is late already, or has
/// run: its caller has a part of the answer, or waits for a second try.
const OBJECTIVES: f64 = 0.8;

/// Part of the objective after which a request that finds no room is no longer
/// fresh: an attempt of it has failed.
const FRESH: f64 = 0.25;

/// Requests that may wait on one instance, however fast the line moves.
const WAITERS: usize = 12;

/// Period at which the first in line looks for room.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Weight of the newest observation: some ten requests tell the pace, which at a
/// busy instance pass in half a second.
const WEIGHT: f64 = 0.2;

/// Mean deviations that are added to the mean time to a first event. Four of
/// them cover nearly all, as for retransmission timers (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// What is taken for granted before anything was seen, in seconds: a domain frees
/// some thirty places a second, and first events take 50 ms on a quiet day.
const FIRST_TURN: f64 = 0.03;
const FIRST_EVENT: f64 = 0.05;
const FIRST_SPREAD: f64 = 0.02;

/// What was seen of the line and of the engines lately.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueTiming {
    /// Seconds for which a request is first in line.
    turn: f64,
    /// Seconds from sending to the first event, and their mean deviation.
    first: f64,
    spread: f64,
}

impl Default for QueueTiming {
    fn default() -> Self {
        Self {
            turn: FIRST_TURN,
            first: FIRST_EVENT,
            spread: FIRST_SPREAD,
        }
    }
}

impl QueueTiming {
    /// Notes that a request was first in line for `time`, and whether it found
    /// room then.
    pub(crate) fn record_turn(&mut self, time: Duration, found: bool) {
        let time = time.as_secs_f64();
        if found || time > self.turn {
            self.turn += WEIGHT * (time - self.turn);
        }
    }

    /// Notes the time from sending a request to its first event.
    pub(crate) fn record_first_event(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let off = (time - self.first).abs();
        self.first += WEIGHT * (time - self.first);
        self.spread += WEIGHT * (off - self.spread);
    }

    /// Time that most requests need from sending to the first event.
    pub(crate) fn first_event(&self) -> Duration {
        Duration::from_secs_f64(self.first + DEVIATIONS * self.spread)
    }
}

/// How long a request may wait behind `waiters` others; nothing means that it
/// is refused at once. `spent` is the time since it arrived.
pub(crate) fn limit(
    objective: Duration,
    spent: Duration,
    left: Duration,
    waiters: usize,
    timing: &QueueTiming,
) -> Option<Duration> {
    if waiters >= WAITERS {
        return None;
    }
    if spent > objective.mul_f64(FRESH) {
        let limit = objective.mul_f64(OBJECTIVES);
        return Some(limit.min(MOST).min(left / 3)).filter(|l| *l > POLL_INTERVAL);
    }
    let limit = objective.saturating_sub(spent + timing.first_event());
    let limit = limit.min(MOST).min(left / 3).max(POLL_INTERVAL * 2);
    let ahead = Duration::from_secs_f64(timing.turn * waiters as f64);
    // One always waits: else nothing would tell that the line moves again.
    (waiters == 0 || ahead < limit).then_some(limit)
}
