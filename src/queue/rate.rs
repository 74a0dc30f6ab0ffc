//! Estimate of a queue's service rate.

use std::time::Duration;

use crate::clock::Time;

/// Time constant of the estimate, in busy seconds.
const TIME_CONSTANT: f64 = 2.0;
/// Minimum busy time before the estimate is used, in seconds.
const MIN_BUSY: f64 = 0.5;

/// Cost served per second while items wait. Idle time doesn't count: it says
/// nothing about how fast the queue could be served.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    /// Decayed sum of the served cost.
    cost: f64,
    /// Decayed sum of the busy time, in seconds.
    seconds: f64,
    /// Start of the busy time not yet counted; `None` while idle.
    since: Option<Time>,
}

impl ServiceRate {
    pub(crate) fn start(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    pub(crate) fn stop(&mut self, now: Time) {
        self.advance(now);
        self.since = None;
    }

    pub(crate) fn record(&mut self, now: Time, cost: f64) {
        self.advance(now);
        self.cost += cost;
    }

    fn advance(&mut self, now: Time) {
        let Some(since) = self.since else { return };
        let busy = now.since(since).as_secs_f64();
        if busy == 0.0 {
            return;
        }
        let decay = (-busy / TIME_CONSTANT).exp();
        self.cost *= decay;
        self.seconds = self.seconds * decay + busy;
        self.since = Some(now);
    }

    /// Time to serve `cost`; zero while the rate is unknown.
    pub(crate) fn time_for(&self, cost: f64) -> Duration {
        if self.seconds < MIN_BUSY || self.cost <= 0.0 {
            return Duration::ZERO;
        }
        let secs = cost * self.seconds / self.cost;
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }
}
