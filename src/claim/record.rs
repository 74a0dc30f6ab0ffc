//! A claim as stored in the register.

use sha2::{Digest, Sha256};

use crate::claim::message::{
    Answered, Claim, ClaimToken, Granted, InProgress, Purpose, Reply, StoredAnswer,
};
use crate::id::OrganisationId;

/// Largest step by which one [`Expire`](crate::claim::Expire) advances the
/// register's time. After a longer gap the time lags behind, which only retains
/// claims for longer.
pub(super) const MAX_STEP_MS: u64 = 2_000;

/// Memory accounted to a claim besides its stored answer: its slot in a map that
/// is half full, as after growing, and its age entry. The box of a pending claim
/// isn't counted, as few are pending at a time.
pub(super) const RECORD_LEN: u64 = 240;

/// Bytes of a digest that are stored.
pub(super) const DIGEST_LEN: usize = 16;

/// Identifies a claim by the prefix of a digest.
pub(super) type ClaimId = [u8; DIGEST_LEN];

/// Digest of an organisation and its key.
///
/// Guards against one organisation reading or blocking another's claim by using
/// the same key; it could then receive the other's answer. The length prefix
/// distinguishes `a` + `bc` from `ab` + `c`.
fn key_digest(organisation: &str, key: &str) -> [u8; 32] {
    Sha256::new()
        .chain_update((organisation.len() as u64).to_le_bytes())
        .chain_update(organisation)
        .chain_update(key)
        .finalize()
        .into()
}

pub(super) fn claim_id(organisation: &str, key: &str) -> ClaimId {
    digest_prefix(&key_digest(organisation, key))
}

/// The part of a digest that is stored.
pub(super) fn digest_prefix(bytes: &[u8]) -> ClaimId {
    let mut id = ClaimId::default();
    let len = bytes.len().min(DIGEST_LEN);
    id[..len].copy_from_slice(&bytes[..len]);
    id
}

/// Index of the shard that holds the claim, less than `shards`.
///
/// The hash is the same in every release. The number of shards must not change
/// while there are claims: choose more shards than groups and map several shards
/// to each group.
pub(crate) fn shard(organisation: &str, key: &str, shards: u32) -> u32 {
    let digest = key_digest(organisation, key);
    let mut tail = [0; 8];
    tail.copy_from_slice(&digest[24..]);
    let shard = u64::from_le_bytes(tail) % u64::from(shards.max(1));
    u32::try_from(shard).unwrap_or(0)
}

/// Value of [`Record::since`] for a claim that has no age yet.
pub(super) const UNAGED: u64 = u64::MAX;

/// A claim whose outcome is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Pending {
    /// The submission that holds the claim.
    pub(super) token: ClaimToken,
    /// As in [`Claim`], in milliseconds.
    pub(super) dispatch_ms: u32,
    /// As in [`Claim`], in milliseconds.
    pub(super) ttl_ms: u32,
    /// Whether a later submission was told that the outcome is unknown.
    pub(super) reported_unknown: bool,
}

/// Outcome of a claim, as far as it is known. Large variants are boxed, as most
/// retained claims have ended and store no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The outcome is awaited.
    Pending(Box<Pending>),
    /// It was answered; the answer is stored.
    Stored(Box<StoredAnswer>),
    /// It was answered; the answer isn't stored.
    NotStored,
    /// The holder can't tell whether it ran.
    Unknown,
    /// It didn't run; the key stays in use.
    NotRun,
}

/// A claim.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) organisation: OrganisationId,
    /// Prefix of the request's digest.
    pub(super) digest: ClaimId,
    /// Log index of the claim or of its last renewal.
    pub(super) index: u64,
    /// The register's time at the first `Expire` after that index, in milliseconds,
    /// or [`UNAGED`].
    pub(super) since: u64,
    pub(super) state: State,
}

impl Record {
    /// Age of the claim in milliseconds at the register's `time`.
    pub(super) fn age(&self, time: u64) -> u64 {
        match self.since {
            UNAGED => 0,
            since => time.saturating_sub(since),
        }
    }

    /// Bytes accounted to the claim.
    pub(super) fn size(&self) -> u64 {
        let answer_len = match &self.state {
            State::Stored(answer) => answer.body.len() + answer.content_type.len(),
            _ => 0,
        };
        RECORD_LEN + answer_len as u64
    }

    /// Whether the claim is pending and held by `token`.
    pub(super) fn held_by(&self, token: Option<ClaimToken>) -> bool {
        matches!(&self.state, State::Pending(pending) if Some(pending.token) == token)
    }

    /// Replies to another `claim` of the same key at the register's `time`. All times
    /// are in milliseconds.
    pub(super) fn reply_to(
        &mut self,
        claim: &Claim,
        token: ClaimToken,
        time: u64,
        retention: u64,
    ) -> Reply {
        // The reply must still be true when the caller reads it. A claim that is about
        // to be discarded may be gone by then, and a request with its key may have run.
        let age = self.age(time);
        let near_expiry = age + u64::from(claim.dispatch_ms) + MAX_STEP_MS >= retention;
        if self.digest != digest_prefix(&claim.digest) {
            return if near_expiry {
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
            State::NotRun if near_expiry => Reply::Unknown(()),
            State::NotRun => Reply::NotRun(()),
            // The proposal was applied twice; the holder dispatches only once.
            State::Pending(held) if held.token == token => {
                Reply::Granted(Granted { token: Some(token) })
            }
            State::Pending(held) => reply_pending(held, claim, token, age),
        }
    }
}

fn reply_pending(held: &mut Pending, claim: &Claim, token: ClaimToken, age: u64) -> Reply {
    let holder = held.token;
    // A restarted holder has lost the request that it was running.
    let restarted = holder.holder == token.holder && holder.incarnation < token.incarnation;
    let may_dispatch = age < u64::from(held.dispatch_ms) && !restarted;
    let holder_down = claim.purpose() == Purpose::HolderDown && !may_dispatch;
    if restarted || holder_down || age >= u64::from(held.ttl_ms) {
        held.reported_unknown = true;
        return Reply::Unknown(());
    }
    Reply::InProgress(InProgress {
        holder: Some(holder),
        age,
        may_dispatch,
    })
}
