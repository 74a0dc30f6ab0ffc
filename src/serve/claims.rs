//! Claims of non-idempotent requests, committed over the replicated log.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::{Held, Server};
use crate::claim::{
    Action, Bounds, Claim, ClaimLease, ClaimToken, DISPATCH_WINDOW, Outcome, Purpose, Release,
    Reply, Settle, shard,
};
use crate::clock::Time;
use crate::id::Incarnation;
use crate::propose::Proposer;
use crate::request::{Admitted, Answer, Claimed, Lifecycle, RefusalCode};

/// Time to get a settlement or release recorded. It runs in the background; a
/// claim that stays open is answered "unknown", never run again.
const RECORD: Duration = Duration::from_secs(20);

/// Margin behind the request's own time in which its outcome is awaited.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// What one claim is about.
#[derive(Clone, Debug)]
pub(crate) struct ClaimKey {
    pub(crate) organisation: String,
    pub(crate) key: String,
    /// SHA-256 of what makes it the same request.
    pub(crate) digest: Vec<u8>,
}

/// Gives a claim back that isn't used.
///
/// Guards against a caller that leaves while its claim is being recorded: the
/// task ends at that point, and its next sending would be told "in progress"
/// and then "unknown" of a request that nobody runs.
struct Unused {
    server: Arc<Server>,
    key: ClaimKey,
    token: ClaimToken,
    armed: bool,
}

impl Drop for Unused {
    fn drop(&mut self) {
        if self.armed {
            self.server.release(self.key.clone(), self.token);
        }
    }
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

impl Server {
    /// Claims the request's key, if it has to. Nothing may be sent before.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        life: Lifecycle<Admitted<Held>>,
        key: Option<&ClaimKey>,
        deadline: Time,
    ) -> Result<Lifecycle<Claimed<Held>>, Answer> {
        let (life, key) = match (life.without_claim(), key) {
            (Ok(life), _) => return Ok(life),
            (Err(life), Some(key)) => (life, key),
            (Err(life), None) => return Err(life.refuse(RefusalCode::ClaimUnavailable, None)),
        };
        let token = ClaimToken::from(life.id);
        let lease = self.lease(token);
        let mut unused = Unused {
            server: Arc::clone(self),
            key: key.clone(),
            token,
            armed: true,
        };
        let mut reply = self.claims(key, token, deadline, Purpose::Run).await;
        if self.doubts(reply.as_ref()) {
            reply = self.claims(key, token, deadline, Purpose::HolderDown).await;
        }
        let Some(reply) = reply else {
            return Err(life.refuse(RefusalCode::ClaimUnavailable, None));
        };
        // A claim of ours that others count as lost is given back as well.
        unused.armed = matches!(reply, Reply::Stale(()));
        life.claimed(self.now(), lease, reply)
    }

    /// Renews a claim before dispatch. `None` leaves it as it is.
    pub(crate) async fn renew(
        &self,
        key: &ClaimKey,
        token: ClaimToken,
        deadline: Time,
    ) -> Option<ClaimLease> {
        let lease = self.lease(token);
        let reply = self.claims(key, token, deadline, Purpose::Renew).await?;
        matches!(reply, Reply::Granted(granted) if granted.token == Some(token)).then_some(lease)
    }

    /// The lease of a claim that is sent now.
    fn lease(&self, token: ClaimToken) -> ClaimLease {
        ClaimLease::new(token, self.now(), Bounds::default().retention)
    }

    /// Sends a claim and gives the reply, or `None` if it may not be recorded.
    async fn claims(
        &self,
        key: &ClaimKey,
        token: ClaimToken,
        deadline: Time,
        purpose: Purpose,
    ) -> Option<Reply> {
        let time = deadline.since(self.now());
        let claim = Claim {
            organisation: key.organisation.clone(),
            key: key.key.clone(),
            digest: key.digest.clone(),
            token: Some(token),
            dispatch_ms: millis(DISPATCH_WINDOW),
            ttl_ms: millis(time + SETTLE_MARGIN),
            purpose: purpose.into(),
        };
        let command = Action::Claim(claim).into_bytes();
        let reply = self
            .register(key)
            .propose(command.into(), DISPATCH_WINDOW)
            .await;
        Reply::from_bytes(&reply.ok()?)
    }

    /// Whether the claim's holder is down and can't dispatch any more.
    fn doubts(&self, reply: Option<&Reply>) -> bool {
        let Some(Reply::InProgress(found)) = reply else {
            return false;
        };
        let alive = |t: ClaimToken| self.alive(t.instance(), Incarnation(t.incarnation));
        !found.may_dispatch && !found.holder.is_some_and(alive)
    }

    /// Records in the background that a claim wasn't used.
    pub(crate) fn release(self: &Arc<Self>, key: ClaimKey, token: ClaimToken) {
        let register = self.register(&key);
        let action = Action::Release(Release {
            organisation: key.organisation,
            key: key.key,
            token: Some(token),
        });
        self.record(register, action);
    }

    /// Records in the background how a claimed request ended.
    pub(crate) fn settle(self: &Arc<Self>, key: ClaimKey, token: ClaimToken, outcome: Outcome) {
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
        let claims = &self.deps.claims;
        let shards = u32::try_from(claims.len()).unwrap_or(1);
        let shard = shard(&key.organisation, &key.key, shards);
        Arc::clone(&claims[usize::try_from(shard).unwrap_or(0)])
    }

    fn record(self: &Arc<Self>, claims: Arc<Proposer>, action: Action) {
        // A graceful shutdown waits for it as for a running request.
        let running = self.deps.gate.hold();
        tokio::spawn(async move {
            let _ = claims.propose(action.into_bytes().into(), RECORD).await;
            drop(running);
        });
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
