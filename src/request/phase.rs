//! Phases of a generation, each with a state of its [`Lifecycle`].

use std::time::Duration;

use crate::claim::{ClaimLease, MAX_STORED_ANSWER, Outcome, StoredAnswer};
use crate::clock::Time;
use crate::request::event::Effect;
use crate::request::lifecycle::{Answering, Claimed, Dispatched, Lifecycle, NotRun};
use crate::request::{FailureCode, RefusalCode};

/// The lifecycle of a request in one of the states of a generation.
#[derive(Debug)]
pub(super) enum Phase<P> {
    /// No byte was sent, or it is proven that nothing ran.
    Ready(Lifecycle<Claimed<P>>),
    /// The first byte may have been sent.
    Sent(Lifecycle<Dispatched<P>>),
    /// An attempt has run, or may have.
    Running(Lifecycle<Answering<P>>),
    /// The final answer was given.
    Finished,
}

impl<P> Phase<P> {
    /// Lease of the claim that the request holds.
    pub(super) fn lease(&self) -> Option<&ClaimLease> {
        match self {
            Self::Ready(life) => life.lease(),
            Self::Sent(life) => life.lease(),
            Self::Running(life) => life.lease(),
            Self::Finished => None,
        }
    }

    /// Starts an attempt, whose first byte may then be sent. On an error it must not.
    pub(super) fn dispatch(self, now: Time, lease: Option<ClaimLease>) -> Result<Self, Self> {
        match self {
            Self::Ready(life) => match life.renew(now, lease).dispatch(now) {
                Ok(life) => Ok(Self::Sent(life)),
                Err(life) => Err(Self::Ready(life)),
            },
            phase => Ok(phase),
        }
    }

    /// Continues after a token arrived or an attempt ended without proof that nothing
    /// ran.
    pub(super) fn answering(self) -> Self {
        match self {
            Self::Sent(life) => Self::Running(life.answering()),
            phase => phase,
        }
    }

    /// Continues after an attempt ended with proof that it ran nothing.
    pub(super) fn not_run(self, proof: NotRun) -> Self {
        match self {
            Self::Sent(life) => Self::Ready(life.not_run(proof)),
            phase => phase,
        }
    }

    /// Ends the request: with the refusal if nothing ran, else with the failure.
    pub(super) fn end(
        self,
        now: Time,
        refusal: RefusalCode,
        failure: FailureCode,
        retry_after: Option<Duration>,
        out: &mut Vec<Effect>,
    ) {
        let token = self.lease().map(ClaimLease::token);
        let answer = match self.answering() {
            Self::Ready(life) => {
                out.extend(token.map(|token| Effect::Release { token }));
                life.refuse(now, refusal, retry_after)
            }
            Self::Running(life) => {
                let outcome = Outcome::Unknown(());
                out.extend(token.map(|token| Effect::Settle { token, outcome }));
                life.fail(failure, retry_after)
            }
            Self::Sent(_) | Self::Finished => return,
        };
        out.push(Effect::Finish(answer));
    }

    /// Ends the request after the whole answer, of these tokens, was passed on.
    pub(super) fn complete(self, texts: &[String], out: &mut Vec<Effect>) {
        let Self::Running(life) = self.answering() else {
            return;
        };
        if let Some(token) = life.lease().map(ClaimLease::token) {
            let outcome = stored_answer(texts);
            out.push(Effect::Settle { token, outcome });
        }
        let count = u32::try_from(texts.len()).unwrap_or(u32::MAX);
        out.push(Effect::Finish(life.complete(count)));
    }
}

fn stored_answer(texts: &[String]) -> Outcome {
    let body = texts.concat().into_bytes();
    if body.len() > MAX_STORED_ANSWER {
        return Outcome::NotStored(());
    }
    Outcome::Stored(StoredAnswer {
        status: 200,
        content_type: StoredAnswer::media_type(texts.len()),
        body,
    })
}
