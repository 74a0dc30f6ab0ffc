//! Which upstreams are avoided for a while because requests failed there.
//!
//! Load pattern: an engine dies or turns bad while its heartbeats still look
//! good for some seconds, and every request that is sent there meanwhile is
//! lost time. It is left out at once, for a short time that doubles with each
//! further failure, so that one lost answer costs little and a dead engine is
//! asked rarely.
//!
//! An engine that fails only a part of its requests is left out as well. Where all
//! holders of a layer are left out, those that answer are used all the same.

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

/// Share of an engine's memory for requests below which it isn't full: requests are
/// placed only where a tenth is left, and the others' work is known to a report.
const FULL: f64 = 0.75;

/// Longest time out. A recovered engine is found again within it.
const MOST_OUT: Duration = Duration::from_secs(6);

/// Time without a failure after which earlier ones are forgotten.
const FORGET: Duration = Duration::from_secs(10);

/// Heartbeats for which a sign of death is told to the leader: the two that it
/// waits for, the way of the news, and a round of its looking after upstreams.
const SUSPECT_BEATS: f64 = 2.5;

/// Time after the first sign of death from which an upstream that isn't known to
/// be gone counts as alive. The heartbeats of one that died are late by then.
const PROVED: Duration = Duration::from_millis(1_500);

/// Whether an upstream that refuses may just be full, with the share `used` of its
/// memory for requests, if that is known.
///
/// The neighbours of a dead engine refuse in its name as quickly as one that is short
/// of memory does itself. One that has room and refuses looks dead: left out for
/// [`REFUSED_OUT`] only, it is asked by each of hundreds of instances up to four times
/// before the leader gives it up, and their retries are used up by it.
pub(crate) fn may_be_full(used: Option<f64>) -> bool {
    used.is_none_or(|used| used >= FULL)
}

/// Whether an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    Healthy,
    /// Left out, but it lives: used where nothing else can serve.
    Failing,
    /// Left out, and it looks dead.
    Dead,
}

impl HealthStatus {
    /// With what the leader tells: several instances found it dead.
    pub(crate) fn with_suspicion(self, suspected: bool) -> Self {
        match self {
            Self::Healthy if suspected => Self::Failing,
            other => other,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    failures: u32,
    /// Quick refusals since a request got through.
    refusals: u32,
    last: Time,
    until: Time,
    /// First sign of death since a request got through.
    dead: Option<Time>,
}

/// Failures by address key.
#[derive(Debug, Default)]
pub(crate) struct Health(HashMap<u64, Record>);

impl Health {
    /// Whether an upstream is left out now.
    pub(crate) fn is_excluded(&self, now: Time, upstream: u64) -> bool {
        self.0.get(&upstream).is_some_and(|r| now < r.until)
    }

    /// Whether an upstream may be used now.
    ///
    /// Engines that reset a part of their streams were left out one after the
    /// other; with all holders of a layer out, an instance refused every request
    /// at once for as long as 8 s while two of three would have been answered.
    /// One that looks dead stays out: a request would wait there in vain. But a
    /// dead one is late within [`PROVED`], so that later on it is only silent to
    /// some.
    pub(crate) fn status(&self, now: Time, upstream: u64, late: bool) -> HealthStatus {
        let Some(record) = self.0.get(&upstream).filter(|r| now < r.until) else {
            return HealthStatus::Healthy;
        };
        let proved = |since| !late && now.since(since) >= PROVED;
        match record.dead {
            Some(since) if !proved(since) => HealthStatus::Dead,
            _ => HealthStatus::Failing,
        }
    }

    /// Notes that an upstream did nothing: took no connection, or kept silent.
    pub(crate) fn record_unresponsive(&mut self, now: Time, upstream: u64) {
        self.record_failure(now, upstream);
        let record = self.record(now, upstream);
        record.dead.get_or_insert(now);
    }

    /// Notes a failure.
    pub(crate) fn record_failure(&mut self, now: Time, upstream: u64) {
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
    pub(crate) fn record_refusal(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        if now < record.until {
            return;
        }
        let out = REFUSED_OUT.saturating_mul(1 << record.refusals.min(8));
        record.refusals += 1;
        if record.refusals >= DEAD_REFUSALS {
            record.dead.get_or_insert(now);
        }
        record.until = now + out.min(MOST_OUT);
    }

    /// Notes that a request got through.
    pub(crate) fn record_success(&mut self, upstream: u64) {
        if let Some(record) = self.0.get_mut(&upstream) {
            record.refusals = 0;
            record.dead = None;
        }
    }

    fn record(&mut self, now: Time, upstream: u64) -> &mut Record {
        let record = self.0.entry(upstream).or_insert(Record {
            failures: 0,
            refusals: 0,
            last: now,
            until: now,
            dead: None,
        });
        if now.since(record.until) >= FORGET {
            record.dead = None;
        }
        record
    }

    /// Upstreams that the leader is told to look dead: those of [`Health::dead`],
    /// and those that showed a sign of death within the last heartbeats of period
    /// `beat`, and none of life since.
    ///
    /// The leader gives up an upstream that several instances suspect after two
    /// heartbeats of silence, 2.4 s; left out it is for 1.5 s. Told no longer than
    /// that, it waited for four heartbeats: of an engine that went dark at 16.0 s
    /// eight instances told at 16.4, and it was given up at 20.7 with its layers
    /// missing all the time.
    pub(crate) fn suspects(&self, now: Time, beat: Duration) -> Vec<u64> {
        let lasts = beat.mul_f64(SUSPECT_BEATS);
        let silent = |r: &Record| r.dead.is_some_and(|since| now.since(since) < lasts);
        let silent = self.0.iter().filter(|(_, r)| silent(r));
        let mut suspects = self.dead(now);
        suspects.extend(silent.map(|(&upstream, _)| upstream));
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Upstreams that are left out now for a failure, or since they refuse
    /// again and again: those that look dead.
    pub(crate) fn dead(&self, now: Time) -> Vec<u64> {
        let dead = |r: &Record| r.failures > 0 || r.refusals >= DEAD_REFUSALS;
        let out = self.0.iter().filter(|(_, r)| now < r.until && dead(r));
        out.map(|(&upstream, _)| upstream).collect()
    }
}
