//! Rate limiting of requests to upstreams that announce a limit.
//!
//! Load pattern: an overloaded upstream announces how many requests per second it accepts
//! from all instances together, which may be less than one. Each instance spaces its
//! requests by the limit's interval times the number of instances, with a random initial
//! delay so that hundreds of instances don't send their first requests at once. A minimum
//! rate is always allowed, since only a response can show that the limit was lifted.

use std::sync::Arc;
use std::time::Duration;

use super::run_history::EngineStart;
use crate::clock::Time;
use crate::collections::HashMap;

/// Fraction of a limit that is used. Instances don't coordinate their requests, so some
/// arrive closer together than the limit's interval.
const UTILISATION: f64 = 0.6;

/// Minimum rate per upstream in requests per second, across all instances.
const MIN_RATE: f64 = 0.1;

/// Maximum rate that is accepted as a limit.
const MAX_RATE: f64 = 1e6;

/// Retention period of a limit that is not updated. Its upstream may have stopped.
const LIMIT_RETENTION: Duration = Duration::from_secs(600);

/// Retention period of a lifted limit, during which delayed older updates are rejected.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of retained updates. The oldest update is evicted first.
const MAX_UPDATES: usize = 256;

/// Maximum number of updates in one message. With hundreds of limited upstreams and
/// instances, sending every update in each message would use much of the leader's bandwidth.
const MAX_PER_MESSAGE: usize = 32;

/// An announced change or end of an upstream's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitUpdate {
    pub(crate) upstream: EngineStart,
    /// Requests per second across all instances; `None` if the limit was lifted.
    pub(crate) limit: Option<f64>,
    /// Time of the update, by which updates are ordered.
    pub(crate) at: Time,
}

/// Limits the request rate of one instance. Both maps are keyed by address.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    /// The latest update of each upstream.
    updates: HashMap<u64, LimitUpdate>,
    /// Earliest time of the next request to each limited upstream.
    next_send: HashMap<u64, Time>,
}

/// Parses the limit header of a response. Returns `None` without a header, and the header's
/// value as the error if it is not a valid rate.
pub(crate) fn parse(text: Option<&str>) -> Result<Option<f64>, &str> {
    let Some(text) = text else { return Ok(None) };
    let rate: Option<f64> = text.trim().parse().ok();
    let usable = rate.filter(|r| (0.0..=MAX_RATE).contains(r));
    usable.map(Some).ok_or(text)
}

impl LimitUpdate {
    fn is_expired(&self, now: Time) -> bool {
        let retention = match self.limit {
            Some(_) => LIMIT_RETENTION,
            None => LIFTED_RETENTION,
        };
        now.since(self.at) >= retention
    }
}

impl RateLimiter {
    /// Applies an update unless it is outdated. `draw` in [0, 1) sets the initial delay as
    /// a fraction of the request interval. Returns whether the limit changed.
    pub(crate) fn apply(
        &mut self,
        now: Time,
        address: u64,
        update: LimitUpdate,
        instances: u32,
        draw: f64,
    ) -> bool {
        self.evict(now);
        if update.is_expired(now) {
            return false;
        }
        let previous = self.updates.get(&address);
        if previous.is_some_and(|p| p.at >= update.at) {
            return false;
        }
        let same = previous.filter(|p| p.upstream == update.upstream);
        let before = same.and_then(|p| p.limit);
        let limit = update.limit;
        if previous.is_none() && limit.is_none() {
            return false;
        }
        self.updates.insert(address, update);
        if before == limit {
            return false;
        }
        self.schedule_first(now, address, limit, instances, draw);
        self.evict(now);
        true
    }

    fn schedule_first(
        &mut self,
        now: Time,
        address: u64,
        limit: Option<f64>,
        instances: u32,
        draw: f64,
    ) {
        let Some(limit) = limit else {
            self.next_send.remove(&address);
            return;
        };
        self.next_send
            .insert(address, now + interval(limit, instances).mul_f64(draw));
    }

    fn evict(&mut self, now: Time) {
        self.updates.retain(|_, u| !u.is_expired(now));
        while self.updates.len() > MAX_UPDATES {
            let oldest = self.updates.iter().min_by_key(|(_, u)| u.at);
            let Some(oldest) = oldest.map(|(address, _)| *address) else {
                break;
            };
            self.updates.remove(&oldest);
        }
        let updates = &self.updates;
        self.next_send.retain(|a, _| updates.contains_key(a));
    }

    /// Whether a request may be sent to an upstream now.
    pub(crate) fn may_send(&self, now: Time, address: u64, id: &Arc<str>, born: u64) -> bool {
        !self.is_limited(address, id, born) || self.next_send[&address] <= now
    }

    /// Whether a limit is in force for this start of an upstream.
    pub(crate) fn is_limited(&self, address: u64, id: &Arc<str>, born: u64) -> bool {
        let update = self.updates.get(&address).filter(|u| u.limit.is_some());
        update.is_some_and(|u| u.upstream.id == *id && u.upstream.born == born)
    }

    /// Returns whether a request may be sent to an upstream now, and if so, counts it
    /// against the limit.
    pub(crate) fn try_acquire(
        &mut self,
        now: Time,
        address: u64,
        id: &Arc<str>,
        born: u64,
        instances: u32,
    ) -> bool {
        if !self.is_limited(address, id, born) {
            return true;
        }
        if self.next_send[&address] > now {
            return false;
        }
        let limit = self.updates[&address].limit.unwrap_or_default();
        self.next_send
            .insert(address, now + interval(limit, instances));
        true
    }

    /// A bounded subset of the latest updates, by address, for one message. `draw` in [0, 1)
    /// selects where the subset starts, so that successive messages send different updates.
    pub(crate) fn message_updates(&self, draw: f64) -> impl Iterator<Item = (u64, &LimitUpdate)> {
        let count = self.updates.len();
        let first = (draw * count as f64) as usize;
        let rotated = self.updates.iter().cycle().skip(first);
        rotated
            .take(count.min(MAX_PER_MESSAGE))
            .map(|(address, update)| (*address, update))
    }

    /// Number of upstreams with a limit in force.
    pub(crate) fn limited_count(&self) -> usize {
        self.updates.values().filter(|u| u.limit.is_some()).count()
    }
}

/// Minimum time between two requests of one instance.
fn interval(limit: f64, instances: u32) -> Duration {
    let rate = (UTILISATION * limit).max(MIN_RATE);
    Duration::from_secs_f64(f64::from(instances.max(1)) / rate)
}
