//! Limits how many retries this instance adds to a service's load.
//!
//! Load pattern: many engines fail at once, every request is sent again, and the retries
//! overload the engines that are left. The operator limits the retries of all instances
//! together over a sliding window, to a share of the requests plus a fixed number. Each
//! instance uses its own part, so requests need no coordination between instances.
//!
//! A part may be less than one retry, with hundreds of instances and some requests a minute at each.
//! Rounded down, it would be none at any of them. So each instance rounds by a threshold of its
//! own: on average over the instances, the whole retries are as many as their parts together.
//!
//! An instance that restarts doesn't know what its predecessor sent. Retries of both count
//! within the same window, so for the length of one window a new process uses only the part of
//! the fixed number that an established one leaves, and uses it gradually: then any series of
//! restarts uses it once.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Fraction of the limit that an established instance uses.
const UTILISATION: f64 = 0.75;

/// Fraction of the fixed number that an instance uses within the window after its start, in
/// proportion to the time since then.
const START_UTILISATION: f64 = 1.0 - UTILISATION;

/// Fraction of the limit that attempts beside silent ones leave to those after failures. A silent
/// attempt may still succeed; a failed one can't.
const HEDGE_RESERVE: f64 = 0.5;

/// Limit on the retries of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RetryLimit {
    /// Retries as a share of the requests in the window.
    pub(crate) ratio: f64,
    /// Number of retries allowed in addition to the share.
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

/// One service's requests and retries in the window.
#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    /// Times at which retries were sent.
    retries: VecDeque<Time>,
    /// Number of granted retries that were not sent yet.
    pending: u32,
}

impl Window {
    /// Number of retries that count against the limit.
    fn spent(&self) -> f64 {
        self.retries.len() as f64 + f64::from(self.pending)
    }
}

/// Requests and retries of this instance by service.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    /// Start of this process.
    started: Time,
    /// What is added to this instance's part before it is rounded down, in [0, 1). It differs
    /// between instances, and stays the same when one restarts.
    rounding: f64,
    services: HashMap<String, Window>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started`. `rounding` in [0, 1) is evenly
    /// distributed over the instances.
    pub(crate) fn new(limit: RetryLimit, started: Time, rounding: f64) -> Self {
        Self {
            limit,
            started,
            rounding,
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

    /// Returns whether a retry is left, and if so, grants it. It counts against the limit, which
    /// `instances` share, until [`Self::cancel`], or for a window after [`Self::record_sent`].
    ///
    /// A retry may wait for room for seconds. If it counted from its grant on, those of one window
    /// could arrive together with those of the next.
    pub(crate) fn try_acquire(&mut self, now: Time, service: &str, instances: u32) -> bool {
        if self.remaining(now, service, instances) < 1.0 {
            return false;
        }
        self.window(service).pending += 1;
        true
    }

    /// Like [`Self::try_acquire`], for an attempt beside a silent one.
    pub(crate) fn try_acquire_hedge(&mut self, now: Time, service: &str, instances: u32) -> bool {
        let remaining = self.remaining(now, service, instances);
        let limit = remaining + self.window(service).spent();
        remaining >= 1.0 + HEDGE_RESERVE * limit && self.try_acquire(now, service, instances)
    }

    /// Records that a granted retry is sent.
    pub(crate) fn record_sent(&mut self, now: Time, service: &str) {
        let window = self.window(service);
        window.pending = window.pending.saturating_sub(1);
        window.retries.push_back(now);
    }

    /// Takes back a granted retry that is not sent.
    pub(crate) fn cancel(&mut self, service: &str) {
        let window = self.window(service);
        window.pending = window.pending.saturating_sub(1);
    }

    /// Number of retries to a service that are left at `now`; negative once the part shrank.
    pub(crate) fn remaining(&mut self, now: Time, service: &str, instances: u32) -> f64 {
        let limit = self.limit;
        let slack = self.slack_utilisation(now) * limit.slack / f64::from(instances.max(1));
        let rounding = self.rounding;
        let window = self.window(service);
        evict(&mut window.requests, now, limit.window);
        evict(&mut window.retries, now, limit.window);
        let part = UTILISATION * limit.ratio * window.requests.len() as f64 + slack;
        (part + rounding).floor() - window.spent()
    }

    /// Fraction of the fixed number that may be used at `now`.
    fn slack_utilisation(&self, now: Time) -> f64 {
        let up = now.since(self.started).div_duration_f64(self.limit.window);
        if up < 1.0 {
            START_UTILISATION * up
        } else {
            UTILISATION
        }
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
