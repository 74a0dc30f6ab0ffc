//! What a store must learn after a restart before it votes or acknowledges.
//!
//! The folder that a store restarts on may be a copy of its latest run, or have
//! lost its last frame. Such a store has forgotten votes and acknowledgements,
//! and a majority that counts it may drop a committed entry. So it asks the
//! other voters for their terms and the ends of their logs. Every majority that
//! it was part of includes one of those that answer once these are
//!
//! - as many as no majority can leave out, none of them asking itself, or
//! - all, but for those whose instance has an empty folder now: these have failed
//!   for certain.
//!
//! Then it takes over the highest term, gives no vote in that term any more, and
//! votes only for logs that reach the furthest end it was told of. Whoever
//! answered remembers this run durably, and names it with each vote and
//! acknowledgement of its own ([`Seen`]): a candidate or leader then drops what
//! an earlier run of the store had sent it.
//!
//! After [`PATIENCE`] election timeouts answers of stores that ask themselves
//! count like others: after a power failure of all, all ask. When not even these
//! are enough, the store trusts its folder. As many others are away then as the
//! group tolerates, and an old copy would be one fault more.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::member::{Member, Membership, Peer, Role};
use super::message::{Body, Seen, Standing};
use super::outbox::Effect;
use super::{Part, Replica};
use crate::clock::Time;

/// Election timeouts after which a voter that doesn't answer counts as failed.
const PATIENCE: u32 = 4;

/// Term and index of the end of a log.
pub(super) type End = (u64, u64);

/// Whether a store may vote and acknowledge.
#[derive(Debug)]
pub(super) enum Rejoin {
    /// It asks what it may have forgotten.
    Asking(Inquiry),
    /// It may, and votes for no log that ends before `floor`.
    Done { floor: End, confirmed: bool },
}

/// A store's questions after a restart.
#[derive(Debug)]
pub(super) struct Inquiry {
    answers: BTreeMap<Peer, Standing>,
    /// When the store last asked.
    asked: Time,
    /// When time was last counted.
    counted: Time,
    /// Time spent asking, without pauses of the process.
    waited: Duration,
}

/// How a store's questions ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RejoinReport {
    /// Voters that answered.
    pub(crate) answers: usize,
    /// Voters besides this one.
    pub(crate) others: usize,
    /// Whether enough of them answered.
    pub(crate) confirmed: bool,
    /// Time spent asking.
    pub(crate) waited: Duration,
    /// End of this store's log.
    pub(crate) end: End,
    /// Furthest end that it was told of.
    pub(crate) floor: End,
}

impl Rejoin {
    /// The state of a store that was just opened. One whose folder was empty
    /// has nothing to forget.
    pub(super) fn new(fresh: bool, now: Time) -> Self {
        if fresh {
            return Self::Done {
                floor: (0, 0),
                confirmed: true,
            };
        }
        Self::Asking(Inquiry {
            answers: BTreeMap::new(),
            asked: now,
            counted: now,
            waited: Duration::ZERO,
        })
    }
}

impl Replica {
    pub(super) fn is_asking(&self) -> bool {
        matches!(self.rejoin, Rejoin::Asking(_))
    }

    /// Whether other voters confirmed this run. `None` while it asks them.
    pub(crate) fn confirmed(&self) -> Option<bool> {
        match self.rejoin {
            Rejoin::Done { confirmed, .. } => Some(confirmed),
            Rejoin::Asking(_) => None,
        }
    }

    /// The end that a candidate's log must reach to get this store's vote.
    pub(super) fn required_end(&self) -> End {
        let end = self.end();
        match self.rejoin {
            Rejoin::Done { floor, .. } => end.max(floor),
            Rejoin::Asking(_) => end,
        }
    }

    pub(super) fn end(&self) -> End {
        (self.log.last_term(), self.log.last_index())
    }

    /// Asks again, or gives up.
    pub(super) fn tick_rejoin(&mut self) {
        let (now, period) = (self.now, self.settings.heartbeat_interval);
        let limit = PATIENCE * self.settings.election_timeout;
        let Rejoin::Asking(inquiry) = &mut self.rejoin else {
            return;
        };
        inquiry.waited += now.since(inquiry.counted).min(period);
        inquiry.counted = now;
        if inquiry.waited >= limit {
            let confirmed = self.is_answered(|_| true);
            return self.finish_rejoin(confirmed);
        }
        if now.since(inquiry.asked) >= period {
            inquiry.asked = now;
            let answered = inquiry.answers.keys().map(|p| p.id).collect();
            self.greet_except(&answered);
        }
        // A voter without others has nobody to ask.
        self.review_answers();
    }

    /// Answers a store that may have restarted. By now its run is durably
    /// remembered here.
    pub(super) fn send_standing(&mut self, to: Peer, run: u64) {
        let (members_index, members) = self.log.members();
        let knows = |m: &Member| m.peer() == to || (m.store == 0 && m.id == to.id);
        let blank = members.members.is_empty();
        if !blank && !members.members.iter().any(knows) {
            return;
        }
        let (last_term, last_index) = self.counted_end();
        let standing = Standing {
            run,
            term: self.term,
            last_term,
            last_index,
            rejoined: !self.is_asking(),
            members_index,
            members: members.clone(),
            members_commit: members_index <= self.commit,
        };
        self.outbox.reply(to, self.term, Body::Standing(standing));
    }

