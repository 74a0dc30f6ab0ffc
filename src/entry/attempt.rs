//! Runs a request as a series of attempts at upstreams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::CONTENT_TYPE;

use super::Entry;
use super::body::Body;
use super::call::{Call, Context};
use super::cause::{
    BLOCKED, CONNECT_TIMED_OUT, DEAD_ENGINE, NO_CONNECTION, NO_PROXY, PAUSED, REFUSED, is_cut,
    is_unconnected,
};
use super::event_buffer::{EventBuffer, Excess};
use super::head;
use super::pool;
use super::reroute::Stall;
use super::respond::{ErrorKind, error_response, quarantine_body, reject};
use super::retry::{GrantedRetry, RetryReason};
use super::select::{Exclusions, Selection};
use super::suspicion::Suspicion;
use super::view::{Upstream, of_service};
use crate::clock::millis;
use crate::configuration::{Model, RoutingTable};
use crate::decide::health;
use crate::decide::load;
use crate::decide::rank::Rank;
use crate::decide::refusal::{Reason, Rejection, Unsent};
use crate::decide::retry::{self, AttemptCounts, Failure, NextStep};
use crate::decide::stall::Silence;
use crate::decide::view_wait;
use crate::engine::UpstreamResponse;
use crate::event;
use crate::metric;
use crate::platform::headers;
use crate::sync::address_from_key;

/// Timeout for connecting to an upstream. Connecting takes 1 to 2 ms; a lost packet would be
/// sent again only after 1 s, and another upstream can be tried sooner.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Multiple of the route's objective after which an attempt without any sign of a response is
/// hedged, if the request may be sent elsewhere. An engine that waits for a dead one behind it
/// reports so only after seconds.
pub(super) const FIRST_BYTE_FACTOR: u32 = 2;

/// What was read of a response's body.
pub(super) enum Received {
    Bytes,
    /// The end of the body.
    End,
    /// The end of the connection within the body.
    Cut,
    /// More of an event than may be held.
    Excess(Excess),
}

/// A response whose head was received and whose body is still to be read.
pub(super) struct OpenResponse {
    pub(super) answer: UpstreamResponse,
    pub(super) selection: Selection,
    /// Start of the body, as far as it was read to see the first event.
    pub(super) buffer: EventBuffer,
}

impl OpenResponse {
    pub(super) fn new(answer: UpstreamResponse, selection: Selection) -> Self {
        Self {
            answer,
            selection,
            buffer: EventBuffer::default(),
        }
    }

    /// Reads the next bytes of the body into the buffer, and reroutes the attempt around an engine
    /// that blocks it. Returns an error each time that the attempt is stalled.
    pub(super) async fn read(
        &mut self,
        context: &Context,
        silence: &mut Silence,
    ) -> Result<Received, Stall> {
        let frame = self.answer.response.body_mut().frame();
        let progress = context.await_progress(frame, silence, &mut self.selection);
        Ok(match progress.await? {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                self.buffer.extend(&bytes);
                match self.buffer.count(&context.entry.body_memory).await {
                    Ok(()) => Received::Bytes,
                    Err(excess) => Received::Excess(excess),
                }
            }
            Some(Err(_)) => Received::Cut,
            None => Received::End,
        })
    }

    /// Whether the body is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        let kind = head::text(self.answer.response.headers(), CONTENT_TYPE.as_str());
        let events = kind.is_some_and(|k| k.starts_with("text/event-stream"));
        events && self.answer.response.status().is_success()
    }
}

/// Reason that a request ends without an upstream's response.
pub(super) enum RunError {
    /// No upstream ran the request.
    Rejected(Rejection),
    /// An upstream may have run the request.
    MayHaveRun,
    /// The deadline has passed; an upstream may have run the request.
    TimedOut,
    /// An upstream ran the request and answered with a server error.
    UpstreamError(Box<OpenResponse>),
}

/// A request and the state of its attempts.
pub(super) struct Run {
    pub(super) entry: Arc<Entry>,
    pub(super) table: Arc<RoutingTable>,
    pub(super) call: Arc<Call>,
    pub(super) attempts: AttemptCounts,
    /// Upstreams at which the request failed or is silent; they are not tried again.
    pub(super) failed_upstreams: Vec<u64>,
    /// Those of `failed_upstreams` to which a connection of this instance failed.
    pub(super) unreached: Vec<u64>,
    /// The latest server error from an upstream.
    pub(super) upstream_error: Option<Box<OpenResponse>>,
    /// See [`Run::is_ended`].
    pub(super) ended: AtomicBool,
    /// Id of the last event that the caller has, on a stream.
    pub(super) last_event: Option<u64>,
    /// Number of events with an id received in the current attempt, on a stream.
    pub(super) events: u64,
    pub(super) suspicion: Suspicion,
    /// A granted retry for the next attempt.
    pub(super) retry: Option<GrantedRetry>,
}

