//! Peer query that a restarted store completes before it votes or acknowledges.
//!
//! The directory of a restarted store may be a copy of its latest run, or may have
//! lost its last frame. Such a store lacks votes and acknowledgements that it gave,
//! and a majority that counts it may drop a committed entry. So it asks the other
//! voters for their terms and the ends of their logs. Every majority that it was
//! part of includes one of the answering voters once these are
//!
//! - so many that no majority can be without one, and none is itself querying, or
//! - all of them, except those whose instance has an empty directory now, which
//!   have certainly failed.
//!
//! The store then adopts the highest term, grants no further vote in that term,
//! and votes only for logs that reach the highest end in the answers. Each
//! answering voter has durably recorded this run, and names it in its own votes and
//! acknowledgements ([`SeenRun`]): a candidate or leader then drops those that an
//! earlier run of the store had sent.
//!
//! After [`QUERY_TIMEOUTS`] election timeouts, answers of querying stores count as
//! well: after a power failure of the whole group, all stores query. If these
//! aren't enough either, the store trusts its directory. As many voters are then
//! unreachable as the group tolerates, and an old copy would be one more fault.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::member::{Member, Membership, Peer, Role};
use super::message::{Body, HelloAck, SeenRun};
use super::outbox::Effect;
use super::{RaftState, Replica};
use crate::clock::Time;

/// Election timeouts after which a voter that doesn't answer counts as failed.
const QUERY_TIMEOUTS: u32 = 4;

/// Term and index of the last entry of a log.
pub(super) type LogEnd = (u64, u64);

/// Whether a store may vote and acknowledge.
#[derive(Debug)]
pub(super) enum Rejoin {
    /// It queries its peers for the state that it may have lost.
    Querying(PeerQuery),
    /// It may, and refuses its vote to logs that end before `floor`.
    Done { floor: LogEnd, confirmed: bool },
}

/// State of the peer query after a restart.
#[derive(Debug)]
pub(super) struct PeerQuery {
    answers: BTreeMap<Peer, HelloAck>,
    /// When the store last sent its hellos.
    last_sent: Time,
    /// When `waited` was last updated.
    updated: Time,
    /// Time spent waiting, without pauses of the process.
    waited: Duration,
}

/// Result of the peer query after a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RejoinReport {
    /// Number of answers.
    pub(crate) answers: usize,
    /// Number of voters besides this one.
    pub(crate) others: usize,
    /// Whether the answers were enough.
    pub(crate) confirmed: bool,
    /// Time spent waiting.
    pub(crate) waited: Duration,
    /// End of this store's log.
    pub(crate) end: LogEnd,
    /// Highest log end that a voter reported.
    pub(crate) floor: LogEnd,
}

impl Rejoin {
    /// The state after the store was opened. A `fresh` store had an empty directory
    /// and so has lost nothing.
    pub(super) fn new(fresh: bool, now: Time) -> Self {
        if fresh {
            return Self::Done {
                floor: (0, 0),
                confirmed: true,
            };
        }
        Self::Querying(PeerQuery {
            answers: BTreeMap::new(),
            last_sent: now,
            updated: now,
            waited: Duration::ZERO,
        })
    }
}

impl Replica {
    pub(crate) fn is_querying(&self) -> bool {
        matches!(self.rejoin, Rejoin::Querying(_))
    }

    /// Whether other voters confirmed this run. `None` during the peer query.
    pub(crate) fn confirmed(&self) -> Option<bool> {
        match self.rejoin {
            Rejoin::Done { confirmed, .. } => Some(confirmed),
            Rejoin::Querying(_) => None,
        }
    }

    /// The end that a candidate's log must reach to get this store's vote.
    pub(super) fn required_end(&self) -> LogEnd {
        let end = self.end();
        match self.rejoin {
            Rejoin::Done { floor, .. } => end.max(floor),
            Rejoin::Querying(_) => end,
        }
    }

