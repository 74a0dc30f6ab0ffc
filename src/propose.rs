//! Proposes commands from any instance: finds the leader and sends it the request.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout_at};

use crate::id::InstanceId;
use crate::message::{Answer, Ask, Propose, Request};
use crate::node::Node;

/// Timeout of one attempt. A commit takes two syncs and a round trip.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reason why a command has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotCommitted {
    /// No voter accepted the command: it isn't and won't be committed.
    Refused,
    /// At least one voter may have accepted it.
    Unknown,
}

/// Proposes commands to the leader of one group.
pub(crate) struct Proposer {
    node: Node,
    group: u32,
    /// Last known leader, or 0. Only a hint.
    leader: AtomicU64,
}

impl Proposer {
    /// Creates a proposer for `group`.
    pub(crate) fn new(node: Node, group: u32) -> Self {
        Self {
            node,
            group,
            leader: AtomicU64::new(0),
        }
    }

    /// Last known leader.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        let hint = self.leader.load(Ordering::Relaxed);
        (hint != 0).then_some(InstanceId(hint))
    }

    /// Instance to send a request for the leader to.
    pub(crate) fn target(&self) -> InstanceId {
        self.target_for(0)
    }

    /// The leader, or while it is unknown one voter after the other.
    fn target_for(&self, attempt: usize) -> InstanceId {
        let voters = self.node.voters();
        self.leader().unwrap_or(voters[attempt % voters.len()])
    }

    /// Records that `asked` doesn't lead, and that `hint` may, or 0 if unknown.
    pub(crate) fn set_leader_hint(&self, asked: InstanceId, hint: u64) {
        let hint = if hint == asked.0 { 0 } else { hint };
        self.leader.store(hint, Ordering::Relaxed);
    }

    /// Sends an idempotent request to the group's leader, within `limit`.
    pub(crate) async fn ask_leader(&self, ask: Ask, limit: Duration) -> Option<Answer> {
        let end = Instant::now() + limit;
        let mut attempt = 0;
        while Instant::now() < end {
            let to = self.target_for(attempt);
            let request = Request {
                ask: Some(ask.clone()),
            };
            match self
                .node
                .call(to, request, ATTEMPT_TIMEOUT)
                .await
                .map(|r| r.answer)
            {
                Ok(Some(Answer::NotLeader(hint))) => self.set_leader_hint(to, hint),
                Ok(Some(Answer::Unavailable(_)) | None) | Err(_) => self.set_leader_hint(to, 0),
                Ok(Some(answer)) => return Some(answer),
            }
            attempt += 1;
            sleep(RETRY_DELAY).await;
        }
        None
    }

    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    /// Gets `command` committed within `limit` and returns the reply of the
    /// state machine.
    ///
    /// The command may be proposed more than once if an answer is lost, so the
    /// state machine must detect duplicates by an id in the command.
    pub(crate) async fn propose(
        &self,
        command: Bytes,
        limit: Duration,
    ) -> Result<Bytes, NotCommitted> {
        let end = Instant::now() + limit;
        let mut failure = NotCommitted::Refused;
        let mut attempt = 0;
        loop {
            let voter = self.target_for(attempt);
            let request = Request {
                ask: Some(Ask::Propose(Propose {
                    group: self.group,
                    command: command.clone(),
                })),
            };
            let answer = timeout_at(end, self.node.call(voter, request, ATTEMPT_TIMEOUT)).await;
            match answer.map(|reply| reply.map(|r| r.answer)) {
                Ok(Ok(Some(Answer::Committed(reply)))) => {
                    self.leader.store(voter.0, Ordering::Relaxed);
                    return Ok(reply);
                }
                Ok(Ok(Some(Answer::NotLeader(hint)))) => self.set_leader_hint(voter, hint),
                Ok(Ok(Some(Answer::Unavailable(_)))) => self.set_leader_hint(voter, 0),
                _ => {
                    // The voter may have accepted the command before it stopped
                    // answering, so the caller must not be told that nothing
                    // happened.
                    failure = NotCommitted::Unknown;
                    self.set_leader_hint(voter, 0);
                }
            }
            if Instant::now() + RETRY_DELAY >= end {
                return Err(failure);
            }
            attempt += 1;
            sleep(RETRY_DELAY).await;
        }
    }
}
