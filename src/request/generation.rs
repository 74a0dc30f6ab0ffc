//! State machine of a generation: runs its attempts, verifies and resumes them,
//! and gives the final answer.

use std::mem;
use std::time::Duration;

use crate::claim::ClaimLease;
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::attempt::{Attempt, Verdict};
use crate::request::event::{AttemptError, AttemptReport, Bounds, Effect, Event, OpenError};
use crate::request::lifecycle::{Claimed, DEFAULT_RETRY_AFTER, Lifecycle, NotRun};
use crate::request::phase::Phase;
use crate::request::{FailureCode, Frame, Hop, RefusalCode, RequestId, covers};

/// Number of requeues at which a request ends. Routing avoids a busy engine for a
/// moment, so they take seconds, and most requests reach their deadline first.
const MAX_REQUEUES: u32 = 100;

/// A generation, from its claim to its answer.
///
/// An idempotent request resumes on another path after the last verified token. A
/// token that was in flight is computed again, and its first computation is never
/// shown.
///
/// A non-idempotent request isn't sent again once a byte may have been sent, not
/// even to resume. The attempt may still be running behind the lost connection, and
/// both would compute the same token.
#[derive(Debug)]
pub(crate) struct Generation<P> {
    id: RequestId,
    bounds: Bounds,
    /// Time of the current event.
    now: Time,
    phase: Phase<P>,
    /// Number of attempts opened so far; also the number of the last one.
    opened: u32,
    /// Number of those that were requeued, as they ran nothing.
    requeued: u32,
    /// The attempt in flight. `None` while a path is being chosen.
    attempt: Option<Attempt>,
    /// Whether the attempt in flight has delivered a token.
    streaming: bool,
    /// Time of the attempt's last token, or of its start.
    last_progress: Time,
    /// Verified tokens in order, each emitted once.
    tokens: Vec<String>,
    /// Upstreams of failed attempts.
    excluded: Vec<UpstreamId>,
}

impl<P> Generation<P> {
    /// Creates a generation and opens its first attempt.
    pub(crate) fn new(life: Lifecycle<Claimed<P>>, bounds: Bounds, out: &mut Vec<Effect>) -> Self {
        let mut generation = Self {
            id: life.id,
            bounds,
            now: Time::default(),
            phase: Phase::Ready(life),
            opened: 0,
            requeued: 0,
            attempt: None,
            streaming: false,
            last_progress: Time::default(),
            tokens: Vec::new(),
            excluded: Vec::new(),
        };
        generation.open(false, out);
        generation
    }

    /// Verified tokens so far.
    pub(crate) fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Lease of the claim, while no byte has been sent.
    pub(crate) fn pending_lease(&self) -> Option<&ClaimLease> {
        match &self.phase {
            Phase::Ready(life) => life.lease(),
            _ => None,
        }
    }

    /// Whether the final answer has been given.
    pub(crate) fn finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    /// Time at which the next [`Event::Tick`] is due.
    pub(crate) fn next_tick(&self) -> Time {
        match self.attempt {
            Some(_) => self
                .bounds
                .deadline
                .min(self.last_progress + self.timeout()),
            None => self.bounds.deadline,
        }
    }

