//! Messages between instances, apart from gossip.

use prost::{Message, Oneof};

use crate::catalogue::Feed;
use crate::{limit, replica};

/// One frame on a connection between instances.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Frame {
    /// Number of the call on this connection; 0 when no answer is awaited.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What the frame carries.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5")]
    pub payload: Option<Payload>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Payload {
    /// A message of the replicated log.
    #[prost(message, tag = "2")]
    Replica(replica::Message),
    /// A request that awaits a reply.
    #[prost(message, tag = "3")]
    Request(Request),
    /// The reply to a request.
    #[prost(message, tag = "4")]
    Reply(Reply),
    /// Asks for the same frame back, as a sign of life.
    #[prost(bool, tag = "5")]
    Echo(bool),
}

/// A request from one instance to another.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Request {
    /// What is asked.
    #[prost(oneof = "Ask", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub ask: Option<Ask>,
}

/// What is asked.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Ask {
    /// For the catalogue.
    #[prost(message, tag = "1")]
    Catalogue(CatalogueRequest),
    /// For a command to be committed.
    #[prost(message, tag = "2")]
    Propose(Propose),
    /// For shares of the limits.
    #[prost(message, tag = "3")]
    LimitShares(limit::ShareRequest),
    /// For a change of the voters of a group.
    #[prost(message, tag = "4")]
    ChangeVoter(ChangeVoter),
    /// For the state of a group as its leader sees it.
    #[prost(message, tag = "5")]
    GroupStatus(GroupStatusRequest),
    /// For what an entry instance misses.
    #[prost(message, tag = "6")]
    Sync(crate::sync::SyncRequest),
    /// For heartbeats to be taken in.
    #[prost(message, tag = "7")]
    Heartbeats(crate::relay::Heartbeats),
}

/// Asks a voter for what the sender misses of the catalogue, confirmed after
/// the request arrived.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CatalogueRequest {
    /// Index of the last command that the sender has applied.
    #[prost(uint64, tag = "1")]
    pub applied: u64,
}

/// Asks a voter to commit a command.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Propose {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Asks the leader of a group to add or remove a voter.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ChangeVoter {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The instance.
    #[prost(uint64, tag = "2")]
    pub instance: u64,
    /// Whether it is removed; else it is added.
    #[prost(bool, tag = "3")]
    pub remove: bool,
    /// The store to add; 0 for a removal.
    #[prost(uint64, tag = "4")]
    pub store: u64,
}

/// What became of a [`ChangeVoter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum VoterChanged {
    /// Committed. A newcomer votes once it has caught up.
    Done = 0,
    /// The instance doesn't ask to become a voter, or isn't one.
    NotFound = 1,
    /// Another change runs.
    Busy = 2,
    /// The voters that answer would be no quorum.
    Unsafe = 3,
    /// It may or may not take effect.
    Unknown = 4,
}

/// Asks the leader of a group for its state.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GroupStatusRequest {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
}

/// State of a group as its leader sees it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GroupStatusReply {
    /// Its members.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<replica::Member>,
    /// Stores that ask to become members.
    #[prost(message, repeated, tag = "2")]
    pub strangers: Vec<replica::Peer>,
    /// The leader.
    #[prost(uint64, tag = "3")]
    pub leader: u64,
}

/// The reply to a [`Request`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Reply {
    /// What is answered.
    #[prost(oneof = "Answer", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub answer: Option<Answer>,
}

/// What is answered.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Answer {
    /// What the follower misses.
    #[prost(message, tag = "1")]
    Catalogue(CatalogueReply),
    /// The reply of the state machine to the committed command.
    #[prost(bytes = "bytes", tag = "2")]
    Committed(bytes::Bytes),
    /// Another instance leads; its number, or 0 when unknown.
    #[prost(uint64, tag = "3")]
    NotLeader(u64),
    /// Whether the command is or will be committed isn't known.
    #[prost(bool, tag = "4")]
    OutcomeUnknown(bool),
    /// The asked instance has no vote or no leader to ask.
    #[prost(bool, tag = "5")]
    Unavailable(bool),
    /// Shares of the limits.
    #[prost(message, tag = "6")]
    Grant(limit::Grant),
    /// What became of a change of the voters.
    #[prost(enumeration = "VoterChanged", tag = "7")]
    VoterChanged(i32),
    /// The state of a group.
    #[prost(message, tag = "8")]
    GroupStatus(GroupStatusReply),
    /// What an entry instance missed.
    #[prost(message, tag = "9")]
    Sync(Box<crate::sync::SyncReply>),
    /// What became of heartbeats.
    #[prost(message, tag = "10")]
    Heartbeats(crate::relay::HeartbeatsReply),
}

/// What a follower misses of the catalogue.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CatalogueReply {
    /// Everything committed before the request arrived is contained.
    #[prost(message, repeated, tag = "1")]
    pub commands: Vec<Command>,
    /// The whole state, instead of commands. Empty when commands suffice.
    #[prost(bytes = "bytes", tag = "2")]
    pub snapshot: bytes::Bytes,
    /// The voters of the catalogue's group, as its membership stands.
    #[prost(uint64, repeated, tag = "3")]
    pub voters: Vec<u64>,
}

impl CatalogueReply {
    /// The message that carries `feed`.
    pub(crate) fn new(feed: Feed, voters: Vec<u64>) -> Self {
        let empty = Self {
            voters,
            ..Self::default()
        };
        match feed {
            Feed::Snapshot(snapshot) => Self {
                snapshot: snapshot.into(),
                ..empty
            },
            Feed::Commands(commands) => Self {
                commands: commands.into_iter().map(Command::from).collect(),
                ..empty
            },
        }
    }
}

/// A committed command.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    /// Its index in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Its bytes.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

impl From<(u64, Vec<u8>)> for Command {
    fn from((index, command): (u64, Vec<u8>)) -> Self {
        Self {
            index,
            command: command.into(),
        }
    }
}
