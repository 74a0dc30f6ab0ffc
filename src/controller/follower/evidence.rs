//! Evidence on crashes that entry instances report, until the leader has it.
//!
//! An instance reports a cut run again until the leader has it, so a controller that ends before it
//! passed the run on loses nothing.

use std::time::Duration;

use crate::clock::{Time, micros};
use crate::collections::HashMap;
use crate::sync::{CutRecord, HarmlessRecord, SyncRequest};

/// Maximum number of cut runs in one report to the leader, and of harmless ones that are kept.
const MAX_CUT: usize = 256;
const MAX_HARMLESS: usize = 1_024;

/// Cut runs of one instance that the leader doesn't have yet.
#[derive(Debug)]
struct HeldRuns {
    at: Time,
    /// See [`SyncRequest::born`].
    born: u64,
    /// Sequence number of the last run.
    last: u64,
    runs: Vec<CutRecord>,
}

/// Evidence of the instances that this controller answers.
#[derive(Debug, Default)]
pub(super) struct HeldEvidence {
    held: HashMap<u64, HeldRuns>,
    /// Start of each instance's process, and the last of its cut runs that the leader has.
    received: HashMap<u64, (u64, u64)>,
    /// When requests and parts last ran without harm, by fingerprint.
    harmless: HashMap<Vec<u8>, Time>,
}

impl HeldEvidence {
    /// Records what an instance reports.
    pub(super) fn record(&mut self, now: Time, request: &SyncRequest) {
        for run in &request.harmless {
            let at = now - Duration::from_micros(run.age);
            if self.harmless.len() < MAX_HARMLESS || self.harmless.contains_key(&run.fingerprint) {
                let last = self.harmless.entry(run.fingerprint.clone()).or_insert(at);
                *last = (*last).max(at);
            }
        }
        if request.cut.is_empty() || self.last_received(request) >= request.last_cut {
            return;
        }
        let runs = HeldRuns {
            at: now,
            born: request.born,
            last: request.last_cut,
            runs: request.cut.clone(),
        };
        self.held.insert(request.instance, runs);
    }

    /// Returns the sequence number of the sender's last cut run that the leader has; `None` if it
    /// has all in the request.
    pub(super) fn unreceived(&self, request: &SyncRequest) -> Option<u64> {
        let last = self.last_received(request);
        (!request.cut.is_empty() && last < request.last_cut).then_some(last)
    }

    fn last_received(&self, request: &SyncRequest) -> u64 {
        let received = self.received.get(&request.instance);
        received
            .filter(|(born, _)| *born == request.born)
            .map_or(0, |(_, last)| *last)
    }

    /// Adds the evidence to a request to the leader. Returns the instances whose runs it contains,
    /// for [`Self::acknowledge`].
    pub(super) fn add_to(&self, now: Time, request: &mut SyncRequest) -> Vec<(u64, u64, u64)> {
        let mut sent = Vec::new();
        for (instance, held) in &self.held {
            if request.cut.len() >= MAX_CUT {
                break;
            }
            let waited = micros(now.since(held.at));
            let runs = held.runs.iter().cloned().map(|run| CutRecord {
                age: run.age + waited,
                ..run
            });
            request.cut.extend(runs);
            sent.push((*instance, held.born, held.last));
        }
        let harmless = self
            .harmless
            .iter()
            .map(|(fingerprint, at)| HarmlessRecord {
                fingerprint: fingerprint.clone(),
                age: micros(now.since(*at)),
            });
        request.harmless.extend(harmless);
        sent
    }

    /// Records that the leader has the runs up to those of [`Self::add_to`].
    pub(super) fn acknowledge(&mut self, sent: &[(u64, u64, u64)]) {
        for (instance, born, last) in sent {
            self.received.insert(*instance, (*born, *last));
            let held = self.held.get(instance);
            if held.is_some_and(|h| (h.born, h.last) == (*born, *last)) {
                self.held.remove(instance);
            }
        }
    }

    /// Forgets what the leader has, since a new one has nothing.
    pub(super) fn enter_term(&mut self) {
        self.received.clear();
    }

    /// Retains what concerns the `suspects` of the leader.
    pub(super) fn retain_suspects(&mut self, suspects: &[Vec<u8>]) {
        self.harmless.retain(|f, _| suspects.contains(f));
    }
}
