//! The attempts of one generation: verification, resume, and its one answer.

use std::mem;
use std::time::Duration;

use crate::claim::{Kept, MAX_KEPT, Outcome};
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::attempt::{Attempt, Verdict};
use crate::request::event::{Bounds, Cause, Effect, Event, Report, Unopened};
use crate::request::life::{Answering, Claimed, DEFAULT_PAUSE, Dispatched, Life, Unrun};
use crate::request::{FailureCode, Frame, Hop, RefusalCode, RequestId, covers};

/// How far the request has come.
#[derive(Debug)]
enum Stage<P> {
    Ready(Life<Claimed<P>>),
    Sent(Life<Dispatched<P>>),
    Running(Life<Answering<P>>),
    Finished,
}

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
            attempt: None,
            flowing: false,
            moved: Time::default(),
            texts: Vec::new(),
            excluded: Vec::new(),
        };
        generation.open(out);
        generation
    }

    /// Verified tokens so far.
    pub(crate) fn tokens(&self) -> &[String] {
        &self.texts
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
            Event::Started { attempt, path } => self.started(attempt, path, out),
            Event::Unopened {
                attempt,
                reason,
                pause,
            } => self.unopened(attempt, reason, pause, out),
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

    fn open(&mut self, out: &mut Vec<Effect>) {
        self.number += 1;
        out.push(Effect::Open {
            attempt: self.number,
            resume: self.next(),
            exclude: self.excluded.clone(),
        });
    }

    fn started(&mut self, attempt: u32, path: Vec<Hop>, out: &mut Vec<Effect>) {
        if attempt != self.number || self.attempt.is_some() {
            return out.push(Effect::Cancel { attempt });
        }
        if !covers(&path, self.bounds.layers) {
            return self.unopened(attempt, Unopened::NoPath, None, out);
        }
        self.stage = match self.take() {
            Stage::Ready(life) => match life.dispatch(self.now) {
                Ok(life) => Stage::Sent(life),
                Err(life) => return refuse(life, self.now, RefusalCode::ClaimLapsed, None, out),
            },
            stage => stage,
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
        self.answering();
        self.flowing = true;
        self.moved = self.now;
        self.texts.push(text.clone());
        out.push(Effect::Emit {
            request: self.id,
            index,
            text,
        });
    }

    fn answering(&mut self) {
        self.stage = match self.take() {
            Stage::Sent(life) => Stage::Running(life.answering()),
            stage => stage,
        };
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
        let first = self.attempt.as_ref().and_then(|a| a.path.first());
        self.excluded.extend(first.map(|hop| hop.upstream.clone()));
        self.report(Report::Busy, out);
        if unrun {
            self.unrun(Unrun::busy());
        } else {
            self.answering();
        }
        self.retry(RefusalCode::UpstreamBusy, out);
    }

    fn unrun(&mut self, proof: Unrun) {
        self.stage = match self.take() {
            Stage::Sent(life) => Stage::Ready(life.unrun(proof)),
            stage => stage,
        };
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
        self.exclude(suspect.as_ref());
        self.report(Report::Broken { cause, suspect }, out);
        out.push(Effect::Cancel { attempt });
        match cause {
            Cause::Refused if !self.flowing => self.unrun(Unrun::refused()),
            _ => self.answering(),
        }
        self.retry(RefusalCode::NoUpstream, out);
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
        if again && self.number < self.bounds.attempts {
            self.open(out);
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
        self.abandon(out);
        match self.take() {
            Stage::Ready(life) => refuse(life, self.now, RefusalCode::QueueTimeout, None, out),
            Stage::Sent(life) => fail(life.answering(), FailureCode::DeadlineExceeded, None, out),
            Stage::Running(life) => fail(life, FailureCode::DeadlineExceeded, None, out),
            Stage::Finished => {}
        }
    }

    fn left(&mut self, out: &mut Vec<Effect>) {
        if self.keeps() {
            return;
        }
        self.abandon(out);
        match self.take() {
            Stage::Ready(life) => refuse(life, self.now, RefusalCode::CallerLeft, None, out),
            Stage::Sent(life) => fail(life.answering(), FailureCode::Cancelled, None, out),
            Stage::Running(life) => fail(life, FailureCode::Cancelled, None, out),
            Stage::Finished => {}
        }
    }

    /// Whether the request runs on without its caller, who will ask for the
    /// kept answer with the same key: it can't be run again.
    fn keeps(&self) -> bool {
        match &self.stage {
            Stage::Sent(life) => life.lease().is_some(),
            Stage::Running(life) => life.lease().is_some(),
            Stage::Ready(_) | Stage::Finished => false,
        }
    }

    fn abandon(&mut self, out: &mut Vec<Effect>) {
        if let Some(Attempt { number, .. }) = self.attempt.take() {
            out.push(Effect::Cancel { attempt: number });
        }
    }

    /// Gives up, as far as the request has come.
    fn end(&mut self, code: RefusalCode, pause: Option<Duration>, out: &mut Vec<Effect>) {
        self.abandon(out);
        match self.take() {
            Stage::Ready(life) => refuse(life, self.now, code, pause, out),
            Stage::Sent(life) => fail(life.answering(), FailureCode::AnswerCut, pause, out),
            Stage::Running(life) => fail(life, FailureCode::AnswerCut, pause, out),
            Stage::Finished => {}
        }
    }

    fn complete(&mut self, out: &mut Vec<Effect>) {
        self.answering();
        let Stage::Running(life) = self.take() else {
            return;
        };
        if let Some(lease) = life.lease() {
            let token = lease.token();
            let outcome = self.kept();
            out.push(Effect::Settle { token, outcome });
        }
        out.push(Effect::Finish(life.complete(self.next())));
    }

    fn kept(&self) -> Outcome {
        let body = self.texts.concat().into_bytes();
        if body.len() > MAX_KEPT {
            return Outcome::NotKept(());
        }
        Outcome::Kept(Kept {
            status: 200,
            kind: "text/plain; charset=utf-8".into(),
            body,
        })
    }
}

fn refuse<P>(
    life: Life<Claimed<P>>,
    now: Time,
    code: RefusalCode,
    pause: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    if let Some(lease) = life.lease() {
        let token = lease.token();
        out.push(Effect::Release { token });
    }
    out.push(Effect::Finish(life.refuse(now, code, pause)));
}

fn fail<P>(
    life: Life<Answering<P>>,
    code: FailureCode,
    pause: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    if let Some(lease) = life.lease() {
        let token = lease.token();
        let outcome = Outcome::Unknown(());
        out.push(Effect::Settle { token, outcome });
    }
    out.push(Effect::Finish(life.fail(code, pause)));
}
