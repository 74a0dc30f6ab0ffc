//! Messages between instances, except gossip.

use prost::{Message, Oneof};

use crate::catalogue::Feed;
use crate::{limit, replica};

/// One frame on a connection between instances.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Frame {
    /// Number of the call on this connection, or 0 if no reply is expected.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Content of the frame.
    #[prost(oneof = "Payload", tags = "2, 3, 4, 5")]
    pub payload: Option<Payload>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Payload {
    /// A message of the replicated log.
    #[prost(message, tag = "2")]
    Replica(replica::Message),
    /// A request that expects a reply.
    #[prost(message, tag = "3")]
    Request(Request),
    /// The reply to a request.
    #[prost(message, tag = "4")]
    Reply(Reply),
    /// Keepalive that the receiver echoes.
    #[prost(bool, tag = "5")]
    Echo(bool),
}

/// A request from one instance to another.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Request {
    /// Content of the request.
    #[prost(oneof = "Ask", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub ask: Option<Ask>,
}

/// Content of a request.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Ask {
    /// Fetch the catalogue.
    #[prost(message, tag = "1")]
    Catalogue(CatalogueRequest),
    /// Commit a command.
    #[prost(message, tag = "2")]
    Propose(Propose),
    /// Grant shares of the limits.
    #[prost(message, tag = "3")]
    LimitShares(limit::ShareRequest),
    /// Change the voters of a group.
    #[prost(message, tag = "4")]
    ChangeVoter(ChangeVoter),
    /// Fetch the status of a group from its leader.
    #[prost(message, tag = "5")]
    GroupStatus(GroupStatusRequest),
    /// Fetch the state that an entry instance lacks.
    #[prost(message, tag = "6")]
    Sync(Box<crate::sync::SyncRequest>),
    /// Process heartbeats of upstreams.
    #[prost(message, tag = "7")]
    Heartbeats(crate::relay::Heartbeats),
}

/// Fetches the catalogue commands that the sender lacks from a voter, which
/// confirms the read after the request arrives.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CatalogueRequest {
    /// Index of the last command applied by the sender.
    #[prost(uint64, tag = "1")]
    pub applied: u64,
}

/// Requests that a voter commit a command.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Propose {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The command.
    #[prost(bytes = "bytes", tag = "2")]
    pub command: bytes::Bytes,
}

/// Requests that the leader of a group add or remove a voter.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ChangeVoter {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
    /// The instance to add or remove.
    #[prost(uint64, tag = "2")]
    pub instance: u64,
    /// Whether the instance is removed rather than added.
    #[prost(bool, tag = "3")]
    pub remove: bool,
    /// The store to add, or 0 for a removal.
    #[prost(uint64, tag = "4")]
    pub store: u64,
}

/// Outcome of a [`ChangeVoter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum VoterChanged {
    /// Committed. An added voter votes once it has caught up.
    Done = 0,
    /// The instance to add hasn't offered that store, or the instance to remove
    /// isn't a member.
    NotFound = 1,
    /// Another change is in progress.
    Busy = 2,
    /// The responsive voters wouldn't form a quorum.
    Unsafe = 3,
    /// The change may or may not take effect.
    Unknown = 4,
}

/// Requests the status of a group from its leader.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GroupStatusRequest {
    /// Group of the replicated log.
    #[prost(uint32, tag = "1")]
    pub group: u32,
}

/// Status of a group on its leader.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GroupStatusReply {
    /// Members of the group.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<replica::Member>,
    /// Stores that ask to become members of the group.
    #[prost(message, repeated, tag = "2")]
    pub non_members: Vec<replica::Peer>,
    /// Instance that leads the group.
    #[prost(uint64, tag = "3")]
    pub leader: u64,
}

/// Reply to a [`Request`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Reply {
    /// Content of the reply.
    #[prost(oneof = "Answer", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub answer: Option<Answer>,
}

/// Content of a reply.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Answer {
    /// Catalogue commands or a snapshot that the follower lacks.
    #[prost(message, tag = "1")]
    Catalogue(CatalogueReply),
    /// Result of the state machine for the committed command.
    #[prost(bytes = "bytes", tag = "2")]
    Committed(bytes::Bytes),
    /// Another instance leads: its number, or 0 if unknown.
    #[prost(uint64, tag = "3")]
    NotLeader(u64),
    /// The command may or may not be committed.
    #[prost(bool, tag = "4")]
    OutcomeUnknown(bool),
    /// The instance has no voter or can't process the request at present.
    #[prost(bool, tag = "5")]
    Unavailable(bool),
    /// Granted shares of the limits.
    #[prost(message, tag = "6")]
    Grant(limit::Grant),
    /// Outcome of a change of the voters.
    #[prost(enumeration = "VoterChanged", tag = "7")]
    VoterChanged(i32),
    /// Status of a group.
    #[prost(message, tag = "8")]
    GroupStatus(GroupStatusReply),
    /// State that an entry instance lacks.
    #[prost(message, tag = "9")]
    Sync(Box<crate::sync::SyncReply>),
    /// Outcome of heartbeats.
    #[prost(message, tag = "10")]
    Heartbeats(crate::relay::HeartbeatsReply),
}

/// Catalogue commands or a snapshot that a follower lacks.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CatalogueReply {
    /// Commands that the follower lacks, including all committed before the request
    /// arrived.
    #[prost(message, repeated, tag = "1")]
    pub commands: Vec<Command>,
    /// Full state instead of commands, or empty if commands suffice.
    #[prost(bytes = "bytes", tag = "2")]
    pub snapshot: bytes::Bytes,
    /// Voters of the catalogue's group according to its current membership.
    #[prost(uint64, repeated, tag = "3")]
    pub voters: Vec<u64>,
}

impl CatalogueReply {
    /// Creates the reply that carries `feed`.
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

/// A committed command of the catalogue.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    /// Index in the log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Encoded command.
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
