//! Excludes upstreams for a short time after requests failed there.
//!
//! Load pattern: an engine dies or degrades while its heartbeats still look good for some
//! seconds, and every request that is sent there meanwhile loses time. The engine is excluded
//! at once, for a short time that doubles with each further failure, so that one lost response
//! costs little and a dead engine is rarely tried.
//!
//! Engines that fail only a part of their requests are excluded as well. If all holders of a
//! layer are excluded, those that still respond are used anyway.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Exclusion after a first failure, in the range of the two heartbeats after which the
/// controller notices a dead engine.
const FAILURE_EXCLUSION: Duration = Duration::from_millis(1_500);

/// Exclusion after a first immediate refusal, doubled with each refusal until a request
/// succeeds. An engine that is short of memory soon accepts requests again; a longer exclusion
/// would remove the first engine of a whole domain because of one busy second. The neighbours
/// of a dead engine refuse as quickly, but keep refusing.
const REFUSAL_EXCLUSION: Duration = Duration::from_millis(200);

/// Number of consecutive immediate refusals from which an engine looks dead. A living engine
/// rarely gives as many.
const DEAD_REFUSALS: u32 = 3;

/// Fraction of an engine's memory for requests below which it is not full. Requests are placed
/// only where a tenth is left, and the load of other instances is known as of the last report.
const FULL: f64 = 0.75;

/// Maximum exclusion, and so the time within which a recovered engine is used again.
const MAX_EXCLUSION: Duration = Duration::from_secs(6);

/// Time without a failure after which earlier ones no longer count.
const RETENTION: Duration = Duration::from_secs(10);

/// Time for which an unresponsive upstream is reported to the leader, in heartbeats: the two
/// that the leader waits for, the transit of the report, and a round of its upstream checks.
const SUSPECT_HEARTBEATS: f64 = 2.5;

/// Time after an upstream first looked dead from which it counts as alive if its heartbeats
/// are on time. The heartbeats of an upstream that died are late by then.
const PROOF_OF_LIFE: Duration = Duration::from_millis(1_500);

/// Whether an upstream that refuses may just be full, given the utilisation of its memory for
/// requests, if known.
///
/// An engine that has room and refuses looks dead: the neighbours of a dead engine refuse on its
/// behalf, as quickly as an engine that is short of memory. If it were excluded for
/// [`REFUSAL_EXCLUSION`] only, each of hundreds of instances would try it up to four times before
/// the leader drops it, and use up their retries.
pub(crate) fn may_be_full(utilisation: Option<f64>) -> bool {
    utilisation.is_none_or(|u| u >= FULL)
}

/// Whether an upstream may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStatus {
    Healthy,
    /// Excluded but alive: used only where no other upstream can serve.
    Failing,
    /// Excluded, and it looks dead.
    Dead,
}

impl HealthStatus {
    /// Downgrades a healthy upstream that several instances suspect to be dead.
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
    /// Immediate refusals since the last success.
    refusals: u32,
    last_failure: Time,
    excluded_until: Time,
    /// When it first looked dead since the last success.
    dead_since: Option<Time>,
}

/// Failures of upstreams, by address key.
#[derive(Debug, Default)]
pub(crate) struct Health(HashMap<u64, Record>);

impl Health {
    /// Whether an upstream is excluded now.
    pub(crate) fn is_excluded(&self, now: Time, upstream: u64) -> bool {
        self.0
            .get(&upstream)
            .is_some_and(|r| now < r.excluded_until)
    }

    /// Returns the status of an upstream. `late` tells whether its heartbeats are late.
    ///
    /// An excluded upstream that is alive is [`Failing`](HealthStatus::Failing) and may still be
    /// used. When engines reset a part of their streams, all holders of a layer can be excluded at
    /// once; without this, an instance refused every request for up to 8 s, although two of three
    /// would have been answered.
    pub(crate) fn status(&self, now: Time, upstream: u64, late: bool) -> HealthStatus {
        let Some(record) = self.0.get(&upstream).filter(|r| now < r.excluded_until) else {
            return HealthStatus::Healthy;
        };
        // The heartbeats of a dead upstream are late within `PROOF_OF_LIFE`. If they are still on
        // time then, it is unresponsive to some instances only.
        let is_alive = |since| !late && now.since(since) >= PROOF_OF_LIFE;
        match record.dead_since {
            // A dead upstream is not used at all, since a request would only time out there.
            Some(since) if !is_alive(since) => HealthStatus::Dead,
            _ => HealthStatus::Failing,
        }
    }

