//! Leads a silent request around the engine that holds it up.
//!
//! An engine of a pipeline that dies says nothing; everything that passes
//! through it stalls for seconds and is then cut off. The first engine tells on
//! request for which engine an attempt waits. If another one in the domain holds
//! the same layers, the attempt goes on there: only that part is read again.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::attempt::{DEAD_PART, Run};
use super::select::Chosen;
use super::view::of_service;
use crate::configuration::RetryPolicy;
use crate::decide::health::HealthStatus;
use crate::decide::stall::{StallTimer, Step};
use crate::engine::call;
use crate::event;
use crate::metric;
use crate::platform::engine as order;
use crate::sync::{address_from_key, address_key};

/// Longest wait for a report or an order.
const ANSWER: Duration = Duration::from_millis(300);

/// Why what was awaited didn't come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// Nobody is known to be at fault.
    Unexplained,
    /// The attempt waits for this engine, and there is no way around.
    Lost(u64),
}

impl Run {
    /// Awaits a sign of an attempt for at most `patience`, and leads the
    /// attempt around an engine that holds it up.
    pub(super) async fn watch<F: Future>(
        &self,
        sign: F,
        patience: Duration,
        chosen: &mut Chosen,
    ) -> Result<F::Output, Silence> {
        let mut sign = pin!(sign);
        let since = self.entry.now();
        // What may not run again, or has one upstream only, can't be helped.
        let helped = self.call.route.retry_policy != RetryPolicy::Never && chosen.path.is_some();
        let mut patience = StallTimer::new(patience, helped);
        let mut wait = patience.next_wait(Duration::ZERO).unwrap_or_default();
        loop {
            if let Ok(output) = timeout(wait, sign.as_mut()).await {
                return Ok(output);
            }
            let waited = self.entry.now().since(since);
            match patience.step(waited) {
                Step::Avoid if self.avoid_dead(chosen).await => patience.record_reroute(),
                Step::Ask => {
                    if let Some(culprit) = self.reroute(chosen).await {
                        return Err(Silence::Lost(culprit));
                    }
                }
                Step::Avoid | Step::Wait => {}
            }
            let Some(next) = patience.next_wait(waited) else {
                return Err(Silence::Unexplained);
            };
            wait = next;
        }
    }

    /// Leads an attempt around an engine that is known to be dead before the first
    /// engine can tell of it. Returns whether it tried.
    ///
    /// The first engine's report lags by 200 ms: when it names the dead one, the caller
    /// has seen too long a pause already. But new requests that would pass through it
    /// are refused within milliseconds.
    async fn avoid_dead(&self, chosen: &mut Chosen) -> bool {
        let Some(dead) = self.known_dead(chosen) else {
            return false;
        };
        self.lead_around(&[dead], chosen, DEAD_PART).await;
        true
    }

    /// Finds out what a silent attempt waits for, and leads it around. Returns
    /// the engine for which it waits if there is no way around.
    async fn reroute(&self, chosen: &mut Chosen) -> Option<u64> {
        let culprit = self.culprit(chosen).await?;
        let now = self.entry.now();
        self.entry.shared().health.record_unresponsive(now, culprit);
        let done = self.lead_around(&[culprit], chosen, DEAD_PART).await;
        (!done).then_some(culprit)
    }

    /// Orders an attempt to go on over others than some of its engines. Returns
    /// whether it does.
    pub(super) async fn lead_around(
        &self,
        engines: &[u64],
        chosen: &mut Chosen,
        cause: &'static str,
    ) -> bool {
        let detour = |model| chosen.detour(&self.call.service, engines, model);
        let Some(path) = self.model().and_then(detour) else {
            return false;
        };
        let body = order::repath(&self.call.attempt, &path.text);
        let status = self.ask(chosen, Request::post(order::ORDER), body).await;
        let status = status.map(|a| a.0);
        let taken = order::is_taken(status);
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
            chosen.follow(path);
        }
        taken
    }

    /// The engine of the path for which the attempt waits.
    async fn culprit(&self, chosen: &Chosen) -> Option<u64> {
        if let Some(dead) = self.known_dead(chosen) {
            return Some(dead);
        }
        let report = self.ask(chosen, Request::get(order::REPORT), String::new());
        match report.await {
            Some((StatusCode::OK, report)) => {
                let address = order::stalled_at(&report, &self.call.attempt)?;
                Some(address_key(address)).filter(|c| chosen.passes(*c))
            }
            // The first engine itself answers nothing.
            None => Some(chosen.upstream.key),
            Some(_) => None,
        }
    }

    /// An engine of the path that was found dead here, or by several instances.
    fn known_dead(&self, chosen: &Chosen) -> Option<u64> {
        let now = self.entry.now();
        let view = self.entry.view();
        let upstreams = of_service(&view.services, &self.call.service);
        let told = upstreams.iter().filter(|u| u.suspected).map(|u| u.key);
        let health = &self.entry.shared().health;
        // One that is only failing may be used, and may just be slow now.
        let is_dead = |d: &u64| health.status(now, *d, false) == HealthStatus::Dead;
        let found = health.dead(now).into_iter().filter(is_dead);
        found.chain(told).find(|d| chosen.passes(*d))
    }

    async fn ask(
        &self,
        chosen: &Chosen,
        request: hyper::http::request::Builder,
        body: String,
    ) -> Option<(StatusCode, Bytes)> {
        let (address, id) = (chosen.upstream.address.into(), &*chosen.upstream.id);
        call(address, id, request, body.into(), ANSWER).await
    }
}
