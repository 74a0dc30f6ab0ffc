//! The typestate of a request.
//!
//! `Received -> Admitted -> Claimed -> Dispatched -> Answering`, then the answer.
//!
//! Only the first three states have `refuse`, the only source of a
//! [`Refusal`] and so of "not run". From [`Dispatched`] a way back leads only
//! over [`NotRun`], the proof that the upstream ran nothing; from [`Answering`]
//! there is none. The permit moves through the states and is given back by its
//! `Drop`, so exactly once, wherever the life ends.

use std::time::Duration;

use crate::claim::{Answered, ClaimLease, Reply};
use crate::clock::Time;
use crate::id::OrganisationId;
use crate::request::{Answer, Failure, FailureCode, Ran, Refusal, RefusalCode, RequestId};

/// Pause that a caller should make where nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Lifecycle<S> {
    /// Number of the request.
    pub(crate) id: RequestId,
    /// The organisation whose key the caller showed.
    pub(crate) organisation: OrganisationId,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// Whether the caller gave an idempotency key.
    pub(crate) keyed: bool,
    state: S,
}

/// Read and attributed to an organisation.
#[derive(Debug)]
pub(crate) struct Received;

/// Let in by the limits; holds a permit.
#[derive(Debug)]
pub(crate) struct Admitted<P> {
    permit: P,
}

/// May be dispatched: a claim is recorded, or none is needed.
#[derive(Debug)]
pub(crate) struct Claimed<P> {
    permit: P,
    /// The claim. Present if the request is non-idempotent and has a key.
    lease: Option<ClaimLease>,
}

/// The first byte may have left. No earlier attempt ran.
#[derive(Debug)]
pub(crate) struct Dispatched<P> {
    permit: P,
    lease: Option<ClaimLease>,
}

/// Some attempt has run, or may have.
#[derive(Debug)]
pub(crate) struct Answering<P> {
    permit: P,
    lease: Option<ClaimLease>,
}

/// Proof that an upstream ran nothing of an attempt.
#[derive(Debug)]
pub(crate) struct NotRun(());

impl NotRun {
    /// The connection was refused: no byte reached a process.
    pub(crate) fn refused() -> Self {
        Self(())
    }

    /// The upstream itself answered, before any token, that it is busy and
    /// didn't run the request.
    pub(crate) fn busy() -> Self {
        Self(())
    }
}

impl<S> Lifecycle<S> {
    fn map<T>(self, change: impl FnOnce(S) -> T) -> Lifecycle<T> {
        Lifecycle {
            id: self.id,
            organisation: self.organisation,
            idempotent: self.idempotent,
            keyed: self.keyed,
            state: change(self.state),
        }
    }

    /// Whether a claim must be recorded before dispatch.
    pub(crate) fn needs_claim(&self) -> bool {
        self.keyed && !self.idempotent
    }

    /// A refusal before the claim is granted.
    ///
    /// Guards against a false "not run" to a caller who sends a keyed request
    /// again after a lost answer: the first sending may have run, and only the
    /// claims know. So until they were asked, "not run" is said only of
    /// requests that need no claim.
    fn refuse_unclaimed(&self, code: RefusalCode, retry_after: Option<Duration>) -> Answer {
        let ran = if self.needs_claim() {
            Ran::Unknown
        } else {
            Ran::No
        };
        Answer::Refused(Refusal::new(code, ran, retry_after))
    }
}

impl Lifecycle<Received> {
    /// A request that has just been read.
    pub(crate) fn new(
        id: RequestId,
        organisation: OrganisationId,
        idempotent: bool,
        keyed: bool,
    ) -> Self {
        Self {
            id,
            organisation,
            idempotent,
            keyed,
            state: Received,
        }
    }

    /// Lets the request in; `permit` is given back when its life ends.
    pub(crate) fn admit<P>(self, permit: P) -> Lifecycle<Admitted<P>> {
        self.map(|Received| Admitted { permit })
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, code: RefusalCode, retry_after: Option<Duration>) -> Answer {
        self.refuse_unclaimed(code, retry_after)
    }
}

impl<P> Lifecycle<Admitted<P>> {
    /// Goes on without a claim, if the request needs none.
    pub(crate) fn without_claim(self) -> Result<Lifecycle<Claimed<P>>, Self> {
        if self.needs_claim() {
            return Err(self);
        }
        Ok(self.map(|Admitted { permit }| Claimed {
            permit,
            lease: None,
        }))
    }

