//! Reroutes a stalled attempt around the engine that blocks it.
//!
//! A dead engine of a pipeline sends nothing: everything that passes through it stalls for
//! seconds and is then cut off. The first engine reports on request which engine an attempt
//! waits for. If another engine of the domain holds the same layers, the attempt continues
//! there, and only that part of the prompt processing is repeated.

use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::call::Context;
use super::cause::DEAD_ENGINE;
use super::select::Selection;
use super::view::of_service;
use crate::configuration::RetryPolicy;
use crate::decide::health::HealthStatus;
use crate::decide::silence::Verdict;
use crate::decide::stall::{Silence, Step};
use crate::engine::{call_request, exchange};
use crate::event;
use crate::metric;
use crate::platform::engine as order;
use crate::sync::{address_from_key, address_key};

/// Timeout of a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Cause of a stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stall {
    /// No engine is known to be at fault.
    Unknown,
    /// The attempt waits for this engine, and no path leads around it.
    DeadEngine(u64),
}

/// What was learnt about a silent attempt.
enum Inquiry<T> {
    /// It has made progress.
    Progress(T),
    /// It waits for this engine.
    Culprit(u64),
    Nothing,
}

impl Context {
    /// Awaits the progress of an attempt, and reroutes the attempt around an engine that blocks it.
    /// Returns an error each time that it is stalled; it may still make progress after that.
    pub(super) async fn await_progress<F: Future>(
        &self,
        progress: F,
        silence: &mut Silence,
        selection: &mut Selection,
    ) -> Result<F::Output, Stall> {
        let mut progress = pin!(progress);
        loop {
            let Some(wait) = silence.next_wait() else {
                silence.record_stall();
                return Err(Stall::Unknown);
            };
            let began = self.entry.now();
            if let Ok(output) = timeout(wait, progress.as_mut()).await {
                return Ok(output);
            }
            let asked = self.entry.now();
            silence.record_wait(wait, asked.since(began));
            match silence.step() {
                Step::Avoid if self.avoid_known_dead(selection).await => silence.record_reroute(),
                Step::Ask => match self.find_culprit(progress.as_mut(), selection).await {
                    Inquiry::Progress(output) => return Ok(output),
                    Inquiry::Culprit(culprit) if !self.leave(culprit, selection).await => {
                        silence.record_stall();
                        return Err(Stall::DeadEngine(culprit));
                    }
                    Inquiry::Culprit(_) | Inquiry::Nothing => {}
                },
                Step::Avoid | Step::Wait => {}
            }
            silence.record_wait(CALL_TIMEOUT, self.entry.now().since(asked));
        }
    }

    /// Whether an attempt can be rerouted: not one that may not be repeated, or that has a single
    /// upstream.
    pub(super) fn can_reroute(&self, selection: &Selection) -> bool {
        self.call.route.retry_policy != RetryPolicy::Never && selection.path.is_some()
    }

    /// Reroutes an attempt around an engine that is known to be dead before the first engine can
    /// report it. Returns whether it tried.
    ///
    /// The first engine's report lags by 200 ms, and waiting for it would make the caller's pause
    /// too long. The death is known sooner, because new requests that would pass through the dead
    /// engine are refused within milliseconds.
    async fn avoid_known_dead(&self, selection: &mut Selection) -> bool {
        let Some(dead) = self.known_dead(selection) else {
            return false;
        };
        self.reroute_around(&[dead], selection, DEAD_ENGINE).await;
        true
    }

    /// Finds out which engine a silent attempt waits for, unless the attempt makes progress first.
    async fn find_culprit<F: Future>(
        &self,
        progress: Pin<&mut F>,
        selection: &Selection,
    ) -> Inquiry<F::Output> {
        if let Some(dead) = self.known_dead(selection) {
            return Inquiry::Culprit(dead);
        }
        let found = tokio::select! {
            biased;
            output = progress => return Inquiry::Progress(output),
            found = self.stalled_engine(selection) => found,
        };
        let Some(culprit) = found else {
            return Inquiry::Nothing;
        };
        // Only own evidence counts: if an engine that is dead by hearsay were recorded and
        // reported as well, the reports of a few instances would sustain each other.
        match self.entry.record_silent(&self.call.service, culprit) {
            Verdict::Evidence => Inquiry::Culprit(culprit),
            Verdict::Shared { .. } => Inquiry::Nothing,
        }
    }

