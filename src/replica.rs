//! Replicated log: election, replication, snapshots, membership change.
//!
//! A [`Replica`] is one group's member on one store. It follows Raft
//! (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote,
//! check-quorum, read index, leadership transfer and membership changes of one
//! server at a time. It does no I/O: [`Replica::step`] takes an [`Event`] and
//! emits [`Effect`]s.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::{Time, millis};

mod durable;
mod election;
mod log;
mod member;
mod message;
mod outbox;
mod progress;
mod read;
mod reconfigure;
mod rejoin;
mod replication;
mod snapshot;

pub(crate) use self::log::{Entry, Kind, Log, Snapshot};
pub(crate) use self::member::Membership;
pub use self::member::{Change, Member, Peer, Role};
pub use self::message::Message;
pub(crate) use self::message::Seen;
#[cfg(test)]
pub(crate) use self::message::Standing;
#[cfg(test)]
pub(crate) use self::message::{Append, AppendAck, Introduce, Vote, VoteAck};
pub(crate) use self::message::{Ask, Body, Hello, Superseded};
pub(crate) use self::outbox::{Cause, Effect, Hard, Persist};
pub(crate) use self::rejoin::RejoinReport;

use self::election::Campaign;
use self::outbox::Outbox;
use self::progress::Leadership;
use self::read::Reads;
use self::rejoin::Rejoin;
use self::snapshot::Incoming;

/// Election timeouts for which a store that greeted is remembered. It greets
/// again after two at the latest.
const STRANGER_TIMEOUTS: u32 = 6;

/// Part of the election timeout for which a replica that has just started waits
/// for a leader. Longer than the usual time between heartbeats, a fourth.
const FIRST_PART: u32 = 3;

/// Boot counter of a store whose folder was empty.
const FIRST_BOOT: u64 = 1;

/// Constants of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) group: u32,
    /// This store.
    pub(crate) me: Peer,
    /// Boot counter of this store.
    pub(crate) boot: u64,
    /// Random number of this process.
    pub(crate) run: u64,
    /// Instances that may know the leader; a store that is no member greets
    /// them.
    pub(crate) contacts: Vec<u64>,
    /// Shortest election timeout; the longest is twice as long.
    pub(crate) election_timeout: Duration,
    /// Time between heartbeats, a small part of `election`.
    pub(crate) heartbeat_interval: Duration,
    /// Seed of the election timeouts.
    pub(crate) seed: u64,
    /// Entries kept behind a snapshot for followers that lag.
    pub(crate) retained_entries: u64,
}

/// Durable state that a replica starts from.
#[derive(Clone, Debug, Default)]
pub(crate) struct Start {
    pub(crate) hard: Hard,
    pub(crate) snapshot: Snapshot,
    pub(crate) entries: Vec<Entry>,
}

/// What happens to a replica.
#[derive(Debug)]
pub(crate) enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// Commands to append, each with the driver's ticket.
    Propose(Vec<(u64, Bytes)>),
    /// A linearizable read is wanted.
    Read(u64),
    /// A membership change is wanted.
    Change(u64, Change),
    /// The write with this number and all earlier ones are synced.
    Persisted(u64),
    /// The machine's state after the entry at `index`, which was applied.
    Compact { index: u64, data: Bytes },
    /// Hand leadership over.
    Transfer,
}

/// Part that the replica plays in the current term.
#[derive(Debug)]
enum Part {
    Follower,
    Candidate(Campaign),
    Leader(Box<Leadership>),
}

/// One group's member on one store.
#[derive(Debug)]
pub(crate) struct Replica {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Time,
    /// Only grows.
    term: u64,
    /// Set at most once a term.
    vote: Option<Peer>,
    log: Log,
    /// Only grows, never past the log's end. What it covers is never
    /// overwritten.
    commit: u64,
    /// Only grows, not past `commit` or `synced`.
    applied: u64,
    /// Last index known to be synced here.
    synced: u64,
    part: Part,
    /// Leader of the current term, if known.
    leader: Option<Peer>,
    /// When the leader was last heard.
    heard: Option<Time>,
    /// When a follower or candidate campaigns.
    deadline: Time,
    /// Ordered writes that aren't synced, with the log's end at each.
    writes: VecDeque<(u64, u64)>,
    /// Whether term or vote changed in this step.
    hard_dirty: bool,
    /// Whether a snapshot was taken or received in this step.
    snapshot_dirty: bool,
    /// First index that was written in this step.
    unsaved: Option<u64>,
    /// Proposals of this leader by index.
    tickets: BTreeMap<u64, u64>,
    reads: Reads,
    incoming: Option<Incoming>,
    /// Stores that greeted without being members, by instance.
    strangers: BTreeMap<u64, (Peer, Time)>,
    /// When this store began to ask the others.
    asked: Time,
    /// Whether this store may vote and acknowledge.
    rejoin: Rejoin,
    /// Whether the peers were told of this run.
    greeted: bool,
    outbox: Outbox,
    /// Term, vote, commit and applied after the last step.
    checked: (u64, Option<Peer>, u64, u64),
}

