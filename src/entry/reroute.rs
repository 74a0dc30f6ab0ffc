//! Leads a silent request around the engine that holds it up.
//!
//! An engine of a pipeline that dies says nothing; everything that passes
//! through it stalls for seconds and is then cut off. The first engine tells on
//! request for which engine an attempt waits. If another one in the domain holds
//! the same layers, the attempt goes on there: only that part is read again.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use rand::RngExt;

use super::attempt::Run;
use super::select::Chosen;
use crate::decide::retry::Failure;
use crate::engine::call;
use crate::event;
use crate::platform::engine;
use crate::sync::{address_key, key_address};

/// Silence after which the first engine is asked. Its report lags by 200 ms;
/// events usually come every 30 to 80 ms.
pub(super) const QUIET: Duration = Duration::from_millis(260);

/// Period at which it is asked again.
pub(super) const AGAIN: Duration = Duration::from_millis(160);

/// Longest wait for a report or an order.
const ANSWER: Duration = Duration::from_millis(300);

/// What became of a silent attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rerouted {
    /// Nobody is known to hold it up.
    Waits,
    /// It goes on over another path.
    Done,
    /// It waits for this engine, and there is no way around.
    Lost(u64),
}

impl Run {
    /// Finds out what a silent attempt waits for, and leads it around.
    pub(super) async fn reroute(&self, chosen: &mut Chosen) -> Rerouted {
        if chosen.path.is_none() {
            return Rerouted::Waits;
        }
        let Some(culprit) = self.culprit(chosen).await else {
            return Rerouted::Waits;
        };
        let now = self.entry.now();
        self.entry.shared().health.failed(now, culprit);
        let Some(path) = chosen.detour(culprit, &self.model(), rand::rng().random()) else {
            return Rerouted::Lost(culprit);
        };
        let body = engine::repath(&self.call.attempt, &path.text);
        let status = self.ask(chosen, Request::post(engine::ORDER), body).await;
        let status = status.map(|a| a.0);
        let taken = matches!(status, Some(StatusCode::OK | StatusCode::ACCEPTED));
        tracing::info!(
            event = event::REQUEST_REROUTED.id,
            attempt = self.call.attempt,
            around = %key_address(culprit),
            path = path.text,
            status = status.map(|s| s.as_u16()),
            "rerouted"
        );
        if !taken {
            return Rerouted::Lost(culprit);
        }
        chosen.follow(path);
        Rerouted::Done
    }

    /// The engine of the path for which the attempt waits.
    async fn culprit(&self, chosen: &Chosen) -> Option<u64> {
        let now = self.entry.now();
        let dead = self.entry.shared().health.dead(now);
        if let Some(known) = dead.into_iter().find(|d| chosen.passes(*d)) {
            return Some(known);
        }
        let report = self.ask(chosen, Request::get(engine::REPORT), String::new());
        match report.await {
            Some((StatusCode::OK, report)) => {
                let address = engine::stalled_at(&report, &self.call.attempt)?;
                Some(address_key(address)).filter(|c| chosen.passes(*c))
            }
            // The first engine itself answers nothing.
            None => Some(chosen.upstream.key),
            Some(_) => None,
        }
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

/// How a silent attempt that couldn't be led around counts.
pub(super) const LOST: (Failure, &str) = (Failure::Unknown, "dead_part");
