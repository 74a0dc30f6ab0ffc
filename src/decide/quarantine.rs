//! Identifies requests that crash the engines that run them.
//!
//! Load pattern: a request crashes each engine that begins to run it, and is retried as
//! new attempts at any instance. Each crash cuts off all other requests of the engine,
//! which may resume together at the next engine that crashes. A request is therefore
//! identified as the cause only if no other request is nearly as suspect; crashes before
//! a harmless run of a request are not attributed to it.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHasher;

use super::load::unit_hash;
use super::run_history::{EngineStart, RETENTION};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::fingerprint::Fingerprint;

/// Minimum number of engine crashes to quarantine a request.
const MIN_CRASHES: usize = 3;

/// Maximum time between a request's newest crash and the crashes it is compared with. If
/// these outnumber the request's own, one more crash is required, since a request may run
/// by chance on engines that crash for another reason.
pub(super) const RECENT_WINDOW: Duration = Duration::from_secs(10);

/// Number of crashes that suffices even if the same other requests were always involved.
const MIN_AMBIGUOUS_CRASHES: usize = 6;

/// Number of crashes from which a request is suspect, so that instances are asked
/// whether it ran without harm.
pub(super) const MIN_SUSPECT_CRASHES: usize = 2;

/// Time for instances to report harmless runs: two report intervals and their transit.
pub(super) const HARMLESS_REPORT_DELAY: Duration = Duration::from_millis(600);

/// Time for all instances to report the runs that one engine crash cut off.
pub(super) const CRASH_REPORT_DELAY: Duration = Duration::from_millis(350);

/// Time after which an uncommitted quarantine is proposed again.
pub(super) const PROPOSAL_RETRY: Duration = Duration::from_secs(1);

/// Maximum number of retained crashes, and of requests per crash. The oldest crash is
/// evicted first.
pub(super) const MAX_ENGINES: usize = 256;
const MAX_REQUESTS: usize = 256;

/// A suspect request may enter one in this many engines.
const ENGINES_PER_ALLOWED: u64 = 3;

/// Maximum number of suspect requests sent to instances.
const MAX_SUSPECTS: usize = 64;

/// Maximum time for which a suspect request waits for an engine that can be spared, or for its
/// turn: most suspects are harmless, and their callers wait.
pub(crate) const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(2);

/// Returns how long a suspect request with time `left` waits before it runs like any other.
pub(crate) fn suspect_limit(left: Duration) -> Duration {
    MAX_SUSPECT_WAIT.min(left / 4)
}

/// Time over which the suspects of one crash are spread. One that crashes engines does so within
/// a few tenths of a second, so that few others run beside it.
const SUSPECT_SPREAD: Duration = Duration::from_millis(1_500);

/// Priority of an engine for a suspect request. Each suspect prefers another of the engines that
/// can be spared (rendezvous hashing), so that few of them share one.
pub(crate) fn suspect_priority(request: &Fingerprint, engine: u64) -> u64 {
    let mut hasher = FxHasher::default();
    (request, engine).hash(&mut hasher);
    hasher.finish() >> 32
}

/// Delay of a suspect request before it is tried again. Instances know nothing of each other's
/// suspects, so it is drawn from the request.
pub(crate) fn suspect_delay(request: &Fingerprint) -> Duration {
    let mut hasher = FxHasher::default();
    request.hash(&mut hasher);
    SUSPECT_SPREAD.mul_f64(unit_hash(hasher.finish()))
}

/// An engine crash, with the requests that the engine had just begun to run.
#[derive(Debug)]
struct Crash {
    at: Time,
    /// Organisations by request.
    requests: HashMap<Fingerprint, Arc<str>>,
}

/// A request identified as crashing engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashingRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) organisation: Arc<str>,
    /// Engines that crashed while they ran it.
    pub(crate) engines: Vec<EngineStart>,
}

