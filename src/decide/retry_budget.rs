//! How many retries this instance may add to a service's load.
//!
//! Load pattern: engines fail in numbers, every request is sent again, and the
//! retries finish off those that are left. The operator bounds the retries of
//! all instances together over a sliding window, as a share of the requests
//! plus a fixed number; each instance uses its own part, so no agreement is
//! needed on the way of a request.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Share of the bound that is used. The rest covers instances that restart
/// and forget what they have used.
const USED: f64 = 0.75;

/// Limit on the retries of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimit {
    /// Retries as a share of the requests in the window.
    pub(crate) ratio: f64,
    /// Retries besides the share.
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Retries and requests of this instance by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    bound: RetryLimit,
    services: HashMap<String, Counts>,
}

impl RetryBudget {
    pub(crate) fn new(bound: RetryLimit) -> Self {
        Self {
            bound,
            services: HashMap::default(),
        }
    }

    /// Counts a request to a service.
    pub(crate) fn record_request(&mut self, now: Time, service: &str) {
        let window = self.bound.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        trim(&mut counts.requests, now, window);
    }

    /// Takes one retry, or says that none is left. `instances` share the bound.
    pub(crate) fn try_acquire(&mut self, now: Time, service: &str, instances: u32) -> bool {
        if self.remaining(now, service, instances) < 1.0 {
            return false;
        }
        self.counts(service).retries.push_back(now);
        true
    }

    /// Retries to a service that are left at `now`.
    pub(crate) fn remaining(&mut self, now: Time, service: &str, instances: u32) -> f64 {
        let bound = self.bound;
        let counts = self.counts(service);
        trim(&mut counts.requests, now, bound.window);
        trim(&mut counts.retries, now, bound.window);
        let slack = bound.slack / f64::from(instances.max(1));
        USED * (bound.ratio * counts.requests.len() as f64 + slack) - counts.retries.len() as f64
    }

    fn counts(&mut self, service: &str) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Counts::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

fn trim(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&t| now.since(t) >= window) {
        times.pop_front();
    }
}
