//! Claims of non-idempotent requests, committed through the replicated log.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::{PermitGuard, Server};
use crate::claim::{
    Action, Bounds, Claim, ClaimLease, ClaimToken, DISPATCH_WINDOW, Outcome, Purpose, Release,
    Reply, Settle, shard,
};
use crate::clock::Time;
use crate::id::Incarnation;
use crate::propose::Proposer;
use crate::request::{Admitted, Answer, Claimed, Lifecycle, RefusalCode};

/// Timeout for committing a settlement or release in the background. If the commit
/// fails, the claim stays open, and a repeated request is answered with "unknown"
/// but never runs again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after the request's deadline during which its outcome is still awaited.
const SETTLE_MARGIN: Duration = Duration::from_secs(5);

/// Identity of a claimed request.
#[derive(Clone, Debug)]
pub(crate) struct ClaimKey {
    pub(crate) organisation: String,
    pub(crate) key: String,
    /// SHA-256 digest of the request, see [`request_digest`].
    pub(crate) digest: Vec<u8>,
}

/// Releases an unused claim when dropped.
///
/// If the caller disconnects while its claim is being committed, the task ends
/// at that point. Without the release, a repeated request would be answered with
/// "in progress" and then "unknown", although nothing runs.
struct ReleaseOnDrop {
    server: Arc<Server>,
    key: ClaimKey,
    token: ClaimToken,
    armed: bool,
}

impl Drop for ReleaseOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.server.release(self.key.clone(), self.token);
        }
    }
}

/// SHA-256 digest of the parts that identify a request. Each part is prefixed
/// with its length, so that different splits differ.
pub(crate) fn request_digest(parts: &[&[u8]]) -> Vec<u8> {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize().to_vec()
}

impl Server {
    /// Claims the request's key if it needs a claim. The request must not be sent
    /// to an upstream before.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        lifecycle: Lifecycle<Admitted<PermitGuard>>,
        key: Option<&ClaimKey>,
        deadline: Time,
    ) -> Result<Lifecycle<Claimed<PermitGuard>>, Answer> {
        let (lifecycle, key) = match (lifecycle.without_claim(), key) {
            (Ok(lifecycle), _) => return Ok(lifecycle),
            (Err(lifecycle), Some(key)) => (lifecycle, key),
            (Err(lifecycle), None) => {
                return Err(lifecycle.refuse(RefusalCode::ClaimUnavailable, None));
            }
        };
        let token = ClaimToken::from(lifecycle.id);
        let lease = self.lease(token);
        let mut guard = ReleaseOnDrop {
            server: Arc::clone(self),
            key: key.clone(),
            token,
            armed: true,
        };
        let mut reply = self.propose_claim(key, token, deadline, Purpose::Run).await;
        if self.holder_is_down(reply.as_ref()) {
            reply = self
                .propose_claim(key, token, deadline, Purpose::HolderDown)
                .await;
        }
        let Some(reply) = reply else {
            return Err(lifecycle.refuse(RefusalCode::ClaimUnavailable, None));
        };
        // A claim that others already consider lost is released as well.
        guard.armed = matches!(reply, Reply::Stale(()));
        lifecycle.claimed(self.now(), lease, reply)
    }

    /// Renews a claim before dispatch. Returns `None` if it isn't renewed.
    pub(crate) async fn renew(
        &self,
        key: &ClaimKey,
        token: ClaimToken,
        deadline: Time,
    ) -> Option<ClaimLease> {
        let lease = self.lease(token);
        let reply = self
            .propose_claim(key, token, deadline, Purpose::Renew)
            .await?;
        matches!(reply, Reply::Granted(granted) if granted.token == Some(token)).then_some(lease)
    }

    /// Returns the lease of a claim that is proposed now.
    fn lease(&self, token: ClaimToken) -> ClaimLease {
        ClaimLease::new(token, self.now(), Bounds::default().retention)
    }

    /// Proposes a claim. Returns `None` if it may not have been committed.
    async fn propose_claim(
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
            .claim_proposer(key)
            .propose(command.into(), DISPATCH_WINDOW)
            .await;
        Reply::from_bytes(&reply.ok()?)
    }

    /// Returns whether the holder of the claim is down and can't dispatch it any
    /// more.
    fn holder_is_down(&self, reply: Option<&Reply>) -> bool {
        let Some(Reply::InProgress(found)) = reply else {
            return false;
        };
        let alive = |t: ClaimToken| self.alive(t.instance(), Incarnation(t.incarnation));
        !found.may_dispatch && !found.holder.is_some_and(alive)
    }

    /// Releases an unused claim in the background.
    pub(crate) fn release(self: &Arc<Self>, key: ClaimKey, token: ClaimToken) {
        let proposer = self.claim_proposer(&key);
        let action = Action::Release(Release {
            organisation: key.organisation,
            key: key.key,
            token: Some(token),
        });
        self.propose_in_background(proposer, action);
    }

    /// Records the outcome of a claimed request in the background.
    pub(crate) fn settle(self: &Arc<Self>, key: ClaimKey, token: ClaimToken, outcome: Outcome) {
        let proposer = self.claim_proposer(&key);
        let action = Action::Settle(Settle {
            organisation: key.organisation,
            key: key.key,
            token: Some(token),
            outcome: Some(outcome),
        });
        self.propose_in_background(proposer, action);
    }

    /// Returns the proposer for the shard of the claim.
    fn claim_proposer(&self, key: &ClaimKey) -> Arc<Proposer> {
        let claims = &self.deps.claims;
        let shards = u32::try_from(claims.len()).unwrap_or(1);
        let shard = shard(&key.organisation, &key.key, shards);
        Arc::clone(&claims[usize::try_from(shard).unwrap_or(0)])
    }

    fn propose_in_background(self: &Arc<Self>, proposer: Arc<Proposer>, action: Action) {
        // A graceful shutdown waits for the commit as for a running request.
        let running = self.deps.gate.track();
        tokio::spawn(async move {
            let _ = proposer
                .propose(action.into_bytes().into(), COMMIT_TIMEOUT)
                .await;
            drop(running);
        });
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
