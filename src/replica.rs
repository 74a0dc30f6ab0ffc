//! Replicated log: elections, replication, snapshots and membership changes.
//!
//! A [`Replica`] is the member of one group on one store. It implements Raft
//! (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with pre-vote,
//! check-quorum, read index, leadership transfer and membership changes of one
//! server at a time. It does no I/O: [`Replica::step`] takes an [`Event`] and
//! returns the [`Effect`]s to carry out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::{Time, millis};

mod durable;
mod election;
mod hello;
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
#[cfg(test)]
pub(crate) use self::message::HelloAck;
pub use self::message::Message;
pub(crate) use self::message::SeenRun;
#[cfg(test)]
pub(crate) use self::message::{Append, AppendAck, ForwardHello, Vote, VoteAck};
pub(crate) use self::message::{Body, Hello, HelloRequest, KnownMembers, Superseded};
pub(crate) use self::outbox::{Cause, Effect, HardState, Persist};
pub(crate) use self::rejoin::RejoinReport;

use self::election::Campaign;
use self::outbox::Outbox;
use self::progress::Leadership;
use self::read::Reads;
use self::rejoin::Rejoin;
use self::snapshot::IncomingSnapshot;

/// Divisor of the election timeout for a replica that has just started. The
/// result must exceed the usual heartbeat interval, a fourth of the timeout.
const INITIAL_TIMEOUT_DIVISOR: u32 = 3;

/// Boot counter of a store whose directory was empty.
const FIRST_BOOT: u64 = 1;

/// Configuration of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) group: u32,
    /// Identity of this store.
    pub(crate) me: Peer,
    /// Boot counter of this store.
    pub(crate) boot: u64,
    /// Random number that identifies this process.
    pub(crate) run: u64,
    /// Instances that may know the leader. Hellos are sent to them and to the
    /// known members.
    pub(crate) contacts: Vec<u64>,
    /// Minimum election timeout; the maximum is twice as long.
    pub(crate) election_timeout: Duration,
    /// Time between heartbeats, a small fraction of `election_timeout`.
    pub(crate) heartbeat_interval: Duration,
    /// Seed of the random election timeouts.
    pub(crate) seed: u64,
    /// Number of entries before a snapshot that are retained for lagging followers.
    pub(crate) retained_entries: u64,
}

/// Durable state that a replica starts with.
#[derive(Clone, Debug, Default)]
pub(crate) struct DurableState {
    pub(crate) hard: HardState,
    pub(crate) snapshot: Snapshot,
    pub(crate) entries: Vec<Entry>,
    /// Latest membership that another store told this one of.
    pub(crate) known_members: KnownMembers,
}

/// An input to a replica.
#[derive(Debug)]
pub(crate) enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// Commands to append, each with the caller's ticket.
    Propose(Vec<(u64, Bytes)>),
    /// A request for a linearizable read, by ticket.
    Read(u64),
    /// A request for a membership change, by ticket.
    Change(u64, Change),
    /// The write with this number and all earlier writes are synced.
    Persisted(u64),
    /// A snapshot of the state machine after the applied entry at `index`.
    Compact { index: u64, data: Bytes },
    /// Other instances may know the leader, see [`Settings::contacts`].
    Contacts(Vec<u64>),
    /// A request to transfer leadership.
    Transfer,
}

/// Raft state of the replica in the current term.
#[derive(Debug)]
enum RaftState {
    Follower,
    Candidate(Campaign),
    Leader(Box<Leadership>),
}

