//! Messages between the replicas of one group.

use bytes::Bytes;

use super::log::Entry;
use super::member::{Membership, Peer};

/// A message from one replica to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Message {
    /// Number of the group.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// Instance that sends.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Store of the sender.
    #[prost(uint64, tag = "3")]
    pub from_store: u64,
    /// Instance that receives.
    #[prost(uint64, tag = "4")]
    pub to: u64,
    /// Store that the message is meant for, zero for any store of `to`.
    #[prost(uint64, tag = "5")]
    pub to_store: u64,
    /// Boot counter of the sender's store.
    #[prost(uint64, tag = "6")]
    pub boot: u64,
    /// Random number of the sender's process.
    #[prost(uint64, tag = "7")]
    pub run: u64,
    /// The sender's term, or the term a pre-vote asks for.
    #[prost(uint64, tag = "8")]
    pub term: u64,
    /// The content.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub body: Option<Body>,
}

impl Message {
    /// The sender.
    #[must_use]
    pub fn sender(&self) -> Peer {
        Peer {
            id: self.from,
            store: self.from_store,
        }
    }
}

/// Content of a [`Message`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A candidate asks for a vote.
    #[prost(message, tag = "10")]
    Vote(Vote),
    /// Answer to [`Body::Vote`].
    #[prost(message, tag = "11")]
    VoteAck(VoteAck),
    /// The leader's entries, or its heartbeat when there are none.
    #[prost(message, tag = "12")]
    Append(Append),
    /// Answer to [`Body::Append`], and to the last [`Body::Chunk`].
    #[prost(message, tag = "13")]
    AppendAck(AppendAck),
    /// A piece of the leader's snapshot.
    #[prost(message, tag = "14")]
    Chunk(Chunk),
    /// Answer to [`Body::Chunk`].
    #[prost(message, tag = "15")]
    ChunkAck(ChunkAck),
    /// A follower asks the leader for a read index.
    #[prost(message, tag = "16")]
    Read(Read),
    /// Answer to [`Body::Read`].
    #[prost(message, tag = "17")]
    ReadAck(ReadAck),
    /// The leader hands over: the receiver campaigns at once.
    #[prost(message, tag = "18")]
    TimeoutNow(TimeoutNow),
    /// A store makes itself and its run known.
    #[prost(message, tag = "19")]
    Hello(Hello),
    /// The receiver runs on an old copy of its data folder.
    #[prost(message, tag = "20")]
    Superseded(Superseded),
    /// The sender doesn't know the receiver's run: it wants a greeting.
    #[prost(message, tag = "21")]
    Ask(Ask),
    /// A member tells the leader of a store that greeted it.
    #[prost(message, tag = "22")]
    Introduce(Introduce),
    /// Answer to [`Body::Hello`]: what the sender's store may have forgotten.
    #[prost(message, tag = "23")]
    Standing(Standing),
}

impl Body {
    /// Whether this makes stores known to each other, which also a store does
    /// that takes no part yet.
    pub(super) fn is_greeting(&self) -> bool {
        matches!(
            self,
            Self::Hello(_) | Self::Introduce(_) | Self::Standing(_)
        )
    }
}

/// Term, log and members of a store that answers a greeting.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Standing {
    /// Run that greeted.
    #[prost(uint64, tag = "1")]
    pub run: u64,
    /// Term of the store that answers.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Term of the last entry that it can have acknowledged as a voter.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Index of that entry.
    #[prost(uint64, tag = "4")]
    pub last_index: u64,
    /// Whether it knows that it has forgotten nothing itself.
    #[prost(bool, tag = "5")]
    pub rejoined: bool,
    /// Index of the entry that holds `members`.
    #[prost(uint64, tag = "6")]
    pub members_index: u64,
    /// The latest members in its log.
    #[prost(message, required, tag = "7")]
    pub members: Membership,
    /// Whether that entry is known to be committed.
    #[prost(bool, tag = "8")]
    pub members_commit: bool,
}

/// Latest run of a store that the sender remembers durably.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Seen {
    /// The store.
    #[prost(uint64, tag = "1")]
    pub store: u64,
    /// Boot counter of its run.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
}

/// A store that is no member and greeted the sender.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Introduce {
    /// The store.
    #[prost(message, optional, tag = "1")]
    pub peer: Option<Peer>,
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Vote {
    /// Whether this only asks how a vote would go.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the leader asked for this election.
    #[prost(bool, tag = "2")]
    pub transfer: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "4")]
    pub last_term: u64,
}

/// Answer to a vote or pre-vote.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct VoteAck {
    /// As in the request.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote was given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Runs that the sender knows.
    #[prost(message, repeated, tag = "3")]
    pub seen: Vec<Seen>,
}

/// Entries that follow `prev_index`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Append {
    /// Index of the entry before the first of `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// Entries in order, without gaps.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Number of the leader's latest round of read confirmation.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Outcome of an append. A refusal is no loss: the leader sends earlier entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendAck {
    /// Whether the entry before the first one matched.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// Last matching and synced index, or the refused `prev_index`.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// After a refusal: the first index that the leader should try next.
    #[prost(uint64, tag = "3")]
    pub hint: u64,
    /// Index of the last entry in the sender's log.
    #[prost(uint64, tag = "4")]
    pub last_index: u64,
    /// Round of the append.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Runs that the sender knows.
    #[prost(message, repeated, tag = "6")]
    pub seen: Vec<Seen>,
}

/// A piece of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Chunk {
    /// Index of the last entry that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Membership at that index.
    #[prost(message, optional, tag = "3")]
    pub members: Option<Membership>,
    /// Position of `data` in the snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Size of the snapshot in bytes.
    #[prost(uint64, tag = "5")]
    pub total: u64,
    /// Bytes of the snapshot.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
    /// Number of the leader's latest round of read confirmation.
    #[prost(uint64, tag = "7")]
    pub round: u64,
}

/// How much of a snapshot the receiver holds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ChunkAck {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Position from which the receiver needs bytes.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Round of the chunk.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Request for a read index.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Read {
    /// The follower's number for the request, never used twice.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
}

/// A confirmed read index.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ReadAck {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub ticket: u64,
    /// Entries up to this index must be applied before the read.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// Order to campaign at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// Greeting of a store that starts or hears no leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Random numbers of the latest runs of the sender's store, in order, the
    /// sender's own last.
    #[prost(uint64, repeated, tag = "1")]
    pub runs: Vec<u64>,
}

/// Request for a greeting.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ask {}

/// Refusal of everything that a run sends: a later run of its store was seen.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Superseded {
    /// Boot counter of the refused run.
    #[prost(uint64, tag = "1")]
    pub boot: u64,
    /// Random number of the refused run.
    #[prost(uint64, tag = "2")]
    pub run: u64,
}
