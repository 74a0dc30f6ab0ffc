//! Keeps requests from upstreams that asked for it in their responses.
//!
//! Load pattern: an upstream turns requests away and names a time for which it wants no more from
//! this instance (`Retry-After`, RFC 9110, section 10.2.3), or it says that it is leaving. Sending
//! on adds to an overload, or begins work that the end of the upstream cuts off. Unlike an
//! exclusion for failures, this forbids requests also where no other upstream can serve.
//!
//! Each instance keeps its own, since upstreams ask the instance that reached them. All instances
//! that were asked at the same moment would return together, so each adds a random part.

use std::sync::Arc;
use std::time::Duration;

use super::run_history::EngineStart;
use crate::clock::Time;
use crate::collections::HashMap;

/// Maximum pause that is kept. An upstream that asks for more is asked again after it.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// Maximum random part that an instance adds, as a fraction of the pause and in total.
const JITTER: (f64, Duration) = (0.2, Duration::from_secs(2));

/// Part of the time that a leaving upstream still serves in which it gets requests that no other can
/// serve. The rest covers requests on their way.
const LEAVING_SHARE: f64 = 0.5;

/// Retention of a leaving upstream. It is removed from the roster long before.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of upstreams; the one whose record ends first is evicted.
const MAX_RECORDS: usize = 4_096;

/// Parses the value of `Retry-After`, in seconds; fractions are allowed. Returns `None` if it isn't
/// a valid time, or is zero. A date is not supported: the clocks of upstreams differ by seconds.
pub(crate) fn parse(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if !(seconds > 0.0 && seconds.is_finite()) {
        return None;
    }
    let pause = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE);
    Some(pause.min(MAX_PAUSE))
}

/// What one start of an upstream asked for.
#[derive(Clone, Debug)]
struct Record {
    upstream: EngineStart,
    /// End of the longest pause that it asked for.
    until: Time,
    /// When it first said that it is leaving.
    leaving_since: Option<Time>,
}

impl Record {
    fn end(&self) -> Time {
        let leaving = self.leaving_since.map(|at| at + LEAVING_RETENTION);
        leaving.unwrap_or_default().max(self.until)
    }
}

/// What upstreams asked this instance for, by address. The latest start at an address counts.
#[derive(Debug)]
pub(crate) struct Backoffs {
    records: HashMap<u64, Record>,
    /// Time from its first word for which a leaving upstream serves.
    drain: Duration,
}

impl Backoffs {
    pub(crate) fn new(drain: Duration) -> Self {
        Self {
            records: HashMap::default(),
            drain,
        }
    }

    /// Records that an upstream asked for a pause at `now`. A shorter one than before doesn't end
    /// the earlier one. `draw` in [0, 1) selects the part that is added. Returns the whole pause.
    pub(crate) fn record_pause(
        &mut self,
        now: Time,
        address: u64,
        upstream: &EngineStart,
        pause: Duration,
        draw: f64,
    ) -> Duration {
        let jitter = pause.mul_f64(JITTER.0).min(JITTER.1).mul_f64(draw);
        let record = self.record(now, address, upstream);
        record.until = record.until.max(now + pause + jitter);
        record.until.since(now)
    }

    /// Records that an upstream says that it is leaving. Returns whether this is new.
    pub(crate) fn record_leaving(
        &mut self,
        now: Time,
        address: u64,
        upstream: &EngineStart,
    ) -> bool {
        let record = self.record(now, address, upstream);
        let is_new = record.leaving_since.is_none();
        record.leaving_since.get_or_insert(now);
        is_new
    }

    /// Whether requests may be sent to an upstream.
    pub(crate) fn may_send(&self, now: Time, address: u64, id: &Arc<str>, born: u64) -> bool {
        let Some(record) = self.of(address, id, born) else {
            return true;
        };
        let grace = self.drain.mul_f64(LEAVING_SHARE);
        let stays = record.leaving_since.is_none_or(|at| now.since(at) < grace);
        stays && now >= record.until
    }

    /// Whether an upstream is leaving. Others are preferred to it.
    pub(crate) fn is_leaving(&self, address: u64, id: &Arc<str>, born: u64) -> bool {
        let record = self.of(address, id, born);
        record.is_some_and(|r| r.leaving_since.is_some())
    }

    /// Remaining pause of an upstream; `None` if it asked for none, or is leaving.
    pub(crate) fn remaining(
        &self,
        now: Time,
        address: u64,
        id: &Arc<str>,
        born: u64,
    ) -> Option<Duration> {
        let record = self.of(address, id, born)?;
        let left = record.until.since(now);
        (record.leaving_since.is_none() && !left.is_zero()).then_some(left)
    }

    /// Number of upstreams to which no requests may be sent.
    pub(crate) fn len(&self, now: Time) -> usize {
        self.records.values().filter(|r| now < r.end()).count()
    }

    fn of(&self, address: u64, id: &Arc<str>, born: u64) -> Option<&Record> {
        let record = self.records.get(&address)?;
        (record.upstream.id == *id && record.upstream.born == born).then_some(record)
    }

    fn record(&mut self, now: Time, address: u64, upstream: &EngineStart) -> &mut Record {
        self.evict(now, address);
        let new = Record {
            upstream: upstream.clone(),
            until: now,
            leaving_since: None,
        };
        let record = self.records.entry(address).or_insert_with(|| new.clone());
        if record.upstream != *upstream {
            *record = new;
        }
        record
    }

    /// Makes room for a record at `address`.
    fn evict(&mut self, now: Time, address: u64) {
        if self.records.contains_key(&address) {
            return;
        }
        self.records.retain(|_, record| now < record.end());
        while self.records.len() >= MAX_RECORDS {
            let first = self.records.iter().min_by_key(|(_, record)| record.end());
            let Some(first) = first.map(|(address, _)| *address) else {
                return;
            };
            self.records.remove(&first);
        }
    }
}