/// Member of one group on one store.
#[derive(Debug)]
pub(crate) struct Replica {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Time,
    /// Current term. Never decreases.
    term: u64,
    /// Vote in the current term. Set at most once per term.
    vote: Option<Peer>,
    log: Log,
    /// Commit index. Never decreases or exceeds the last index of the log. Entries
    /// up to it are never overwritten.
    commit: u64,
    /// Index of the last applied entry. Never decreases, or exceeds `commit` or
    /// `synced`.
    applied: u64,
    /// Last index known to be synced on this store.
    synced: u64,
    state: RaftState,
    /// Leader of the current term, if known.
    leader: Option<Peer>,
    /// Arrival time of the leader's latest message.
    leader_contact: Option<Time>,
    /// Time at which a follower or candidate starts its next campaign.
    deadline: Time,
    /// Numbers of the writes that aren't synced, each with the last index of the log
    /// at that write.
    unsynced_writes: VecDeque<(u64, u64)>,
    /// Latest membership that other stores told this one of, while it is in none
    /// itself. Its index never decreases.
    known_members: KnownMembers,
    /// Whether the term or the vote changed in this step.
    hard_state_dirty: bool,
    /// Whether `known_members` changed in this step.
    known_members_dirty: bool,
    /// Whether a snapshot was taken or received in this step.
    snapshot_dirty: bool,
    /// First index of the log that changed in this step.
    first_unsaved: Option<u64>,
    /// Tickets of this leader's pending proposals, by index.
    tickets: BTreeMap<u64, u64>,
    reads: Reads,
    incoming: Option<IncomingSnapshot>,
    /// Stores that sent a hello, by instance, with the time of the latest.
    hello_senders: BTreeMap<u64, (Peer, Time)>,
    /// Start time of this store's latest peer query.
    query_started: Time,
    /// Whether this store may vote and acknowledge.
    rejoin: Rejoin,
    /// Whether this process has sent its first hellos.
    hello_sent: bool,
    /// Whether all initial voters agreed to found the group, but too few of their stores
    /// are founders.
    founding_refused: bool,
    outbox: Outbox,
    /// Values of `term`, `vote`, `commit` and `applied` after the last step.
    last_checked: (u64, Option<Peer>, u64, u64),
}

