//! One request on its way through its attempts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response, StatusCode, Uri};
use tokio::time::timeout;

use super::Entry;
use super::body::Body;
use super::crash::is_cut;
use super::head;
use super::listen::{failure, quarantined, refuse};
use super::pool;
use super::reroute::Silence;
use super::select::{Chosen, Exclusions};
use super::view::of_service;
use crate::clock::{Time, millis};
use crate::configuration::{Model, RetryPolicy, Route, RoutingTable};
use crate::decide::health;
use crate::decide::load;
use crate::decide::path::Work;
use crate::decide::refusal::Reason;
use crate::decide::retry::{self, AttemptCounts, Failure, NextStep};
use crate::decide::view_wait;
use crate::engine::{Connection, Cutoff, UpstreamResponse};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::metric;
use crate::platform::headers;
use crate::sync::address_from_key;

/// Longest time to connect to an upstream. A connection takes one to two
/// milliseconds; a lost packet would be sent again after a second, and another
/// upstream can be asked sooner.
const CONNECT: Duration = Duration::from_millis(250);

/// Objectives for which the first sign of an answer is awaited, where the
/// request may be sent elsewhere. An engine that waits for a dead one behind it
/// says so only after seconds.
pub(super) const PATIENCE: u32 = 2;

/// Cause of a failure: an upstream takes no connection.
const NO_CONNECTION: &str = "connect";

/// Cause of a failure: an upstream closed the connection before the response head.
pub(super) const CUT: &str = "cut";

/// Cause of a failure: an engine of the path is dead.
pub(super) const DEAD_PART: &str = "dead_part";

/// Cause of a failure: an upstream refused at once.
pub(super) const REFUSED: &str = "refused";

/// A request that was looked up.
pub(super) struct Call {
    /// Id that the client gave this attempt of its own.
    pub(super) attempt: String,
    pub(super) fingerprint: Fingerprint,
    /// Name of the caller's organisation; empty on a route without API keys.
    pub(super) organisation: Arc<str>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// As upstreams get them, but for those that differ by attempt.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) work: Work,
    pub(super) began: Time,
    /// Time from `began` until the answer must be there.
    pub(super) time: Duration,
}

/// An attempt that was answered, as far as its head.
pub(super) struct Opened {
    pub(super) answer: UpstreamResponse,
    pub(super) chosen: Chosen,
}

/// Why there is no answer from an upstream.
pub(super) enum Final {
    /// It did not run.
    Refuse(Reason),
    /// It may have run.
    Fail,
    /// The time is over.
    Late,
    /// An upstream ran it and answered with a failure.
    Pass(Box<Opened>),
}

/// A request with what became of its attempts.
pub(super) struct Run {
    pub(super) entry: Arc<Entry>,
    pub(super) table: Arc<RoutingTable>,
    pub(super) call: Call,
    tries: AttemptCounts,
    /// Upstreams at which it failed.
    tried: Vec<u64>,
    /// The latest answer with an upstream's own failure.
    kept: Option<Box<Opened>>,
    /// See [`Run::is_ended`].
    pub(super) ended: AtomicBool,
    /// Id of the last event that the caller has, on a stream.
    pub(super) last: Option<u64>,
    /// Number of events with an id received in the current attempt, on a stream.
    pub(super) events: u64,
}

/// A caller that leaves drops the request at whatever it waits for.
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
            run = self.tries.may_have_run,
            idle = self.tries.not_run,
            last = self.last,
            draining = self.entry.gate.closed(),
            took_ms = millis(self.entry.now().since(self.call.began)),
            left_ms = millis(self.left()),
            "given up by its caller"
        );
    }
}

/// How one attempt ended.
pub(super) enum Outcome {
    Answered(Opened),
    /// The upstream's own failure, which may be tried elsewhere.
    Error(Opened),
    Failed {
        failure: Failure,
        /// Who is at fault, if known.
        culprit: Option<u64>,
        cause: &'static str,
    },
}

impl Run {
    pub(super) fn new(entry: Arc<Entry>, table: Arc<RoutingTable>, call: Call) -> Self {
        entry
            .shared()
            .allowance
            .record_request(call.began, &call.service);
        let last = head::number(&call.headers, headers::LAST_EVENT);
        Self {
            entry,
            table,
            call,
            tries: AttemptCounts::default(),
            tried: Vec::new(),
            kept: None,
            ended: AtomicBool::new(false),
            last,
            events: 0,
        }
    }

    /// Whether its end was counted and logged.
    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Time left.
    pub(super) fn left(&self) -> Duration {
        let passed = self.entry.now().since(self.call.began);
        self.call.time.saturating_sub(passed)
    }

    /// Makes attempts until one is answered with a usable head. Where all
    /// failed and one brought an upstream's own failure, that is handed on: it
    /// tells the caller more than that no answer came.
    pub(super) async fn open(&mut self) -> Result<Opened, Final> {
        let end = match self.attempts().await {
            Ok(opened) => return Ok(opened),
            Err(end) => end,
        };
        Err(self.kept.take().map_or(end, Final::Pass))
    }

