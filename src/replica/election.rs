//! Elections: pre-vote, vote, transfer of leadership.

use std::collections::{BTreeMap, BTreeSet};

use super::member::{Membership, Peer, Role};
use super::message::{Body, Hello, Introduce, Seen, TimeoutNow, Vote, VoteAck};
use super::progress::Leadership;
use super::{Kind, Part, Replica};

/// A running election of our own.
#[derive(Debug)]
pub(super) struct Campaign {
    /// Whether this is the pre-vote.
    pre: bool,
    /// Whether the leader asked for it.
    transfer: bool,
    /// Peers that support us, with the boot counter of the run that does.
    votes: BTreeMap<Peer, u64>,
    /// Highest boot counter that a voter has seen, by store.
    seen: BTreeMap<u64, u64>,
}

impl Campaign {
    /// Whether `peer` supports us. Founders are known by instance only.
    fn has(&self, peer: Peer) -> bool {
        let mut votes = self.votes.iter();
        votes.any(|(voter, boot)| {
            let same = *voter == peer || (peer.store == 0 && voter.id == peer.id);
            same && self.seen.get(&voter.store).is_none_or(|seen| boot >= seen)
        })
    }

    /// Counts votes of runs before those that a voter has seen no more: the
    /// later run may have voted for another candidate since.
    pub(super) fn forget_earlier(&mut self, seen: &[Seen]) {
        for seen in seen {
            let boot = self.seen.entry(seen.store).or_default();
            *boot = seen.boot.max(*boot);
        }
    }
}