    pub(super) fn end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    /// Resends the hellos, or ends the query when its time is up.
    pub(super) fn tick_rejoin(&mut self) {
        let (now, period) = (self.now, self.settings.heartbeat_interval);
        let limit = QUERY_TIMEOUTS * self.settings.election_timeout;
        let Rejoin::Querying(query) = &mut self.rejoin else {
            return;
        };
        query.waited += now.since(query.updated).min(period);
        query.updated = now;
        if query.waited >= limit {
            let confirmed = self.has_enough_answers(|_| true);
            return self.finish_rejoin(confirmed);
        }
        if now.since(query.last_sent) >= period {
            query.last_sent = now;
            let answered = query.answers.keys().map(|p| p.id).collect();
            self.send_hellos_except(&answered);
        }
        // A single voter needs no answers.
        self.check_answers();
    }

    /// Answers the hello of a store that may have restarted. Its run has already
    /// been recorded durably here.
    pub(super) fn send_hello_ack(&mut self, to: Peer, run: u64) {
        let (members_index, members) = self.log.members();
        let knows = |m: &Member| m.peer() == to || (m.store == 0 && m.id == to.id);
        let blank = members.members.is_empty();
        if !blank && !members.members.iter().any(knows) {
            return;
        }
        let (last_term, last_index) = self.acknowledged_end();
        let ack = HelloAck {
            run,
            term: self.term,
            last_term,
            last_index,
            rejoined: !self.is_querying(),
            members_index,
            members: members.clone(),
            members_commit: members_index <= self.commit,
            leaderless: self.leader_contact.is_none() && !self.is_leader(),
        };
        self.outbox.reply(to, self.term, Body::HelloAck(ack));
    }

    /// End of the entries that this store can have acknowledged as a voter. From
    /// the entry on that removed it, no majority includes it.
    fn acknowledged_end(&self) -> LogEnd {
        let (at, members) = self.log.members();
        if members.is_bootstrapping() || members.is_voter(self.settings.me) {
            return self.end();
        }
        let before = at.saturating_sub(1);
        self.log.term(before).map_or((0, 0), |term| (term, before))
    }

    pub(super) fn on_hello_ack(&mut self, from: Peer, ack: HelloAck) {
        let run = self.settings.run;
        let Rejoin::Querying(query) = &mut self.rejoin else {
            return;
        };
        if ack.run == run {
            query.answers.insert(from, ack);
            self.check_answers();
        }
    }

    /// Ends the query once the answers are enough.
    fn check_answers(&mut self) {
        if self.has_enough_answers(|s| s.rejoined) {
            self.finish_rejoin(true);
        }
    }

    /// Whether each majority that may have counted this store includes one that has
    /// answered. Unknown, hence false, while a membership is empty.
    fn has_enough_answers(&self, counts: impl Fn(&HelloAck) -> bool) -> bool {
        let Rejoin::Querying(query) = &self.rejoin else {
            return false;
        };
        let known = self.possible_memberships(query);
        let covered = |m: &&Membership| query.covers(m, self.settings.me, &counts);
        known.iter().all(|m| !m.members.is_empty()) && known.iter().all(covered)
    }

    /// Memberships that may be effective: the latest one known to be committed,
    /// and those after it.
    fn possible_memberships<'a>(&'a self, query: &'a PeerQuery) -> Vec<&'a Membership> {
        let (at, own) = self.log.members();
        let own = (at, own, at <= self.commit);
        let answers = query.answers.values();
        let answers = answers.filter(|s| !s.members.members.is_empty());
        let answers = answers.map(|s| (s.members_index, &s.members, s.members_commit));
        let known: Vec<_> = answers.chain([own]).collect();
        let committed = known.iter().filter(|(_, _, commit)| *commit);
        let committed = committed.map(|(at, ..)| *at).max().unwrap_or(0);
        let known = known.into_iter().filter(|(at, ..)| *at >= committed);
        known.map(|(_, members, _)| members).collect()
    }