    /// End of the entries that this store can have acknowledged as a voter: from
    /// the entry that removed it on, no majority includes it.
    fn counted_end(&self) -> End {
        let (at, members) = self.log.members();
        if members.is_founding() || members.is_voter(self.settings.me) {
            return self.end();
        }
        let before = at.saturating_sub(1);
        self.log.term(before).map_or((0, 0), |term| (term, before))
    }

    pub(super) fn on_standing(&mut self, from: Peer, standing: Standing) {
        let run = self.settings.run;
        let Rejoin::Asking(inquiry) = &mut self.rejoin else {
            return;
        };
        if standing.run == run {
            inquiry.answers.insert(from, standing);
            self.review_answers();
        }
    }

    /// Ends the inquiry once enough have answered.
    fn review_answers(&mut self) {
        if self.is_answered(|s| s.rejoined) {
            self.finish_rejoin(true);
        }
    }

    /// Whether no majority that may have counted this store is without one that
    /// has answered. Without a known membership nobody can tell.
    fn is_answered(&self, counts: impl Fn(&Standing) -> bool) -> bool {
        let Rejoin::Asking(inquiry) = &self.rejoin else {
            return false;
        };
        let known = self.known_members(inquiry);
        let covered = |m: &&Membership| inquiry.covers(m, self.settings.me, &counts);
        known.iter().all(|m| !m.members.is_empty()) && known.iter().all(covered)
    }

    /// Memberships that may be in force: the latest one known to be committed,
    /// and those after it.
    fn known_members<'a>(&'a self, inquiry: &'a Inquiry) -> Vec<&'a Membership> {
        let (at, own) = self.log.members();
        let own = (at, own, at <= self.commit);
        let told = inquiry.answers.values();
        let told = told.filter(|s| !s.members.members.is_empty());
        let told = told.map(|s| (s.members_index, &s.members, s.members_commit));
        let known: Vec<_> = told.chain([own]).collect();
        let settled = known.iter().filter(|(_, _, commit)| *commit);
        let settled = settled.map(|(at, ..)| *at).max().unwrap_or(0);
        let known = known.into_iter().filter(|(at, ..)| *at >= settled);
        known.map(|(_, members, _)| members).collect()
    }

    fn finish_rejoin(&mut self, confirmed: bool) {
        let me = self.settings.me;
        let Rejoin::Asking(inquiry) = &self.rejoin else {
            return;
        };
        let known = self.known_members(inquiry);
        let others = known.iter().flat_map(|m| m.voters());
        let others: BTreeSet<Peer> = others.filter(|p| p.id != me.id).collect();
        let term = inquiry.answers.values().map(|s| s.term).max();
        // Only a voter can be elected with entries that this store lacks.
        let votes = |p: &Peer| known.iter().any(|m| m.is_voter(*p));
        let told = inquiry.answers.iter().filter(|(p, _)| votes(p));
        let floor = told.map(|(_, s)| (s.last_term, s.last_index)).max();
        let report = RejoinReport {
            answers: inquiry.answers.len(),
            others: others.len(),
            confirmed,
            waited: inquiry.waited,
            end: self.end(),
            floor: floor.unwrap_or((0, 0)),
        };
        let floor = report.floor;
        self.rejoin = Rejoin::Done { floor, confirmed };
        if let Some(term) = term.filter(|&t| t > self.term) {
            self.follow(term, None);
        }
        // A forgotten vote of this term can't be given again.
        if self.vote.is_none() {
            self.vote = Some(me);
            self.hard_dirty = true;
        }
        self.wait_for_first();
        self.outbox.effects.push(Effect::Rejoined(report));
    }

    /// Asks anew when no leader came up with the entries that this store lacks:
    /// the one that holds them may have failed since it answered.
    pub(super) fn renew_floor(&mut self) {
        let limit = PATIENCE * self.settings.election_timeout;
        let heard = self.heard.map_or(self.asked, |at| at.max(self.asked));
        if self.end() < self.required_end() && self.now.since(heard) >= limit {
            self.asked = self.now;
            self.rejoin = Rejoin::new(false, self.now);
        }
    }

    /// Drops what earlier runs of other stores told this candidate or leader.
    pub(super) fn forget_earlier_runs(&mut self, seen: &[Seen]) {
        match &mut self.part {
            Part::Follower => {}
            Part::Candidate(campaign) => campaign.forget_earlier(seen),
            Part::Leader(lead) => lead.forget_earlier(seen),
        }
    }
}

impl Inquiry {
    /// Whether every majority of `members`, or of members that differ by one
    /// change, includes one that has answered.
    fn covers(&self, members: &Membership, me: Peer, counts: impl Fn(&Standing) -> bool) -> bool {
        let total = members.voters().count();
        // With two voters, one and a promoted learner would be a majority.
        let votes = |role| role == Role::Voter || (role == Role::Learner && total <= 2);
        let others = members.members.iter();
        let others: Vec<Peer> = others
            .filter(|m| m.id != me.id && votes(m.role()))
            .map(Member::peer)
            .collect();
        let told = others.iter().filter_map(|p| self.answer(*p));
        let counted = told.filter(|s| counts(s)).count();
        let accounted = |p: &Peer| self.answers.keys().any(|a| a.id == p.id);
        counted > total / 2 || others.iter().all(accounted)
    }

    /// What `peer` answered. Founders are known by instance only.
    fn answer(&self, peer: Peer) -> Option<&Standing> {
        let same = |p: &Peer| *p == peer || (peer.store == 0 && p.id == peer.id);
        let mut answers = self.answers.iter();
        answers.find(|(p, _)| same(p)).map(|(_, s)| s)
    }
}
