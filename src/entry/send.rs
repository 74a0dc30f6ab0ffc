//! Sends one attempt to its upstream: itself, or through another instance while this one doesn't
//! reach the upstreams of the service.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use super::attempt::{FIRST_BYTE_FACTOR, OpenResponse, Outcome, Received, Run};
use super::call::Context;
use super::cause::{
    CONNECT_TIMED_OUT, CUT, GARBAGE, LONG_HEAD, NO_CONNECTION, NO_PROXY, PROXY_LOST,
};
use super::head;
use super::hedge::{Ended, Stalled};
use super::proxy::{Carried, Refusal, Via};
use super::reroute::Stall;
use super::retry::GrantedRetry;
use super::select::Selection;
use crate::clock::millis;
use crate::configuration::RetryPolicy;
use crate::decide::retry::Failure;
use crate::decide::stall::Silence;
use crate::engine::{Connection, Cutoff, EngineError};
use crate::event;
use crate::id::InstanceId;

/// Maximum number of instances that an attempt asks to carry it. Each of them refuses at once or
/// within [`super::attempt::CONNECT_TIMEOUT`].
const MAX_ASKED: usize = 3;

/// Number of instances that must fail to connect to an upstream before it counts as unresponsive.
/// One alone may have lost its links as well.
const MIN_WITNESSES: usize = 2;

/// A failed attempt.
fn failed(failure: Failure, culprit: Option<u64>, cause: &'static str) -> Outcome {
    Outcome::Failed {
        failure,
        culprit,
        cause,
    }
}

/// One attempt. Others may run beside it, so it shares nothing that changes with [`Run`].
pub(super) struct Attempt {
    pub(super) context: Context,
    /// Id of the last event that the caller had when the attempt began, on a stream.
    pub(super) last_event: Option<u64>,
    /// The retry that granted the attempt; `None` for the first.
    retry: Option<GrantedRetry>,
    /// Reports each stall of the attempt. The receiver is dropped once a response is chosen.
    stalls: mpsc::UnboundedSender<Stalled>,
}

impl Attempt {
    pub(super) fn new(
        run: &Run,
        retry: Option<GrantedRetry>,
        stalls: mpsc::UnboundedSender<Stalled>,
    ) -> Self {
        Self {
            context: run.context(),
            last_event: run.last_event,
            retry,
            stalls,
        }
    }

    /// Makes the attempt, up to the first event of a stream that may be resumed, or else up to the
    /// response head.
    pub(super) async fn make(self, selection: Selection) -> Ended {
        let upstream = selection.upstream.clone();
        let is_path = selection.path.is_some();
        let outcome = match self.send_to(selection).await {
            Outcome::Answered(opened) if self.awaits_event(&opened) => {
                self.await_first_event(opened).await
            }
            outcome => outcome,
        };
        Ended {
            upstream,
            is_path,
            outcome,
            retry: self.retry,
        }
    }

    /// Makes the attempt, up to the response head.
    async fn send_to(&self, selection: Selection) -> Outcome {
        let (service, first) = (&self.context.call.service, selection.upstream.key);
        if !self.context.entry.must_carry(service, first) {
            let error = match self.connect(&selection).await {
                Ok(connection) => return self.send(connection, selection).await,
                Err(error) => error,
            };
            if !self.context.entry.must_carry(service, first) {
                let timed_out = matches!(error, EngineError::ConnectTimeout);
                let cause = if timed_out {
                    CONNECT_TIMED_OUT
                } else {
                    NO_CONNECTION
                };
                return failed(Failure::NotRun, Some(first), cause);
            }
        }
        let selection = match self.send_carried(selection).await {
            Ok(outcome) => return outcome,
            Err(selection) => selection,
        };
        // Where no other instance carries it, what failed may not have been the links.
        match self.connect(&selection).await {
            Ok(connection) => self.send(connection, *selection).await,
            Err(_) => failed(Failure::NotRun, None, NO_PROXY),
        }
    }

    /// Connects to the upstream of an attempt.
    async fn connect(&self, selection: &Selection) -> Result<Connection, EngineError> {
        let upstream = &selection.upstream;
        let opened = self.context.entry.dial(upstream.address).await;
        if opened.is_err() {
            self.context
                .entry
                .record_unreached(&self.context.call.service, upstream.key);
        }
        opened
    }

    /// Sends the attempt on a connection to its upstream.
    async fn send(&self, connection: Connection, mut selection: Selection) -> Outcome {
        let (service, first) = (&self.context.call.service, selection.upstream.key);
        let upstream = selection.upstream.clone();
        let request = self.request(&selection);
        self.record_sent();
        self.log_sent(&selection, None);
        let cutoff = Cutoff::new(None, Arc::clone(&self.context.entry.clock));
        let sent = self.context.entry.now();
        let answer = connection.send(request, &cutoff);
        match self.await_answer(answer, &mut selection, |_| ()).await {
            Ok(answer) => {
                self.context.entry.record_reached(service, first, sent);
                self.classify(sent, OpenResponse::new(answer, selection))
            }
            Err(EngineError::NotFinal { .. }) => failed(Failure::Unknown, Some(first), GARBAGE),
            Err(EngineError::LongHead) => failed(Failure::Unknown, Some(first), LONG_HEAD),
            Err(_) => {
                self.context.entry.check_link(service, &upstream);
                // An upstream that is out of reach isn't to blame.
                let culprit = (!self.context.entry.must_carry(service, first)).then_some(first);
                failed(Failure::Unknown, culprit, CUT)
            }
        }
    }