    async fn attempts(&mut self) -> Result<Opened, Final> {
        loop {
            let left = self.left();
            if left.is_zero() {
                return Err(self.late());
            }
            if let Some(reason) = self.quarantined() {
                return Err(self.nowhere(reason));
            }
            if self.model().is_some() {
                self.entry.shared().loads.demand.record_request();
            }
            let found = match self.choose(0.0) {
                Ok(chosen) => Ok(chosen),
                Err(reason) => self.wait(reason).await,
            };
            // The request may have been quarantined while it waited.
            if let Some(reason) = self.quarantined() {
                return Err(self.nowhere(reason));
            }
            let full = matches!(found, Err(Reason::Full));
            let long = self.is_long();
            self.entry.shared().refused.record(full, long);
            let chosen = found.map_err(|reason| self.nowhere(reason))?;
            if !self.acquire_send(&chosen.upstream) {
                continue;
            }
            let first = chosen.upstream.key;
            let alone = chosen.path.is_none();
            let upstream = chosen.upstream.clone();
            self.events = 0;
            let outcome = match timeout(left, self.attempt(chosen)).await {
                Ok(outcome) => outcome,
                Err(_) => {
                    self.tries.record(Failure::Unknown);
                    return Err(Final::Late);
                }
            };
            match outcome {
                Outcome::Answered(opened) => return Ok(opened),
                Outcome::Error(opened) => {
                    self.tried.push(first);
                    self.kept = Some(Box::new(opened));
                    if self.fail(Failure::Answered, "upstream_error") != NextStep::Again {
                        return Err(Final::Fail);
                    }
                }
                Outcome::Failed {
                    failure,
                    culprit,
                    cause,
                } => {
                    // Nobody is known to be at fault, but where one upstream alone
                    // serves a request, another should be asked next.
                    if alone && culprit.is_none() {
                        self.tried.push(first);
                    }
                    if is_cut(cause) {
                        self.record_cut(&upstream);
                    }
                    self.blame(culprit, cause);
                    match self.fail(failure, cause) {
                        NextStep::Again => {}
                        NextStep::Refuse => return Err(Final::Refuse(Reason::NotRun)),
                        NextStep::Pass | NextStep::Fail if self.left().is_zero() => {
                            return Err(Final::Late);
                        }
                        NextStep::Pass | NextStep::Fail => return Err(Final::Fail),
                    }
                }
            }
        }
    }

    /// Chooses where the next attempt goes, after waiting for `waited` of the
    /// time that the request may wait.
    pub(super) fn choose(&self, waited: f64) -> Result<Chosen, Reason> {
        let view = self.entry.view();
        let mut work = self.call.work;
        // Of one that has begun, the caller may have a part of the answer.
        let begun = self.tries.may_have_run > 0 || self.last.is_some();
        let first = self.is_long() && self.entry.shared().refused.starves_long();
        if begun {
            let starting = view_wait::is_starting(self.entry.started, self.entry.now());
            work.obeys_quota = load::retry_obeys_quota(starting, waited);
        } else if !first && let Some(model) = self.model() {
            work.headroom = load::headroom(work.tokens(), model.usual_tokens(), waited);
            work.obeys_quota = true;
        }
        let exclusions = Exclusions {
            tried: &self.tried,
            suspect: self.suspect(&view),
        };
        self.entry
            .choose(&view, &self.call.service, self.model(), work, exclusions)
    }

    /// Whether the request is longer than usual ones of its model.
    fn is_long(&self) -> bool {
        let tokens = self.call.work.tokens();
        self.model().is_some_and(|m| tokens > m.usual_tokens())
    }

    /// Leaves an upstream out, for this request and for others.
    pub(super) fn blame(&mut self, culprit: Option<u64>, cause: &'static str) {
        let Some(culprit) = culprit else { return };
        self.tried.push(culprit);
        let now = self.entry.now();
        match cause {
            REFUSED if health::may_be_full(self.used(culprit)) => {
                self.entry.shared().health.record_refusal(now, culprit);
            }
            REFUSED | NO_CONNECTION | DEAD_PART => {
                self.entry.shared().health.record_unresponsive(now, culprit)
            }
            _ => self.entry.shared().health.record_failure(now, culprit),
        }
        tracing::info!(
            event = event::UPSTREAM_SUSPECTED.id,
            attempt = self.call.attempt,
            address = %address_from_key(culprit),
            cause,
            left_ms = millis(self.left()),
            "left out"
        );
    }

    /// Share of an engine's memory for requests that is booked.
    fn used(&self, engine: u64) -> Option<f64> {
        let view = self.entry.view();
        let upstreams = of_service(&view.services, &self.call.service);
        let upstream = upstreams.iter().find(|u| u.key == engine)?;
        let speed = pool::speed(upstream, self.model()?, &self.entry.shared().loads);
        Some(speed?.utilisation)
    }

