//! Changes of a group's members, one at a time.

use prost::Message as _;

use super::member::{Change, Membership, Role};
use super::progress::Progress;
use super::{Cause, Kind, Part, Replica};

impl Replica {
    pub(super) fn append_members(&mut self, members: &Membership) {
        self.append(Kind::Members, members.encode_to_vec().into());
        self.track_members();
    }

    /// Whether `progress` shows a member that answers.
    fn is_recent(&self, progress: &Progress) -> bool {
        self.now.since(progress.heard) < self.settings.election_timeout
    }

    /// Follows the members of the latest membership.
    pub(super) fn track_members(&mut self) {
        let me = self.settings.me;
        let last = self.log.last_index();
        let members = self.log.members().1;
        let Part::Leader(lead) = &mut self.part else {
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
        let Part::Leader(lead) = &self.part else {
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

    /// Whether members that were heard lately are a quorum of `next`.
    fn keeps_quorum(&self, next: &Membership) -> bool {
        let Part::Leader(lead) = &self.part else {
            return false;
        };
        let recent = |p| lead.progress.get(&p).is_some_and(|g| self.is_recent(g));
        next.quorum(|p| p == self.settings.me || recent(p))
    }

    /// Takes the next step of a membership change once the last is committed.
    ///
    /// Two memberships that differ by one voter always share a voter in their
    /// quorums; two uncommitted changes at once would break that. So one
    /// change runs at a time, and none before an entry of this term is
    /// committed.
    pub(super) fn settle_members(&mut self) {
        let Part::Leader(lead) = &self.part else {
            return;
        };
        let (at, members) = self.log.members();
        if at > self.commit || self.commit < lead.first || lead.transfer.is_some() {
            return;
        }
        if !members.is_voter(self.settings.me) {
            return;
        }
        if let Some(next) = self.next_members()
            && self.keeps_quorum(&next)
        {
            self.append_members(&next);
        }
    }

    /// Steps down once this leader's own removal is committed and its operator
    /// answered.
    pub(super) fn retire(&mut self) {
        let (at, members) = self.log.members();
        if at <= self.applied && !members.is_voter(self.settings.me) {
            self.follow(self.term, None);
        }
    }

    /// The membership that a finished change or a rolled back store asks for.
    fn next_members(&self) -> Option<Membership> {
        let Part::Leader(lead) = &self.part else {
            return None;
        };
        let members = self.log.members().1;
        let rolled = members
            .voters()
            .find(|p| lead.progress.get(p).is_some_and(|g| g.rolled));
        if let Some(peer) = rolled {
            return Some(members.with(peer, Role::Barred));
        }
        let learner = members.members.iter().find(|m| {
            // A newcomer that voted before it held every committed entry
            // would complete a quorum that holds too few copies.
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