/// Records a request whose future was dropped: its caller disconnected, or the instance ended.
impl Drop for Run {
    fn drop(&mut self) {
        if self.is_ended() {
            return;
        }
        self.count("caller_left");
        tracing::info!(
            event = event::REQUEST_ABANDONED.id,
            attempt = self.call.attempt,
            route = self.call.route.name,
            run = self.attempts.may_have_run(),
            idle = self.attempts.not_run(),
            last = self.last_event,
            draining = self.entry.gate.is_closed(),
            took_ms = millis(self.entry.now().since(self.call.began)),
            left_ms = millis(self.left()),
            "request abandoned"
        );
    }
}

/// Result of one attempt.
pub(super) enum Outcome {
    Answered(Box<OpenResponse>),
    /// A server error of the upstream; the request may be tried elsewhere.
    UpstreamError(Box<OpenResponse>),
    Failed {
        failure: Failure,
        /// Upstream at fault, if known.
        culprit: Option<u64>,
        cause: &'static str,
    },
}

impl Run {
    pub(super) fn new(
        entry: Arc<Entry>,
        table: Arc<RoutingTable>,
        call: Call,
        unsent: Unsent,
    ) -> Self {
        entry
            .shared()
            .retry_budget
            .record_request(call.began, &call.service);
        let last_event = head::number(&call.headers, headers::LAST_EVENT_ID);
        Self {
            entry,
            table,
            call: Arc::new(call),
            attempts: AttemptCounts::new(unsent),
            failed_upstreams: Vec::new(),
            unreached: Vec::new(),
            upstream_error: None,
            ended: AtomicBool::new(false),
            last_event,
            events: 0,
            suspicion: Suspicion::default(),
            retry: None,
        }
    }

