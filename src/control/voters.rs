//! Operators' orders about who votes.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::{Instant, sleep};

use super::{Answer, COMMIT, Control, Problem, json, no_leader, not_found, problem};
use crate::event;
use crate::message::{self, Ask, ChangeVoter, GroupStatusReply, GroupStatusRequest, VoterChanged};
use crate::propose::Proposer;

/// Pause before a leader is asked again for a newcomer it hasn't heard of.
const GREETING: Duration = Duration::from_millis(200);

impl Control {
    /// Members of each group, and the stores that ask to become members.
    pub(super) async fn voters(&self) -> Answer {
        let mut groups = Vec::new();
        for proposer in self.groups() {
            let reply = self.group_state(proposer).await?;
            groups.push(serde_json::json!({
                "group": proposer.group(),
                "leader": reply.leader,
                "members": reply.members,
                "strangers": reply.strangers,
            }));
        }
        Ok(json(StatusCode::OK, &groups))
    }

    /// Adds or removes a voter in every group, one after the other. Repeated
    /// after a failure it goes on where it stopped.
    pub(super) async fn change_voter(&self, id: &str, remove: bool) -> Answer {
        let instance: u64 = id.parse().map_err(|_| not_found())?;
        let store = if remove {
            0
        } else {
            self.offered(instance).await?
        };
        let mut missing = 0;
        for proposer in self.groups() {
            let changed = self.change_group(proposer, instance, store, remove).await?;
            match changed {
                VoterChanged::Done => {}
                // Removed from this group by an earlier try.
                VoterChanged::NotFound if remove => missing += 1,
                other => return Err(voter_problem(other)),
            }
        }
        if missing == self.groups().count() {
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

    /// The store that an instance offers, by what any group has heard. Each
    /// group is then asked for just this one: a group whose leader hasn't
    /// heard of it yet looks, by the instance's number alone, like one in
    /// which the change is made already, and the repair would stay half done.
    async fn offered(&self, instance: u64) -> Result<u64, Problem> {
        for proposer in self.groups() {
            let state = self.group_state(proposer).await?;
            let stranger = state.strangers.iter().find(|p| p.id == instance);
            if let Some(peer) = stranger {
                return Ok(peer.store);
            }
        }
        Err(voter_problem(VoterChanged::NotFound))
    }

    async fn group_state(&self, proposer: &Proposer) -> Result<GroupStatusReply, Problem> {
        let ask = Ask::GroupStatus(GroupStatusRequest {
            group: proposer.group(),
        });
        match proposer.ask_leader(ask, COMMIT).await {
            Some(message::Answer::GroupStatus(reply)) => Ok(reply),
            _ => Err(no_leader()),
        }
    }

    /// Changes one group; waits a while for its leader to hear of a newcomer.
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
        let end = Instant::now() + COMMIT;
        loop {
            let answer = proposer.ask_leader(ask.clone(), COMMIT).await;
            let Some(message::Answer::VoterChanged(changed)) = answer else {
                return Err(no_leader());
            };
            let changed = VoterChanged::try_from(changed).unwrap_or(VoterChanged::Unknown);
            if remove || changed != VoterChanged::NotFound || Instant::now() >= end {
                return Ok(changed);
            }
            sleep(GREETING).await;
        }
    }

    fn groups(&self) -> impl Iterator<Item = &Arc<Proposer>> {
        std::iter::once(&self.proposer).chain(&self.registers)
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
