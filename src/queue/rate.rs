//! Measured service rate of a queue.

use std::time::Duration;

use crate::clock::Time;

/// Time constant of the estimate, in busy seconds.
const WINDOW: f64 = 2.0;
/// Busy time before the estimate is trusted, in seconds.
const WARM: f64 = 0.5;

/// Cost served a second while something waits. Idle time doesn't count: an
/// idle queue says nothing about how fast it could be served.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    /// Decayed served cost over decayed busy seconds.
    cost: f64,
    seconds: f64,
    /// Start of the busy time not yet counted, when something waits.
    since: Option<Time>,
}

impl ServiceRate {
    pub(crate) fn busy(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    pub(crate) fn idle(&mut self, now: Time) {
        self.advance(now);
        self.since = None;
    }

    pub(crate) fn served(&mut self, now: Time, cost: f64) {
        self.advance(now);
        self.cost += cost;
    }

    fn advance(&mut self, now: Time) {
        let Some(since) = self.since else { return };
        let busy = now.since(since).as_secs_f64();
        if busy == 0.0 {
            return;
        }
        let keep = (-busy / WINDOW).exp();
        self.cost *= keep;
        self.seconds = self.seconds * keep + busy;
        self.since = Some(now);
    }

    /// Time to serve `cost`, or zero while the rate isn't known.
    pub(crate) fn time_for(&self, cost: f64) -> Duration {
        if self.seconds < WARM || self.cost <= 0.0 {
            return Duration::ZERO;
        }
        let secs = cost * self.seconds / self.cost;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}
