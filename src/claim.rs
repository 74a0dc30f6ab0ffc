//! Fleet-wide claims on non-idempotent requests: at most one run each.
//!
//! An instance claims a request's key in the replicated register ([`Claims`])
//! before the first byte goes to an upstream, and settles the claim when the
//! outcome is known. A claim that was granted is never granted again until its
//! holder releases it, knowing that no byte left, or until its retention ends.
//!
//! Three moments bound a claim, all counted from when the holder first sent it:
//! until `start` the holder may dispatch (its [`ClaimLease`] ends a little
//! earlier on its own clock), until `ttl` its answer is awaited, and until the
//! retention ends the claim is remembered.

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
