//! One route on one instance: what it holds, runs and wants.

use std::time::Duration;

use snafu::Snafu;

use super::bucket::Bucket;
use super::message::{Amounts, Demand};
use super::{MIN_REQUEST_GAP, REQUEST_PERIOD};
use crate::clock::Time;

/// Gain on a change of demand that may be chance.
const SLOW: f64 = 0.2;

/// Which limit a request met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenialReason {
    /// No valid share: the first request on this instance, or cut off from
    /// the allocator.
    NoShare,
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests at the same time.
    Concurrent,
}

/// A request was not admitted. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not run, limit of {reason:?} reached: send it again in {retry_after:?}"))]
pub struct Denial {
    /// The limit met.
    pub reason: DenialReason,
    /// When another try has a chance.
    pub retry_after: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Local {
    pub(crate) share: Amounts,
    pub(crate) requests: Bucket,
    pub(crate) tokens: Bucket,
    pub(crate) running: u32,
    /// Items waiting, as last reported by the caller.
    pub(crate) waiting: u32,
    /// Seen since the last question.
    pub(crate) seen: Seen,
    /// Wanted requests and tokens a second, smoothed.
    pub(crate) wanted: [f64; 2],
    pub(crate) used: Time,
    /// Last denial that asked for an urgent question.
    pub(crate) denied: Option<Time>,
}

#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) requests: u32,
    pub(crate) tokens: u64,
    /// Most requests that ran or wished to run at a time.
    pub(crate) peak: u32,
    pub(crate) denied: u32,
}

impl Local {
    /// Fills the buckets up to `until`, the end of the lease at most.
    pub(crate) fn refill(&mut self, until: Time) {
        self.requests.fill(until);
        self.tokens.fill(until);
    }

    /// Gives up saved rate with a lapsed lease: another instance may have
    /// saved up the same share meanwhile, and both would burst.
    pub(crate) fn drain(&mut self) {
        self.requests.drain();
        self.tokens.drain();
    }

    /// Whether this is the first denial for a period. Only then is it worth an
    /// urgent question; a limit that is used up stays so for a while.
    pub(crate) fn first_denial(&mut self, now: Time) -> bool {
        let first = self.denied.is_none_or(|at| now.since(at) >= REQUEST_PERIOD);
        if first {
            self.denied = Some(now);
        }
        first
    }

    /// Starts the present share at `now`; time without a lease gave nothing.
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
            return Some(late(DenialReason::Requests, self.requests.wait(1.0)));
        }
        let tokens = f64::from(tokens);
        if !self.tokens.has(tokens) {
            return Some(late(DenialReason::Tokens, self.tokens.wait(tokens)));
        }
        None
    }

    pub(crate) fn demand(&mut self, route: &str, valid: bool, passed: Duration) -> Demand {
        let seen = std::mem::take(&mut self.seen);
        let secs = passed.as_secs_f64().max(MIN_REQUEST_GAP.as_secs_f64());
        let weight = (secs / REQUEST_PERIOD.as_secs_f64()).min(1.0);
        let rates = [f64::from(seen.requests) / secs, seen.tokens as f64 / secs];
        for (wanted, rate) in self.wanted.iter_mut().zip(rates) {
            *wanted += (rate - *wanted) * weight * gain(*wanted, rate);
        }
        let peak = seen.peak.max(self.running);
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
                concurrent: peak.saturating_add(seen.denied.max(self.waiting)),
                queued: self.waiting,
            },
            running: self.running,
        }
    }
}

/// How much of a change of demand is believed at once. A change that may be
/// chance is followed slowly: a share that was given up for a fall would be
/// missed by the next request.
fn gain(wanted: f64, rate: f64) -> f64 {
    let chance = 3.0 * wanted.sqrt();
    if (rate - wanted).abs() < chance {
        return SLOW;
    }
    1.0
}

fn deny(reason: DenialReason, retry_after: Duration) -> Denial {
    Denial {
        reason,
        retry_after,
    }
}

fn late(reason: DenialReason, wait: Option<f64>) -> Denial {
    let wait = wait.map_or(REQUEST_PERIOD, Duration::from_secs_f64);
    deny(reason, wait)
}