    /// Whether an upstream is excluded now only because it broke off responses: it refused nothing
    /// since its last success, and nothing else says that it is dead.
    pub(crate) fn is_only_cut(&self, now: Time, upstream: u64) -> bool {
        let only_cut = |r: &Record| r.failures > 0 && r.refusals == 0 && r.dead_since.is_none();
        let excluded = self.0.get(&upstream).filter(|r| now < r.excluded_until);
        excluded.is_some_and(only_cut)
    }

    /// Records that an upstream accepted no connection or sent nothing.
    pub(crate) fn record_unresponsive(&mut self, now: Time, upstream: u64) {
        self.record_failure(now, upstream);
        let record = self.record(now, upstream);
        record.dead_since.get_or_insert(now);
    }

    /// Records a failure.
    pub(crate) fn record_failure(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        // Requests that were in flight when it was excluded fail late and add no information.
        if now < record.excluded_until {
            return;
        }
        if now.since(record.last_failure) >= RETENTION {
            record.failures = 0;
        }
        let exclusion = FAILURE_EXCLUSION.saturating_mul(1 << record.failures.min(8));
        record.failures += 1;
        record.last_failure = now;
        record.excluded_until = now + exclusion.min(MAX_EXCLUSION);
    }

    /// Records that an upstream refused a request immediately.
    pub(crate) fn record_refusal(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        if now < record.excluded_until {
            return;
        }
        let exclusion = REFUSAL_EXCLUSION.saturating_mul(1 << record.refusals.min(8));
        record.refusals += 1;
        if record.refusals >= DEAD_REFUSALS {
            record.dead_since.get_or_insert(now);
        }
        record.excluded_until = now + exclusion.min(MAX_EXCLUSION);
    }

    /// Forgets the failures of an upstream, since they were this instance's own.
    pub(crate) fn forget(&mut self, upstream: u64) {
        self.0.remove(&upstream);
    }

    /// Records that a request succeeded.
    pub(crate) fn record_success(&mut self, upstream: u64) {
        if let Some(record) = self.0.get_mut(&upstream) {
            record.refusals = 0;
            record.dead_since = None;
        }
    }

    fn record(&mut self, now: Time, upstream: u64) -> &mut Record {
        let record = self.0.entry(upstream).or_insert(Record {
            failures: 0,
            refusals: 0,
            last_failure: now,
            excluded_until: now,
            dead_since: None,
        });
        if now.since(record.excluded_until) >= RETENTION {
            record.dead_since = None;
        }
        record
    }

    /// Upstreams to report to the leader as suspected dead: those of [`Health::dead`], and those
    /// that looked dead within the last [`SUSPECT_HEARTBEATS`] times the interval `heartbeat` and
    /// did not succeed since.
    ///
    /// A report must outlast the exclusion of 1.5 s: the leader waits for two heartbeats of
    /// silence, 2.4 s, before it drops an upstream that several instances suspect. When reports
    /// ended with the exclusion, the leader waited for four heartbeats. Eight instances reported an
    /// engine 0.4 s after it had stopped, but it was dropped after 4.7 s, and its layers were
    /// missing until then.
    pub(crate) fn suspects(&self, now: Time, heartbeat: Duration) -> Vec<u64> {
        let retention = heartbeat.mul_f64(SUSPECT_HEARTBEATS);
        let unresponsive = |r: &Record| {
            r.dead_since
                .is_some_and(|since| now.since(since) < retention)
        };
        let unresponsive = self.0.iter().filter(|(_, r)| unresponsive(r));
        let mut suspects = self.dead(now);
        suspects.extend(unresponsive.map(|(&upstream, _)| upstream));
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Upstreams that are excluded now for failures or for repeated refusals, and so may be
    /// dead.
    pub(crate) fn dead(&self, now: Time) -> Vec<u64> {
        let dead = |r: &Record| r.failures > 0 || r.refusals >= DEAD_REFUSALS;
        let excluded = self
            .0
            .iter()
            .filter(|(_, r)| now < r.excluded_until && dead(r));
        excluded.map(|(&upstream, _)| upstream).collect()
    }
}
