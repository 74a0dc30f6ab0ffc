//! Effects for the voter's core to carry out, and replies that wait for a sync.

use std::collections::VecDeque;

use super::log::{Entry, Snapshot};
use super::member::Peer;
use super::message::{Body, KnownMembers, Message};
use super::rejoin::RejoinReport;

/// Raft's hard state: the durable state besides the log.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct HardState {
    /// Latest term seen. Only grows.
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// Vote given in that term. Never changes within the term.
    #[prost(message, optional, tag = "2")]
    pub(crate) vote: Option<Peer>,
    /// A commit index. May lag behind the current one, never exceeds the log.
    #[prost(uint64, tag = "3")]
    pub(crate) commit: u64,
}

/// State to write and sync before `Event::Persisted` with the same number.
#[derive(Clone, Debug)]
pub(crate) struct Persist {
    /// Number of the write, ascending by one.
    pub(crate) seq: u64,
    /// Term, vote, commit.
    pub(crate) hard: HardState,
    /// A snapshot that replaces everything up to its index.
    pub(crate) snapshot: Option<Snapshot>,
    /// Entries that replace the log from the first one's index on.
    pub(crate) entries: Vec<Entry>,
    /// The membership that this store was told of, if it changed.
    pub(crate) known_members: Option<KnownMembers>,
}

/// Reason why a proposal, read or change failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Not started: this store doesn't lead. `hint` is the leader, if known.
    NotLeader { hint: Option<u64> },
    /// It may or may not take effect.
    Unknown,
    /// The change was not started: another one runs, or the leader is new.
    Busy,
    /// The change was not started: it would leave the group without a quorum.
    Unsafe,
}

/// An action for the voter's core.
#[derive(Clone, Debug)]
pub(crate) enum Effect {
    /// Send a message. It needs no sync.
    Send(Message),
    /// Make state durable.
    Persist(Persist),
    /// Apply a committed entry. `ticket` is set if it was proposed here.
    Apply { entry: Entry, ticket: Option<u64> },
    /// Replace the state of the state machine.
    Restore(Snapshot),
    /// A read may proceed at `index`.
    Readable { ticket: u64, index: u64 },
    /// The leader has another entry at `index` than the one committed here. The
    /// store must send nothing further.
    Diverged { index: u64 },
    /// The peer query after a restart has ended.
    Rejoined(RejoinReport),
    /// A proposal, read or change failed.
    Failed { ticket: u64, cause: Cause },
}

/// Effects of the current step and replies that wait for a sync.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Header of every message.
    header: Message,
    /// Effects of the current step.
    pub(crate) effects: Vec<Effect>,
    /// Replies of the current step that depend on durable state.
    replies: Vec<Message>,
    /// Replies of earlier steps with the number of the write they wait for.
    deferred: VecDeque<(u64, Message)>,
    /// Number of the latest write.
    issued: u64,
    /// Number of the latest write known to be synced. Not above `issued`.
    synced: u64,
}

impl Outbox {
    /// `head` carries group, sender, boot counter and run.
    pub(crate) fn new(header: Message) -> Self {
        Self {
            header,
            effects: Vec::new(),
            replies: Vec::new(),
            deferred: VecDeque::new(),
            issued: 0,
            synced: 0,
        }
    }

    /// Sends a message that doesn't depend on durable state.
    pub(crate) fn send(&mut self, to: Peer, term: u64, body: Body) {
        let message = self.message(to, term, body);
        self.effects.push(Effect::Send(message));
    }

    /// Sends a message once everything written so far is synced.
    ///
    /// A vote or acknowledgement sent before the sync could be lost in a crash:
    /// the store could then vote twice in a term, or a majority could count an
    /// entry that no longer exists.
    pub(crate) fn reply(&mut self, to: Peer, term: u64, body: Body) {
        let message = self.message(to, term, body);
        self.replies.push(message);
    }

    /// Drops the pending replies when the term changes.
    ///
    /// The next term may overwrite an entry before its sync. Its acknowledgement
    /// would then refer to an entry that was never durable.
    pub(crate) fn discard_replies(&mut self) {
        self.replies.clear();
        self.deferred.clear();
    }

    /// Returns the number of the next write.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.issued += 1;
        self.issued
    }

    /// Queues the replies of this step behind the writes issued so far. Returns
    /// those that need not wait.
    pub(crate) fn defer_replies(&mut self) -> Vec<Message> {
        if self.synced == self.issued {
            return std::mem::take(&mut self.replies);
        }
        let seq = self.issued;
        let replies = self.replies.drain(..);
        self.deferred.extend(replies.map(|m| (seq, m)));
        Vec::new()
    }

    /// Takes the replies that waited for write `seq` or an earlier one.
    pub(crate) fn release(&mut self, seq: u64) -> Vec<Message> {
        assert!(seq <= self.issued, "sync of a write that was never issued");
        self.synced = self.synced.max(seq);
        let count = self.deferred.partition_point(|(s, _)| *s <= seq);
        self.deferred.drain(..count).map(|(_, m)| m).collect()
    }

    fn message(&self, to: Peer, term: u64, body: Body) -> Message {
        Message {
            to: to.id,
            to_store: to.store,
            term,
            body: Some(body),
            ..self.header.clone()
        }
    }
}