    fn finish_rejoin(&mut self, confirmed: bool) {
        let me = self.settings.me;
        let Rejoin::Querying(query) = &self.rejoin else {
            return;
        };
        let is_first = self.is_first_candidate(query);
        let known = self.possible_memberships(query);
        let others = known.iter().flat_map(|m| m.voters());
        let others: BTreeSet<Peer> = others.filter(|p| p.id != me.id).collect();
        let term = query.answers.values().map(|s| s.term).max();
        // Only a voter can be elected with entries that this store lacks.
        let votes = |p: &Peer| known.iter().any(|m| m.is_voter(*p));
        let answers = query.answers.iter().filter(|(p, _)| votes(p));
        let floor = answers.map(|(_, s)| (s.last_term, s.last_index)).max();
        let report = RejoinReport {
            answers: query.answers.len(),
            others: others.len(),
            confirmed,
            waited: query.waited,
            end: self.end(),
            floor: floor.unwrap_or((0, 0)),
        };
        let floor = report.floor;
        self.rejoin = Rejoin::Done { floor, confirmed };
        if let Some(term) = term.filter(|&t| t > self.term) {
            self.become_follower(term, None);
        }
        // Prevents a second vote in this term in place of a lost one.
        if self.vote.is_none() {
            self.vote = Some(me);
            self.hard_state_dirty = true;
        }
        self.reset_initial_deadline();
        self.outbox.effects.push(Effect::Rejoined(report));
        if is_first && self.can_campaign() {
            self.campaign(true, false);
        }
    }

    /// Whether this store campaigns without waiting for a leader: a quorum has heard none since it
    /// restarted, and no voter that answered has a longer log or, with an equal one, a lower id.
    ///
    /// If all of them campaigned at once, they would split the votes.
    fn is_first_candidate(&self, query: &PeerQuery) -> bool {
        let me = self.settings.me;
        let members = self.log.members().1;
        let same = |p: Peer, q: Peer| p == q || (p.store == 0 && p.id == q.id);
        let leaderless = |p: Peer| same(p, me) || query.answer(p).is_some_and(|a| a.leaderless);
        let rank = |end: LogEnd, id: u64| (end, Reverse(id));
        let own = rank(self.end(), me.id);
        let voters = members.voters().filter(|p| !same(*p, me));
        let mut answers = voters.filter_map(|p| Some((p.id, query.answer(p)?)));
        members.quorum(leaderless)
            && answers.all(|(id, a)| rank((a.last_term, a.last_index), id) < own)
    }

    /// Repeats the query if no leader appears that holds the entries which this
    /// store lacks: the voter that reported them may have failed since.
    pub(super) fn requery_if_behind(&mut self) {
        let limit = QUERY_TIMEOUTS * self.settings.election_timeout;
        let contact = self
            .leader_contact
            .map_or(self.query_started, |at| at.max(self.query_started));
        if self.end() < self.required_end() && self.now.since(contact) >= limit {
            self.query_started = self.now;
            self.rejoin = Rejoin::new(false, self.now);
        }
    }

    /// Drops the votes or acknowledgements that earlier runs of other stores sent.
    pub(super) fn record_seen_runs(&mut self, seen: &[SeenRun]) {
        match &mut self.state {
            RaftState::Follower => {}
            RaftState::Candidate(campaign) => campaign.record_seen_runs(seen),
            RaftState::Leader(lead) => lead.record_seen_runs(seen),
        }
    }
}

impl PeerQuery {
    /// Whether every majority of `members`, and of each membership that differs by
    /// one change, includes a voter that has answered.
    fn covers(&self, members: &Membership, me: Peer, counts: impl Fn(&HelloAck) -> bool) -> bool {
        let total = members.voters().count();
        // With two voters, one voter and a promoted learner would be a majority.
        let votes = |role| role == Role::Voter || (role == Role::Learner && total <= 2);
        let others = members.members.iter();
        let others: Vec<Peer> = others
            .filter(|m| m.id != me.id && votes(m.role()))
            .map(Member::peer)
            .collect();
        let answers = others.iter().filter_map(|p| self.answer(*p));
        let counted = answers.filter(|s| counts(s)).count();
        let accounted = |p: &Peer| self.answers.keys().any(|a| a.id == p.id);
        counted > total / 2 || others.iter().all(accounted)
    }

    /// Answer of `peer`. Initial voters are known by instance only.
    fn answer(&self, peer: Peer) -> Option<&HelloAck> {
        let same = |p: &Peer| *p == peer || (peer.store == 0 && p.id == peer.id);
        let mut answers = self.answers.iter();
        answers.find(|(p, _)| same(p)).map(|(_, s)| s)
    }
}