/// Whether a suspect request may enter a plain upstream, identified by its address or another
/// number. Each suspect has its own subset of one in [`ENGINES_PER_ALLOWED`] upstreams, so
/// that later crashes distinguish suspects that shared one.
pub(crate) fn suspect_may_enter(request: &Fingerprint, engine: u64) -> bool {
    suspect_priority(request, engine).is_multiple_of(ENGINES_PER_ALLOWED)
}

/// Evicts the oldest crash if more than [`MAX_ENGINES`] are retained.
pub(super) fn evict_oldest<C>(crashes: &mut HashMap<EngineStart, C>, at: impl Fn(&C) -> Time) {
    if crashes.len() <= MAX_ENGINES {
        return;
    }
    let oldest = crashes.iter().min_by_key(|(_, crash)| at(crash));
    if let Some(oldest) = oldest.map(|(start, _)| start.clone()) {
        crashes.remove(&oldest);
    }
}

/// Engine crashes that instances reported to a leader.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    engines: HashMap<EngineStart, Crash>,
    /// When requests in `engines` were last cut off without any event.
    silent: HashMap<Fingerprint, Time>,
    /// When requests in `engines` last ran without harm.
    harmless: HashMap<Fingerprint, Time>,
    /// Suspect requests, and since when instances are asked about them.
    suspect_since: HashMap<Fingerprint, Time>,
    /// When the quarantine of a request was last proposed.
    proposed_at: HashMap<Fingerprint, Time>,
}

/// Engines that crashed, by request that they had just begun to run.
type CrashesByRequest<'a> = HashMap<Fingerprint, Vec<&'a EngineStart>>;

impl Crashes {
    /// Records that an engine crashed at `at` and had just begun to run a request.
    pub(crate) fn record_crash(
        &mut self,
        at: Time,
        engine: EngineStart,
        fingerprint: Fingerprint,
        organisation: Arc<str>,
    ) {
        let requests = HashMap::default();
        let crash = self.engines.entry(engine).or_insert(Crash { at, requests });
        crash.at = crash.at.min(at);
        if crash.requests.len() < MAX_REQUESTS {
            crash.requests.insert(fingerprint, organisation);
        }
        evict_oldest(&mut self.engines, |c| c.at);
    }

    /// Records that a request was cut off at `at` without any event. It is suspect at once, for
    /// [`RECENT_WINDOW`].
    pub(crate) fn record_silent(&mut self, at: Time, fingerprint: Fingerprint) {
        let last = self.silent.entry(fingerprint).or_insert(at);
        *last = (*last).max(at);
        if self.suspect_since.len() < MAX_SUSPECTS {
            self.suspect_since.entry(fingerprint).or_insert(at);
        }
    }

    /// Records that a request ran without harm at `at`.
    pub(crate) fn record_harmless(&mut self, at: Time, fingerprint: Fingerprint) {
        let last = self.harmless.entry(fingerprint).or_insert(at);
        *last = (*last).max(at);
    }

