//! A token bucket whose rate is a leased share.

use crate::clock::Time;

/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket. It starts empty, so that a share that moves between
/// instances allows no extra burst. The level may go below zero when a cost was
/// larger than estimated.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    rate: f64,
    level: f64,
    refilled: Time,
}

impl Bucket {
    /// Changes the rate from `now` on; the time since the last refill is not
    /// credited. The level is capped at the new capacity.
    pub(crate) fn set_rate(&mut self, now: Time, rate: u32) {
        self.refilled = self.refilled.max(now);
        self.rate = f64::from(rate);
        self.level = self.level.min(self.capacity());
    }

    /// Adds the tokens accrued up to `now`. Does nothing if `now` is before the
    /// last refill.
    pub(crate) fn refill(&mut self, now: Time) {
        let passed = now.since(self.refilled).as_secs_f64();
        self.level = (self.level + self.rate * passed).min(self.capacity());
        self.refilled = self.refilled.max(now);
    }

    /// Discards accumulated tokens. Debt stays.
    pub(crate) fn drain(&mut self) {
        self.level = self.level.min(0.0);
    }

    /// Takes `amount` if the level covers it or the bucket is full; an amount
    /// larger than the capacity leaves the level below zero.
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

    /// Takes `amount` regardless of the level; a negative amount is refunded.
    pub(crate) fn correct(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.capacity());
    }

    /// Seconds until `amount` is available at the present rate; `None` if the
    /// rate is zero.
    pub(crate) fn wait(&self, amount: f64) -> Option<f64> {
        if self.rate <= 0.0 {
            return None;
        }
        let missing = amount.min(self.capacity()) - self.level;
        Some((missing / self.rate).max(0.0))
    }

    fn capacity(&self) -> f64 {
        self.rate * BURST_SECONDS
    }
}
