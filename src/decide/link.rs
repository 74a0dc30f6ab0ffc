//! Limits how much of the link between failure domains this instance uses.
//!
//! Load pattern: an engine is lost, no path within its domain is left, and requests begin to
//! cross into another one. The link's capacity is less than one crossing of the whole load.
//! Once it is full, every token that crosses waits, so that all streams that cross exceed their
//! allowed pause, and each instance sees only its own part. Each instance therefore uses an
//! equal part of a bounded share of the link; requests beyond it are refused.

use std::time::Duration;

use crate::clock::Time;

/// Fraction of the link that requests may occupy. At half of its capacity a token waits for
/// about as long as it occupies the link, some 20 ms if a prompt is ahead of it.
const UTILISATION: f64 = 0.5;

/// Time over which unused capacity accumulates.
const BURST: Duration = Duration::from_secs(1);

/// This instance's share of the link, as a token bucket.
#[derive(Debug)]
pub(crate) struct LinkShare {
    /// Milliseconds of link time that may be used now.
    available_ms: f64,
    refilled_at: Time,
}

impl LinkShare {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            available_ms: 0.0,
            refilled_at: now,
        }
    }

    /// Returns whether `millis` of link time are available, and if so, takes them. `instances`
    /// share the link.
    pub(crate) fn try_acquire(&mut self, now: Time, instances: u32, millis: f64) -> bool {
        let rate = 1000.0 * UTILISATION / f64::from(instances.max(1));
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let burst = rate * BURST.as_secs_f64();
        // With many instances, the burst is smaller than one large request.
        self.available_ms = (self.available_ms + rate * elapsed).min(burst.max(millis));
        self.refilled_at = now;
        if self.available_ms < millis {
            return false;
        }
        self.available_ms -= millis;
        true
    }
}
