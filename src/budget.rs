//! Retry budget: bounds the share of work that retries may add.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// One retry, in the unit of the buckets.
const RETRY: u32 = 1000;

/// What a success earns: a tenth of a retry.
const EARNED: u32 = RETRY / 10;

/// Size and floor of one bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    /// Retries that may be saved up.
    pub(crate) burst: u32,
    /// Time after which one retry is earned without any success. It lets an
    /// organisation with little work, or after an outage, try again.
    pub(crate) floor: Duration,
}

/// Bucket of an organisation.
pub(crate) const ORGANISATION: Rate = Rate {
    burst: 50,
    floor: Duration::from_secs(1),
};

/// Bucket of the instance.
pub(crate) const INSTANCE: Rate = Rate {
    burst: 200,
    floor: Duration::from_millis(200),
};

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// At most `rate.burst` retries.
    saved: u32,
    /// Time up to which the floor is paid out.
    paid: Time,
}

impl Bucket {
    fn new(rate: Rate, now: Time) -> Self {
        Self {
            rate,
            saved: rate.burst * RETRY,
            paid: now,
        }
    }

    fn add(&mut self, earned: u32) {
        self.saved = self
            .saved
            .saturating_add(earned)
            .min(self.rate.burst * RETRY);
    }

    fn refill(&mut self, now: Time) {
        // Only whole units are paid; the rest of the time counts later, so that
        // frequent calls lose nothing.
        let unit = self.rate.floor / RETRY;
        let units = now.since(self.paid).as_micros() / unit.as_micros().max(1);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        self.paid = self.paid + unit * units;
        self.add(units);
    }
}

/// Retry budget of one instance and of each organisation on it.
///
/// Guards against retries that finish off a sick fleet: when most attempts
/// fail, every request would bring several times its load. A retry costs one
/// token of both buckets, and tokens come from successes (one for ten) and a
/// small floor, so retries stay near a tenth of the work that succeeds.
#[derive(Debug)]
pub(crate) struct Budget {
    instance: Bucket,
    /// One for each organisation that retried; the catalogue bounds them.
    organisations: HashMap<OrganisationId, Bucket>,
}

impl Budget {
    /// Full buckets.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            instance: Bucket::new(INSTANCE, now),
            organisations: HashMap::default(),
        }
    }

    /// Counts a request that was answered whole.
    pub(crate) fn succeeded(&mut self, organisation: &OrganisationId) {
        self.instance.add(EARNED);
        if let Some(bucket) = self.organisations.get_mut(organisation) {
            bucket.add(EARNED);
        }
    }

    /// Takes one retry for `organisation`, or says that none is left.
    pub(crate) fn take(&mut self, now: Time, organisation: &OrganisationId) -> bool {
        let bucket = self
            .organisations
            .entry(organisation.clone())
            .or_insert_with(|| Bucket::new(ORGANISATION, now));
        bucket.refill(now);
        self.instance.refill(now);
        if bucket.saved < RETRY || self.instance.saved < RETRY {
            return false;
        }
        bucket.saved -= RETRY;
        self.instance.saved -= RETRY;
        true
    }
}