    /// Handles an event at `now` and appends the resulting effects to `out`.
    pub(crate) fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        if self.finished() {
            return Self::step_finished(event, out);
        }
        if now >= self.bounds.deadline {
            return self.expire(out);
        }
        match event {
            Event::Started {
                attempt,
                path,
                lease,
            } => self.started(attempt, path, lease, out),
            Event::OpenFailed {
                attempt,
                reason,
                retry_after,
            } => self.open_failed(attempt, reason, retry_after, out),
            Event::Outdated { attempt } => self.outdated(attempt, out),
            Event::Frame {
                conn_attempt,
                frame,
            } => self.frame(conn_attempt, frame, out),
            Event::Done {
                conn_attempt,
                request,
                attempt,
                count,
            } => self.done(conn_attempt, &request, attempt, count, out),
            Event::Busy { attempt, not_run } => self.busy(attempt, not_run, out),
            Event::Failed {
                attempt,
                cause,
                suspect,
            } => self.failed(attempt, cause, suspect, out),
            Event::Tick => self.tick(out),
            Event::CallerLeft => self.caller_left(out),
        }
    }

    /// Handles an event after the final answer: closes an attempt that was opened too
    /// late, and ignores all others.
    fn step_finished(event: Event, out: &mut Vec<Effect>) {
        if let Event::Started { attempt, .. } = event {
            out.push(Effect::Cancel { attempt });
        }
    }

    fn timeout(&self) -> Duration {
        if self.streaming {
            self.bounds.idle_timeout
        } else {
            self.bounds.first_timeout
        }
    }

    fn next_index(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    fn is_current(&self, attempt: u32) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.number == attempt)
    }

    fn take_phase(&mut self) -> Phase<P> {
        mem::replace(&mut self.phase, Phase::Finished)
    }

    fn open(&mut self, retry: bool, out: &mut Vec<Effect>) {
        self.opened += 1;
        out.push(Effect::Open {
            attempt: self.opened,
            retry,
            resume: self.next_index(),
            exclude: self.excluded.clone(),
        });
    }

    fn started(
        &mut self,
        attempt: u32,
        path: Vec<Hop>,
        lease: Option<ClaimLease>,
        out: &mut Vec<Effect>,
    ) {
        if attempt != self.opened || self.attempt.is_some() {
            return out.push(Effect::Cancel { attempt });
        }
        if !covers(&path, self.bounds.layers) {
            return self.open_failed(attempt, OpenError::NoPath, None, out);
        }
        self.phase = match self.take_phase().dispatch(self.now, lease) {
            Ok(phase) => phase,
            Err(phase) => {
                self.phase = phase;
                return self.end(RefusalCode::ClaimLapsed, None, out);
            }
        };
        self.attempt = Some(Attempt {
            number: attempt,
            path,
        });
        self.streaming = false;
        self.last_progress = self.now;
        let send_by = match &self.phase {
            Phase::Sent(life) => life.send_by(),
            _ => None,
        };
        out.push(Effect::Send { attempt, send_by });
    }

    fn open_failed(
        &mut self,
        attempt: u32,
        reason: OpenError,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        if attempt != self.opened || self.attempt.is_some() {
            return;
        }
        let code = match reason {
            OpenError::NoPath => RefusalCode::NoUpstream,
            OpenError::RetryBudget => RefusalCode::RetryBudget,
            OpenError::Deadline => RefusalCode::QueueTimeout,
            OpenError::CatalogueLease => RefusalCode::CatalogueLease,
            OpenError::NoRoute => RefusalCode::UnknownRoute,
        };
        self.end(code, retry_after, out);
    }

    fn outdated(&mut self, attempt: u32, out: &mut Vec<Effect>) {
        if attempt == self.opened && self.attempt.is_none() {
            self.requeue(out);
        }
    }

    fn frame(&mut self, conn_attempt: u32, frame: Frame, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt.as_ref().filter(|a| a.number == conn_attempt) else {
            return;
        };
        let next = self.next_index();
        match attempt.verify(self.id, next, self.bounds.max_tokens, &frame) {
            Verdict::Valid => self.emit(next, frame.text, out),
            Verdict::Stale => {}
            Verdict::Invalid => self.failed(conn_attempt, AttemptError::InvalidData, None, out),
        }
    }

    fn emit(&mut self, index: u32, text: String, out: &mut Vec<Effect>) {
        self.phase = self.take_phase().answering();
        self.streaming = true;
        self.last_progress = self.now;
        self.tokens.push(text.clone());
        out.push(Effect::Emit {
            request: self.id,
            index,
            text,
        });
    }

    fn done(
        &mut self,
        conn_attempt: u32,
        request: &str,
        attempt: u32,
        count: u32,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_current(conn_attempt) {
            return;
        }
        let ours = request.parse() == Ok(self.id);
        if ours && attempt < conn_attempt {
            return;
        }
        if !ours || attempt != conn_attempt || count != self.next_index() {
            return self.failed(conn_attempt, AttemptError::InvalidData, None, out);
        }
        self.report(AttemptReport::Served, out);
        self.complete(out);
    }

    fn busy(&mut self, attempt: u32, not_run: bool, out: &mut Vec<Effect>) {
        if !self.is_current(attempt) {
            return;
        }
        if self.streaming {
            return self.failed(attempt, AttemptError::InvalidData, None, out);
        }
        let first = self.first_upstream();
        self.report(AttemptReport::Busy, out);
        if not_run {
            self.phase = self.take_phase().not_run(NotRun::busy());
            self.requeue(out);
        } else {
            self.excluded.extend(first);
            self.phase = self.take_phase().answering();
            self.retry(RefusalCode::UpstreamBusy, out);
        }
    }

    /// Opens another attempt that doesn't count as a retry.
    ///
    /// An engine may be full when a request arrives, because instances share the
    /// engines and learn of each other's requests with a delay. That isn't a
    /// failure. If it counted as one, a request that only had to wait would be
    /// refused after four in a row, or when other requests have exhausted the retry
    /// budget.
    fn requeue(&mut self, out: &mut Vec<Effect>) {
        self.requeued += 1;
        if self.requeued < MAX_REQUEUES {
            self.open(false, out);
        } else {
            self.end(RefusalCode::UpstreamBusy, Some(DEFAULT_RETRY_AFTER), out);
        }
    }

    fn failed(
        &mut self,
        attempt: u32,
        cause: AttemptError,
        suspect: Option<UpstreamId>,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_current(attempt) {
            return;
        }
        // This instance connects only to the first stage.
        let suspect = match cause {
            AttemptError::Refused => suspect.or_else(|| self.first_upstream()),
            _ => suspect,
        };
        self.exclude(suspect.as_ref());
        self.report(AttemptReport::Failed { cause, suspect }, out);
        out.push(Effect::Cancel { attempt });
        self.phase = match cause {
            AttemptError::Refused if !self.streaming => {
                self.take_phase().not_run(NotRun::refused())
            }
            _ => self.take_phase().answering(),
        };
        self.retry(RefusalCode::NoUpstream, out);
    }

    /// First upstream of the attempt in flight.
    fn first_upstream(&self) -> Option<UpstreamId> {
        let first = self.attempt.as_ref()?.path.first()?;
        Some(first.upstream.clone())
    }

    fn exclude(&mut self, suspect: Option<&UpstreamId>) {
        let path = self.attempt.iter().flat_map(|a| &a.path);
        let failed = path
            .map(|hop| &hop.upstream)
            .filter(|upstream| suspect.is_none_or(|s| s == *upstream));
        self.excluded.extend(failed.cloned());
    }

    /// Ends the attempt in flight and reports its result.
    fn report(&mut self, report: AttemptReport, out: &mut Vec<Effect>) {
        if let Some(Attempt { path, .. }) = self.attempt.take() {
            out.push(Effect::Report { path, report });
        }
    }

    fn retry(&mut self, code: RefusalCode, out: &mut Vec<Effect>) {
        let may_retry = match &self.phase {
            Phase::Ready(_) => true,
            // All tokens have arrived; only the closing event was lost.
            Phase::Running(_) if self.next_index() >= self.bounds.max_tokens => {
                return self.complete(out);
            }
            Phase::Running(life) => life.idempotent,
            Phase::Sent(_) | Phase::Finished => false,
        };
        if may_retry && self.opened - self.requeued < self.bounds.max_attempts {
            self.open(true, out);
        } else {
            self.end(code, Some(DEFAULT_RETRY_AFTER), out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if self.now >= self.last_progress + self.timeout() {
            self.failed(attempt.number, AttemptError::Timeout, None, out);
        }
    }

    fn expire(&mut self, out: &mut Vec<Effect>) {
        let failure = FailureCode::DeadlineExceeded;
        self.end_with(RefusalCode::QueueTimeout, failure, None, out);
    }

    /// Handles the disconnection of the caller. A claimed request that may have run
    /// continues: it can't run again, and the caller can ask for the stored answer
    /// with the same key.
    fn caller_left(&mut self, out: &mut Vec<Effect>) {
        let ready = matches!(self.phase, Phase::Ready(_));
        if ready || self.phase.lease().is_none() {
            self.end_with(RefusalCode::CallerLeft, FailureCode::Cancelled, None, out);
        }
    }

    /// Ends the request without another attempt.
    fn end(&mut self, refusal: RefusalCode, retry_after: Option<Duration>, out: &mut Vec<Effect>) {
        self.end_with(refusal, FailureCode::AnswerCut, retry_after, out);
    }

    fn end_with(
        &mut self,
        refusal: RefusalCode,
        failure: FailureCode,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(Attempt { number, .. }) = self.attempt.take() {
            out.push(Effect::Cancel { attempt: number });
        }
        self.take_phase()
            .end(self.now, refusal, failure, retry_after, out);
    }

    fn complete(&mut self, out: &mut Vec<Effect>) {
        self.take_phase().complete(&self.tokens, out);
    }
}
