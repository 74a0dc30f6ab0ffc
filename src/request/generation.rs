//! The attempts of one generation: verification, resume, and its one answer.

use std::mem;
use std::time::Duration;

use crate::claim::{Kept, MAX_KEPT, Outcome, Token};
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::attempt::{Attempt, Verdict};
use crate::request::life::{Answering, Claimed, DEFAULT_PAUSE, Dispatched, Life, Unrun};
use crate::request::{Answer, FailureCode, Frame, Hop, RefusalCode, RequestId, covers};

/// Bounds of one generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Most tokens of the answer.
    pub(crate) tokens: u32,
    /// Layers of the model.
    pub(crate) layers: u32,
    /// Most attempts, the first one included.
    pub(crate) attempts: u32,
    /// End of the request's time.
    pub(crate) deadline: Time,
    /// Longest wait for the first token of an attempt.
    pub(crate) first: Duration,
    /// Longest wait between two tokens.
    pub(crate) idle: Duration,
}

/// Why an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Cause {
    /// The connection was refused: no byte reached a process.
    Refused,
    /// The connection ended before the closing event.
    Cut,
    /// Something came that doesn't belong to this attempt, or can't be read.
    Garbage,
    /// No token came in time.
    Timeout,
}

/// Why no attempt could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unopened {
    /// No path covers the layers.
    NoPath,
    /// The retry budget is used up.
    Budget,
    /// No path was free in time.
    Deadline,
}

/// What the driver tells a [`Generation`].
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A path is chosen for the attempt. The first byte must not leave before
    /// [`Effect::Send`].
    Started {
        /// From [`Effect::Open`].
        attempt: u32,
        /// Planned path.
        path: Vec<Hop>,
    },
    /// The attempt can't be opened.
    Unopened {
        /// From [`Effect::Open`].
        attempt: u32,
        /// Why.
        reason: Unopened,
        /// Pause that the caller should make.
        pause: Option<Duration>,
    },
    /// A token came on the connection of attempt `on`.
    Frame {
        /// The attempt that the connection was opened for.
        on: u32,
        /// What the engine sent.
        frame: Frame,
    },
    /// The closing event came on the connection of attempt `on`.
    Done {
        /// The attempt that the connection was opened for.
        on: u32,
        /// The request that the engine names.
        request: String,
        /// The attempt that the engine names.
        attempt: u32,
        /// Tokens of the whole answer.
        count: u32,
    },
    /// The first engine answered 503 before any token: it ran nothing.
    Busy {
        /// The attempt.
        attempt: u32,
    },
    /// The attempt ended without its closing event.
    Broken {
        /// The attempt.
        attempt: u32,
        /// What was seen.
        cause: Cause,
        /// The stage at fault, where known.
        suspect: Option<UpstreamId>,
    },
    /// Time has passed.
    Tick,
    /// The caller closed its connection.
    CallerLeft,
}

/// How an attempt went, for the choice of later paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Report {
    /// It brought the whole answer.
    Served,
    /// Its first engine was busy.
    Busy,
    /// It broke.
    Broken {
        /// What was seen.
        cause: Cause,
        /// The stage at fault, where known.
        suspect: Option<UpstreamId>,
    },
}

