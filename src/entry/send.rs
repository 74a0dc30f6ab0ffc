//! Sends one attempt to its upstream: itself, or through another instance while this one doesn't
//! reach the upstreams of the service.

use std::sync::Arc;
use std::time::Duration;

use super::attempt::{
    BLOCKED, CUT, FIRST_BYTE_FACTOR, NO_CONNECTION, NO_PROXY, OpenResponse, Outcome, PROXY_LOST,
    Run,
};
use super::proxy::{Carried, Refusal, Via};
use super::reroute::Stall;
use super::select::Selection;
use crate::clock::millis;
use crate::configuration::RetryPolicy;
use crate::decide::retry::Failure;
use crate::engine::{Connection, Cutoff};
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

fn stalled(stall: Stall) -> Outcome {
    match stall {
        Stall::DeadEngine(culprit) => failed(Failure::Unknown, Some(culprit), BLOCKED),
        Stall::Unknown => failed(Failure::Unknown, None, "silent"),
    }
}

impl Run {
    /// Makes one attempt, up to the response head.
    pub(super) async fn attempt(&self, selection: Selection) -> Outcome {
        let (service, first) = (&self.call.service, selection.upstream.key);
        if !self.entry.must_carry(service, first) {
            if let Some(connection) = self.connect(&selection).await {
                return self.send(connection, selection).await;
            }
            if !self.entry.must_carry(service, first) {
                return failed(Failure::NotRun, Some(first), NO_CONNECTION);
            }
        }
        let selection = match self.send_carried(selection).await {
            Ok(outcome) => return outcome,
            Err(selection) => selection,
        };
        // Where no other instance carries it, what failed may not have been the links.
        match self.connect(&selection).await {
            Some(connection) => self.send(connection, *selection).await,
            None => failed(Failure::NotRun, None, NO_PROXY),
        }
    }

    /// Connects to the upstream of an attempt.
    async fn connect(&self, selection: &Selection) -> Option<Connection> {
        let upstream = &selection.upstream;
        let opened = self.entry.dial(upstream.address).await;
        if opened.is_err() {
            self.entry
                .record_unreached(&self.call.service, upstream.key);
        }
        opened.ok()
    }

    /// Sends the attempt on a connection to its upstream.
    async fn send(&self, connection: Connection, mut selection: Selection) -> Outcome {
        let (service, first) = (&self.call.service, selection.upstream.key);
        let upstream = selection.upstream.clone();
        let request = self.request(&selection);
        self.record_retry_sent();
        self.log_sent(&selection, None);
        let cutoff = Cutoff::new(None, Arc::clone(&self.entry.clock));
        let sent = self.entry.now();
        let answer = connection.send(request, &cutoff);
        let progress = self.await_progress(answer, self.stall_timeout(), &mut selection);
        match progress.await {
            Ok(Ok(answer)) => {
                self.entry.record_reached(service, first, sent);
                self.classify(sent, OpenResponse { answer, selection })
            }
            Ok(Err(_)) => {
                self.entry.check_link(service, &upstream);
                // An upstream that is out of reach isn't to blame.
                let culprit = (!self.entry.must_carry(service, first)).then_some(first);
                failed(Failure::Unknown, culprit, CUT)
            }
            Err(stall) => stalled(stall),
        }
    }

    /// Sends the attempt through another instance; asks several in turn until one carries it.
    /// Returns the selection if none does.
    async fn send_carried(&self, mut selection: Selection) -> Result<Outcome, Box<Selection>> {
        let first = selection.upstream.key;
        let mut asked: Vec<InstanceId> = Vec::new();
        let mut witnesses = 0;
        while asked.len() < MAX_ASKED {
            let Some(via) = self.entry.take_proxy(&asked) else {
                break;
            };
            asked.push(via.id);
            let request = self.request(&selection);
            self.record_retry_sent();
            self.log_sent(&selection, Some(via.id));
            let sent = self.entry.now();
            let upstream = selection.upstream.clone();
            let via = selection.via.insert(Arc::new(via));
            let via: Arc<Via> = Arc::clone(via);
            let answer = self
                .entry
                .send_via(&via, &self.call.service, &upstream, request);
            let progress = self.await_progress(answer, self.stall_timeout(), &mut selection);
            match progress.await {
                Ok(Carried::Answered(answer)) => {
                    return Ok(self.classify(sent, OpenResponse { answer, selection }));
                }
                Ok(Carried::NotSent(refusal)) => {
                    selection.via = None;
                    witnesses += usize::from(refusal == Some(Refusal::NotConnected));
                }
                Ok(Carried::Cut) => return Ok(failed(Failure::Unknown, Some(first), CUT)),
                Ok(Carried::Lost) => return Ok(failed(Failure::Unknown, None, PROXY_LOST)),
                Err(stall) => {
                    self.entry.exclude_proxy(&via, "silent");
                    return Ok(stalled(stall));
                }
            }
        }
        if witnesses >= MIN_WITNESSES {
            return Ok(failed(Failure::NotRun, Some(first), NO_CONNECTION));
        }
        Err(Box::new(selection))
    }

    /// Time to wait for the first sign of a response.
    fn stall_timeout(&self) -> Duration {
        match self.call.route.retry_policy {
            RetryPolicy::Never => self.left(),
            _ => self.call.route.objective * FIRST_BYTE_FACTOR,
        }
    }

    fn log_sent(&self, selection: &Selection, via: Option<InstanceId>) {
        tracing::info!(
            event = event::ATTEMPT_SENT.id,
            attempt = self.call.attempt,
            fingerprint = %self.call.fingerprint,
            parts = self.call.prompt.ids(),
            route = self.call.route.name,
            upstream = %selection.upstream.id,
            path = selection.path,
            via = via.map(|id| id.0),
            left_ms = millis(self.left()),
            version = self.table.configuration.version,
            "sent"
        );
    }
}
