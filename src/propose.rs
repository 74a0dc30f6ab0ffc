//! How any instance gets a command committed: it finds the leader and asks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep, timeout_at};

use crate::id::InstanceId;
use crate::message::{Answer, Ask, Propose, Request};
use crate::node::Node;

/// Time for one answer. A committed command takes two syncs and a round trip.
const ONE_TRY: Duration = Duration::from_secs(2);

/// Pause before the next try.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a command has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotCommitted {
    /// No voter took the command: it is not and will not be committed.
    Refused,
    /// At least one voter may have taken it.
    Unknown,
}

/// Proposes commands to the leader of one group.
pub(crate) struct Proposer {
    node: Node,
    group: u32,
    /// The leader as last heard of; 0 when unknown. Only a hint.
    leader: AtomicU64,
}

impl Proposer {
    /// Proposes to `group`.
    pub(crate) fn new(node: Node, group: u32) -> Self {
        Self {
            node,
            group,
            leader: AtomicU64::new(0),
        }
    }

    /// The leader as last heard of.
    pub(crate) fn leader(&self) -> Option<InstanceId> {
        let hint = self.leader.load(Ordering::Relaxed);
        (hint != 0).then_some(InstanceId(hint))
    }

    /// Whom to ask for what only the leader does.
    pub(crate) fn target(&self) -> InstanceId {
        self.at_turn(0)
    }

    /// The leader, or while it isn't known one voter after the other.
    fn at_turn(&self, turn: usize) -> InstanceId {
        let voters = self.node.voters();
        self.leader().unwrap_or(voters[turn % voters.len()])
    }

    /// Learns that `asked` doesn't lead, and who may; 0 when unknown.
    pub(crate) fn set_leader_hint(&self, asked: InstanceId, hint: u64) {
        let hint = if hint == asked.0 { 0 } else { hint };
        self.leader.store(hint, Ordering::Relaxed);
    }

    /// Asks the group's leader for something that may be done twice, within
    /// `limit`.
    pub(crate) async fn ask_leader(&self, ask: Ask, limit: Duration) -> Option<Answer> {
        let end = Instant::now() + limit;
        let mut turn = 0;
        while Instant::now() < end {
            let to = self.at_turn(turn);
            let request = Request {
                ask: Some(ask.clone()),
            };
            match self.node.call(to, request, ONE_TRY).await.map(|r| r.answer) {
                Ok(Some(Answer::NotLeader(hint))) => self.set_leader_hint(to, hint),
                Ok(Some(Answer::Unavailable(_)) | None) | Err(_) => self.set_leader_hint(to, 0),
                Ok(Some(answer)) => return Some(answer),
            }
            turn += 1;
            sleep(PAUSE).await;
        }
        None
    }

    /// The group.
    pub(crate) fn group(&self) -> u32 {
        self.group
    }

    /// Gets `command` committed within `limit` and returns the reply of the
    /// state machine.
    ///
    /// The command may be proposed more than once when an answer is lost, so
    /// the state machine has to know a repetition by an id of its own.
    pub(crate) async fn propose(
        &self,
        command: Bytes,
        limit: Duration,
    ) -> Result<Bytes, NotCommitted> {
        let end = Instant::now() + limit;
        let mut failure = NotCommitted::Refused;
        let mut turn = 0;
        loop {
            let voter = self.at_turn(turn);
            let request = Request {
                ask: Some(Ask::Propose(Propose {
                    group: self.group,
                    command: command.clone(),
                })),
            };
            let answer = timeout_at(end, self.node.call(voter, request, ONE_TRY)).await;
            match answer.map(|reply| reply.map(|r| r.answer)) {
                Ok(Ok(Some(Answer::Committed(reply)))) => {
                    self.leader.store(voter.0, Ordering::Relaxed);
                    return Ok(reply);
                }
                Ok(Ok(Some(Answer::NotLeader(hint)))) => self.set_leader_hint(voter, hint),
                Ok(Ok(Some(Answer::Unavailable(_)))) => self.set_leader_hint(voter, 0),
                _ => {
                    // The voter may have taken the command before it fell
                    // silent. Told "refused", a caller would believe that
                    // nothing happened.
                    failure = NotCommitted::Unknown;
                    self.set_leader_hint(voter, 0);
                }
            }
            if Instant::now() + PAUSE >= end {
                return Err(failure);
            }
            turn += 1;
            sleep(PAUSE).await;
        }
    }
}
