//! Schedules when a running stream is moved away from an engine that gets no new requests: one
//! that is shutting down, or that was ordered to give up layers.
//!
//! Load pattern: fifty streams pass through such an engine. One that shuts down ends after two
//! seconds, while streams last for three to seven, so that each would stall and be cut off. One
//! that gives up layers loads its new ones only once all streams have passed; meanwhile missing
//! layers stop a whole domain. If all streams moved at once, they would delay each other and
//! everything else at the engine that takes them over, since it reads each of their prompts
//! again. Each stream therefore moves at its own random time.

use std::time::Duration;

use crate::clock::Time;

/// Time over which the streams of an engine are moved. An engine reads the eight layers of a
/// usual prompt again in 3 to 6 ms, so fifty streams take up a third of this time; an engine
/// that shuts down still serves for twice as long.
const SPREAD: Duration = Duration::from_secs(1);

/// Delay before another attempt for a stream for which no other engine had room.
const RETRY_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of consecutive failed attempts of one stream, each of which is an order to an
/// engine.
const MAX_ATTEMPTS: u32 = 4;

/// Migration of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Migration {
    /// Term and revision of the roster that was checked last.
    checked: (u64, u64),
    scheduled_at: Option<Time>,
    /// Failed attempts since the last success.
    failed: u32,
}

impl Migration {
    /// Whether the stream should be moved now. `must` tells whether its path passes through an
    /// engine that gets no new requests, under the roster of this term and revision; `draw` in
    /// [0, 1) sets the time as a fraction of [`SPREAD`].
    pub(crate) fn is_due(
        &mut self,
        now: Time,
        roster: (u64, u64),
        must: impl FnOnce() -> bool,
        draw: f64,
    ) -> bool {
        if self.checked != roster {
            self.checked = roster;
            let scheduled = now + SPREAD.mul_f64(draw);
            self.scheduled_at = must().then(|| self.scheduled_at.unwrap_or(scheduled));
        }
        self.failed < MAX_ATTEMPTS && self.scheduled_at.is_some_and(|at| at <= now)
    }

    /// Records the outcome of an attempt to move the stream. After a success the roster is
    /// checked again, since the new path may pass through another such engine.
    pub(crate) fn record_attempt(&mut self, now: Time, succeeded: bool) {
        if succeeded {
            *self = Self::default();
            return;
        }
        self.scheduled_at = Some(now + RETRY_DELAY);
        self.failed += 1;
    }
}
