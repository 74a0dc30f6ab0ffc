//! Quarantine of requests and parts of prompts that crash engines: decided by the leader,
//! committed to the replicated log and sent to the entry instances.

use std::time::Duration;

use serde_json::json;

use super::{Controller, GROUP};
use crate::clock::{millis, wall_millis};
use crate::decide::run_history::EngineStart;
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::register::{self, Quarantined};
use crate::sync::{QuarantineRecord, QuarantinedRecord};

/// Duration of a quarantine. It ends since the request may be harmless to a later engine
/// release; otherwise it is quarantined again after a few more crashes.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3600);

fn ids(engines: &[EngineStart]) -> Vec<&str> {
    engines.iter().map(|e| &*e.id).collect()
}

fn count(engines: &[EngineStart]) -> u32 {
    u32::try_from(engines.len()).unwrap_or(u32::MAX)
}

impl Controller {
    /// Proposes new quarantines, and lifts those that have expired.
    pub(super) fn maintain_quarantine(&self) {
        let Some(mut state) = self.state_if_leading() else {
            return;
        };
        let causes = state.crash_causes(self.now(), &self.register);
        drop(state);
        let now = wall_millis();
        for request in &causes.requests {
            tracing::warn!(
                event = event::REQUEST_QUARANTINED.id,
                fingerprint = %request.fingerprint,
                organisation = %request.organisation,
                engines = ?ids(&request.engines),
                "request quarantined: engines crashed while running it"
            );
            self.propose_quarantine(Quarantined {
                fingerprint: request.fingerprint.bytes(),
                organisation: request.organisation.to_string(),
                engines: count(&request.engines),
                since: now,
                ..Quarantined::default()
            });
        }
        for part in &causes.parts {
            let organisation = part.organisation.as_deref().unwrap_or_default();
            tracing::warn!(
                event = event::PART_QUARANTINED.id,
                fingerprint = %part.fingerprint,
                part = %part.id,
                organisation,
                engines = ?ids(&part.engines),
                "part of prompts quarantined: engines crashed while running requests with it"
            );
            self.propose_quarantine(Quarantined {
                fingerprint: part.fingerprint.bytes(),
                organisation: organisation.to_owned(),
                engines: count(&part.engines),
                since: now,
                part: part.id.to_string(),
                ..Quarantined::default()
            });
        }
        let expired = self.register.quarantined().into_iter();
        let expired = expired.filter(|q| q.until <= now);
        for fingerprint in expired.filter_map(|q| q.fingerprint()) {
            tracing::info!(
                event = event::QUARANTINE_LIFTED.id,
                %fingerprint,
                cause = "expired",
                "quarantine lifted"
            );
            self.propose(register::lift(&fingerprint));
        }
    }

    /// Proposes a quarantine that lasts for [`QUARANTINE_DURATION`].
    fn propose_quarantine(&self, new: Quarantined) {
        let until = new.since + millis(QUARANTINE_DURATION);
        self.propose(register::quarantine(Quarantined { until, ..new }));
    }

    /// Proposes a command. Uncommitted commands are proposed again by a later
    /// [`Self::maintain_quarantine`].
    fn propose(&self, command: bytes::Bytes) {
        let done = |outcome: Result<Vec<u8>, _>| {
            if let Err(error) = outcome {
                tracing::debug!("quarantine not committed: {error:?}");
            }
        };
        self.voter.propose(GROUP, command, Box::new(done));
    }

    /// Returns the quarantine, unless its checksum is the `known` one of an instance.
    pub(super) fn quarantine(&self, known: u64) -> Option<QuarantineRecord> {
        let checksum = self.register.quarantine_checksum();
        if checksum == known {
            return None;
        }
        let now = wall_millis();
        let requests = self.register.quarantined().into_iter();
        let requests = requests.map(|q| QuarantinedRecord {
            remaining_ms: q.until.saturating_sub(now),
            fingerprint: q.fingerprint,
        });
        Some(QuarantineRecord {
            checksum,
            requests: requests.collect(),
        })
    }

    /// Returns the quarantined requests and parts as JSON for operators.
    pub(super) fn list_quarantined(&self) -> String {
        let now = wall_millis();
        let requests = self.register.quarantined().into_iter();
        let requests = requests.map(|q| {
            json!({
                "fingerprint": q.fingerprint().map(|f: Fingerprint| f.to_string()),
                "organisation": q.organisation,
                "part": (!q.part.is_empty()).then_some(&q.part),
                "engines": q.engines,
                "since_ms": now.saturating_sub(q.since),
                "left_ms": q.until.saturating_sub(now),
            })
        });
        let requests: Vec<_> = requests.collect();
        json!({ "requests": requests }).to_string()
    }
}
