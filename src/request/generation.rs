//! The attempts of one generation: verification, resume, and its one answer.

use std::mem;
use std::time::Duration;

use crate::claim::ClaimLease;
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::attempt::{Attempt, Verdict};
use crate::request::event::{Bounds, Cause, Effect, Event, Report, Unopened};
use crate::request::life::{Claimed, DEFAULT_PAUSE, Life, NotRun};
use crate::request::stage::Stage;
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
    stage: Stage<P>,
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
    pub(crate) fn new(life: Life<Claimed<P>>, bounds: Bounds, out: &mut Vec<Effect>) -> Self {
        let mut generation = Self {
            id: life.id,
            bounds,
            now: Time::default(),
            stage: Stage::Ready(life),
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
    pub(crate) fn waiting(&self) -> Option<&ClaimLease> {
        match &self.stage {
            Stage::Ready(life) => life.lease(),
            _ => None,
        }
    }

    /// Whether the final answer was given.
    pub(crate) fn finished(&self) -> bool {
        matches!(self.stage, Stage::Finished)
    }

    /// When the next [`Event::Tick`] is due.
    pub(crate) fn wake(&self) -> Time {
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
            Event::Unopened {
                attempt,
                reason,
                pause,
            } => self.unopened(attempt, reason, pause, out),
            Event::Outdated { attempt } => self.outdated(attempt, out),
            Event::Frame { on, frame } => self.frame(on, frame, out),
            Event::Done {
                on,
                request,
                attempt,
                count,
            } => self.done(on, &request, attempt, count, out),
            Event::Busy { attempt, unrun } => self.busy(attempt, unrun, out),
            Event::Broken {
                attempt,
                cause,
                suspect,
            } => self.broken(attempt, cause, suspect, out),
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
            self.bounds.idle
        } else {
            self.bounds.first
        }
    }

    fn next(&self) -> u32 {
        u32::try_from(self.texts.len()).unwrap_or(u32::MAX)
    }

    fn current(&self, attempt: u32) -> bool {
        self.attempt.as_ref().is_some_and(|a| a.number == attempt)
    }

    fn take(&mut self) -> Stage<P> {
        mem::replace(&mut self.stage, Stage::Finished)
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
            return self.unopened(attempt, Unopened::NoPath, None, out);
        }
        self.stage = match self.take().dispatch(self.now, lease) {
            Ok(stage) => stage,
            Err(stage) => {
                self.stage = stage;
                return self.end(RefusalCode::ClaimLapsed, None, out);
            }
        };
        self.attempt = Some(Attempt {
            number: attempt,
            path,
        });
        self.flowing = false;
        self.moved = self.now;
        let until = match &self.stage {
            Stage::Sent(life) => life.until(),
            _ => None,
        };
        out.push(Effect::Send { attempt, until });
    }

    fn unopened(
        &mut self,
        attempt: u32,
        reason: Unopened,
        pause: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        if attempt != self.number || self.attempt.is_some() {
            return;
        }
        let code = match reason {
            Unopened::NoPath => RefusalCode::NoUpstream,
            Unopened::Budget => RefusalCode::RetryBudget,
            Unopened::Deadline => RefusalCode::QueueTimeout,
            Unopened::Lease => RefusalCode::CatalogueLease,
            Unopened::NoRoute => RefusalCode::UnknownRoute,
        };
        self.end(code, pause, out);
    }

    fn outdated(&mut self, attempt: u32, out: &mut Vec<Effect>) {
        if attempt == self.number && self.attempt.is_none() {
            self.requeue(out);
        }
    }

    fn frame(&mut self, on: u32, frame: Frame, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt.as_ref().filter(|a| a.number == on) else {
            return;
        };
        let next = self.next();
        match attempt.check(self.id, next, self.bounds.tokens, &frame) {
            Verdict::Valid => self.emit(next, frame.text, out),
            Verdict::Stale => {}
            Verdict::Invalid => self.broken(on, Cause::Garbage, None, out),
        }
    }

    fn emit(&mut self, index: u32, text: String, out: &mut Vec<Effect>) {
        self.stage = self.take().answering();
        self.flowing = true;
        self.moved = self.now;
        self.texts.push(text.clone());
        out.push(Effect::Emit {
            request: self.id,
            index,
            text,
        });
    }

    fn done(&mut self, on: u32, request: &str, attempt: u32, count: u32, out: &mut Vec<Effect>) {
        if !self.current(on) {
            return;
        }
        let ours = request.parse() == Ok(self.id);
        if ours && attempt < on {
            return;
        }
        if !ours || attempt != on || count != self.next() {
            return self.broken(on, Cause::Garbage, None, out);
        }
        self.report(Report::Served, out);
        self.complete(out);
    }

    fn busy(&mut self, attempt: u32, unrun: bool, out: &mut Vec<Effect>) {
        if !self.current(attempt) {
            return;
        }
        if self.flowing {
            return self.broken(attempt, Cause::Garbage, None, out);
        }
        let head = self.head();
        self.report(Report::Busy, out);
        if unrun {
            self.stage = self.take().unrun(NotRun::busy());
            self.requeue(out);
        } else {
            self.excluded.extend(head);
            self.stage = self.take().answering();
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
            self.end(RefusalCode::UpstreamBusy, Some(DEFAULT_PAUSE), out);
        }
    }

    fn broken(
        &mut self,
        attempt: u32,
        cause: Cause,
        suspect: Option<UpstreamId>,
        out: &mut Vec<Effect>,
    ) {
        if !self.current(attempt) {
            return;
        }
        // Only the first stage takes connections from here.
        let suspect = match cause {
            Cause::Refused => suspect.or_else(|| self.head()),
            _ => suspect,
        };
        self.exclude(suspect.as_ref());
        self.report(Report::Broken { cause, suspect }, out);
        out.push(Effect::Cancel { attempt });
        self.stage = match cause {
            Cause::Refused if !self.flowing => self.take().unrun(NotRun::refused()),
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
    fn report(&mut self, report: Report, out: &mut Vec<Effect>) {
        if let Some(Attempt { path, .. }) = self.attempt.take() {
            out.push(Effect::Report { path, report });
        }
    }

    fn retry(&mut self, code: RefusalCode, out: &mut Vec<Effect>) {
        let again = match &self.stage {
            Stage::Ready(_) => true,
            // All tokens are there; only the closing event was lost.
            Stage::Running(_) if self.next() >= self.bounds.tokens => return self.complete(out),
            Stage::Running(life) => life.idempotent,
            Stage::Sent(_) | Stage::Finished => false,
        };
        if again && self.number - self.busy < self.bounds.attempts {
            self.open(true, out);
        } else {
            self.end(code, Some(DEFAULT_PAUSE), out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if self.now >= self.moved + self.patience() {
            self.broken(attempt.number, Cause::Timeout, None, out);
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
        let ready = matches!(self.stage, Stage::Ready(_));
        if ready || self.stage.lease().is_none() {
            self.give_up(RefusalCode::CallerLeft, FailureCode::Cancelled, None, out);
        }
    }

    /// No further attempt is made.
    fn end(&mut self, refusal: RefusalCode, pause: Option<Duration>, out: &mut Vec<Effect>) {
        self.give_up(refusal, FailureCode::AnswerCut, pause, out);
    }

    fn give_up(
        &mut self,
        refusal: RefusalCode,
        failure: FailureCode,
        pause: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(Attempt { number, .. }) = self.attempt.take() {
            out.push(Effect::Cancel { attempt: number });
        }
        self.take().end(self.now, refusal, failure, pause, out);
    }

    fn complete(&mut self, out: &mut Vec<Effect>) {
        self.take().complete(&self.texts, out);
    }
}
