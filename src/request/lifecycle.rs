//! The typestate of a request.
//!
//! `Received -> Admitted -> Claimed -> Dispatched -> Answering`, then the answer.
//!
//! Only the first three states have `refuse`, which creates a [`Refusal`] and can
//! report "not run". [`Dispatched`] can return to [`Claimed`] only with a
//! [`NotRun`], the proof that the upstream ran nothing; [`Answering`] can't. The
//! permit moves through the states and is released by its `Drop`, so exactly once,
//! in whichever state the lifecycle ends.

use std::time::Duration;

use crate::claim::{Answered, ClaimLease, Reply};
use crate::clock::Time;
use crate::id::OrganisationId;
use crate::request::{Answer, Failure, FailureCode, Ran, Refusal, RefusalCode, RequestId};

/// Time that a caller should wait before a retry if nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request in state `S`.
#[derive(Debug)]
pub(crate) struct Lifecycle<S> {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// The organisation that owns the caller's API key.
    pub(crate) organisation: OrganisationId,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Whether the caller sent an idempotency key.
    pub(crate) keyed: bool,
    state: S,
}

/// Parsed and attributed to an organisation.
#[derive(Debug)]
pub(crate) struct Received;

/// Admitted by the limits; holds a permit.
#[derive(Debug)]
pub(crate) struct Admitted<P> {
    permit: P,
}

/// May be dispatched: its claim is granted, or it needs none.
#[derive(Debug)]
pub(crate) struct Claimed<P> {
    permit: P,
    /// Lease of the claim. Present if the request is non-idempotent and has a key.
    lease: Option<ClaimLease>,
}

/// The first byte may have been sent. No earlier attempt ran.
#[derive(Debug)]
pub(crate) struct Dispatched<P> {
    permit: P,
    lease: Option<ClaimLease>,
}

/// An attempt has run, or may have.
#[derive(Debug)]
pub(crate) struct Answering<P> {
    permit: P,
    lease: Option<ClaimLease>,
}

/// Proof that an upstream ran nothing of an attempt.
#[derive(Debug)]
pub(crate) struct NotRun(());

impl NotRun {
    /// The connection was refused, so no process received a byte.
    pub(crate) fn refused() -> Self {
        Self(())
    }

    /// The upstream replied, before any token, that it is busy and didn't run the
    /// request.
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
    /// Guards against a false "not run" when a caller resends a keyed request after
    /// it lost the answer: the first submission may have run, which only the claims
    /// know. Until they have been consulted, only requests that need no claim are
    /// reported as not run.
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
    /// Creates the lifecycle of a request that has just been parsed.
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

    /// Admits the request. `permit` is released when the lifecycle ends.
    pub(crate) fn admit<P>(self, permit: P) -> Lifecycle<Admitted<P>> {
        self.map(|Received| Admitted { permit })
    }

    /// Refuses the request.
    pub(crate) fn refuse(self, code: RefusalCode, retry_after: Option<Duration>) -> Answer {
        self.refuse_unclaimed(code, retry_after)
    }
}

impl<P> Lifecycle<Admitted<P>> {
    /// Continues without a claim, if the request needs none.
    pub(crate) fn without_claim(self) -> Result<Lifecycle<Claimed<P>>, Self> {
        if self.needs_claim() {
            return Err(self);
        }
        Ok(self.map(|Admitted { permit }| Claimed {
            permit,
            lease: None,
        }))
    }

    /// Applies the reply to the claim: continues with `lease` if the claim was
    /// granted, else returns the final answer.
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
            // A late reply may be out of date, as the key may have been used since.
            Reply::Mismatch(()) if lease.permits_dispatch(now) => not_run(RefusalCode::KeyMismatch),
            Reply::NotRun(()) if lease.permits_dispatch(now) => not_run(RefusalCode::KeyRetired),
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
    /// Lease of the claim, which must be released if the request is refused.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// Replaces the lease of a claim that was renewed, at `now`, if the old lease is
    /// still exclusive. Otherwise the claim may have been discarded.
    ///
    /// Guards against a holder that was frozen for longer than the retention. Its
    /// claim was reported as unknown and discarded, then granted again to a delayed
    /// duplicate of its own proposal. With the renewed lease, the request would run.
    pub(crate) fn renew(mut self, now: Time, lease: Option<ClaimLease>) -> Self {
        let same = |held: &ClaimLease| lease.is_some_and(|l| l.token() == held.token());
        let held = self.state.lease.as_ref();
        if held.is_some_and(|held| same(held) && held.is_exclusive(now)) {
            self.state.lease = lease;
        }
        self
    }

    /// Permits sending the first byte now.
    ///
    /// # Errors
    ///
    /// The unchanged state, if the lease of the claim has ended: an instance that was
    /// frozen must not dispatch on a claim that others consider lost.
    pub(crate) fn dispatch(self, now: Time) -> Result<Lifecycle<Dispatched<P>>, Self> {
        let valid = self
            .state
            .lease
            .as_ref()
            .is_none_or(|l| l.permits_dispatch(now));
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
        let exclusive = self
            .state
            .lease
            .as_ref()
            .is_none_or(|l| l.is_exclusive(now));
        let ran = if exclusive { Ran::No } else { Ran::Unknown };
        Answer::Refused(Refusal::new(code, ran, retry_after))
    }
}

impl<P> Lifecycle<Dispatched<P>> {
    /// Time by which the first byte must be sent, if limited.
    pub(crate) fn send_by(&self) -> Option<Time> {
        self.state.lease.as_ref().map(ClaimLease::end)
    }

    /// Lease of the claim, which must be settled when the request ends.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// Returns to the state before dispatch, on proof that nothing ran.
    pub(crate) fn not_run(self, _proof: NotRun) -> Lifecycle<Claimed<P>> {
        self.map(|Dispatched { permit, lease }| Claimed { permit, lease })
    }

    /// Continues after a token arrived or an attempt ended without proof that nothing
    /// ran.
    pub(crate) fn answering(self) -> Lifecycle<Answering<P>> {
        self.map(|Dispatched { permit, lease }| Answering { permit, lease })
    }
}

impl<P> Lifecycle<Answering<P>> {
    /// Lease of the claim, which must be settled when the request ends.
    pub(crate) fn lease(&self) -> Option<&ClaimLease> {
        self.state.lease.as_ref()
    }

    /// Ends the request after the whole answer was passed on.
    pub(crate) fn complete(self, count: u32) -> Answer {
        drop(self.state.permit);
        Answer::Complete { count }
    }

    /// Ends the request without a complete answer.
    ///
    /// A request that must not run twice always gets
    /// [`FailureCode::OutcomeUnknown`] instead of a code that invites a retry.
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
