//! The attempts of one generation: verification, resume, and its one answer.

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

/// Attempts that may find an engine too busy. Routing leaves such an engine out
/// for a moment, so this takes seconds; the deadline ends most waits before.
const BUSY: u32 = 100;

/// One generation, from its claim to its answer.
///
/// Idempotent work goes on over another path behind the last verified token.
/// The engine computes a token in flight anew, whose first computation nobody
/// will see. Non-idempotent work is never sent a second time once a byte may
/// have left, not even to resume: an attempt that was cut may run on behind
/// the cut, and both would compute the same token.
#[derive(Debug)]
pub(crate) struct Generation<P> {
    id: RequestId,
    bounds: Bounds,
    /// Time of the event in hand.
    now: Time,
    phase: Phase<P>,
    /// Attempts opened so far.
    number: u32,
    /// Those of them that an engine was too busy to run.
    busy: u32,
    /// The attempt that may send tokens. `None` while a path is chosen.
    attempt: Option<Attempt>,
    /// Whether the attempt in flight has brought a token.
    flowing: bool,
    /// Start of the attempt or time of its last token.
    moved: Time,
    /// Verified tokens, each emitted once; the index is the position.
    texts: Vec<String>,
    /// Upstreams of broken attempts.
    excluded: Vec<UpstreamId>,
}

impl<P> Generation<P> {
    /// Starts the first attempt.
    pub(crate) fn new(life: Lifecycle<Claimed<P>>, bounds: Bounds, out: &mut Vec<Effect>) -> Self {
        let mut generation = Self {
            id: life.id,
            bounds,
            now: Time::default(),
            phase: Phase::Ready(life),
            number: 0,
            busy: 0,
            attempt: None,
            flowing: false,
            moved: Time::default(),
            texts: Vec::new(),
            excluded: Vec::new(),
        };
        generation.open(false, out);
        generation
    }

    /// Verified tokens so far.
    pub(crate) fn tokens(&self) -> &[String] {
        &self.texts
    }

    /// The claim that the request still waits with.
    pub(crate) fn pending_lease(&self) -> Option<&ClaimLease> {
        match &self.phase {
            Phase::Ready(life) => life.lease(),
            _ => None,
        }
    }

    /// Whether the final answer was given.
    pub(crate) fn finished(&self) -> bool {
        matches!(self.phase, Phase::Finished)
    }

    /// When the next [`Event::Tick`] is due.
    pub(crate) fn next_tick(&self) -> Time {
        match self.attempt {
            Some(_) => self.bounds.deadline.min(self.moved + self.patience()),
            None => self.bounds.deadline,
        }
    }

