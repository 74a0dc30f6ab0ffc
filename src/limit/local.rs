//! State of one route on one instance: share, usage and demand.

use std::time::Duration;

use snafu::Snafu;

use super::bucket::Bucket;
use super::message::{Amounts, Demand};
use super::{MIN_REQUEST_GAP, REQUEST_PERIOD};
use crate::clock::Time;

/// Smoothing factor for changes of demand within random variation.
const NOISE_GAIN: f64 = 0.2;

/// The limit that a request reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No valid share: the first request on this instance, or the instance
    /// can't reach the allocator.
    NoShare,
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrent,
}

/// A request was not admitted and not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("request not run: {reason:?} limit reached; retry in {retry_after:?}"))]
pub struct Denial {
    /// The limit reached.
    pub reason: DenialReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct RouteState {
    pub(crate) share: Amounts,
    pub(crate) requests: Bucket,
    pub(crate) tokens: Bucket,
    pub(crate) running: u32,
    /// Waiting requests, as last set by the caller.
    pub(crate) waiting: u32,
    /// Usage since the last share request.
    pub(crate) usage: Usage,
    /// Demanded requests and tokens per second, smoothed.
    pub(crate) wanted: [f64; 2],
    pub(crate) used: Time,
    /// Last denial that triggered an early share request.
    pub(crate) denied: Option<Time>,
}

#[derive(Debug, Default)]
pub(crate) struct Usage {
    pub(crate) requests: u32,
    pub(crate) tokens: u64,
    /// Maximum number of requests running at a time.
    pub(crate) peak: u32,
    pub(crate) denied: u32,
}

impl RouteState {
    /// Refills the buckets up to `until`, which must not exceed the lease.
    pub(crate) fn refill(&mut self, until: Time) {
        self.requests.refill(until);
        self.tokens.refill(until);
    }

    /// Discards accumulated tokens after the lease expired: another instance
    /// may have accumulated tokens for the same share meanwhile, and both would
    /// burst.
    pub(crate) fn drain(&mut self) {
        self.requests.drain();
        self.tokens.drain();
    }

    /// Whether this is the first denial within a period. Only this one triggers
    /// an early share request, as an exhausted limit stays so for a while.
    pub(crate) fn first_denial(&mut self, now: Time) -> bool {
        let first = self.denied.is_none_or(|at| now.since(at) >= REQUEST_PERIOD);
        if first {
            self.denied = Some(now);
        }
        first
    }

    /// Starts the present share at `now`; time without a lease is not credited.
    pub(crate) fn restart(&mut self, now: Time) {
        self.requests.set_rate(now, self.share.requests);
        self.tokens.set_rate(now, self.share.tokens);
    }

    pub(crate) fn denial(&self, valid: bool, tokens: u32) -> Option<Denial> {
        if !valid || self.share == Amounts::default() {
            return Some(deny(DenialReason::NoShare, MIN_REQUEST_GAP));
        }
        if self.running >= self.share.concurrent {
            return Some(deny(DenialReason::Concurrent, REQUEST_PERIOD));
        }
        if !self.requests.has(1.0) {
            return Some(deny_until_refill(
                DenialReason::Requests,
                self.requests.wait(1.0),
            ));
        }
        let tokens = f64::from(tokens);
        if !self.tokens.has(tokens) {
            return Some(deny_until_refill(
                DenialReason::Tokens,
                self.tokens.wait(tokens),
            ));
        }
        None
    }

    pub(crate) fn demand(&mut self, route: &str, valid: bool, elapsed: Duration) -> Demand {
        let usage = std::mem::take(&mut self.usage);
        let secs = elapsed.as_secs_f64().max(MIN_REQUEST_GAP.as_secs_f64());
        let weight = (secs / REQUEST_PERIOD.as_secs_f64()).min(1.0);
        let rates = [f64::from(usage.requests) / secs, usage.tokens as f64 / secs];
        for (wanted, rate) in self.wanted.iter_mut().zip(rates) {
            *wanted += (rate - *wanted) * weight * gain(*wanted, rate);
        }
        let peak = usage.peak.max(self.running);
        Demand {
            route: route.to_owned(),
            held: if valid {
                self.share
            } else {
                Amounts::default()
            },
            wanted: Amounts {
                requests: self.wanted[0].max(rates[0].min(1.0)).ceil() as u32,
                tokens: self.wanted[1].ceil() as u32,
                concurrent: peak.saturating_add(usage.denied.max(self.waiting)),
                queued: self.waiting,
            },
            running: self.running,
        }
    }
}

/// Smoothing factor for a change of demand. A change within random variation is
/// followed slowly: a share given up after a random drop would be missing for
/// the next request.
fn gain(wanted: f64, rate: f64) -> f64 {
    let noise = 3.0 * wanted.sqrt();
    if (rate - wanted).abs() < noise {
        return NOISE_GAIN;
    }
    1.0
}

fn deny(reason: DenialReason, retry_after: Duration) -> Denial {
    Denial {
        reason,
        retry_after,
    }
}

fn deny_until_refill(reason: DenialReason, wait: Option<f64>) -> Denial {
    let wait = wait.map_or(REQUEST_PERIOD, Duration::from_secs_f64);
    deny(reason, wait)
}
