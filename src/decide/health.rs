//! Which upstreams are avoided for a while because requests failed there.
//!
//! Load pattern: an engine dies or turns bad while its heartbeats still look
//! good for some seconds, and every request that is sent there meanwhile is
//! lost time. It is left out at once, for a short time that doubles with each
//! further failure, so that one lost answer costs little and a dead engine is
//! asked rarely.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Time out after a first failure: about two heartbeats' worth of waiting for
/// the controller to notice a dead engine.
const FIRST_OUT: Duration = Duration::from_millis(1_500);

/// Time out after a first quick refusal, doubled while no request gets through
/// in between. An engine that is short of memory takes the next request soon;
/// left out for longer, a busy second would take the first engine of a whole
/// domain away. The neighbours of a dead engine refuse as quickly, and go on.
const REFUSED_OUT: Duration = Duration::from_millis(200);

/// Quick refusals in a row that a living engine hardly gives.
const DEAD_REFUSALS: u32 = 3;

/// Longest time out. A recovered engine is found again within it.
const MOST_OUT: Duration = Duration::from_secs(6);

/// Time without a failure after which earlier ones are forgotten.
const FORGET: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    /// Quick refusals since a request got through.
    refusals: u32,
    last: Time,
    until: Time,
}

/// Failures by address key.
#[derive(Debug, Default)]
pub(crate) struct Health(HashMap<u64, Record>);

impl Health {
    /// Whether an upstream is left out now.
    pub(crate) fn is_out(&self, now: Time, upstream: u64) -> bool {
        self.0.get(&upstream).is_some_and(|r| now < r.until)
    }

    /// Notes a failure.
    pub(crate) fn failed(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        // Requests that were under way when it was left out fail late; they
        // say nothing new.
        if now < record.until {
            return;
        }
        if now.since(record.last) >= FORGET {
            record.failures = 0;
        }
        let out = FIRST_OUT.saturating_mul(1 << record.failures.min(8));
        record.failures += 1;
        record.last = now;
        record.until = now + out.min(MOST_OUT);
    }

    /// Notes that an upstream refused a request at once.
    pub(crate) fn refused(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        if now < record.until {
            return;
        }
        let out = REFUSED_OUT.saturating_mul(1 << record.refusals.min(8));
        record.refusals += 1;
        record.until = now + out.min(MOST_OUT);
    }

    /// Notes that a request got through.
    pub(crate) fn succeeded(&mut self, upstream: u64) {
        if let Some(record) = self.0.get_mut(&upstream) {
            record.refusals = 0;
        }
    }

    fn record(&mut self, now: Time, upstream: u64) -> &mut Record {
        self.0.entry(upstream).or_insert(Record {
            failures: 0,
            refusals: 0,
            last: now,
            until: now,
        })
    }

    /// Upstreams that are left out now for a failure, or since they refuse
    /// again and again: those that look dead.
    pub(crate) fn dead(&self, now: Time) -> Vec<u64> {
        let dead = |r: &Record| r.failures > 0 || r.refusals >= DEAD_REFUSALS;
        let out = self.0.iter().filter(|(_, r)| now < r.until && dead(r));
        out.map(|(&upstream, _)| upstream).collect()
    }
}
