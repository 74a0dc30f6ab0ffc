//! Elections: pre-votes, votes and leadership transfer.

use std::collections::BTreeMap;

use super::member::{Membership, Peer, Role};
use super::message::{Body, SeenRun, TimeoutNow, Vote, VoteAck};
use super::progress::Leadership;
use super::{Kind, RaftState, Replica};

/// A running campaign of this replica.
#[derive(Debug)]
pub(super) struct Campaign {
    /// Whether this is a pre-vote, which precedes the election in a new term.
    pre: bool,
    /// Whether the leader requested the campaign to transfer its leadership.
    transfer: bool,
    /// Peers that granted their vote.
    votes: BTreeMap<Peer, Ballot>,
    /// Highest boot counter of each store that any voter has reported.
    seen: BTreeMap<u64, u64>,
}

/// A granted vote.
#[derive(Clone, Copy, Debug)]
struct Ballot {
    /// Boot counter of the voter at that time.
    boot: u64,
    /// Whether the voter's directory was created to found the group with the same
    /// instances, and holds no entry.
    founds: bool,
}

impl Campaign {
    /// Whether `peer` has granted a vote that counts and for which `counts` holds.
    /// Initial voters have no store id in the membership and are identified by
    /// instance.
    fn has_vote(&self, peer: Peer, counts: impl Fn(&Ballot) -> bool) -> bool {
        let mut votes = self.votes.iter();
        votes.any(|(voter, ballot)| {
            let same = *voter == peer || (peer.store == 0 && voter.id == peer.id);
            let seen = self.seen.get(&voter.store);
            same && seen.is_none_or(|seen| ballot.boot >= *seen) && counts(ballot)
        })
    }

    /// Whether the votes elect this candidate.
    ///
    /// All initial voters must agree to found a group, and a majority of them by
    /// stores that were created for it and hold no entry. A committed first entry is
    /// held by a majority, so at most a minority of these stores can lack it, however
    /// many others were added, wiped or named by later settings. Such others may only
    /// complete the votes, so that a founder which lost its disk early holds up
    /// nothing.
    fn result(&self, members: &Membership) -> CampaignResult {
        if !members.quorum(|p| self.has_vote(p, |_| true)) {
            return CampaignResult::Pending;
        }
        let founds = |p: &Peer| self.has_vote(*p, |b| b.founds);
        let total = members.voters().count();
        if members.is_bootstrapping() && members.voters().filter(founds).count() <= total / 2 {
            return CampaignResult::NoFounders;
        }
        CampaignResult::Elected
    }

    /// Records the latest runs of stores that a voter has reported. Votes of earlier
    /// runs no longer count, since the later run may have voted for another candidate.
    pub(super) fn record_seen_runs(&mut self, seen: &[SeenRun]) {
        for seen in seen {
            let boot = self.seen.entry(seen.store).or_default();
            *boot = seen.boot.max(*boot);
        }
    }
}

/// What the votes of a campaign decide so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CampaignResult {
    /// More votes are needed.
    Pending,
    /// All initial voters agree, but too few of their stores are founders.
    NoFounders,
    /// The candidate is elected.
    Elected,
}

impl Replica {
    /// Whether this replica leads, or received a message from the leader within
    /// the election timeout.
    ///
    /// If so, it ignores requests for votes. Otherwise, a member that can't reach
    /// the leader, or that was removed, would depose a working leader.
    pub(super) fn has_recent_leader(&self) -> bool {
        if self.is_leader() {
            return true;
        }
        let recent = |at| self.now.since(at) < self.settings.election_timeout;
        self.leader.is_some() && self.leader_contact.is_some_and(recent)
    }

    /// Whether this replica leads, or heard the leader within two heartbeats. Otherwise the leader
    /// may be dead, though it isn't replaced yet.
    pub(crate) fn has_live_leader(&self) -> bool {
        let limit = 2 * self.settings.heartbeat_interval;
        let heard = |at| self.now.since(at) < limit;
        self.is_leader() || (self.leader.is_some() && self.leader_contact.is_some_and(heard))
    }

    pub(super) fn can_campaign(&self) -> bool {
        let me = self.settings.me;
        if self.is_querying() || self.end() < self.required_end() {
            return false;
        }
        let members = self.log.members().1;
        if members.is_bootstrapping() {
            return members.members.iter().any(|m| m.id == me.id);
        }
        members.is_voter(me)
    }