    /// Goes on as the claims replied: dispatch if `lease` was granted, else the
    /// final answer.
    pub(crate) fn claimed(
        self,
        now: Time,
        lease: ClaimLease,
        reply: Reply,
    ) -> Result<Lifecycle<Claimed<P>>, Answer> {
        let failed = |code, retry_after| Answer::Failed(Failure::new(code, retry_after));
        let not_run = |code| Answer::Refused(Refusal::new(code, Ran::No, None));
        let answer = match reply {
            Reply::Granted(granted) if granted.token == Some(lease.token()) => {
                return Ok(self.map(|Admitted { permit }| Claimed {
                    permit,
                    lease: Some(lease),
                }));
            }
            Reply::InProgress(_) => failed(FailureCode::InProgress, Some(DEFAULT_RETRY_AFTER)),
            Reply::Unknown(()) => failed(FailureCode::OutcomeUnknown, None),
            Reply::Answered(Answered {
                answer: Some(stored),
            }) => Answer::Stored(stored),
            Reply::Answered(_) => failed(FailureCode::AnswerNotKept, None),
            // A late reply may be outdated: the key may have been used since.
            Reply::Mismatch(()) if lease.valid(now) => not_run(RefusalCode::KeyMismatch),
            Reply::NotRun(()) if lease.valid(now) => not_run(RefusalCode::KeyRetired),
            Reply::Full(full) => {
                let retry_after = Duration::from_millis(full.retry_after_ms);
                self.refuse_unclaimed(RefusalCode::ClaimsFull, Some(retry_after))
            }
            _ => self.refuse_unclaimed(RefusalCode::ClaimUnavailable, Some(DEFAULT_RETRY_AFTER)),
        };
        Err(answer)
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, code: RefusalCode, retry_after: Option<Duration>) -> Answer {
        self.refuse_unclaimed(code, retry_after)
    }
}

impl<P> Lifecycle<Claimed<P>> {
    /// The claim, to be released when the request is refused.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// Takes the new lease of a claim that was renewed, at `now`.
    ///
    /// Guards against a holder that was frozen for longer than the retention.
    /// Its claim was called unknown and forgotten, and a proposal of its own
    /// that had been on the way got it granted once more; renewed, it would run.
    /// Before that time the claim can't have been forgotten.
    pub(crate) fn renew(mut self, now: Time, lease: Option<ClaimLease>) -> Self {
        let same = |held: &ClaimLease| lease.is_some_and(|l| l.token() == held.token());
        let held = self.state.lease.as_ref();
        if held.is_some_and(|held| same(held) && held.exclusive(now)) {
            self.state.lease = lease;
        }
        self
    }

    /// Allows the first byte to leave now, and only now.
    ///
    /// # Errors
    ///
    /// The life itself, when its claim's lease has ended: an instance that was
    /// frozen must not dispatch on a claim that others count as lost.
    pub(crate) fn dispatch(self, now: Time) -> Result<Lifecycle<Dispatched<P>>, Self> {
        let valid = self.state.lease.as_ref().is_none_or(|l| l.valid(now));
        if !valid {
            return Err(self);
        }
        Ok(self.map(|Claimed { permit, lease }| Dispatched { permit, lease }))
    }

    /// Refuses the request at `now`. The claim, if any, must be released.
    pub(crate) fn refuse(
        self,
        now: Time,
        code: RefusalCode,
        retry_after: Option<Duration>,
    ) -> Answer {
        let exclusive = self.state.lease.as_ref().is_none_or(|l| l.exclusive(now));
        let ran = if exclusive { Ran::No } else { Ran::Unknown };
        Answer::Refused(Refusal::new(code, ran, retry_after))
    }
}

impl<P> Lifecycle<Dispatched<P>> {
    /// End of the time in which the first byte may leave.
    pub(crate) fn send_by(&self) -> Option<Time> {
        self.state.lease.as_ref().map(ClaimLease::end)
    }

    /// The claim, to be settled when the request ends.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// Back to the state before dispatch, on proof that nothing ran.
    pub(crate) fn not_run(self, _proof: NotRun) -> Lifecycle<Claimed<P>> {
        self.map(|Dispatched { permit, lease }| Claimed { permit, lease })
    }

    /// A token came, or the attempt ended without proof that nothing ran.
    pub(crate) fn answering(self) -> Lifecycle<Answering<P>> {
        self.map(|Dispatched { permit, lease }| Answering { permit, lease })
    }
}

impl<P> Lifecycle<Answering<P>> {
    /// The claim, to be settled when the request ends.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// The whole answer was passed on.
    pub(crate) fn complete(self, count: u32) -> Answer {
        drop(self.state.permit);
        Answer::Complete { count }
    }

    /// No whole answer will come.
    ///
    /// A request that must not run twice is always told so: the other codes
    /// invite the caller to send it again.
    pub(crate) fn fail(self, code: FailureCode, retry_after: Option<Duration>) -> Answer {
        let code = match code {
            FailureCode::AnswerCut | FailureCode::DeadlineExceeded if !self.idempotent => {
                FailureCode::OutcomeUnknown
            }
            code => code,
        };
        Answer::Failed(Failure::new(code, retry_after))
    }
}
