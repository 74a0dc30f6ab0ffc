//! Identifies parts of prompts that crash the engines that run them.
//!
//! Load pattern: one part of many prompts crashes each engine that begins to write an answer on it,
//! whatever else the requests hold. No two of them are alike, so each is a new request and none
//! of them causes enough crashes to be identified by itself. A crash also cuts off sound
//! requests, which share their other parts with those.
//!
//! Three things tell the part from the others. It never runs without harm, while common parts do
//! so between two crashes. It crashes engines under different requests, while one request that
//! crashes engines by itself explains the crashes of all of its parts. Of parts that always
//! meet, the last in the prompt is the rarest; if crashes go on, the next one follows.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use super::quarantine::{
    CRASH_REPORT_DELAY, HARMLESS_REPORT_DELAY, MIN_SUSPECT_CRASHES, PROPOSAL_RETRY, RECENT_WINDOW,
    evict_oldest,
};
use super::run_history::{CutRequest, EngineStart, RETENTION};
use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::fingerprint::Fingerprint;
use crate::prompt::Part;

/// Minimum number of crashes to quarantine a part.
const MIN_CRASHES: usize = 3;

/// Minimum number of these crashes that no single request explains.
const MIN_REQUESTS: usize = 2;

/// Minimum number of instants at which a part must have caused crashes, and one that ran without
/// harm before. When many engines are lost at once, each of them has often just begun to run a
/// common part.
const MIN_INSTANTS: usize = 2;
const MIN_INSTANTS_HARMLESS: usize = 4;

/// Crashes within this time count as one instant.
const INSTANT: Duration = Duration::from_millis(100);

/// Maximum number of retained parts and requests per crash.
const MAX_PARTS: usize = 256;
const MAX_REQUESTS: usize = 64;

/// Maximum number of retained senders of a part in one crash.
const MAX_SENDERS: usize = 4;

/// Maximum number of parts that instances are asked about.
const MAX_SUSPECTS: usize = 32;

/// A part in the prompts of the requests that one crash cut off.
#[derive(Debug)]
struct Sighting {
    id: Arc<str>,
    /// Position in the prompt; the highest if requests differ.
    position: usize,
    senders: Vec<Sender>,
    requests: HashSet<Fingerprint>,
}

/// An organisation that sent a part.
#[derive(Debug)]
struct Sender {
    organisation: Arc<str>,
    /// The part [within](Fingerprint::within) the organisation.
    part: Fingerprint,
}

/// An engine crash, with the parts of the prompts that the engine had just begun to run.
#[derive(Debug)]
struct Crash {
    at: Time,
    parts: HashMap<Fingerprint, Sighting>,
    requests: HashSet<Fingerprint>,
}

/// A part identified as crashing engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CrashingPart {
    /// See [`Part::fingerprint`], or that [within](Fingerprint::within) the organisation.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) id: Arc<str>,
    /// The organisation whose prompts are refused; `None` for all. As long as only one organisation
    /// sent the part, others aren't affected: it could have sent a part of theirs along.
    pub(crate) organisation: Option<Arc<str>>,
    /// Engines that crashed while they ran it.
    pub(crate) engines: Vec<EngineStart>,
}

/// Engine crashes that instances reported to a leader, by the parts of prompts.
#[derive(Debug, Default)]
pub(crate) struct PartCrashes {
    engines: HashMap<EngineStart, Crash>,
    /// When parts in `engines` last ran without harm.
    harmless: HashMap<Fingerprint, Time>,
    /// Parts that instances are asked about, and since when.
    suspect_since: HashMap<Fingerprint, Time>,
    /// When the quarantine of a part was last proposed.
    proposed_at: HashMap<Fingerprint, Time>,
}

/// What is refused already.
trait Refused: Fn(&Fingerprint) -> bool {}
impl<F: Fn(&Fingerprint) -> bool> Refused for F {}

impl Sighting {
    /// Whether each sender's prompts with the part are refused.
    fn is_covered(&self, part: &Fingerprint, is_refused: &impl Refused) -> bool {
        is_refused(part) || self.senders.iter().all(|s| is_refused(&s.part))
    }

    /// Whether some sender's prompts with the part are refused.
    fn is_refused(&self, part: &Fingerprint, is_refused: &impl Refused) -> bool {
        is_refused(part) || self.senders.iter().any(|s| is_refused(&s.part))
    }
}

/// What is refused already and explains a crash.
struct Explanation<'a> {
    has_request: bool,
    parts: Vec<&'a Fingerprint>,
}

impl Explanation<'_> {
    fn is_any(&self) -> bool {
        self.has_request || !self.parts.is_empty()
    }

    /// Whether something other than `part` explains the crash.
    fn is_without(&self, part: &Fingerprint) -> bool {
        self.has_request || self.parts.iter().any(|p| *p != part)
    }
}