    /// Whether the end of the request was counted and logged.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// What all attempts for the request share.
    pub(super) fn context(&self) -> Context {
        Context {
            entry: Arc::clone(&self.entry),
            table: Arc::clone(&self.table),
            call: Arc::clone(&self.call),
        }
    }

    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.call.left(self.entry.now())
    }

    /// Returns whether the request may be sent again, and if so, counts a retry unless it has one
    /// that was not sent.
    pub(super) fn acquire_retry(&mut self, reason: RetryReason) -> bool {
        if self.retry.is_none() {
            self.retry = GrantedRetry::acquire(&self.context(), reason);
        }
        self.retry.is_some()
    }

    /// Lets the request enter upstreams again to which connections failed, once they are reached
    /// through other instances.
    pub(super) fn retry_unreached(&mut self) {
        let (entry, service) = (&self.entry, &self.call.service);
        let carried = self
            .unreached
            .extract_if(.., |u| entry.must_carry(service, *u));
        for upstream in carried {
            self.failed_upstreams.retain(|u| *u != upstream);
        }
    }

    /// Selects where the next attempt goes. `waited` is the elapsed share of the time that the
    /// request may wait.
    pub(super) fn choose(&self, waited: f64) -> Result<Selection, Reason> {
        let view = self.entry.view();
        let mut work = self.call.work;
        let begun = self.has_begun();
        let starved = self.is_long() && self.entry.shared().refusals.starves_long();
        if begun {
            let starting = view_wait::is_starting(self.entry.started, self.entry.now());
            work.obeys_quota = load::retry_obeys_quota(starting, waited);
        } else if !starved && let Some(model) = self.model() {
            work.headroom = load::headroom(work.tokens(), model.usual_tokens(), waited);
            work.obeys_quota = true;
        }
        // Also for a long request that takes precedence: it does so within its rank.
        if !begun {
            work.headroom += self.reserve();
        }
        let exclusions = Exclusions {
            failed: &self.failed_upstreams,
            suspect: self.suspect(&view),
            rank: self.call.rank,
            begun,
        };
        self.entry
            .choose(&view, &self.call.service, self.model(), work, exclusions)
    }

    /// Whether the caller may already have a part of the response.
    pub(super) fn has_begun(&self) -> bool {
        self.attempts.may_have_run() > 0 || self.last_event.is_some()
    }

    /// Whether the request has more tokens than is usual for its model.
    pub(super) fn is_long(&self) -> bool {
        let tokens = self.call.work.tokens();
        self.model().is_some_and(|m| tokens > m.usual_tokens())
    }

    /// Excludes an upstream from further attempts of this request, and marks it unhealthy for
    /// other requests.
    pub(super) fn exclude_upstream(&mut self, culprit: Option<u64>, cause: &'static str) {
        let Some(culprit) = culprit else { return };
        let now = self.entry.now();
        match cause {
            // The evidence, if it is this instance's own, was recorded when the attempt stalled.
            BLOCKED => {}
            // The pause that it asked for was recorded with the response.
            PAUSED => {}
            REFUSED if health::may_be_full(self.utilisation(culprit)) => {
                self.entry.shared().health.record_refusal(now, culprit);
            }
            CONNECT_TIMED_OUT => {
                self.entry.record_silent(&self.call.service, culprit);
            }
            REFUSED | NO_CONNECTION | DEAD_ENGINE => {
                self.entry.shared().health.record_unresponsive(now, culprit)
            }
            _ => self.entry.shared().health.record_failure(now, culprit),
        }
        self.failed_upstreams.push(culprit);
        if is_unconnected(cause) || is_cut(cause) {
            self.unreached.push(culprit);
        }
        tracing::info!(
            event = event::UPSTREAM_SUSPECTED.id,
            attempt = self.call.attempt,
            address = %address_from_key(culprit),
            cause,
            left_ms = millis(self.left()),
            "upstream excluded"
        );
    }

    /// Share of an engine's memory for requests that is booked; `None` while this instance starts,
    /// since it knows only a part of the load then.
    fn utilisation(&self, engine: u64) -> Option<f64> {
        if view_wait::is_starting(self.entry.started, self.entry.now()) {
            return None;
        }
        let view = self.entry.view();
        let upstreams = of_service(&view.services, &self.call.service);
        let upstream = upstreams.iter().find(|u| u.key == engine)?;
        let speed = pool::speed(upstream, self.model()?, &self.entry.shared().loads);
        Some(speed?.utilisation)
    }

    /// Returns what may follow a failed or silent attempt, apart from the retry budget.
    pub(super) fn next_step(&self, failure: Failure) -> NextStep {
        let (route, left) = (&self.call.route, self.left());
        retry::next_step(
            route.retry_policy,
            route.attempts,
            self.attempts,
            failure,
            left,
        )
    }

    /// Records a failed attempt and decides on the next step.
    pub(super) fn record_failure(
        &mut self,
        failure: Failure,
        cause: &'static str,
        upstream: &Upstream,
    ) -> NextStep {
        self.attempts.record_failure(failure);
        let left = self.left();
        let mut next = self.next_step(failure);
        if next == NextStep::Again && (self.may_crash_engine(cause) || cause == NO_PROXY) {
            next = retry::give_up(self.attempts, failure);
        }
        // A request that reached no upstream adds nothing to their load.
        if next == NextStep::Again
            && !is_unconnected(cause)
            && !self.acquire_retry(RetryReason::Failed)
        {
            next = retry::give_up(self.attempts, failure);
        }
        let failures = metric::FAILED_ATTEMPTS.name;
        metrics::counter!(failures, "cause" => cause, "next" => next.name()).increment(1);
        tracing::info!(
            event = event::ATTEMPT_FAILED.id,
            attempt = self.call.attempt,
            upstream = %upstream.id,
            cause,
            ?failure,
            ?next,
            events = self.events,
            run = self.attempts.may_have_run(),
            idle = self.attempts.not_run(),
            left_ms = millis(left),
            last = self.last_event,
            "attempt failed"
        );
        next
    }

    pub(super) fn timed_out(&self) -> RunError {
        self.reject_or(Reason::NotRun, RunError::TimedOut)
    }

    pub(super) fn unsent(&self, reason: Reason) -> RunError {
        self.reject_or(reason, RunError::MayHaveRun)
    }

    /// Rejects the request, or ends it with `end` if an attempt may have run.
    fn reject_or(&self, reason: Reason, end: RunError) -> RunError {
        let rejection = self.attempts.reject(reason);
        rejection.map_or(end, RunError::Rejected)
    }

    /// The model that serves the request, if its service has one.
    pub(super) fn model(&self) -> Option<&Model> {
        self.table.service(&self.call.service)?.model.as_ref()
    }

    /// Builds this instance's response to a request that ended without an upstream's.
    pub(super) fn final_response(&self, end: &RunError) -> Response<Body> {
        let mut part = None;
        let (code, response) = match end {
            RunError::Rejected(rejection) => {
                let reason = rejection.reason();
                let mut response = reject(*rejection, self.refused_fraction());
                if let Reason::Quarantined { cause, .. } = reason {
                    let found = self.call.prompt.part(&cause, &self.call.organisation);
                    part = found.map(|p| &*p.id);
                    *response.body_mut() = quarantine_body(&cause, part);
                }
                (reason.code(), response)
            }
            RunError::MayHaveRun => {
                let reason = "the request may have run; no answer came";
                ("failed", error_response(ErrorKind::BadGateway, reason))
            }
            RunError::TimedOut | RunError::UpstreamError(_) => {
                let reason = "the request may have run; its time is over";
                ("late", error_response(ErrorKind::GatewayTimeout, reason))
            }
        };
        self.count(code);
        tracing::info!(
            event = event::REQUEST_ENDED.id,
            attempt = self.call.attempt,
            fingerprint = %self.call.fingerprint,
            part,
            route = self.call.route.name,
            rank = self.call.rank.map(Rank::index),
            code,
            status = response.status().as_u16(),
            run = self.attempts.may_have_run(),
            idle = self.attempts.not_run(),
            took_ms = millis(self.entry.now().since(self.call.began)),
            "ended without an upstream response"
        );
        response
    }
}
