//! Membership changes of a group, one at a time.

use prost::Message as _;

use super::member::{Change, Membership, Role};
use super::progress::Progress;
use super::{Cause, Kind, RaftState, Replica};

impl Replica {
    pub(super) fn append_members(&mut self, members: &Membership) {
        self.append(Kind::Members, members.encode_to_vec().into());
        self.track_members();
    }

    /// Whether the member answered within the election timeout.
    fn is_recent(&self, progress: &Progress) -> bool {
        self.now.since(progress.last_contact) < self.settings.election_timeout
    }

    /// Adjusts the tracked progress to the latest membership.
    pub(super) fn track_members(&mut self) {
        let me = self.settings.me;
        let last = self.log.last_index();
        let members = self.log.members().1;
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        lead.progress.retain(|&p, _| members.role(p).is_some());
        for member in &members.members {
            let peer = member.peer();
            if peer != me {
                let fresh = || Progress::new(last, self.now);
                lead.progress.entry(peer).or_insert_with(fresh);
            }
        }
    }

    pub(super) fn on_change(&mut self, ticket: u64, change: Change) {
        let RaftState::Leader(lead) = &self.state else {
            let hint = self.leader.map(|l| l.id);
            return self.fail(ticket, Cause::NotLeader { hint });
        };
        let (at, members) = self.log.members();
        if at > self.commit || self.commit < lead.first || lead.transfer.is_some() {
            return self.fail(ticket, Cause::Busy);
        }
        let next = match change {
            Change::Add(peer) if members.role(peer).is_some() => members.clone(),
            Change::Add(peer) => members.with(peer, Role::Learner),
            Change::Remove(peer) => members.without(peer),
        };
        if !self.keeps_quorum(&next) {
            return self.fail(ticket, Cause::Unsafe);
        }
        self.append_members(&next);
        self.tickets.insert(self.log.last_index(), ticket);
    }

    /// Whether the members that answered lately form a quorum of `next`.
    fn keeps_quorum(&self, next: &Membership) -> bool {
        let RaftState::Leader(lead) = &self.state else {
            return false;
        };
        let recent = |p| lead.progress.get(&p).is_some_and(|g| self.is_recent(g));
        next.quorum(|p| p == self.settings.me || recent(p))
    }

    /// Starts the next step of a membership change once the last one is committed.
    ///
    /// Two memberships that differ by one voter always share a voter in their
    /// quorums; two uncommitted changes at once would break that. So changes run
    /// one at a time, and none starts before an entry of this term is committed.
    pub(super) fn advance_membership(&mut self) {
        let RaftState::Leader(lead) = &self.state else {
            return;
        };
        let (at, members) = self.log.members();
        if at > self.commit || self.commit < lead.first || lead.transfer.is_some() {
            return;
        }
        if !members.is_voter(self.settings.me) {
            return;
        }
        if let Some(next) = self.next_membership()
            && self.keeps_quorum(&next)
        {
            self.append_members(&next);
        }
    }

    /// Steps down once this leader's own removal is applied, which also answers
    /// the operator.
    pub(super) fn step_down_if_removed(&mut self) {
        let (at, members) = self.log.members();
        if at <= self.applied && !members.is_voter(self.settings.me) {
            self.become_follower(self.term, None);
        }
    }

    /// The membership to append next, if a store rolled back or a learner caught up.
    fn next_membership(&self) -> Option<Membership> {
        let RaftState::Leader(lead) = &self.state else {
            return None;
        };
        let members = self.log.members().1;
        let rolled_back = members
            .voters()
            .find(|p| lead.progress.get(p).is_some_and(|g| g.rolled_back));
        if let Some(peer) = rolled_back {
            return Some(members.with(peer, Role::Barred));
        }
        let learner = members.members.iter().find(|m| {
            // A learner promoted before it holds every committed entry would
            // complete a quorum with too few copies.
            let progress = lead.progress.get(&m.peer());
            let recent = progress.is_some_and(|g| self.is_recent(g));
            m.role() == Role::Learner && recent && lead.matched(m.peer()) >= self.commit
        })?;
        let old = members
            .members
            .iter()
            .find(|m| m.id == learner.id && m.store != learner.store);
        match old {
            Some(old) => Some(members.without(old.peer())),
            None => Some(members.with(learner.peer(), Role::Voter)),
        }
    }
}