impl Replica {
    /// Whether a leader was heard so lately that no election is due.
    ///
    /// A member that can't hear the leader, or that was removed, would
    /// otherwise depose a leader that works. Voters that hear the leader
    /// ignore it.
    pub(super) fn hears_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let recent = |at| self.now.since(at) < self.settings.election_timeout;
        self.leader.is_some() && self.heard.is_some_and(recent)
    }

    fn can_campaign(&self) -> bool {
        let me = self.settings.me;
        if self.is_asking() || self.end() < self.required_end() {
            return false;
        }
        let members = self.log.members().1;
        if members.is_founding() {
            return members.members.iter().any(|m| m.id == me.id);
        }
        members.is_voter(me)
    }

    pub(super) fn on_timeout(&mut self) {
        self.greet();
        self.renew_floor();
        if self.can_campaign() {
            return self.campaign(true, false);
        }
        self.leader = None;
        self.reset_deadline();
    }

    /// Makes this store known, whatever its own log says of it: the entry that
    /// added it may have been overwritten elsewhere.
    pub(super) fn greet(&mut self) {
        self.greet_except(&BTreeSet::new());
    }

    /// Greets contacts and members but for the instances given.
    pub(super) fn greet_except(&mut self, skipped: &BTreeSet<u64>) {
        for &id in self.known_instances().difference(skipped) {
            let hello = Body::Hello(Hello::default());
            self.outbox.send(Peer { id, store: 0 }, self.term, hello);
        }
    }

    /// Contacts and members but for this instance.
    fn known_instances(&self) -> BTreeSet<u64> {
        let members = &self.log.members().1.members;
        let members = members.iter().map(|m| m.id);
        let known = self.settings.contacts.iter().copied().chain(members);
        let mut ids: BTreeSet<u64> = known.collect();
        ids.remove(&self.settings.me.id);
        ids
    }

    /// Remembers a store that greets, and tells the leader of it.
    ///
    /// A store that comes back with an empty disk knows only the contacts of
    /// its settings, and the leader may be none of them. It would wait for
    /// ever, and the next loss could cost the quorum.
    pub(super) fn on_hello(&mut self, from: Peer, run: u64) {
        self.strangers.insert(from.id, (from, self.now));
        self.send_standing(from, run);
        let member = self.log.members().1.role(from).is_some();
        let leader = self.leader.filter(|l| *l != self.settings.me && *l != from);
        if let Some(leader) = leader.filter(|_| !member) {
            let peer = Some(from);
            let introduce = Body::Introduce(Introduce { peer });
            self.outbox.send(leader, self.term, introduce);
        }
    }

    pub(super) fn on_introduce(&mut self, introduce: Introduce) {
        if let Some(peer) = introduce.peer {
            self.strangers.insert(peer.id, (peer, self.now));
        }
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        let me = self.settings.me;
        self.leader = None;
        if !pre {
            self.follow(self.term + 1, None);
            self.vote = Some(me);
        }
        self.part = Part::Candidate(Campaign {
            pre,
            transfer,
            votes: BTreeMap::new(),
            seen: BTreeMap::new(),
        });
        // A vote needs syncs, and those may be slow; a pre-vote needs none.
        if pre && self.heard.is_none() {
            self.wait_for_first();
        } else {
            self.reset_deadline();
        }
        let term = self.term + u64::from(pre);
        let vote = Vote {
            pre,
            transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<Peer> = self.log.members().1.voters().collect();
        for peer in voters {
            if peer.id != me.id {
                self.outbox.reply(peer, term, Body::Vote(vote));
            }
        }
        // Our own vote counts once it's synced, like any other.
        let ack = VoteAck {
            pre,
            granted: true,
            ..VoteAck::default()
        };
        self.outbox.reply(me, term, Body::VoteAck(ack));
    }

    pub(super) fn on_vote(&mut self, from: Peer, term: u64, vote: Vote) {
        if vote.pre && self.hears_leader() {
            return;
        }
        let granted = self.grants(from, term, vote);
        if granted && !vote.pre {
            self.vote = Some(from);
            self.hard_dirty = true;
            self.reset_deadline();
        }
        let ack = VoteAck {
            pre: vote.pre,
            granted,
            ..VoteAck::default()
        };
        let term = if granted { term } else { self.term };
        self.outbox.reply(from, term, Body::VoteAck(ack));
    }

    fn grants(&self, from: Peer, term: u64, vote: Vote) -> bool {
        let current = (vote.last_term, vote.last_index) >= self.required_end();
        let free = self.vote.is_none_or(|v| v == from);
        let barred = self.log.members().1.role(self.settings.me) == Some(Role::Barred);
        if !current || barred {
            return false;
        }
        match vote.pre {
            true => term > self.term,
            false => term == self.term && free && self.leader.is_none(),
        }
    }

    pub(super) fn on_vote_ack(&mut self, from: Peer, boot: u64, term: u64, ack: &VoteAck) {
        self.forget_earlier_runs(&ack.seen);
        let Part::Candidate(campaign) = &mut self.part else {
            return;
        };
        let expected = self.term + u64::from(campaign.pre);
        if !ack.granted || ack.pre != campaign.pre || term != expected {
            return;
        }
        campaign.votes.insert(from, boot);
        let members = self.log.members().1;
        if !members.quorum(|p| campaign.has(p)) {
            return;
        }
        match campaign.pre {
            true => {
                let transfer = campaign.transfer;
                self.campaign(false, transfer);
            }
            false => self.win(),
        }
    }

    /// Becomes leader and appends the first entry of the term.
    fn win(&mut self) {
        let me = self.settings.me;
        let Part::Candidate(campaign) = std::mem::replace(&mut self.part, Part::Follower) else {
            return;
        };
        assert_eq!(self.vote, Some(me), "leader without its own vote");
        let first = self.log.last_index() + 1;
        self.leader = Some(me);
        self.part = Part::Leader(Box::new(Leadership::new(first, self.now)));
        let members = self.log.members().1;
        if members.is_founding() {
            let founded = found(campaign.votes.keys());
            return self.append_members(&founded);
        }
        self.append(Kind::Noop, bytes::Bytes::new());
        self.track_members();
    }

    pub(super) fn on_timeout_now(&mut self) {
        if self.can_campaign() && !self.is_leader() {
            self.campaign(false, true);
        }
    }

    pub(super) fn on_transfer(&mut self) {
        let end = self.now + self.settings.election_timeout;
        let voters: Vec<Peer> = self.log.members().1.voters().collect();
        let Part::Leader(lead) = &mut self.part else {
            return;
        };
        let best = voters
            .into_iter()
            .filter(|p| lead.progress.contains_key(p))
            .max_by_key(|&p| (lead.matched(p), lead.progress[&p].heard));
        lead.transfer = best.map(|p| (p, end));
        lead.told = false;
    }

    /// Tells the chosen member to campaign once it has every entry.
    pub(super) fn hand_over(&mut self) {
        let last = self.log.last_index();
        let Part::Leader(lead) = &mut self.part else {
            return;
        };
        let Some((peer, _)) = lead.transfer else {
            return;
        };
        if lead.told || lead.matched(peer) < last {
            return;
        }
        lead.told = true;
        self.send_timeout_now(peer);
    }

    pub(super) fn send_timeout_now(&mut self, to: Peer) {
        let body = Body::TimeoutNow(TimeoutNow {});
        self.outbox.send(to, self.term, body);
    }
}

/// The first membership with stores, from the unanimous votes.
fn found<'a>(votes: impl Iterator<Item = &'a Peer>) -> Membership {
    let mut members = Membership::default();
    for &peer in votes {
        let other = members.members.iter().find(|m| m.id == peer.id);
        if let Some(other) = other.map(super::Member::peer) {
            members = members.without(other);
        }
        members = members.with(peer, Role::Voter);
    }
    members
}