impl Crash {
    fn explanation(&self, is_refused: &impl Refused) -> Explanation<'_> {
        let parts = self.parts.iter();
        let parts = parts.filter(|(p, sighting)| sighting.is_refused(p, is_refused));
        Explanation {
            has_request: self.requests.iter().any(is_refused),
            parts: parts.map(|(p, _)| p).collect(),
        }
    }
}

/// Crashes that a part may have caused.
struct Evidence<'a> {
    part: Fingerprint,
    crashes: Vec<(&'a EngineStart, &'a Crash)>,
}

impl<'a> Evidence<'a> {
    fn sightings(&self) -> impl Iterator<Item = &'a Sighting> {
        self.crashes.iter().map(|(_, c)| &c.parts[&self.part])
    }

    fn position(&self) -> usize {
        let positions = self.sightings().map(|s| s.position);
        positions.max().unwrap_or_default()
    }

    fn newest(&self) -> Time {
        let times = self.crashes.iter().map(|(_, c)| c.at);
        times.max().unwrap_or_default()
    }

    /// Number of crashes that the request with most of them doesn't explain.
    fn beyond_one_request(&self) -> usize {
        let mut counts: HashMap<&Fingerprint, usize> = HashMap::default();
        for request in self.sightings().flat_map(|s| &s.requests) {
            *counts.entry(request).or_default() += 1;
        }
        let most = counts.values().max().copied().unwrap_or_default();
        self.crashes.len() - most
    }

    /// Number of crashes of which no two were within [`INSTANT`].
    fn instants(&self) -> usize {
        let mut times: Vec<Time> = self.crashes.iter().map(|(_, c)| c.at).collect();
        times.sort_unstable();
        let mut last = None;
        times.retain(|&at| {
            let is_new = last.is_none_or(|last| at.since(last) >= INSTANT);
            last = if is_new { Some(at) } else { last };
            is_new
        });
        times.len()
    }

    fn organisations(&self) -> HashSet<&'a Arc<str>> {
        let senders = self.sightings().flat_map(|s| &s.senders);
        senders.map(|s| &s.organisation).collect()
    }
}

impl PartCrashes {
    /// Records that an engine crashed at `at` and had just begun to run a request.
    pub(crate) fn record_crash(&mut self, at: Time, engine: EngineStart, request: &CutRequest) {
        let crash = self.engines.entry(engine).or_insert_with(|| Crash {
            at,
            parts: HashMap::default(),
            requests: HashSet::default(),
        });
        crash.at = crash.at.min(at);
        if crash.requests.len() >= MAX_REQUESTS {
            return;
        }
        crash.requests.insert(request.fingerprint);
        for (position, part) in request.prompt.parts.iter().enumerate() {
            crash.record_part(position, part, request);
        }
        evict_oldest(&mut self.engines, |c| c.at);
    }

    /// Records that a part ran without harm at `at`.
    pub(crate) fn record_harmless(&mut self, at: Time, part: Fingerprint) {
        let last = self.harmless.entry(part).or_insert(at);
        *last = (*last).max(at);
    }