impl Replica {
    pub(crate) fn new(settings: Settings, start: Start, now: Time) -> Self {
        let log = Log::new(start.snapshot, start.entries);
        let commit = start.hard.commit.max(log.snapshot().index);
        assert!(commit <= log.last_index(), "commit index past the log");
        let head = Message {
            group: settings.group,
            from: settings.me.id,
            from_store: settings.me.store,
            boot: settings.boot,
            run: settings.run,
            ..Message::default()
        };
        let mut replica = Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now,
            term: start.hard.term,
            vote: start.hard.vote,
            commit,
            applied: 0,
            synced: log.last_index(),
            part: Part::Follower,
            leader: None,
            heard: None,
            deadline: now,
            writes: VecDeque::new(),
            hard_dirty: false,
            snapshot_dirty: false,
            unsaved: None,
            tickets: BTreeMap::new(),
            reads: Reads::new(settings.run),
            incoming: None,
            strangers: BTreeMap::new(),
            asked: now,
            rejoin: Rejoin::new(settings.boot == FIRST_BOOT, now),
            greeted: false,
            outbox: Outbox::new(head),
            checked: (start.hard.term, start.hard.vote, 0, 0),
            log,
            settings,
        };
        replica.wait_for_first();
        replica
    }

    /// Handles one event. Effects must be carried out in order.
    pub(crate) fn step(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Message(message) => self.on_message(message),
            Event::Propose(commands) => self.on_propose(commands),
            Event::Read(ticket) => self.reads.queue_local(ticket),
            Event::Change(ticket, change) => self.on_change(ticket, change),
            Event::Persisted(seq) => self.on_persisted(seq),
            Event::Compact { index, data } => self.on_compact(index, data),
            Event::Transfer => self.on_transfer(),
        }
        self.lead();
        self.apply();
        self.serve_reads();
        self.save();
        self.check();
        out.append(&mut self.outbox.effects);
    }

    /// This store.
    pub(crate) fn me(&self) -> Peer {
        self.settings.me
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    pub(crate) fn commit(&self) -> u64 {
        self.commit
    }

    pub(crate) fn applied(&self) -> u64 {
        self.applied
    }

    pub(crate) fn leader(&self) -> Option<Peer> {
        self.leader
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.part, Part::Leader(_))
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Stores that greeted lately without being members. None while the group
    /// forms, when every founder's store is new.
    pub(crate) fn strangers(&self) -> impl Iterator<Item = Peer> + '_ {
        let members = self.log.members().1;
        let limit = STRANGER_TIMEOUTS * self.settings.election_timeout;
        self.strangers
            .values()
            .filter(move |(_, at)| self.now.since(*at) < limit)
            .map(|(peer, _)| *peer)
            .filter(|&p| !members.is_founding() && members.role(p).is_none())
    }

    /// On the leader, milliseconds since each other member last answered.
    pub(crate) fn silences(&self) -> Vec<(Peer, u64)> {
        let Part::Leader(lead) = &self.part else {
            return Vec::new();
        };
        let progress = lead.progress.iter();
        progress
            .map(|(&peer, p)| (peer, millis(self.now.since(p.heard))))
            .collect()
    }

    /// The state that a rewritten log file must hold.
    pub(crate) fn image(&self) -> Start {
        Start {
            hard: self.hard(),
            snapshot: self.log.snapshot().clone(),
            entries: self.log.tail(),
        }
    }

    fn on_tick(&mut self) {
        self.expire_reads();
        if !self.greeted {
            self.greeted = true;
            self.greet();
        }
        self.tick_rejoin();
        if self.is_leader() {
            return self.tick_leader();
        }
        if self.now >= self.deadline {
            self.on_timeout();
        }
    }

    fn on_message(&mut self, message: Message) {
        let me = self.settings.me;
        if message.to != me.id || (message.to_store != 0 && message.to_store != me.store) {
            return;
        }
        let from = message.sender();
        let term = message.term;
        let boot = message.boot;
        let Some(body) = message.body else { return };
        if self.is_asking() && !body.is_greeting() {
            return;
        }
        if !self.accept_term(from, term, &body) {
            return;
        }
        match body {
            Body::Vote(vote) => self.on_vote(from, term, vote),
            Body::VoteAck(ack) => self.on_vote_ack(from, boot, term, &ack),
            Body::Append(append) => self.on_append(from, append),
            Body::AppendAck(ack) => self.on_append_ack(from, boot, &ack),
            Body::Chunk(chunk) => self.on_chunk(from, chunk),
            Body::ChunkAck(ack) => self.on_chunk_ack(from, ack),
            Body::Read(read) => self.reads.queue_remote(from, read.ticket),
            Body::ReadAck(ack) => self.reads.on_ack(ack),
            Body::TimeoutNow(_) => self.on_timeout_now(),
            Body::Hello(_) => self.on_hello(from, message.run),
            Body::Introduce(introduce) => self.on_introduce(introduce),
            Body::Standing(standing) => self.on_standing(from, standing),
            // The driver handles it: it concerns all groups.
            Body::Superseded(_) | Body::Ask(_) => {}
        }
    }

    /// Adopts a higher term. Returns whether the message deserves handling.
    fn accept_term(&mut self, from: Peer, term: u64, body: &Body) -> bool {
        match body {
            // Reads are answered by whoever confirms its leadership after the
            // request, whatever the term; greetings carry none.
            Body::Read(_)
            | Body::ReadAck(_)
            | Body::Hello(_)
            | Body::Introduce(_)
            | Body::Standing(_)
            | Body::Superseded(_)
            | Body::Ask(_) => return true,
            // The term asked for isn't in force yet.
            Body::Vote(vote) if vote.pre => return true,
            Body::VoteAck(ack) if ack.pre && ack.granted => return true,
            Body::Vote(vote) if !vote.transfer && self.hears_leader() => return false,
            _ => {}
        }
        if term > self.term {
            let from_leader = matches!(body, Body::Append(_) | Body::Chunk(_));
            self.follow(term, from_leader.then_some(from));
        }
        if term < self.term {
            self.refuse_old(from, body);
            return false;
        }
        true
    }

    /// Tells a sender of an older term which term it is.
    fn refuse_old(&mut self, from: Peer, body: &Body) {
        match body {
            // The sender may lead this term by now, so all of it must be true.
            Body::Append(_) | Body::Chunk(_) => self.ack(from, false, 0, 0, 0),
            Body::Vote(_) => {
                let ack = Body::VoteAck(message::VoteAck::default());
                self.outbox.reply(from, self.term, ack);
            }
            _ => {}
        }
    }

    /// Becomes follower in `term`.
    fn follow(&mut self, term: u64, leader: Option<Peer>) {
        assert!(term >= self.term, "term fell");
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_dirty = true;
            self.incoming = None;
            self.outbox.forget();
        }
        if self.is_leader() {
            self.abandon();
        }
        self.part = Part::Follower;
        self.leader = leader;
        if leader.is_some() {
            self.heard = Some(self.now);
        }
        self.reset_deadline();
    }

    /// Fails what this leader had promised to report.
    fn abandon(&mut self) {
        let tickets = std::mem::take(&mut self.tickets);
        for ticket in tickets.into_values() {
            self.fail(ticket, Cause::Unknown);
        }
        self.reads.abandon(&mut self.outbox);
    }

    fn fail(&mut self, ticket: u64, cause: Cause) {
        self.outbox.effects.push(Effect::Failed { ticket, cause });
    }

    fn reset_deadline(&mut self) {
        self.wait_for(self.settings.election_timeout);
    }

    /// Sets when a replica asks for a pre-vote that has heard no leader in this
    /// run.
    ///
    /// After a restart of all, nobody leads. Where there is a leader, its next
    /// heartbeat is heard before, and who hears it grants no pre-vote; so asking
    /// soon costs a message. Kill of five voters: 0.63 s until the next leader
    /// with the whole timeout, counted from the third that was up again.
    fn wait_for_first(&mut self) {
        self.wait_for(self.settings.election_timeout / FIRST_PART);
    }

    fn wait_for(&mut self, least: Duration) {
        let least = least.as_micros() as u64;
        let wait = self.rng.random_range(least..2 * least);
        self.deadline = self.now + Duration::from_micros(wait);
    }

    /// Asserts what must never change in the wrong direction.
    fn check(&mut self) {
        let (term, vote, commit, applied) = self.checked;
        assert!(self.term >= term, "term fell");
        assert!(
            self.term > term || vote.is_none() || self.vote == vote,
            "two votes in a term"
        );
        assert!(self.commit >= commit, "commit index fell");
        assert!(self.applied >= applied, "applied index fell");
        assert!(self.applied <= self.commit, "applied before commit");
        assert!(self.applied <= self.synced, "applied before its sync");
        assert!(self.commit <= self.log.last_index(), "commit past the log");
        assert!(self.synced <= self.log.last_index(), "synced past the log");
        self.checked = (self.term, self.vote, self.commit, self.applied);
    }
}
