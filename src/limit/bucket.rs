//! A token bucket whose rate is a leased share.

use crate::clock::Time;

/// Time whose worth of rate a bucket holds, in seconds.
const BURST: f64 = 1.0;

/// Starts empty, so that a share that moves between instances brings no burst
/// with it. May go below zero when a cost was larger than estimated.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    rate: f64,
    level: f64,
    filled: Time,
}

impl Bucket {
    /// Changes the rate from `now` on; the time since the last filling gives
    /// nothing. The level is cut to the new capacity.
    pub(crate) fn set_rate(&mut self, now: Time, rate: u32) {
        self.filled = self.filled.max(now);
        self.rate = f64::from(rate);
        self.level = self.level.min(self.capacity());
    }

    /// Adds what the rate gave up to `now`. An earlier time changes nothing.
    pub(crate) fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_secs_f64();
        self.level = (self.level + self.rate * passed).min(self.capacity());
        self.filled = self.filled.max(now);
    }

    /// Loses what was saved up. Debt stays.
    pub(crate) fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }

    /// Takes `amount` if the level covers it or the bucket is full; a request
    /// larger than the capacity puts the level below zero.
    pub(crate) fn take(&mut self, amount: f64) -> bool {
        if !self.has(amount) {
            return false;
        }
        self.level -= amount;
        true
    }

    /// Whether [`take`](Self::take) would succeed.
    pub(crate) fn has(&self, amount: f64) -> bool {
        self.rate > 0.0 && self.level >= amount.min(self.capacity())
    }

    /// Takes `amount` whatever the level; a negative amount is given back.
    pub(crate) fn correct(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.capacity());
    }

    /// Seconds until `amount` is there, when the rate stays as it is.
    pub(crate) fn wait(&self, amount: f64) -> Option<f64> {
        if self.rate <= 0.0 {
            return None;
        }
        let missing = amount.min(self.capacity()) - self.level;
        Some((missing / self.rate).max(0.0))
    }

    fn capacity(&self) -> f64 {
        self.rate * BURST
    }
}