    /// Takes an event at `now` and adds what is to be done.
    pub(crate) fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        if self.finished() {
            return Self::late(event, out);
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
            Event::CallerLeft => self.left(out),
        }
    }

    /// An attempt that was opened too late is closed; all else is dropped.
    fn late(event: Event, out: &mut Vec<Effect>) {
        if let Event::Started { attempt, .. } = event {
            out.push(Effect::Cancel { attempt });
        }
    }

    fn patience(&self) -> Duration {
        if self.flowing {
            self.bounds.idle_timeout
        } else {
            self.bounds.first_timeout
        }
    }

    fn next(&self) -> u32 {
        u32::try_from(self.texts.len()).unwrap_or(u32::MAX)
    }

    fn current(&self, attempt: u32) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.number == attempt)
    }

    fn take(&mut self) -> Phase<P> {
        mem::replace(&mut self.phase, Phase::Finished)
    }

    fn open(&mut self, retry: bool, out: &mut Vec<Effect>) {
        self.number += 1;
        out.push(Effect::Open {
            attempt: self.number,
            retry,
            resume: self.next(),
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
        if attempt != self.number || self.attempt.is_some() {
            return out.push(Effect::Cancel { attempt });
        }
        if !covers(&path, self.bounds.layers) {
            return self.open_failed(attempt, OpenError::NoPath, None, out);
        }
        self.phase = match self.take().dispatch(self.now, lease) {
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
        self.flowing = false;
        self.moved = self.now;
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
        if attempt != self.number || self.attempt.is_some() {
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
        if attempt == self.number && self.attempt.is_none() {
            self.requeue(out);
        }
    }

    fn frame(&mut self, conn_attempt: u32, frame: Frame, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt.as_ref().filter(|a| a.number == conn_attempt) else {
            return;
        };
        let next = self.next();
        match attempt.check(self.id, next, self.bounds.max_tokens, &frame) {
            Verdict::Valid => self.emit(next, frame.text, out),
            Verdict::Stale => {}
            Verdict::Invalid => self.failed(conn_attempt, AttemptError::InvalidData, None, out),
        }
    }

    fn emit(&mut self, index: u32, text: String, out: &mut Vec<Effect>) {
        self.phase = self.take().answering();
        self.flowing = true;
        self.moved = self.now;
        self.texts.push(text.clone());
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
        if !self.current(conn_attempt) {
            return;
        }
        let ours = request.parse() == Ok(self.id);
        if ours && attempt < conn_attempt {
            return;
        }
        if !ours || attempt != conn_attempt || count != self.next() {
            return self.failed(conn_attempt, AttemptError::InvalidData, None, out);
        }
        self.report(AttemptReport::Served, out);
        self.complete(out);
    }

    fn busy(&mut self, attempt: u32, not_run: bool, out: &mut Vec<Effect>) {
        if !self.current(attempt) {
            return;
        }
        if self.flowing {
            return self.failed(attempt, AttemptError::InvalidData, None, out);
        }
        let head = self.head();
        self.report(AttemptReport::Busy, out);
        if not_run {
            self.phase = self.take().not_run(NotRun::busy());
            self.requeue(out);
        } else {
            self.excluded.extend(head);
            self.phase = self.take().answering();
            self.retry(RefusalCode::UpstreamBusy, out);
        }
    }

    /// Waits for another path.
    ///
    /// Several instances share the engines and learn late of each other's work,
    /// so an engine may be full when a request gets there. That isn't a failure:
    /// without this, four of them in a row, or a retry budget that others used
    /// up, would refuse a request that only had to wait.
    fn requeue(&mut self, out: &mut Vec<Effect>) {
        self.busy += 1;
        if self.busy < BUSY {
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
        if !self.current(attempt) {
            return;
        }
        // Only the first stage takes connections from here.
        let suspect = match cause {
            AttemptError::Refused => suspect.or_else(|| self.head()),
            _ => suspect,
        };
        self.exclude(suspect.as_ref());
        self.report(AttemptReport::Failed { cause, suspect }, out);
        out.push(Effect::Cancel { attempt });
        self.phase = match cause {
            AttemptError::Refused if !self.flowing => self.take().not_run(NotRun::refused()),
            _ => self.take().answering(),
        };
        self.retry(RefusalCode::NoUpstream, out);
    }

    /// The first stage of the attempt in flight.
    fn head(&self) -> Option<UpstreamId> {
        let first = self.attempt.as_ref()?.path.first()?;
        Some(first.upstream.clone())
    }

    fn exclude(&mut self, suspect: Option<&UpstreamId>) {
        let path = self.attempt.iter().flat_map(|a| &a.path);
        let blamed = path
            .map(|hop| &hop.upstream)
            .filter(|upstream| suspect.is_none_or(|s| s == *upstream));
        self.excluded.extend(blamed.cloned());
    }

    /// Ends the attempt in flight with a report.
    fn report(&mut self, report: AttemptReport, out: &mut Vec<Effect>) {
        if let Some(Attempt { path, .. }) = self.attempt.take() {
            out.push(Effect::Report { path, report });
        }
    }

    fn retry(&mut self, code: RefusalCode, out: &mut Vec<Effect>) {
        let again = match &self.phase {
            Phase::Ready(_) => true,
            // All tokens are there; only the closing event was lost.
            Phase::Running(_) if self.next() >= self.bounds.max_tokens => {
                return self.complete(out);
            }
            Phase::Running(life) => life.idempotent,
            Phase::Sent(_) | Phase::Finished => false,
        };
        if again && self.number - self.busy < self.bounds.max_attempts {
            self.open(true, out);
        } else {
            self.end(code, Some(DEFAULT_RETRY_AFTER), out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if self.now >= self.moved + self.patience() {
            self.failed(attempt.number, AttemptError::Timeout, None, out);
        }
    }

    fn expire(&mut self, out: &mut Vec<Effect>) {
        let failure = FailureCode::DeadlineExceeded;
        self.give_up(RefusalCode::QueueTimeout, failure, None, out);
    }

    /// The caller is gone. A request with a claim that may have run goes on
    /// without it: it can't be run again, and the caller will ask for the kept
    /// answer with the same key.
    fn left(&mut self, out: &mut Vec<Effect>) {
        let ready = matches!(self.phase, Phase::Ready(_));
        if ready || self.phase.lease().is_none() {
            self.give_up(RefusalCode::CallerLeft, FailureCode::Cancelled, None, out);
        }
    }

    /// No further attempt is made.
    fn end(&mut self, refusal: RefusalCode, retry_after: Option<Duration>, out: &mut Vec<Effect>) {
        self.give_up(refusal, FailureCode::AnswerCut, retry_after, out);
    }

    fn give_up(
        &mut self,
        refusal: RefusalCode,
        failure: FailureCode,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(Attempt { number, .. }) = self.attempt.take() {
            out.push(Effect::Cancel { attempt: number });
        }
        self.take()
            .end(self.now, refusal, failure, retry_after, out);
    }

    fn complete(&mut self, out: &mut Vec<Effect>) {
        self.take().complete(&self.texts, out);
    }
}