    /// Counts a failed attempt and decides what comes next.
    pub(super) fn fail(&mut self, failure: Failure, cause: &'static str) -> NextStep {
        self.tries.record(failure);
        let route = &self.call.route;
        let left = self.left();
        let mut next = retry::next_step(
            route.retry_policy,
            route.attempts,
            self.tries,
            failure,
            left,
        );
        if next == NextStep::Again && self.may_crash_engine(cause) {
            next = retry::give_up(self.tries, failure);
        }
        if next == NextStep::Again {
            let now = self.entry.now();
            let entries = self.entry.view().entry_count();
            let allowance = &mut self.entry.shared().allowance;
            if !allowance.try_acquire(now, &self.call.service, entries) {
                next = retry::give_up(self.tries, failure);
            }
        }
        let failures = metric::FAILURES.name;
        metrics::counter!(failures, "cause" => cause, "next" => next.name()).increment(1);
        tracing::info!(
            event = event::ATTEMPT_FAILED.id,
            attempt = self.call.attempt,
            cause,
            ?failure,
            ?next,
            events = self.events,
            run = self.tries.may_have_run,
            idle = self.tries.not_run,
            left_ms = millis(left),
            last = self.last,
            "attempt failed"
        );
        next
    }

    fn late(&self) -> Final {
        match self.tries.may_have_run {
            0 => Final::Refuse(Reason::NotRun),
            _ => Final::Late,
        }
    }

    fn nowhere(&self, reason: Reason) -> Final {
        match self.tries.may_have_run {
            0 => Final::Refuse(reason),
            _ => Final::Fail,
        }
    }

    /// One attempt, up to the head of its answer.
    async fn attempt(&self, chosen: Chosen) -> Outcome {
        let first = chosen.upstream.key;
        let failed = |failure, cause| Outcome::Failed {
            failure,
            culprit: Some(first),
            cause,
        };
        let address = chosen.upstream.address.into();
        let Ok(connection) = Connection::open_within(address, CONNECT).await else {
            return failed(Failure::NotRun, NO_CONNECTION);
        };
        let request = self.request(&chosen);
        tracing::info!(
            event = event::ATTEMPT_SENT.id,
            attempt = self.call.attempt,
            fingerprint = %self.call.fingerprint,
            route = self.call.route.name,
            upstream = %chosen.upstream.id,
            path = chosen.path,
            left_ms = millis(self.left()),
            version = self.table.configuration.version,
            "sent"
        );
        let cutoff = Cutoff::new(None, Arc::clone(&self.entry.clock));
        let patience = match self.call.route.retry_policy {
            RetryPolicy::Never => self.left(),
            _ => self.call.route.objective * PATIENCE,
        };
        let sent = self.entry.now();
        let mut chosen = chosen;
        let answer = connection.send(request, &cutoff);
        match self.watch(answer, patience, &mut chosen).await {
            Ok(Ok(answer)) => self.judge(sent, Opened { answer, chosen }),
            Ok(Err(_)) => failed(Failure::Unknown, CUT),
            Err(Silence::Lost(culprit)) => Outcome::Failed {
                failure: Failure::Unknown,
                culprit: Some(culprit),
                cause: DEAD_PART,
            },
            Err(Silence::Unexplained) => Outcome::Failed {
                failure: Failure::Unknown,
                culprit: None,
                cause: "silent",
            },
        }
    }

    /// The model that serves the request, if its service has one.
    pub(super) fn model(&self) -> Option<&Model> {
        self.table.service(&self.call.service)?.model.as_ref()
    }

    /// The answer of this instance when no upstream has given one.
    pub(super) fn conclude(&self, end: &Final) -> Response<Body> {
        let (code, response) = match end {
            Final::Refuse(reason) => {
                let refused = self.entry.shared().refused.overall();
                let mut response = refuse(*reason, refused);
                if let Reason::Quarantined(_) = reason {
                    *response.body_mut() = quarantined(&self.call.fingerprint);
                }
                (reason.code(), response)
            }
            Final::Fail => {
                let reason = "the request may have run; no answer came";
                ("failed", failure(StatusCode::BAD_GATEWAY, reason))
            }
            Final::Late | Final::Pass(_) => {
                let reason = "the request may have run; its time is over";
                ("late", failure(StatusCode::GATEWAY_TIMEOUT, reason))
            }
        };
        self.count(code);
        tracing::info!(
            event = event::REQUEST_ENDED.id,
            attempt = self.call.attempt,
            fingerprint = %self.call.fingerprint,
            route = self.call.route.name,
            code,
            status = response.status().as_u16(),
            run = self.tries.may_have_run,
            idle = self.tries.not_run,
            took_ms = millis(self.entry.now().since(self.call.began)),
            "ended without an upstream's answer"
        );
        response
    }
}
