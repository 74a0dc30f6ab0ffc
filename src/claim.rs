//! Fleet-wide claims that let a non-idempotent request run at most once.
//!
//! An instance claims a request's idempotency key in the replicated register
//! ([`Claims`]) before it sends the first byte to an upstream, and settles the
//! claim when the outcome is known. A granted claim isn't granted again until its
//! holder releases it, knowing that no byte was sent, or until its retention ends.
//!
//! A claim has three deadlines, counted from when the holder first sent it: until
//! `dispatch_ms` the holder may dispatch (its [`ClaimLease`] ends slightly earlier
//! on its own clock), until `ttl_ms` the outcome is awaited, and until the end of
//! the retention the register keeps the claim.

mod lease;
mod machine;
mod message;
mod record;
mod snapshot;
mod ticker;
mod usage;

pub(crate) use lease::{ClaimLease, DISPATCH_WINDOW};
pub(crate) use machine::{Bounds, Claims};
pub(crate) use message::{
    Action, Answered, Claim, ClaimToken, Expire, MAX_KEY, MAX_STORED_ANSWER, Outcome, Purpose,
    Release, Reply, Settle, StoredAnswer, Ticked,
};
#[cfg(test)]
pub(crate) use message::{Full, Granted, InProgress};
pub(crate) use record::shard;
pub(crate) use ticker::Ticker;