    /// Reroutes an attempt around the engine that it waits for. Returns whether it succeeded.
    async fn leave(&self, culprit: u64, selection: &mut Selection) -> bool {
        self.reroute_around(&[culprit], selection, DEAD_ENGINE)
            .await
    }

    /// Orders an attempt to continue without some of its engines. Returns whether the order
    /// was accepted.
    pub(super) async fn reroute_around(
        &self,
        engines: &[u64],
        selection: &mut Selection,
        cause: &'static str,
    ) -> bool {
        let detour = |model| selection.detour(&self.call.service, engines, model);
        let Some(path) = self.model().and_then(detour) else {
            return false;
        };
        let body = order::reroute_order(&self.call.attempt, &path.text);
        let status = self
            .call_engine(selection, Request::post(order::ORDER), body)
            .await;
        let status = status.map(|a| a.0);
        let taken = order::is_accepted(status);
        let label = if taken { "yes" } else { "no" };
        metrics::counter!(metric::REROUTES.name, "cause" => cause, "taken" => label).increment(1);
        tracing::info!(
            event = event::REQUEST_REROUTED.id,
            attempt = self.call.attempt,
            around = ?engines.iter().map(|e| address_from_key(*e)).collect::<Vec<_>>(),
            cause,
            path = path.text,
            status = status.map(|s| s.as_u16()),
            "rerouted"
        );
        if taken {
            selection.switch_to(path);
        }
        taken
    }

    /// Asks the first engine for the engine of the path that the attempt waits for.
    async fn stalled_engine(&self, selection: &Selection) -> Option<u64> {
        let (service, first) = (&self.call.service, selection.upstream.key);
        let report = self.call_engine(selection, Request::get(order::REPORT), String::new());
        match report.await {
            Some((StatusCode::OK, report)) => {
                let address = order::stalled_at(&report, &self.call.attempt)?;
                Some(address_key(address)).filter(|c| selection.passes_through(*c))
            }
            // Nothing is known of the engine: the links of this instance are lost.
            None if selection.via.is_none() && self.entry.must_carry(service, first) => None,
            None if !self.entry.may_send(&selection.upstream) => None,
            // The first engine itself doesn't respond.
            None => Some(first),
            Some(_) => None,
        }
    }

    /// Returns an engine of the path that this instance found dead, or that several instances
    /// suspect.
    fn known_dead(&self, selection: &Selection) -> Option<u64> {
        let now = self.entry.now();
        let view = self.entry.view();
        let upstreams = of_service(&view.services, &self.call.service);
        let suspected = upstreams.iter().filter(|u| u.suspected).map(|u| u.key);
        let health = &self.entry.shared().health;
        // A failing engine may still be used, and may only be slow now.
        let is_dead = |d: &u64| health.status(now, *d, false) == HealthStatus::Dead;
        let found = health.dead(now).into_iter().filter(is_dead);
        found
            .chain(suspected)
            .find(|d| selection.passes_through(*d))
    }

    /// Calls the first engine of the path, on the way that the attempt took.
    async fn call_engine(
        &self,
        selection: &Selection,
        request: hyper::http::request::Builder,
        body: String,
    ) -> Option<(StatusCode, Bytes)> {
        let (entry, first) = (&self.entry, &selection.upstream);
        if !entry.may_send(first) {
            return None;
        }
        let request = call_request(first.address.into(), &first.id, request, body.into());
        let call = async {
            if let Some(via) = &selection.via {
                let service = &self.call.service;
                return entry.call_via(via, service, first, request).await;
            }
            let service = &self.call.service;
            let Ok(connection) = entry.dial(first.address).await else {
                entry.record_unreached(service, first.key);
                return None;
            };
            let at = entry.now();
            let (head, body) = exchange(connection, request).await?;
            entry.record_reached(service, first.key, at);
            Some((head.status, body))
        };
        timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }
}
