//! Evidence of the leader on what crashes engines: requests, and parts of prompts.

use std::time::Duration;

use super::reports::CurrentRequest;
use crate::clock::Time;
use crate::collections::HashSet;
use crate::decide::crashing_parts::{CrashingPart, PartCrashes};
use crate::decide::quarantine::{Crashes, CrashingRequest};
use crate::decide::run_history::{CutRequest, EngineStart};
use crate::fingerprint::Fingerprint;
use crate::prompt::Prompt;
use crate::register::{Quarantined, Register};
use crate::sync::CutRecord;

/// Engine crashes that instances reported in one term.
#[derive(Default)]
pub(super) struct CrashEvidence {
    requests: Crashes,
    parts: PartCrashes,
}

/// What crashes engines and is not quarantined yet.
pub(crate) struct CrashCauses {
    pub(crate) requests: Vec<CrashingRequest>,
    pub(crate) parts: Vec<CrashingPart>,
}

impl CrashEvidence {
    /// Records the cut and harmless runs that an instance reports.
    pub(super) fn record(&mut self, now: Time, current: &CurrentRequest) {
        let request = current.request();
        let at = |age| now - Duration::from_micros(age);
        for cut in &request.cut {
            self.record_cut(at(cut.age), cut);
        }
        for run in &request.harmless {
            if let Ok(fingerprint) = Fingerprint::try_from(&*run.fingerprint) {
                self.requests.record_harmless(at(run.age), fingerprint);
                self.parts.record_harmless(at(run.age), fingerprint);
            }
        }
    }

    fn record_cut(&mut self, at: Time, cut: &CutRecord) {
        let Ok(fingerprint) = Fingerprint::try_from(&*cut.fingerprint) else {
            return;
        };
        let engine = EngineStart {
            id: cut.engine.as_str().into(),
            born: cut.born,
        };
        let request = CutRequest {
            fingerprint,
            organisation: cut.organisation.as_str().into(),
            prompt: Prompt::new(cut.model.clone(), cut.parts.iter().cloned()).into(),
        };
        self.parts.record_crash(at, engine.clone(), &request);
        if cut.silent {
            self.requests.record_silent(at, fingerprint);
        }
        self.requests
            .record_crash(at, engine, fingerprint, request.organisation);
    }

    /// Requests and parts of prompts that instances are asked about.
    pub(super) fn suspects(&self) -> impl Iterator<Item = &Fingerprint> {
        self.requests.suspects().chain(self.parts.suspects())
    }

    /// Updates the suspects. Returns what crashes engines and is not quarantined yet.
    pub(super) fn tick(&mut self, now: Time, register: &Register) -> CrashCauses {
        let quarantined = register.quarantined();
        let quarantined = quarantined.iter().filter_map(Quarantined::fingerprint);
        let quarantined: HashSet<Fingerprint> = quarantined.collect();
        let parts = self.parts.tick(now, |f| quarantined.contains(f));
        let is_refused =
            |f: &Fingerprint| quarantined.contains(f) || parts.iter().any(|p| p.fingerprint == *f);
        // Requests that a part explains are no suspects: most of them were merely cut off with it.
        for engine in self.parts.explained(is_refused) {
            self.requests.forget_engine(&engine);
        }
        let requests = self.requests.tick(now, |f| quarantined.contains(f));
        CrashCauses { requests, parts }
    }

    /// Removes a request or a part of prompts from all crashes.
    pub(super) fn forget(&mut self, fingerprint: &Fingerprint) {
        self.requests.forget(fingerprint);
        self.parts.forget(fingerprint);
    }
}