    /// Parts that instances are asked about, in no particular order.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.suspect_since.keys()
    }

    /// Removes a part from all crashes; `fingerprint` may be that within an organisation.
    pub(crate) fn forget(&mut self, fingerprint: &Fingerprint) {
        for crash in self.engines.values_mut() {
            crash.parts.retain(|part, sighting| {
                let mut senders = sighting.senders.iter();
                part != fingerprint && senders.all(|s| s.part != *fingerprint)
            });
        }
        self.proposed_at.remove(fingerprint);
    }

    /// Engines whose crashes a refused part explains.
    pub(crate) fn explained(&self, is_refused: impl Fn(&Fingerprint) -> bool) -> Vec<EngineStart> {
        let engines = self.engines.iter();
        let explained = engines.filter(|(_, c)| c.explanation(&is_refused).is_any());
        explained.map(|(start, _)| start.clone()).collect()
    }

    /// Evicts expired crashes and updates the suspects. Returns the parts to quarantine in addition
    /// to what `is_refused`.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        is_refused: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<CrashingPart> {
        self.engines.retain(|_, e| now.since(e.at) < RETENTION);
        self.proposed_at
            .retain(|_, at| now.since(*at) < PROPOSAL_RETRY);
        self.update_suspects(now, &is_refused);
        let mut found: Vec<CrashingPart> = Vec::new();
        // What one part explains is no evidence against another.
        while let Some(next) = self.identify(now, &|f: &Fingerprint| {
            is_refused(f) || found.iter().any(|p| p.fingerprint == *f)
        }) {
            found.push(next);
        }
        found.retain(|p| !self.proposed_at.contains_key(&p.fingerprint));
        for part in &found {
            self.proposed_at.insert(part.fingerprint, now);
        }
        found
    }

    fn update_suspects(&mut self, now: Time, is_refused: &impl Refused) {
        let mut suspects: Vec<_> = self
            .evidence(now, is_refused)
            .into_iter()
            .filter(|e| e.crashes.len() >= MIN_SUSPECT_CRASHES)
            .map(|e| (Reverse(e.crashes.len()), Reverse(e.position()), e.part))
            .collect();
        suspects.sort_unstable();
        suspects.truncate(MAX_SUSPECTS);
        let since = |part| self.suspect_since.get(part).copied().unwrap_or(now);
        let since = suspects.iter().map(|(.., part)| (*part, since(part)));
        self.suspect_since = since.collect();
        let engines = &self.engines;
        let is_known = |p: &Fingerprint| engines.values().any(|e| e.parts.contains_key(p));
        self.harmless.retain(|part, _| is_known(part));
    }

    /// Returns the crashes up to `until` that each part may have caused: it has not run without
    /// harm since, and nothing else that is refused explains them.
    fn evidence(&self, until: Time, is_refused: &impl Refused) -> Vec<Evidence<'_>> {
        let mut crashes: HashMap<Fingerprint, Vec<_>> = HashMap::default();
        for (start, crash) in self.engines.iter().filter(|(_, c)| c.at <= until) {
            let explanation = crash.explanation(is_refused);
            for part in crash.parts.keys() {
                let harmless = self.harmless.get(part);
                if harmless.is_none_or(|&at| at < crash.at) && !explanation.is_without(part) {
                    crashes.entry(*part).or_default().push((start, crash));
                }
            }
        }
        let evidence = crashes.into_iter();
        let evidence = evidence.map(|(part, crashes)| Evidence { part, crashes });
        let evidence =
            evidence.filter(|e| e.sightings().any(|s| !s.is_covered(&e.part, is_refused)));
        evidence.collect()
    }

    /// Returns the part that most likely caused its crashes, if there is enough evidence.
    fn identify(&self, now: Time, is_refused: &impl Refused) -> Option<CrashingPart> {
        // Instances may still have to report the requests involved in newer crashes.
        let until = now - CRASH_REPORT_DELAY;
        let evidence = self.evidence(until, is_refused);
        let candidates = evidence
            .iter()
            .filter(|e| self.suffices(now, until, e, is_refused));
        let found = candidates.max_by_key(|e| {
            let is_new = !self.harmless.contains_key(&e.part);
            (is_new, e.position(), Reverse(e.part))
        })?;
        let organisations = found.organisations();
        let organisation = match organisations.len() {
            1 => organisations.into_iter().next().cloned(),
            _ => None,
        };
        let within = |o: &Arc<str>| found.part.within(o);
        Some(CrashingPart {
            fingerprint: organisation.as_ref().map_or(found.part, within),
            id: Arc::clone(&found.sightings().next()?.id),
            organisation,
            engines: found.crashes.iter().map(|(s, _)| (*s).clone()).collect(),
        })
    }

    /// Whether the evidence against a part suffices.
    fn suffices(
        &self,
        now: Time,
        until: Time,
        evidence: &Evidence<'_>,
        is_refused: &impl Refused,
    ) -> bool {
        let count = evidence.crashes.len();
        let since = self.suspect_since.get(&evidence.part);
        if since.is_none_or(|at| now.since(*at) < HARMLESS_REPORT_DELAY)
            || count < MIN_CRASHES
            || evidence.beyond_one_request() < MIN_REQUESTS
        {
            return false;
        }
        let min_instants = match self.harmless.get(&evidence.part) {
            Some(_) => MIN_INSTANTS_HARMLESS,
            None => MIN_INSTANTS,
        };
        if evidence.instants() < min_instants {
            return false;
        }
        // Engines also crash for other reasons.
        count > MIN_CRASHES || self.explains_recent(until, evidence, is_refused)
    }

    /// Whether a part was involved in all crashes near its newest one that nothing else explains.
    fn explains_recent(
        &self,
        until: Time,
        evidence: &Evidence<'_>,
        is_refused: &impl Refused,
    ) -> bool {
        let newest = evidence.newest();
        let is_recent = |c: &&Crash| {
            let is_near = newest.since(c.at) < RECENT_WINDOW && c.at.since(newest) < RECENT_WINDOW;
            is_near && c.at <= until
        };
        let mut recent = self.engines.values().filter(is_recent);
        recent.all(|c| {
            let explanation = || c.explanation(is_refused);
            c.parts.contains_key(&evidence.part) || explanation().is_without(&evidence.part)
        })
    }
}

impl Crash {
    fn record_part(&mut self, position: usize, part: &Part, request: &CutRequest) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part.fingerprint) {
            return;
        }
        let sighting = self
            .parts
            .entry(part.fingerprint)
            .or_insert_with(|| Sighting {
                id: Arc::clone(&part.id),
                position,
                senders: Vec::new(),
                requests: HashSet::default(),
            });
        sighting.position = sighting.position.max(position);
        sighting.requests.insert(request.fingerprint);
        let organisation = &request.organisation;
        let is_known = sighting
            .senders
            .iter()
            .any(|s| s.organisation == *organisation);
        if !is_known && sighting.senders.len() < MAX_SENDERS {
            sighting.senders.push(Sender {
                organisation: Arc::clone(organisation),
                part: part.fingerprint.within(organisation),
            });
        }
    }
}
