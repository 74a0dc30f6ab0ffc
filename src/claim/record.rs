//! One claim as the register stores it.

use sha2::{Digest, Sha256};

use crate::claim::message::{
    Answered, Claim, ClaimToken, Granted, InProgress, Purpose, Reply, StoredAnswer,
};
use crate::id::OrganisationId;

/// Most that one [`Expire`](crate::claim::Expire) moves the register's time, in
/// milliseconds. After a longer gap the time lags behind, which only keeps
/// claims for longer.
pub(super) const LONGEST_STEP: u64 = 2_000;

/// Bytes that a claim is counted with, besides its kept answer: its entry in a
/// map that is half full after it has grown, and its place in the order of age.
/// The box of an awaited outcome isn't counted; few are awaited at a time.
pub(super) const RECORD_LEN: u64 = 240;

/// Bytes of a digest that are kept.
pub(super) const DIGEST_LEN: usize = 16;

/// Name of a claim.
pub(super) type Id = [u8; DIGEST_LEN];

/// Name of a claim: a digest of organisation and key.
///
/// Guards against one organisation reading or blocking another's claim by the
/// same key; it would show as another's letter in the answer. The length in
/// front keeps `a` + `bc` apart from `ab` + `c`.
fn digest(organisation: &str, key: &str) -> [u8; 32] {
    Sha256::new()
        .chain_update((organisation.len() as u64).to_le_bytes())
        .chain_update(organisation)
        .chain_update(key)
        .finalize()
        .into()
}

pub(super) fn id(organisation: &str, key: &str) -> Id {
    head(&digest(organisation, key))
}

/// The part of a digest that is kept.
pub(super) fn head(bytes: &[u8]) -> Id {
    let mut id = Id::default();
    let len = bytes.len().min(DIGEST_LEN);
    id[..len].copy_from_slice(&bytes[..len]);
    id
}

/// The shard, below `shards`, whose register holds the claim.
///
/// The hash is the same in every release. The number of shards must not change
/// while claims live: choose more shards than groups and map several to each.
pub(crate) fn shard(organisation: &str, key: &str, shards: u32) -> u32 {
    let digest = digest(organisation, key);
    let mut tail = [0; 8];
    tail.copy_from_slice(&digest[24..]);
    let shard = u64::from_le_bytes(tail) % u64::from(shards.max(1));
    u32::try_from(shard).unwrap_or(0)
}

/// `since` of a claim that has no age yet.
pub(super) const FRESH: u64 = u64::MAX;

/// A claim whose outcome is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    /// The sending that holds it.
    pub(super) token: ClaimToken,
    /// As in [`Claim`](crate::claim::Claim), in milliseconds.
    pub(super) dispatch_ms: u32,
    /// As in [`Claim`](crate::claim::Claim), in milliseconds.
    pub(super) ttl_ms: u32,
    /// Whether a later sending was told that the outcome may be unknown.
    pub(super) reported_unknown: bool,
}

/// What is known of the outcome. Boxed where it is large: most claims that a
/// register remembers have ended and keep no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The outcome is awaited.
    Pending(Box<Pending>),
    /// It was answered so.
    Stored(Box<StoredAnswer>),
    /// It was answered.
    NotStored,
    /// The holder itself can't tell.
    Unknown,
    /// It didn't run; the key stays used.
    NotRun,
}

/// One claim.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) organisation: OrganisationId,
    /// Head of the request's digest.
    pub(super) digest: Id,
    /// Log index of the claim.
    pub(super) index: u64,
    /// Register's time at the first `Expire` after the claim, in milliseconds,
    /// or [`FRESH`].
    pub(super) since: u64,
    pub(super) state: State,
}

impl Record {
    /// Time since the claim, in milliseconds, at the register's `time`.
    pub(super) fn age(&self, time: u64) -> u64 {
        match self.since {
            FRESH => 0,
            since => time.saturating_sub(since),
        }
    }

    /// Bytes that it is counted with.
    pub(super) fn cost(&self) -> u64 {
        let answer_len = match &self.state {
            State::Stored(answer) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        };
        RECORD_LEN + answer_len as u64
    }

    /// Whether `token` holds it and its outcome is awaited.
    pub(super) fn held(&self, token: Option<ClaimToken>) -> bool {
        matches!(&self.state, State::Pending(pending) if Some(pending.token) == token)
    }

    /// Replies to `claim` of its key at the register's `time`; all times are in
    /// milliseconds.
    pub(super) fn found(
        &mut self,
        claim: &Claim,
        token: ClaimToken,
        time: u64,
        retention: u64,
    ) -> Reply {
        // What is said of a claim that is about to be forgotten must stay true
        // until the caller reads it, although the key may be free and run by then.
        let age = self.age(time);
        let ending = age + u64::from(claim.dispatch_ms) + LONGEST_STEP >= retention;
        if self.digest != head(&claim.digest) {
            return if ending {
                Reply::Unknown(())
            } else {
                Reply::Mismatch(())
            };
        }
        match &mut self.state {
            State::Stored(answer) => {
                let answer = Some(StoredAnswer::clone(answer));
                Reply::Answered(Answered { answer })
            }
            State::NotStored => Reply::Answered(Answered { answer: None }),
            State::Unknown => Reply::Unknown(()),
            State::NotRun if ending => Reply::Unknown(()),
            State::NotRun => Reply::NotRun(()),
            // The proposal arrived twice; the holder still dispatches once.
            State::Pending(held) if held.token == token => {
                Reply::Granted(Granted { token: Some(token) })
            }
            State::Pending(held) => pending(held, claim, token, age),
        }
    }
}

fn pending(held: &mut Pending, claim: &Claim, token: ClaimToken, age: u64) -> Reply {
    let holder = held.token;
    // A holder that started again has lost what it ran.
    let restarted = holder.holder == token.holder && holder.incarnation < token.incarnation;
    let may_dispatch = age < u64::from(held.dispatch_ms) && !restarted;
    let doubted = claim.purpose() == Purpose::HolderDown && !may_dispatch;
    if restarted || doubted || age >= u64::from(held.ttl_ms) {
        held.reported_unknown = true;
        return Reply::Unknown(());
    }
    Reply::InProgress(InProgress {
        holder: Some(holder),
        age,
        may_dispatch,
    })
}
