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
    /// Instance of the sender.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Store of the sender.
    #[prost(uint64, tag = "3")]
    pub from_store: u64,
    /// Instance of the receiver.
    #[prost(uint64, tag = "4")]
    pub to: u64,
    /// Store of the receiver, zero for any store of `to`.
    #[prost(uint64, tag = "5")]
    pub to_store: u64,
    /// Boot counter of the sender's store.
    #[prost(uint64, tag = "6")]
    pub boot: u64,
    /// Random number of the sender's process.
    #[prost(uint64, tag = "7")]
    pub run: u64,
    /// The sender's term, or the term that a pre-vote asks for.
    #[prost(uint64, tag = "8")]
    pub term: u64,
    /// The content.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24"
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
    /// A chunk of the leader's snapshot.
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
    /// The leader transfers leadership: the receiver campaigns at once.
    #[prost(message, tag = "18")]
    TimeoutNow(TimeoutNow),
    /// Announces a store and its run.
    #[prost(message, tag = "19")]
    Hello(Hello),
    /// Tells the receiver that it runs on an old copy of its data directory.
    #[prost(message, tag = "20")]
    Superseded(Superseded),
    /// Requests a [`Body::Hello`] from a run that the sender doesn't know.
    #[prost(message, tag = "21")]
    HelloRequest(HelloRequest),
    /// Forwards a non-member's [`Body::Hello`] to the leader.
    #[prost(message, tag = "22")]
    ForwardHello(ForwardHello),
    /// Answer to [`Body::Hello`] with the state that the store may have lost.
    #[prost(message, tag = "23")]
    HelloAck(HelloAck),
    /// Answer to the [`Body::Hello`] of a non-member.
    #[prost(message, tag = "24")]
    KnownMembers(KnownMembers),
}

impl Body {
    /// Whether the message belongs to the hello exchange, which a store also
    /// handles before it takes part in elections and replication.
    pub(super) fn is_hello_exchange(&self) -> bool {
        matches!(
            self,
            Self::Hello(_) | Self::ForwardHello(_) | Self::HelloAck(_) | Self::KnownMembers(_)
        )
    }
}

/// Term, log end and membership of the store that answers a hello.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HelloAck {
    /// Run that sent the hello.
    #[prost(uint64, tag = "1")]
    pub run: u64,
    /// Term of the answering store.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Term of the last entry that it can have acknowledged as a voter.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// Index of that entry.
    #[prost(uint64, tag = "4")]
    pub last_index: u64,
    /// Whether the answering store has itself rejoined.
    #[prost(bool, tag = "5")]
    pub rejoined: bool,
    /// Index of the entry that holds `members`.
    #[prost(uint64, tag = "6")]
    pub members_index: u64,
    /// Latest membership in its log.
    #[prost(message, required, tag = "7")]
    pub members: Membership,
    /// Whether that entry is known to be committed.
    #[prost(bool, tag = "8")]
    pub members_commit: bool,
    /// Whether the answering store has neither led nor heard a leader since it started.
    #[prost(bool, tag = "9")]
    pub leaderless: bool,
}

/// Latest run of a store that the sender has durably recorded.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SeenRun {
    /// The store.
    #[prost(uint64, tag = "1")]
    pub store: u64,
    /// Boot counter of its run.
    #[prost(uint64, tag = "2")]
    pub boot: u64,
}

/// A non-member that sent a hello to the sender.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ForwardHello {
    /// The store.
    #[prost(message, optional, tag = "1")]
    pub peer: Option<Peer>,
}

/// Instances of a membership, as passed on to stores outside of it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KnownMembers {
    /// Index of the entry that holds the membership, zero if none is known.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Its instances.
    #[prost(uint64, repeated, tag = "2")]
    pub instances: Vec<u64>,
}

/// Request for a vote or a pre-vote.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Vote {
    /// Whether this is a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the leader requested this election.
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
    /// Whether this answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre: bool,
    /// Whether the vote was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// Runs of other stores that the sender has recorded.
    #[prost(message, repeated, tag = "3")]
    pub seen: Vec<SeenRun>,
    /// Instances that found the group, as recorded when the sender's directory was created. Empty
    /// if its log isn't.
    #[prost(uint64, repeated, tag = "4")]
    pub founders: Vec<u64>,
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
    /// Number of the leader's latest read round.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// Outcome of an append. After a mismatch the leader sends earlier entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AppendAck {
    /// Whether the entry before the first one matched.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// Last matching and synced index, or the `prev_index` that didn't match.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// First index that the leader should try next after a mismatch.
    #[prost(uint64, tag = "3")]
    pub hint: u64,
    /// Index of the last entry in the sender's log.
    #[prost(uint64, tag = "4")]
    pub last_index: u64,
    /// Read round of the append.
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Runs of other stores that the sender has recorded.
    #[prost(message, repeated, tag = "6")]
    pub seen: Vec<SeenRun>,
}

/// A chunk of a snapshot.
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
    /// Number of the leader's latest read round.
    #[prost(uint64, tag = "7")]
    pub round: u64,
}

/// Amount of a snapshot that the receiver holds.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ChunkAck {
    /// Index of the snapshot.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Position of the first byte that the receiver lacks.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Read round of the chunk.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Request for a read index.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Read {
    /// The follower's number for the request, never reused.
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

/// Request to campaign at once.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TimeoutNow {}

/// Announcement of a store that has started or has no contact with a leader.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// Random numbers of the latest runs of the sender's store in order, the
    /// current one last.
    #[prost(uint64, repeated, tag = "1")]
    pub runs: Vec<u64>,
}

/// Request for a hello.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HelloRequest {}

/// Rejection of a run because a later run of its store was seen.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Superseded {
    /// Boot counter of the rejected run.
    #[prost(uint64, tag = "1")]
    pub boot: u64,
    /// Random number of the rejected run.
    #[prost(uint64, tag = "2")]
    pub run: u64,
}