    /// Number of retained crashes.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.engines.len()
    }

    /// Removes a crash that something else explains.
    pub(crate) fn forget_engine(&mut self, engine: &EngineStart) {
        self.engines.remove(engine);
    }

    /// Removes a request from all crashes.
    pub(crate) fn forget(&mut self, fingerprint: &Fingerprint) {
        for crash in self.engines.values_mut() {
            crash.requests.remove(fingerprint);
        }
        self.proposed_at.remove(fingerprint);
    }

    /// Returns the crashes up to `until` that each request may have caused. Excludes crashes
    /// that involve a request that `is_refused`, and crashes before a harmless run of the
    /// request.
    fn crashes_by_request(
        &self,
        until: Time,
        is_refused: impl Fn(&Fingerprint) -> bool,
    ) -> CrashesByRequest<'_> {
        let mut by_request = CrashesByRequest::default();
        for (start, crash) in &self.engines {
            if crash.at > until || crash.requests.keys().any(&is_refused) {
                continue;
            }
            for fingerprint in crash.requests.keys() {
                let harmless = self.harmless.get(fingerprint);
                if harmless.is_none_or(|&at| at < crash.at) {
                    by_request.entry(*fingerprint).or_default().push(start);
                }
            }
        }
        by_request
    }

    /// Requests that instances are asked about, in no particular order.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.suspect_since.keys()
    }

    /// Evicts expired crashes and updates the suspects. Returns the requests to quarantine
    /// in addition to those that `is_refused`.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        is_refused: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<CrashingRequest> {
        self.engines.retain(|_, e| now.since(e.at) < RETENTION);
        self.proposed_at
            .retain(|_, at| now.since(*at) < PROPOSAL_RETRY);
        self.silent.retain(|_, at| now.since(*at) < RECENT_WINDOW);
        let by_request = self.crashes_by_request(now, &is_refused);
        let mut suspects: Vec<_> = by_request
            .iter()
            .filter(|(f, e)| e.len() >= MIN_SUSPECT_CRASHES || self.silent.contains_key(*f))
            .collect();
        suspects.sort_by_key(|(f, e)| (std::cmp::Reverse(e.len()), **f));
        suspects.truncate(MAX_SUSPECTS);
        let suspect_since = suspects.iter().map(|(f, _)| {
            let since = self.suspect_since.get(*f).copied().unwrap_or(now);
            (**f, since)
        });
        let suspect_since: HashMap<Fingerprint, Time> = suspect_since.collect();
        let due = |f: &Fingerprint| {
            let is_settled = suspect_since
                .get(f)
                .is_some_and(|at| now.since(*at) >= HARMLESS_REPORT_DELAY);
            is_settled && !self.proposed_at.contains_key(f)
        };
        // Instances may still have to report the requests involved in newer crashes.
        let reported_until = now - CRASH_REPORT_DELAY;
        let reported = self.crashes_by_request(reported_until, &is_refused);
        let found = suspects.iter().filter(|(f, _)| due(f));
        let found = found.filter_map(|(f, _)| self.identify(reported_until, f, &reported));
        let found: Vec<CrashingRequest> = found.collect();
        let engines = self.engines.values();
        let is_known = |f: &Fingerprint| engines.clone().any(|e| e.requests.contains_key(f));
        self.harmless.retain(|f, _| is_known(f));
        self.suspect_since = suspect_since;
        for request in &found {
            self.proposed_at.insert(request.fingerprint, now);
        }
        found
    }

    /// Returns a request with its crashes up to `until` if it is identified as their cause.
    fn identify(
        &self,
        until: Time,
        request: &Fingerprint,
        by_request: &CrashesByRequest,
    ) -> Option<CrashingRequest> {
        let engines = by_request.get(request)?;
        if engines.len() < MIN_CRASHES {
            return None;
        }
        let crash = |start: &EngineStart| &self.engines[start];
        let newest = engines.iter().map(|s| crash(s).at).max()?;
        let is_near = |e: &&Crash| {
            let is_close = newest.since(e.at) < RECENT_WINDOW && e.at.since(newest) < RECENT_WINDOW;
            is_close && e.at <= until
        };
        let recent = self.engines.values().filter(is_near);
        let recent = recent.filter(|e| e.requests.keys().any(|f| by_request.contains_key(f)));
        let has_unexplained = recent.count() > engines.len();
        let has_other_suspects = by_request
            .iter()
            .any(|(f, e)| f != request && e.len() >= MIN_SUSPECT_CRASHES);
        if (has_unexplained || has_other_suspects) && engines.len() == MIN_CRASHES {
            return None;
        }
        let most_crashes_of_others = |start: &EngineStart| {
            let others = crash(start).requests.keys().filter(|f| *f != request);
            others.filter_map(|f| by_request.get(f)).map(Vec::len).max()
        };
        let distinct = engines
            .iter()
            .filter(|s| 2 * most_crashes_of_others(s).unwrap_or(0) < engines.len());
        let is_distinct = distinct.count() >= MIN_CRASHES;
        if !is_distinct && engines.len() < MIN_AMBIGUOUS_CRASHES {
            return None;
        }
        Some(CrashingRequest {
            fingerprint: *request,
            organisation: Arc::clone(&crash(engines[0]).requests[request]),
            engines: engines.iter().map(|s| (*s).clone()).collect(),
        })
    }
}