/// What a [`Generation`] tells its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Choose a path and answer with `Started` or `Unopened`. Attempts after
    /// the first take from the retry budget.
    Open {
        /// Counts from 1.
        attempt: u32,
        /// Tokens that the attempt starts behind; see [`Generation::tokens`].
        resume: u32,
        /// Upstreams to avoid where another path exists.
        exclude: Vec<UpstreamId>,
    },
    /// Send the attempt's request, now: a later time may be too late.
    Send {
        /// The attempt.
        attempt: u32,
    },
    /// Write a verified token to the caller, if it is still there.
    Emit {
        /// The request that it belongs to, for the writer's own check.
        request: RequestId,
        /// Position in the whole answer.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Close the attempt's connection.
    Cancel {
        /// The attempt.
        attempt: u32,
    },
    /// Tell the router how an attempt went.
    Report {
        /// The path that was used.
        path: Vec<Hop>,
        /// How it went.
        report: Report,
    },
    /// Release the claim: no byte left.
    Release {
        /// The claim's holder.
        token: Token,
    },
    /// Settle the claim.
    Settle {
        /// The claim's holder.
        token: Token,
        /// What is known.
        outcome: Outcome,
    },
    /// The one final answer. A stream that has begun ends with the closing
    /// marker if it is complete, else with an error event.
    Finish(Answer),
}

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
        if self.finished() {
            return Self::late(event, out);
        }
        if now >= self.bounds.deadline {
            return self.expire(out);
        }
        match event {
            Event::Started { attempt, path } => self.started(now, attempt, path, out),
            Event::Unopened {
                attempt,
                reason,
                pause,
            } => self.unopened(attempt, reason, pause, out),
            Event::Frame { on, frame } => self.frame(now, on, frame, out),
            Event::Done {
                on,
                request,
                attempt,
                count,
            } => self.done(on, &request, attempt, count, out),
            Event::Busy { attempt } => self.busy(attempt, out),
            Event::Broken {
                attempt,
                cause,
                suspect,
            } => self.broken(attempt, cause, suspect, out),
            Event::Tick => self.tick(now, out),
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

    fn started(&mut self, now: Time, attempt: u32, path: Vec<Hop>, out: &mut Vec<Effect>) {
        if attempt != self.number || self.attempt.is_some() {
            return out.push(Effect::Cancel { attempt });
        }
        if !covers(&path, self.bounds.layers) {
            return self.unopened(attempt, Unopened::NoPath, None, out);
        }
        self.stage = match self.take() {
            Stage::Ready(life) => match life.dispatch(now) {
                Ok(life) => Stage::Sent(life),
                Err(life) => return refuse(life, RefusalCode::ClaimLapsed, None, out),
            },
            stage => stage,
        };
        self.attempt = Some(Attempt {
            number: attempt,
            path,
        });
        self.flowing = false;
        self.moved = now;
        out.push(Effect::Send { attempt });
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
        };
        self.end(code, pause, out);
    }

    fn frame(&mut self, now: Time, on: u32, frame: Frame, out: &mut Vec<Effect>) {
        let Some(attempt) = self.attempt.as_ref().filter(|a| a.number == on) else {
            return;
        };
        let next = self.next();
        match attempt.check(self.id, next, self.bounds.tokens, &frame) {
            Verdict::Valid => self.emit(now, next, frame.text, out),
            Verdict::Stale => {}
            Verdict::Invalid => self.broken(on, Cause::Garbage, None, out),
        }
    }

    fn emit(&mut self, now: Time, index: u32, text: String, out: &mut Vec<Effect>) {
        self.answering();
        self.flowing = true;
        self.moved = now;
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

    fn busy(&mut self, attempt: u32, out: &mut Vec<Effect>) {
        if !self.current(attempt) {
            return;
        }
        if self.flowing {
            return self.broken(attempt, Cause::Garbage, None, out);
        }
        let first = self.attempt.as_ref().and_then(|a| a.path.first());
        self.excluded.extend(first.map(|hop| hop.upstream.clone()));
        self.report(Report::Busy, out);
        self.unrun(Unrun::busy());
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
        // All tokens are there; only the closing event was lost.
        if self.next() >= self.bounds.tokens {
            return self.complete(out);
        }
        let again = match &self.stage {
            Stage::Ready(_) => true,
            Stage::Running(life) => life.idempotent,
            Stage::Sent(_) | Stage::Finished => false,
        };
        if again && self.number < self.bounds.attempts {
            self.open(out);
        } else {
            self.end(code, Some(DEFAULT_PAUSE), out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Effect>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if now >= self.moved + self.patience() {
            self.broken(attempt.number, Cause::Timeout, None, out);
        }
    }

    fn expire(&mut self, out: &mut Vec<Effect>) {
        self.abandon(out);
        match self.take() {
            Stage::Ready(life) => refuse(life, RefusalCode::QueueTimeout, None, out),
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
            Stage::Ready(life) => refuse(life, RefusalCode::CallerLeft, None, out),
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
            Stage::Ready(life) => refuse(life, code, pause, out),
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
    code: RefusalCode,
    pause: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    if let Some(lease) = life.lease() {
        let token = lease.token();
        out.push(Effect::Release { token });
    }
    out.push(Effect::Finish(life.refuse(code, pause)));
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
