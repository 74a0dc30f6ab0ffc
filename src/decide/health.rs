//! Excludes upstreams for a short time after requests failed there.
//!
//! Load pattern: an engine dies or degrades while its heartbeats still look good for some
//! seconds, and every request that is sent there meanwhile loses time. The engine is excluded
//! at once, for a short time that doubles with each further failure, so that one lost response
//! costs little and a dead engine is rarely tried.
//!
//! Engines that fail only a part of their requests are excluded as well. If all holders of a
//! layer are excluded, those that still respond are used anyway.
//!
//! Silence within a time is weaker evidence than a refusal or a lost connection, and excludes only
//! a bounded part of a service; see [`crate::decide::silence`].

use std::time::Duration;

use super::silence::{Silences, Verdict};
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
    /// Silent, as are many others: used, but others are preferred.
    Silent,
    /// Excluded but alive: used only where no other upstream can serve.
    Failing,
    /// Excluded, and it looks dead.
    Dead,
}

impl HealthStatus {
    /// Downgrades a healthy upstream that several instances suspect to be dead.
    pub(crate) fn with_suspicion(self, suspected: bool) -> Self {
        match self {
            Self::Healthy | Self::Silent if suspected => Self::Failing,
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
    /// Whether only silence speaks against it since the last success.
    only_silent: bool,
    /// Time until which others are preferred, since it was silent as were many others.
    silent_until: Time,
}

impl Record {
    /// Takes back what followed from silence alone.
    fn acquit(&mut self, now: Time) {
        if self.only_silent {
            self.only_silent = false;
            self.dead_since = None;
            self.failures = self.failures.saturating_sub(1);
            self.silent_until = self.excluded_until;
            self.excluded_until = self.excluded_until.min(now);
        }
    }
}

/// Failures of upstreams, by address key.
#[derive(Debug, Default)]
pub(crate) struct Health {
    records: HashMap<u64, Record>,
    /// Silent upstreams, by service.
    silences: HashMap<String, Silences>,
}

impl Health {
    /// Whether an upstream is excluded now.
    pub(crate) fn is_excluded(&self, now: Time, upstream: u64) -> bool {
        self.records
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
        let Some(record) = self.records.get(&upstream) else {
            return HealthStatus::Healthy;
        };
        if now >= record.excluded_until {
            return match now < record.silent_until {
                true => HealthStatus::Silent,
                false => HealthStatus::Healthy,
            };
        }
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
        let excluded = self.records.get(&upstream);
        excluded.is_some_and(|r| now < r.excluded_until && only_cut(r))
    }

    /// Records that an upstream refused connections, or that another one refused on its behalf.
    /// For one that only sent nothing in time, use [`Health::record_silent`].
    pub(crate) fn record_unresponsive(&mut self, now: Time, upstream: u64) {
        self.record_failure(now, upstream);
        let record = self.record(now, upstream);
        record.dead_since.get_or_insert(now);
    }

    /// Records that an upstream of `service`, one of `known`, sent nothing in time: no answer to a
    /// question, nothing to its neighbour, or no sign of a connection. Excludes it like
    /// [`Health::record_unresponsive`], unless so many are silent that this says nothing about it.
    pub(crate) fn record_silent(
        &mut self,
        now: Time,
        service: &str,
        upstream: u64,
        known: usize,
    ) -> Verdict {
        let verdict = self.silences(service).record(now, upstream, known);
        match verdict {
            Verdict::Evidence => self.exclude_silent(now, upstream),
            Verdict::Shared { began, .. } => {
                if began {
                    self.acquit_silent(now, service);
                }
                self.record(now, upstream).silent_until = now + FAILURE_EXCLUSION;
            }
        }
        verdict
    }

    fn silences(&mut self, service: &str) -> &mut Silences {
        // Without an allocation for a service that is known.
        if !self.silences.contains_key(service) {
            let new = Silences::default();
            self.silences.insert(service.to_owned(), new);
        }
        self.silences.get_mut(service).expect("it was inserted")
    }

    fn exclude_silent(&mut self, now: Time, upstream: u64) {
        let record = self.record(now, upstream);
        let unblamed = now >= record.excluded_until && record.dead_since.is_none();
        record.only_silent |= unblamed;
        record.dead_since.get_or_insert(now);
        self.exclude(now, upstream);
    }

    /// Takes back what followed from the silence of the upstreams of a service.
    fn acquit_silent(&mut self, now: Time, service: &str) {
        let silences = self.silences.get(service);
        for upstream in silences.into_iter().flat_map(Silences::upstreams) {
            if let Some(record) = self.records.get_mut(&upstream) {
                record.acquit(now);
            }
        }
    }

    /// Records a failure.
    pub(crate) fn record_failure(&mut self, now: Time, upstream: u64) {
        self.record(now, upstream).only_silent = false;
        self.exclude(now, upstream);
    }

    fn exclude(&mut self, now: Time, upstream: u64) {
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
        record.only_silent = false;
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
        self.records.remove(&upstream);
    }

    /// Records that a request succeeded.
    pub(crate) fn record_success(&mut self, upstream: u64) {
        if let Some(record) = self.records.get_mut(&upstream) {
            record.refusals = 0;
            record.dead_since = None;
            record.silent_until = Time::default();
        }
    }

    fn record(&mut self, now: Time, upstream: u64) -> &mut Record {
        let record = self.records.entry(upstream).or_insert(Record {
            failures: 0,
            refusals: 0,
            last_failure: now,
            excluded_until: now,
            dead_since: None,
            only_silent: false,
            silent_until: now,
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
        let unresponsive = self.records.iter().filter(|(_, r)| unresponsive(r));
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
            .records
            .iter()
            .filter(|(_, r)| now < r.excluded_until && dead(r));
        excluded.map(|(&upstream, _)| upstream).collect()
    }
}