    /// Awaits the first sign of a response, and reports each stall until then.
    async fn await_answer<F: Future>(
        &self,
        answer: F,
        selection: &mut Selection,
        on_stall: impl Fn(Stall),
    ) -> F::Output {
        let mut answer = pin!(answer);
        let mut silence = self.silence(selection);
        loop {
            let progress = self
                .context
                .await_progress(answer.as_mut(), &mut silence, selection);
            match progress.await {
                Ok(answer) => return answer,
                Err(stall) => {
                    on_stall(stall);
                    self.report(stall, selection);
                }
            }
        }
    }

    /// Whether the response is a stream that may be resumed, so that another attempt can take its
    /// place until it gives an event.
    fn awaits_event(&self, opened: &OpenResponse) -> bool {
        self.context.call.route.retry_policy != RetryPolicy::Never && opened.is_stream()
    }

    /// Reads a stream up to its first event.
    async fn await_first_event(&self, mut opened: Box<OpenResponse>) -> Outcome {
        let first = opened.selection.upstream.key;
        let mut silence = self.silence(&opened.selection);
        let is_framed = head::is_framed(opened.answer.response.headers());
        let may_be_empty = self.last_event.is_some() && is_framed;
        while !opened.buffer.has_event() {
            match opened.read(&self.context, &mut silence).await {
                Ok(Received::Excess(excess)) => {
                    return failed(Failure::Unknown, Some(first), excess.cause());
                }
                Ok(Received::Bytes) => {}
                Ok(Received::End) if may_be_empty && opened.buffer.is_empty() => break,
                Ok(_) => return failed(Failure::Unknown, Some(first), "cut_stream"),
                Err(stall) => self.report(stall, &opened.selection),
            }
        }
        Outcome::Answered(opened)
    }

    /// Silence of an attempt that has just begun, or that has just given a sign.
    fn silence(&self, selection: &Selection) -> Silence {
        Silence::new(self.stall_timeout(), self.context.can_reroute(selection))
    }

    fn report(&self, stall: Stall, selection: &Selection) {
        let first = selection.upstream.key;
        let _ = self.stalls.send(Stalled { first, stall });
    }

    /// Records that the attempt is sent, if it is a retry.
    fn record_sent(&self) {
        if let Some(retry) = &self.retry {
            retry.record_sent();
        }
    }

    /// Sends the attempt through another instance; asks several in turn until one carries it.
    /// Returns the selection if none does.
    async fn send_carried(&self, mut selection: Selection) -> Result<Outcome, Box<Selection>> {
        let first = selection.upstream.key;
        let mut asked: Vec<InstanceId> = Vec::new();
        let mut witnesses = 0;
        while asked.len() < MAX_ASKED {
            let Some(via) = self.context.entry.take_proxy(&asked) else {
                break;
            };
            asked.push(via.id);
            let request = self.request(&selection);
            self.record_sent();
            self.log_sent(&selection, Some(via.id));
            let sent = self.context.entry.now();
            let upstream = selection.upstream.clone();
            let via = selection.via.insert(Arc::new(via));
            let via: Arc<Via> = Arc::clone(via);
            let answer =
                self.context
                    .entry
                    .send_via(&via, &self.context.call.service, &upstream, request);
            // New requests ask another instance, since this one may have ended.
            let exclude = |_| self.context.entry.exclude_proxy(&via, "silent");
            match self.await_answer(answer, &mut selection, exclude).await {
                Carried::Answered(answer) => {
                    return Ok(self.classify(sent, OpenResponse::new(answer, selection)));
                }
                Carried::NotSent(refusal) => {
                    selection.via = None;
                    witnesses += usize::from(refusal == Some(Refusal::NotConnected));
                }
                Carried::Cut => return Ok(failed(Failure::Unknown, Some(first), CUT)),
                Carried::Lost => return Ok(failed(Failure::Unknown, None, PROXY_LOST)),
            }
        }
        if witnesses >= MIN_WITNESSES {
            return Ok(failed(Failure::NotRun, Some(first), NO_CONNECTION));
        }
        Err(Box::new(selection))
    }

    /// Silence after which the attempt counts as stalled before its first event.
    fn stall_timeout(&self) -> Duration {
        match self.context.call.route.retry_policy {
            RetryPolicy::Never => self.context.left(),
            _ => self.context.call.route.objective * FIRST_BYTE_FACTOR,
        }
    }

    fn log_sent(&self, selection: &Selection, via: Option<InstanceId>) {
        tracing::info!(
            event = event::ATTEMPT_SENT.id,
            attempt = self.context.call.attempt,
            fingerprint = %self.context.call.fingerprint,
            parts = self.context.call.prompt.ids(),
            route = self.context.call.route.name,
            upstream = %selection.upstream.id,
            path = selection.path,
            via = via.map(|id| id.0),
            left_ms = millis(self.context.left()),
            version = self.context.table.configuration.version,
            "sent"
        );
    }
}
