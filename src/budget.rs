//! Retry budget: bounds the additional load caused by retries.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Cost of one retry, in units of the buckets.
const RETRY_COST: u32 = 1000;

/// Units earned by a success: a tenth of a retry.
const SUCCESS_CREDIT: u32 = RETRY_COST / 10;

/// Capacity and minimum refill rate of a bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    /// Maximum number of retries accumulated.
    pub(crate) burst: u32,
    /// Interval at which one retry is earned without any success. It allows
    /// retries for an organisation with little work or after an outage.
    pub(crate) refill_interval: Duration,
}

/// Rate of the bucket of each organisation.
pub(crate) const ORGANISATION: Rate = Rate {
    burst: 50,
    refill_interval: Duration::from_secs(1),
};

/// Rate of the bucket of the instance.
pub(crate) const INSTANCE: Rate = Rate {
    burst: 200,
    refill_interval: Duration::from_millis(200),
};

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// Units available; at most `rate.burst` retries.
    available: u32,
    /// Time up to which the refill is credited.
    refilled: Time,
}

impl Bucket {
    fn new(rate: Rate, now: Time) -> Self {
        Self {
            rate,
            available: rate.burst * RETRY_COST,
            refilled: now,
        }
    }

    fn add(&mut self, units: u32) {
        self.available = self
            .available
            .saturating_add(units)
            .min(self.rate.burst * RETRY_COST);
    }

    fn refill(&mut self, now: Time) {
        // Only whole units are credited. The remaining time counts at the next
        // call, so that frequent calls lose nothing.
        let unit = self.rate.refill_interval / RETRY_COST;
        let units = now.since(self.refilled).as_micros() / unit.as_micros().max(1);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        self.refilled = self.refilled + unit * units;
        self.add(units);
    }
}

/// Retry budget of one instance and of each organisation on it.
///
/// A retry takes one token from both buckets. A success earns a tenth of a
/// token, and some are earned at a low fixed rate, so retries stay near a tenth
/// of the work that succeeds.
///
/// Without this bound, retries could overload a degraded fleet: when most
/// attempts fail, every request would cause several times its load.
#[derive(Debug)]
pub(crate) struct Budget {
    instance: Bucket,
    /// Buckets of the organisations that have retried. The catalogue bounds
    /// their number.
    organisations: HashMap<OrganisationId, Bucket>,
}

impl Budget {
    /// Creates a budget with full buckets.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            instance: Bucket::new(INSTANCE, now),
            organisations: HashMap::default(),
        }
    }

    /// Credits a request that was answered completely.
    pub(crate) fn succeeded(&mut self, organisation: &OrganisationId) {
        self.instance.add(SUCCESS_CREDIT);
        if let Some(bucket) = self.organisations.get_mut(organisation) {
            bucket.add(SUCCESS_CREDIT);
        }
    }

    /// Takes one retry for `organisation`. Returns false if none is left.
    pub(crate) fn take(&mut self, now: Time, organisation: &OrganisationId) -> bool {
        let bucket = self
            .organisations
            .entry(organisation.clone())
            .or_insert_with(|| Bucket::new(ORGANISATION, now));
        bucket.refill(now);
        self.instance.refill(now);
        if bucket.available < RETRY_COST || self.instance.available < RETRY_COST {
            return false;
        }
        bucket.available -= RETRY_COST;
        self.instance.available -= RETRY_COST;
        true
    }
}