impl Replica {
    pub(crate) fn new(settings: Settings, start: DurableState, now: Time) -> Self {
        let log = Log::new(start.snapshot, start.entries);
        let commit = start.hard.commit.max(log.snapshot().index);
        assert!(commit <= log.last_index(), "commit index past the log");
        let header = Message {
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
            state: RaftState::Follower,
            leader: None,
            leader_contact: None,
            deadline: now,
            unsynced_writes: VecDeque::new(),
            known_members: start.known_members,
            hard_state_dirty: false,
            known_members_dirty: false,
            snapshot_dirty: false,
            first_unsaved: None,
            tickets: BTreeMap::new(),
            reads: Reads::new(settings.run),
            incoming: None,
            hello_senders: BTreeMap::new(),
            query_started: now,
            rejoin: Rejoin::new(settings.boot == FIRST_BOOT, now),
            hello_sent: false,
            founding_refused: false,
            outbox: Outbox::new(header),
            last_checked: (start.hard.term, start.hard.vote, 0, 0),
            log,
            settings,
        };
        replica.reset_initial_deadline();
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
            Event::Contacts(contacts) => self.settings.contacts = contacts,
            Event::Transfer => self.on_transfer(),
        }
        self.run_leader();
        self.apply();
        self.serve_reads();
        self.save();
        self.check();
        out.append(&mut self.outbox.effects);
    }

    /// Identity of this store.
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

    /// Whether all initial voters agreed to found the group, but too few of their stores are
    /// founders.
    pub(crate) fn founding_refused(&self) -> bool {
        self.founding_refused
    }

    pub(crate) fn leader(&self) -> Option<Peer> {
        self.leader
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.state, RaftState::Leader(_))
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Milliseconds since each other member last answered. Empty unless this replica leads.
    pub(crate) fn silences(&self) -> Vec<(Peer, u64)> {
        let RaftState::Leader(lead) = &self.state else {
            return Vec::new();
        };
        let progress = lead.progress.iter();
        progress
            .map(|(&peer, p)| (peer, millis(self.now.since(p.last_contact))))
            .collect()
    }

    /// State that a rewritten log file must contain.
    pub(crate) fn durable_state(&self) -> DurableState {
        DurableState {
            hard: self.hard_state(),
            snapshot: self.log.snapshot().clone(),
            entries: self.log.tail(),
            known_members: self.known_members.clone(),
        }
    }

    fn on_tick(&mut self) {
        self.expire_reads();
        if !self.hello_sent {
            self.hello_sent = true;
            self.send_hellos();
        }
        self.tick_rejoin();
        if self.is_leader() {
            return self.tick_leader();
        }
        if self.now >= self.deadline {
            self.on_election_timeout();
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
        if self.is_querying() && !body.is_hello_exchange() {
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
            Body::ForwardHello(hello) => self.on_forward_hello(hello),
            Body::HelloAck(ack) => self.on_hello_ack(from, ack),
            Body::KnownMembers(known) => self.on_known_members(known),
            // Handled by the voter's core, since they concern all groups.
            Body::Superseded(_) | Body::HelloRequest(_) => {}
        }
    }

    /// Adopts the term of a message if it is higher. Returns whether to handle the
    /// message.
    fn accept_term(&mut self, from: Peer, term: u64, body: &Body) -> bool {
        match body {
            // A leader answers a read only after it has confirmed its leadership,
            // so the term of the request doesn't matter. The other messages don't
            // depend on a term.
            Body::Read(_)
            | Body::ReadAck(_)
            | Body::Hello(_)
            | Body::ForwardHello(_)
            | Body::HelloAck(_)
            | Body::KnownMembers(_)
            | Body::Superseded(_)
            | Body::HelloRequest(_) => return true,
            // A pre-vote contains the term of a possible later election, which must
            // not be adopted before that election begins.
            Body::Vote(vote) if vote.pre => return true,
            Body::VoteAck(ack) if ack.pre && ack.granted => return true,
            Body::Vote(vote) if !vote.transfer && self.has_recent_leader() => return false,
            _ => {}
        }
        if term > self.term {
            let from_leader = matches!(body, Body::Append(_) | Body::Chunk(_));
            self.become_follower(term, from_leader.then_some(from));
        }
        if term < self.term {
            self.reject_stale_term(from, body);
            return false;
        }
        true
    }

    /// Replies with the current term to a sender with an older one.
    fn reject_stale_term(&mut self, from: Peer, body: &Body) {
        match body {
            // The sender may be the leader of the current term by the time the
            // reply arrives and evaluate it, so every field must be accurate.
            Body::Append(_) | Body::Chunk(_) => self.ack(from, false, 0, 0, 0),
            Body::Vote(_) => {
                let ack = Body::VoteAck(message::VoteAck::default());
                self.outbox.reply(from, self.term, ack);
            }
            _ => {}
        }
    }

    /// Becomes a follower in `term`.
    fn become_follower(&mut self, term: u64, leader: Option<Peer>) {
        assert!(term >= self.term, "term fell");
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_state_dirty = true;
            self.incoming = None;
            self.outbox.discard_replies();
        }
        if self.is_leader() {
            self.fail_pending();
        }
        self.state = RaftState::Follower;
        self.leader = leader;
        if leader.is_some() {
            self.leader_contact = Some(self.now);
        }
        self.reset_deadline();
    }

    /// Fails the pending proposals and reads of this leader.
    fn fail_pending(&mut self) {
        let tickets = std::mem::take(&mut self.tickets);
        for ticket in tickets.into_values() {
            self.fail(ticket, Cause::Unknown);
        }
        self.reads.fail_all(&mut self.outbox);
    }

    fn fail(&mut self, ticket: u64, cause: Cause) {
        self.outbox.effects.push(Effect::Failed { ticket, cause });
    }

    fn reset_deadline(&mut self) {
        self.set_deadline(self.settings.election_timeout);
    }

    /// Sets a shorter deadline for a replica that has had no contact with a
    /// leader since this process started.
    ///
    /// After a restart of all voters there is no leader. With the full timeout,
    /// the election of five killed voters took 0.63 s after the restart of the
    /// third.
    ///
    /// A working leader isn't disturbed. Its next heartbeat usually arrives before
    /// the deadline. If it doesn't, its followers ignore the pre-vote, and the cost
    /// is one message to each voter.
    fn reset_initial_deadline(&mut self) {
        self.set_deadline(self.settings.election_timeout / INITIAL_TIMEOUT_DIVISOR);
    }

    fn set_deadline(&mut self, min: Duration) {
        let min = min.as_micros() as u64;
        let wait = self.rng.random_range(min..2 * min);
        self.deadline = self.now + Duration::from_micros(wait);
    }

    /// Asserts the invariants between the previous step and this one.
    fn check(&mut self) {
        let (term, vote, commit, applied) = self.last_checked;
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
        self.last_checked = (self.term, self.vote, self.commit, self.applied);
    }
}
