//! How much of the link between failure domains this instance may use.
//!
//! Load pattern: an engine is lost, paths that stay in its domain are gone, and
//! requests begin to cross. The link carries less than one crossing of the load.
//! Once it is full every token that crosses waits, so that all streams that
//! cross break their allowed pause, and each instance sees only its own part.
//! Each uses an equal part of a bounded share; what is beyond it is refused.

use std::time::Duration;

use crate::clock::Time;

/// Share of the link that requests may occupy. At half of it a token waits for
/// about as long as it occupies the link, some 20 ms with a prompt before it.
const SHARE: f64 = 0.5;

/// Time over which unused parts are saved.
const SAVED: Duration = Duration::from_secs(1);

/// This instance's part of the link.
#[derive(Debug)]
pub(crate) struct LinkShare {
    /// Milliseconds of the link that may be used now.
    left: f64,
    paid: Time,
}

impl LinkShare {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            left: 0.0,
            paid: now,
        }
    }

    /// Takes `millis` of the link, or says that they aren't left. `instances`
    /// share it.
    pub(crate) fn try_acquire(&mut self, now: Time, instances: u32, millis: f64) -> bool {
        let part = 1000.0 * SHARE / f64::from(instances.max(1));
        let passed = now.since(self.paid).as_secs_f64();
        let most = part * SAVED.as_secs_f64();
        // A part is smaller than one large request where many share it.
        self.left = (self.left + part * passed).min(most.max(millis));
        self.paid = now;
        if self.left < millis {
            return false;
        }
        self.left -= millis;
        true
    }
}
