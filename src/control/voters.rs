//! Operators' requests to list and change the voters.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use super::{Answer, COMMIT_TIMEOUT, Control, Problem, json, no_leader, not_found, problem};
use crate::event;
use crate::message::{self, Ask, ChangeVoter, GroupStatusReply, GroupStatusRequest, VoterChanged};
use crate::propose::Proposer;

/// Delay before a leader is asked again to add a voter that it hasn't heard of yet.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Control {
    /// Lists the members of each group, and the stores that ask to become members.
    pub(super) async fn voters(&self) -> Answer {
        let mut groups = Vec::new();
        for proposer in self.proposers() {
            let reply = self.group_status(proposer).await?;
            groups.push(serde_json::json!({
                "group": proposer.group(),
                "leader": reply.leader,
                "members": reply.members,
                "strangers": reply.non_members,
            }));
        }
        Ok(json(StatusCode::OK, &groups))
    }

    /// Adds or removes a voter in every group, one group after the other. If repeated after a
    /// failure, it continues where it stopped.
    pub(super) async fn change_voter(&self, id: &str, remove: bool) -> Answer {
        let instance: u64 = id.parse().map_err(|_| not_found())?;
        let store = if remove {
            0
        } else {
            self.joining_store(instance).await?
        };
        let mut missing = 0;
        for proposer in self.proposers() {
            let changed = self.change_group(proposer, instance, store, remove).await?;
            match changed {
                VoterChanged::Done => {}
                // An earlier attempt removed it from this group.
                VoterChanged::NotFound if remove => missing += 1,
                other => return Err(voter_problem(other)),
            }
        }
        if missing == self.proposers().count() {
            return Err(voter_problem(VoterChanged::NotFound));
        }
        tracing::info!(
            event = event::VOTER_CHANGED.id,
            instance,
            remove,
            "voters changed"
        );
        Ok(json(
            StatusCode::OK,
            &serde_json::json!({"instance": instance, "removed": remove}),
        ))
    }

    /// Returns the id of the store with which an instance asks to join, as known to any group.
    ///
    /// Each group is then asked to add exactly this store. With the instance id alone, a group
    /// whose leader hasn't heard of the new store yet would still find the replaced one among its
    /// members and report success. The new store would then be added to some groups only.
    async fn joining_store(&self, instance: u64) -> Result<u64, Problem> {
        for proposer in self.proposers() {
            let status = self.group_status(proposer).await?;
            let joining = status.non_members.iter().find(|p| p.id == instance);
            if let Some(peer) = joining {
                return Ok(peer.store);
            }
        }
        Err(voter_problem(VoterChanged::NotFound))
    }

    async fn group_status(&self, proposer: &Proposer) -> Result<GroupStatusReply, Problem> {
        let ask = Ask::GroupStatus(GroupStatusRequest {
            group: proposer.group(),
        });
        match proposer.ask_leader(ask, COMMIT_TIMEOUT).await {
            Some(message::Answer::GroupStatus(reply)) => Ok(reply),
            _ => Err(no_leader()),
        }
    }

    /// Changes one group. A leader that hasn't heard of a new voter yet is asked again until the
    /// timeout.
    async fn change_group(
        &self,
        proposer: &Proposer,
        instance: u64,
        store: u64,
        remove: bool,
    ) -> Result<VoterChanged, Problem> {
        let ask = Ask::ChangeVoter(ChangeVoter {
            group: proposer.group(),
            instance,
            remove,
            store,
        });
        let end = Instant::now() + COMMIT_TIMEOUT;
        loop {
            let answer = proposer.ask_leader(ask.clone(), COMMIT_TIMEOUT).await;
            let Some(message::Answer::VoterChanged(changed)) = answer else {
                return Err(no_leader());
            };
            let changed = VoterChanged::try_from(changed).unwrap_or(VoterChanged::Unknown);
            if remove || changed != VoterChanged::NotFound || Instant::now() >= end {
                return Ok(changed);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// The proposers of all groups.
    fn proposers(&self) -> impl Iterator<Item = &Arc<Proposer>> {
        std::iter::once(&self.proposer).chain(&self.claim_proposers)
    }
}

fn voter_problem(changed: VoterChanged) -> Problem {
    let (status, code, message) = match changed {
        VoterChanged::NotFound => (
            StatusCode::NOT_FOUND,
            "no_such_voter",
            "the instance neither votes nor asks to; start it with --data-dir and wait some seconds",
        ),
        VoterChanged::Busy => (
            StatusCode::CONFLICT,
            "change_running",
            "another change of the voters runs; repeat this one in some seconds",
        ),
        VoterChanged::Unsafe => (
            StatusCode::CONFLICT,
            "no_quorum_left",
            "the voters that answer would be no quorum; bring others back first",
        ),
        VoterChanged::Unknown | VoterChanged::Done => (
            StatusCode::GATEWAY_TIMEOUT,
            "outcome_unknown",
            "the change may have been made; list the voters and repeat it if need be",
        ),
    };
    problem(status, code, message)
}
