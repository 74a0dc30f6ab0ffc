//! Detects requests that were cut off by engine crashes, and refuses quarantined ones.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Entry;
use super::attempt::Run;
use super::cause::is_cut;
use super::view::{CurrentReply, Upstream, View};
use crate::clock::micros;
use crate::decide::quarantine;
use crate::decide::refusal::Reason;
use crate::decide::run_history::{CutRequest, HARMLESS_EVENTS};
use crate::engine::Connection;
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::metric;
use crate::sync::{CutRecord, HarmlessRecord, SyncRequest};

/// Delay before probing an engine that cut off a run, since its listener may be closed
/// slightly later than its connections.
const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a request that is suspect for others' runs checks for their outcome.
const SUSPECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for connecting to a probed engine.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Run {
    /// Returns the reason for refusal if the request or a part of its prompt is quarantined.
    pub(super) fn quarantined(&self) -> Option<Reason> {
        let view = self.entry.view();
        // Saves the fingerprints of the parts.
        if view.quarantine_checksum() == 0 {
            return None;
        }
        let call = &self.call;
        let parts = call.prompt.fingerprints(&call.organisation);
        let quarantined = |f| Some((f, view.quarantined(self.entry.now(), &f)?));
        let all = std::iter::once(call.fingerprint).chain(parts);
        let found = all.filter_map(quarantined).max_by_key(|(_, left)| *left);
        found.map(|(cause, left)| Reason::Quarantined { cause, left })
    }

    /// Returns the request's fingerprint if it is suspected of crashing engines, by the leader or
    /// after a crash under this request, and is still restricted for it.
    pub(super) fn suspect(&self, view: &View) -> Option<&Fingerprint> {
        let suspect = self.suspicion.own || view.suspects().contains(&self.call.fingerprint);
        let restricted = suspect && !self.suspicion.unrestricted.load(Ordering::Relaxed);
        restricted.then_some(&self.call.fingerprint)
    }

    /// Makes the request suspect if it may have crashed `upstream`: the run was cut off without
    /// any event, and the upstream accepts no connection any more. Then waits for a turn among
    /// the suspects, so that at most one of this instance runs at a time.
    pub(super) async fn check_crash(&mut self, cause: &str, upstream: &Upstream) {
        // A plain upstream can be spared, and a short deadline leaves no time to wait.
        if self.model().is_none() || !is_cut(cause) || !self.is_silent() {
            return;
        }
        if !self.entry.has_crashed(&self.call.service, upstream).await {
            return;
        }
        self.suspicion.own = true;
        self.entry.report_due.notify_one();
        sleep(quarantine::suspect_delay(&self.call.fingerprint)).await;
        self.take_turn().await;
    }

    /// Makes a request suspect that was cut off without any event beside another attempt, which can't
    /// be interrupted for a check of the upstream.
    pub(super) fn suspect_unproven(&mut self) {
        self.suspicion.own |= self.model().is_some() && self.is_silent();
    }

    /// Delays a suspect request. One whose run was cut off by a crash takes a turn. Others wait for
    /// its outcome: each run of a request that crashes engines costs one.
    pub(super) async fn await_suspicion(&mut self) {
        if self.model().is_none() {
            return;
        }
        let is_suspect = |run: &Self| run.suspect(&run.entry.view()).is_some();
        if !self.suspicion.own {
            let began = self.entry.now();
            let limit = quarantine::suspect_limit(self.left());
            while is_suspect(self)
                && self.quarantined().is_none()
                && self.entry.now().since(began) < limit
            {
                sleep(SUSPECT_POLL_INTERVAL).await;
            }
        }
        if is_suspect(self) {
            self.take_turn().await;
        }
    }

    /// Waits until no other suspect of this instance runs, for at most
    /// [`quarantine::MAX_SUSPECT_WAIT`].
    async fn take_turn(&mut self) {
        if self.suspicion.turn.is_some() {
            return;
        }
        let turn = Arc::clone(&self.entry.suspect_turn).lock_owned();
        self.suspicion.turn = timeout(quarantine::MAX_SUSPECT_WAIT, turn).await.ok();
    }

    /// Whether the caller has no event of the current run, and the request hasn't proven harmless
    /// before.
    fn is_silent(&self) -> bool {
        let history = &self.entry.shared().run_history;
        self.events == 0 && history.last_harmless(&self.call.fingerprint).is_none()
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
        let request = CutRequest {
            fingerprint: self.call.fingerprint,
            organisation: Arc::clone(&self.call.organisation),
            prompt: Arc::clone(&self.call.prompt),
        };
        let (now, silent) = (self.entry.now(), self.is_silent());
        let history = &mut self.entry.shared().run_history;
        if history.record_cut(now, &engine, request, silent) {
            let entry = Arc::clone(&self.entry);
            let (service, upstream) = (self.call.service.clone(), upstream.clone());
            tokio::spawn(async move { entry.probe_engine(&service, &upstream).await });
        }
    }

    /// Records that the request did no harm to its upstream.
    pub(super) fn record_harmless(&mut self) {
        self.suspicion.turn = None;
        let now = self.entry.now();
        let history = &mut self.entry.shared().run_history;
        history.record_harmless(now, self.call.fingerprint, &self.call.prompt);
    }
}

impl Entry {
    /// Whether an engine that closed a connection accepts no new one either, and not only because
    /// this instance lost its links: other instances don't reach it, or this one reaches others.
    async fn has_crashed(self: &Arc<Self>, service: &str, upstream: &Upstream) -> bool {
        sleep(PROBE_DELAY).await;
        let source = self.boot.ip;
        let connected = Connection::open_from(source, upstream.address, PROBE_TIMEOUT).await;
        if connected.is_ok() {
            return false;
        }
        match self.check_via(service, upstream.key).await {
            Some(reached) => !reached,
            None => self.check_others(service, upstream.key).await != Some(false),
        }
    }

    /// Checks whether an engine that cut off runs has crashed.
    async fn probe_engine(self: &Arc<Self>, service: &str, upstream: &Upstream) {
        let engine = upstream.start();
        let crashed = self.has_crashed(service, upstream).await;
        let runs = self.shared().run_history.confirm(&engine, crashed);
        if !runs.is_empty() {
            self.report_due.notify_one();
        }
        metrics::counter!(metric::RUNS_CUT_EARLY.name).increment(runs.len() as u64);
        for run in runs {
            tracing::info!(
                event = event::RUN_CUT_EARLY.id,
                upstream = %engine.id,
                address = %upstream.address,
                fingerprint = %run.request.fingerprint,
                parts = run.request.prompt.ids(),
                organisation = %run.request.organisation,
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
            fingerprint: c.request.fingerprint.bytes(),
            organisation: c.request.organisation.to_string(),
            age: age(c.at),
            silent: c.silent,
            model: c.request.prompt.model.clone(),
            parts: c
                .request
                .prompt
                .parts
                .iter()
                .map(|p| p.id.to_string())
                .collect(),
        });
        request.cut = cut.collect();
        request.last_cut = last;
        let harmless = view.suspects().iter().filter_map(|fingerprint| {
            let at = shared.run_history.last_harmless_of_any(fingerprint)?;
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
    pub(super) fn acknowledge_runs(&self, current: &CurrentReply, last: u64) {
        let reply = current.reply();
        let last = reply.cut_received.unwrap_or(last);
        self.shared().run_history.acknowledge(reply.term, last);
    }

    /// Removes the cut runs of requests and parts whose quarantine was lifted.
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