    pub(super) fn on_election_timeout(&mut self) {
        self.send_hellos();
        self.requery_if_behind();
        if self.can_campaign() {
            return self.campaign(true, false);
        }
        self.leader = None;
        self.reset_deadline();
    }

    pub(super) fn campaign(&mut self, pre: bool, transfer: bool) {
        let me = self.settings.me;
        self.leader = None;
        if !pre {
            self.become_follower(self.term + 1, None);
            self.vote = Some(me);
        }
        self.state = RaftState::Candidate(Campaign {
            pre,
            transfer,
            votes: BTreeMap::new(),
            seen: BTreeMap::new(),
        });
        // Votes wait for a sync, which may be slow, so only a pre-vote gets the
        // shorter timeout.
        if pre && self.leader_contact.is_none() {
            self.reset_initial_deadline();
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
        // This replica's own vote counts only once it is synced, like the others.
        let ack = self.vote_ack(pre, true);
        self.outbox.reply(me, term, ack);
    }

    fn vote_ack(&self, pre: bool, granted: bool) -> Body {
        Body::VoteAck(VoteAck {
            pre,
            granted,
            founders: self.log.members().1.founders(),
            ..VoteAck::default()
        })
    }

    pub(super) fn on_vote(&mut self, from: Peer, term: u64, vote: Vote) {
        if vote.pre && self.has_recent_leader() {
            return;
        }
        let granted = self.grants(from, term, vote);
        if granted && !vote.pre {
            self.vote = Some(from);
            self.hard_state_dirty = true;
            self.reset_deadline();
        }
        let ack = self.vote_ack(vote.pre, granted);
        let term = if granted { term } else { self.term };
        self.outbox.reply(from, term, ack);
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
        self.record_seen_runs(&ack.seen);
        let RaftState::Candidate(campaign) = &mut self.state else {
            return;
        };
        let expected = self.term + u64::from(campaign.pre);
        if !ack.granted || ack.pre != campaign.pre || term != expected {
            return;
        }
        let members = self.log.members().1;
        let founds = !ack.founders.is_empty() && ack.founders == members.founders();
        campaign.votes.insert(from, Ballot { boot, founds });
        match (campaign.result(members), campaign.pre) {
            (CampaignResult::Pending, _) => {}
            (CampaignResult::NoFounders, _) => self.founding_refused = true,
            (CampaignResult::Elected, true) => {
                let transfer = campaign.transfer;
                self.campaign(false, transfer);
            }
            (CampaignResult::Elected, false) => self.become_leader(),
        }
    }

    /// Makes this replica the leader and appends the first entry of the term.
    fn become_leader(&mut self) {
        let me = self.settings.me;
        let RaftState::Candidate(campaign) =
            std::mem::replace(&mut self.state, RaftState::Follower)
        else {
            return;
        };
        assert_eq!(self.vote, Some(me), "leader without its own vote");
        let first = self.log.last_index() + 1;
        self.leader = Some(me);
        self.state = RaftState::Leader(Box::new(Leadership::new(first, self.now)));
        let members = self.log.members().1;
        if members.is_bootstrapping() {
            let initial = bootstrap_membership(campaign.votes.keys());
            return self.append_members(&initial);
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
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        let best = voters
            .into_iter()
            .filter(|p| lead.progress.contains_key(p))
            .max_by_key(|&p| (lead.matched(p), lead.progress[&p].last_contact));
        lead.transfer = best.map(|p| (p, end));
        lead.transfer_sent = false;
    }

    /// Requests the transfer target to campaign once its log contains every entry.
    pub(super) fn continue_transfer(&mut self) {
        let last = self.log.last_index();
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        let Some((peer, _)) = lead.transfer else {
            return;
        };
        if lead.transfer_sent || lead.matched(peer) < last {
            return;
        }
        lead.transfer_sent = true;
        self.send_timeout_now(peer);
    }

    pub(super) fn send_timeout_now(&mut self, to: Peer) {
        let body = Body::TimeoutNow(TimeoutNow {});
        self.outbox.send(to, self.term, body);
    }
}

/// Builds the first membership that contains store ids, from the votes of all
/// initial voters.
fn bootstrap_membership<'a>(votes: impl Iterator<Item = &'a Peer>) -> Membership {
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
