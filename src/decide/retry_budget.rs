//! Limits how many retries this instance adds to a service's load.
//!
//! Load pattern: many engines fail at once, every request is sent again, and the retries
//! overload the engines that are left. The operator limits the retries of all instances
//! together over a sliding window, to a share of the requests plus a fixed number. Each
//! instance uses its own part, so requests need no coordination between instances.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Fraction of the limit that is used. The rest covers instances that restart and lose
/// their counts.
const UTILISATION: f64 = 0.75;

/// Limit on the retries of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimit {
    /// Retries as a share of the requests in the window.
    pub(crate) ratio: f64,
    /// Number of retries allowed in addition to the share.
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

/// Times of one service's requests and retries in the window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Requests and retries of this instance by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    services: HashMap<String, Window>,
}

impl RetryBudget {
    pub(crate) fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: HashMap::default(),
        }
    }

    /// Records a request to a service.
    pub(crate) fn record_request(&mut self, now: Time, service: &str) {
        let length = self.limit.window;
        let window = self.window(service);
        window.requests.push_back(now);
        evict(&mut window.requests, now, length);
    }

    /// Returns whether a retry is left, and if so, counts it against the limit, which
    /// `instances` share.
    pub(crate) fn try_acquire(&mut self, now: Time, service: &str, instances: u32) -> bool {
        if self.remaining(now, service, instances) < 1.0 {
            return false;
        }
        self.window(service).retries.push_back(now);
        true
    }

    /// Number of retries to a service that are left at `now`.
    pub(crate) fn remaining(&mut self, now: Time, service: &str, instances: u32) -> f64 {
        let limit = self.limit;
        let window = self.window(service);
        evict(&mut window.requests, now, limit.window);
        evict(&mut window.retries, now, limit.window);
        let slack = limit.slack / f64::from(instances.max(1));
        UTILISATION * (limit.ratio * window.requests.len() as f64 + slack)
            - window.retries.len() as f64
    }

    fn window(&mut self, service: &str) -> &mut Window {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Window::default());
        }
        self.services.get_mut(service).expect("just inserted")
    }
}

fn evict(times: &mut VecDeque<Time>, now: Time, length: Duration) {
    while times.front().is_some_and(|&t| now.since(t) >= length) {
        times.pop_front();
    }
}
