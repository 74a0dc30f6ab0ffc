//! When a running stream is led away from an engine that it still passes
//! through, but that gets nothing new: one that leaves, or that is ordered to
//! give up layers.
//!
//! Load pattern: fifty streams pass through such an engine. One that leaves
//! ends after two seconds, while they last for three to seven: each would stall
//! and be cut off. One that gives up layers loads its new ones only once all
//! have passed; meanwhile a gap stops a whole domain. Led away all at once, the
//! streams would hold up each other and everything else at the engine that
//! takes them over, since it reads each of their prompts again. So each takes
//! its turn at a time of its own.

use std::time::Duration;

use crate::clock::Time;

/// Time over which the streams of an engine are led away. An engine reads the
/// eight layers of a usual prompt again in 3 to 6 ms, so fifty streams take
/// it up for a third of this; and the one that leaves serves for twice as long.
const SPREAD: Duration = Duration::from_secs(1);

/// Pause before a stream tries again for which no other engine had room.
const AGAIN: Duration = Duration::from_millis(600);

/// Attempts of one stream in a row: each is an order to an engine.
const ATTEMPTS: u32 = 4;

/// Turn of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Migration {
    /// Term and revision of the roster that was looked at last.
    seen: (u64, u64),
    at: Option<Time>,
    /// Attempts since the last one that succeeded.
    failed: u32,
}

impl Migration {
    /// Whether the stream should be led away now. `must` tells whether its path
    /// passes through an engine that gets nothing new, under the roster of this
    /// term and revision; `draw` is a random number from 0 to 1.
    pub(crate) fn is_due(
        &mut self,
        now: Time,
        roster: (u64, u64),
        must: impl FnOnce() -> bool,
        draw: f64,
    ) -> bool {
        if self.seen != roster {
            self.seen = roster;
            let turn = now + SPREAD.mul_f64(draw);
            self.at = must().then(|| self.at.unwrap_or(turn));
        }
        self.failed < ATTEMPTS && self.at.is_some_and(|at| at <= now)
    }

    /// Notes the outcome of an attempt to lead the stream away. Its path may
    /// pass through another such engine, so it looks again.
    pub(crate) fn record_attempt(&mut self, now: Time, done: bool) {
        if done {
            *self = Self::default();
            return;
        }
        self.at = Some(now + AGAIN);
        self.failed += 1;
    }
}
