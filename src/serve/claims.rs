//! Claims of non-idempotent requests, committed over the replicated log.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::{Held, Serving};
use crate::claim::{
    Action, Bounds, Claim, ClaimLease, Outcome, Release, Reply, START, Settle, Token, shard,
};
use crate::id::Incarnation;
use crate::propose::Proposer;
use crate::request::{Admitted, Answer, Claimed, Life, RefusalCode};

/// Time to get a settlement or release recorded. It runs in the background; a
/// claim that stays open is answered "unknown", never run again.
const RECORD: Duration = Duration::from_secs(20);

/// Margin behind the request's own time in which its outcome is awaited.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// Names one claim: the organisation and its key.
#[derive(Clone, Debug)]
pub(crate) struct ClaimKey {
    pub(crate) organisation: String,
    pub(crate) key: String,
}

/// SHA-256 over the parts of a request that make it the same request.
pub(crate) fn request_digest(parts: &[&[u8]]) -> Vec<u8> {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize().to_vec()
}

impl Serving {
    /// Claims the request's key, if it has to. Nothing may be sent before.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        life: Life<Admitted<Held>>,
        key: Option<&ClaimKey>,
        digest: Vec<u8>,
        time: Duration,
    ) -> Result<Life<Claimed<Held>>, Answer> {
        let (life, key) = match (life.unclaimed(), key) {
            (Ok(life), _) => return Ok(life),
            (Err(life), Some(key)) => (life, key),
            (Err(life), None) => return Err(life.refuse(RefusalCode::ClaimUnavailable, None)),
        };
        let token = Token::from(life.id);
        let lease = ClaimLease::new(token, self.now(), Bounds::default().retention);
        let claim = Claim {
            organisation: key.organisation.clone(),
            key: key.key.clone(),
            digest,
            token: Some(token),
            start: millis(START),
            ttl: millis(time + SETTLE_MARGIN),
        };
        let command = Action::Claim(claim).into_bytes();
        let reply = self.register(key).propose(command.into(), START).await;
        let reply = reply.ok().and_then(|bytes| Reply::from_bytes(&bytes));
        let Some(reply) = reply else {
            // The claim may be recorded yet. It isn't used, so it is given
            // back; else the caller's next try would find it taken.
            self.release(key.clone(), token);
            return Err(life.refuse(RefusalCode::ClaimUnavailable, None));
        };
        let holder = match &reply {
            Reply::InProgress(found) => found.holder,
            _ => None,
        };
        let alive = holder.is_some_and(|t| self.alive(t.instance(), Incarnation(t.incarnation)));
        life.claimed(self.now(), lease, reply, alive)
    }

    /// Records in the background that a claim wasn't used.
    pub(crate) fn release(self: &Arc<Self>, key: ClaimKey, token: Token) {
        let register = self.register(&key);
        let action = Action::Release(Release {
            organisation: key.organisation,
            key: key.key,
            token: Some(token),
        });
        self.record(register, action);
    }

    /// Records in the background how a claimed request ended.
    pub(crate) fn settle(self: &Arc<Self>, key: ClaimKey, token: Token, outcome: Outcome) {
        let register = self.register(&key);
        let action = Action::Settle(Settle {
            organisation: key.organisation,
            key: key.key,
            token: Some(token),
            outcome: Some(outcome),
        });
        self.record(register, action);
    }

    /// The register that holds the claim.
    fn register(&self, key: &ClaimKey) -> Arc<Proposer> {
        let claims = &self.parts.claims;
        let shards = u32::try_from(claims.len()).unwrap_or(1);
        let shard = shard(&key.organisation, &key.key, shards);
        Arc::clone(&claims[usize::try_from(shard).unwrap_or(0)])
    }

    fn record(self: &Arc<Self>, claims: Arc<Proposer>, action: Action) {
        // A graceful shutdown waits for it as for a running request.
        let running = self.parts.gate.hold();
        tokio::spawn(async move {
            let _ = claims.propose(action.into_bytes().into(), RECORD).await;
            drop(running);
        });
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
