//! Runs that an entry instance saw cut off by an engine crash, and requests it saw run
//! without one.
//!
//! Load pattern: a request crashes each engine that begins to run it, and is retried at
//! any instance. A crashing engine cuts off all its streams; only runs that had just
//! begun are recorded, since later ones have proven harmless to the engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::fingerprint::Fingerprint;
use crate::prompt::Prompt;

/// Number of events after which a run counts as harmless to its engine.
pub(crate) const HARMLESS_EVENTS: u64 = 4;

/// Time for which engine crashes and harmless runs are retained.
pub(crate) const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of retained cut runs. The oldest are evicted first.
const MAX_CUT: usize = 1024;

/// Maximum number of retained harmless runs of requests, and of parts of prompts. The oldest are
/// evicted first.
const MAX_HARMLESS: usize = 4096;

/// Maximum number of cut runs in one report.
const MAX_PER_REPORT: usize = 128;

/// Identifies one start of an engine process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EngineStart {
    pub(crate) id: Arc<str>,
    pub(crate) born: u64,
}

/// A request whose run was cut off.
#[derive(Clone, Debug)]
pub(crate) struct CutRequest {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) organisation: Arc<str>,
    pub(crate) prompt: Arc<Prompt>,
}

impl CutRequest {
    /// Whether a quarantine of `fingerprint` concerns the request.
    fn is_quarantined_by(&self, fingerprint: &Fingerprint) -> bool {
        let mut parts = self.prompt.fingerprints(&self.organisation);
        self.fingerprint == *fingerprint || parts.any(|p| p == *fingerprint)
    }
}

/// A run that an engine crash cut off before its first [`HARMLESS_EVENTS`] events.
#[derive(Clone, Debug)]
pub(crate) struct CutRun {
    /// Increases with each recorded run.
    sequence: u64,
    pub(crate) at: Time,
    pub(crate) engine: EngineStart,
    pub(crate) request: CutRequest,
    /// Whether the request had no event of this run, and none of an earlier one that proved it
    /// harmless. A request that crashes engines gets none.
    pub(crate) silent: bool,
}

/// Cut and harmless runs at one entry instance.
#[derive(Debug, Default)]
pub(crate) struct RunHistory {
    /// Cut runs by engine, until the engine is known to have crashed or not.
    unconfirmed: HashMap<EngineStart, Vec<CutRun>>,
    /// Oldest first.
    cut: VecDeque<CutRun>,
    /// Sequence number of the newest cut run.
    last_sequence: u64,
    /// Highest sequence number acknowledged by the leader of `term`.
    acknowledged: u64,
    term: u64,
    /// Requests that ran without harm.
    harmless: HarmlessRuns,
    /// Parts of prompts that did.
    harmless_parts: HarmlessRuns,
}

/// When requests or parts of prompts last ran without harm.
#[derive(Debug, Default)]
struct HarmlessRuns {
    last: HashMap<Fingerprint, Time>,
    /// Entries of `last`, oldest first. Entries with an outdated time are stale.
    order: VecDeque<(Time, Fingerprint)>,
}

impl HarmlessRuns {
    fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.last.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some(&(at, oldest)) = self.order.front()
            && (self.order.len() > MAX_HARMLESS || now.since(at) >= RETENTION)
        {
            self.order.pop_front();
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }
}

impl RunHistory {
    /// Records a cut run. Returns whether the caller must check if the engine has crashed;
    /// `false` if such a check is already pending.
    pub(crate) fn record_cut(
        &mut self,
        now: Time,
        engine: &EngineStart,
        request: CutRequest,
        silent: bool,
    ) -> bool {
        let first = !self.unconfirmed.contains_key(engine);
        let runs = self.unconfirmed.entry(engine.clone()).or_default();
        runs.push(CutRun {
            sequence: 0,
            at: now,
            engine: engine.clone(),
            request,
            silent,
        });
        first
    }

    /// Records whether an engine has crashed. Returns the runs that the crash cut off.
    pub(crate) fn confirm(&mut self, engine: &EngineStart, crashed: bool) -> Vec<CutRun> {
        let runs = self.unconfirmed.remove(engine).unwrap_or_default();
        if !crashed {
            return Vec::new();
        }
        for run in &runs {
            self.last_sequence += 1;
            self.cut.push_back(CutRun {
                sequence: self.last_sequence,
                ..run.clone()
            });
            if self.cut.len() > MAX_CUT {
                self.cut.pop_front();
            }
        }
        runs
    }

    /// Records a run that did no harm to its engine.
    pub(crate) fn record_harmless(&mut self, now: Time, fingerprint: Fingerprint, prompt: &Prompt) {
        self.harmless.record(now, fingerprint);
        for part in &prompt.parts {
            self.harmless_parts.record(now, part.fingerprint);
        }
    }

    /// Returns when a request last ran without harm.
    pub(crate) fn last_harmless(&self, request: &Fingerprint) -> Option<Time> {
        self.harmless.last.get(request).copied()
    }

    /// Returns when a request, or a request with a part in its prompt, last ran without harm.
    pub(crate) fn last_harmless_of_any(&self, fingerprint: &Fingerprint) -> Option<Time> {
        let parts = &self.harmless_parts.last;
        let of_part = || parts.get(fingerprint).copied();
        self.last_harmless(fingerprint).or_else(of_part)
    }

    /// Returns the next unacknowledged cut runs and the sequence number of the last one.
    pub(crate) fn unreported(&mut self, now: Time) -> (u64, Vec<CutRun>) {
        while self
            .cut
            .front()
            .is_some_and(|c| now.since(c.at) >= RETENTION)
        {
            self.cut.pop_front();
        }
        let new = self.cut.iter().filter(|c| c.sequence > self.acknowledged);
        let new: Vec<CutRun> = new.take(MAX_PER_REPORT).cloned().collect();
        let last = new.last().map_or(self.acknowledged, |c| c.sequence);
        (last, new)
    }

    /// Records that the leader of `term` received all cut runs up to a sequence number.
    /// On a new term all retained runs are reported again, since a new leader has none. An
    /// acknowledgement of a deposed leader has no effect.
    pub(crate) fn acknowledge(&mut self, term: u64, last: u64) {
        if term < self.term {
            return;
        }
        self.acknowledged = if term == self.term { last } else { 0 };
        self.term = term;
    }

    /// Removes the cut runs of a request, or of the requests with a part.
    pub(crate) fn forget(&mut self, fingerprint: &Fingerprint) {
        self.cut
            .retain(|c| !c.request.is_quarantined_by(fingerprint));
    }
}
