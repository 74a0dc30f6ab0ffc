//! Detects requests that were cut off by engine crashes, and refuses quarantined ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::Entry;
use super::attempt::{CUT, Run};
use super::view::{Upstream, View};
use crate::clock::micros;
use crate::decide::refusal::Reason;
use crate::decide::run_history::{EngineStart, HARMLESS_EVENTS};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::metric;
use crate::sync::{CutRecord, HarmlessRecord, SyncReply, SyncRequest};

/// Delay before probing an engine that cut off a run, since its listener may be closed
/// slightly later than its connections.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Timeout for connecting to a probed engine.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Whether the cause of a failure is that an upstream closed the connection during a run.
pub(super) fn is_cut(cause: &str) -> bool {
    matches!(cause, CUT | "cut_body" | "cut_event" | "cut_stream")
}

impl Run {
    /// Returns the reason for refusal if the request is quarantined.
    pub(super) fn quarantined(&self) -> Option<Reason> {
        let view = self.entry.view();
        let left = view.quarantined(self.entry.now(), &self.call.fingerprint)?;
        Some(Reason::Quarantined(left))
    }

    /// Returns the request's fingerprint if the leader suspects it of crashing engines.
    pub(super) fn suspect(&self, view: &View) -> Option<&Fingerprint> {
        let suspect = view.suspects().contains(&self.call.fingerprint);
        suspect.then_some(&self.call.fingerprint)
    }

    /// Whether the request may crash the next upstream, too: it is suspect and was cut off
    /// again. It is not resumed, so that each attempt risks one upstream only.
    pub(super) fn may_crash_engine(&self, cause: &str) -> bool {
        let cut = is_cut(cause) && self.events < HARMLESS_EVENTS;
        cut && self.suspect(&self.entry.view()).is_some()
    }

    /// Records that the upstream cut off the current run, unless the run has proven
    /// harmless.
    ///
    /// The upstream is probed: one that still accepts connections has not crashed, and
    /// the run is not reported.
    pub(super) fn record_cut(&self, upstream: &Upstream) {
        if self.events >= HARMLESS_EVENTS {
            return;
        }
        let engine = upstream.start();
        let organisation = Arc::clone(&self.call.organisation);
        let fingerprint = self.call.fingerprint;
        let now = self.entry.now();
        let history = &mut self.entry.shared().run_history;
        if history.record_cut(now, &engine, fingerprint, &organisation) {
            let entry = Arc::clone(&self.entry);
            let address = upstream.address.into();
            tokio::spawn(async move { entry.probe_engine(engine, address).await });
        }
    }

    /// Records that the request did no harm to its upstream.
    pub(super) fn record_harmless(&self) {
        let now = self.entry.now();
        let history = &mut self.entry.shared().run_history;
        history.record_harmless(now, self.call.fingerprint);
    }
}

impl Entry {
    /// Checks whether an engine that cut off runs has crashed.
    async fn probe_engine(&self, engine: EngineStart, address: SocketAddr) {
        sleep(PROBE_DELAY).await;
        let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
        let crashed = !matches!(connected, Ok(Ok(_)));
        let runs = self.shared().run_history.confirm(&engine, crashed);
        metrics::counter!(metric::RUNS_CUT_EARLY.name).increment(runs.len() as u64);
        for run in runs {
            tracing::info!(
                event = event::RUN_CUT_EARLY.id,
                upstream = %engine.id,
                %address,
                fingerprint = %run.fingerprint,
                organisation = %run.organisation,
                "engine crashed shortly after it began to run a request"
            );
        }
    }

    /// Adds the cut and harmless runs of this instance to a sync request. Returns the
    /// sequence number of the last cut run, for [`Self::acknowledge_runs`].
    pub(super) fn add_run_reports(&self, request: &mut SyncRequest) -> u64 {
        let (now, view) = (self.now(), self.view());
        let age = |at| micros(now.since(at));
        let mut shared = self.shared();
        let (last, cut) = shared.run_history.unreported(now);
        let cut = cut.into_iter().map(|c| CutRecord {
            engine: c.engine.id.to_string(),
            born: c.engine.born,
            fingerprint: c.fingerprint.bytes(),
            organisation: c.organisation.to_string(),
            age: age(c.at),
        });
        request.cut = cut.collect();
        let harmless = view.suspects().iter().filter_map(|fingerprint| {
            let at = shared.run_history.last_harmless(fingerprint)?;
            Some(HarmlessRecord {
                fingerprint: fingerprint.bytes(),
                age: age(at),
            })
        });
        request.harmless = harmless.collect();
        request.quarantine_checksum = view.quarantine_checksum();
        last
    }

    /// Records that a leader received the cut runs up to a sequence number.
    pub(super) fn acknowledge_runs(&self, reply: &SyncReply, last: u64) {
        self.shared().run_history.acknowledge(reply.term, last);
    }

    /// Removes the cut runs of requests whose quarantine was lifted.
    pub(super) fn forget_lifted(&self, before: &View, after: &View) {
        if before.quarantine_checksum() == after.quarantine_checksum() {
            return;
        }
        let history = &mut self.shared().run_history;
        let lifted = |f: &&Fingerprint| !after.is_quarantined(f);
        for fingerprint in before.quarantine().filter(lifted) {
            history.forget(fingerprint);
        }
    }
}
