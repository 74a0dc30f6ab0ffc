//! Records in the payload of log frames.

use crate::replica::{Entry, HardState, KnownMembers, Membership};

/// Payload of one frame: the records that one sync makes durable.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Batch {
    /// Whether the batch is the full state, which is the first of its file.
    #[prost(bool, tag = "1")]
    pub(super) full: bool,
    /// Records in order.
    #[prost(message, repeated, tag = "2")]
    pub(super) records: Vec<Record>,
}

/// One record.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Record {
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5")]
    pub(super) content: Option<Content>,
}

/// Content of a [`Record`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(super) enum Content {
    #[prost(message, tag = "1")]
    Identity(Identity),
    #[prost(message, tag = "2")]
    State(State),
    #[prost(message, tag = "3")]
    Entries(Entries),
    #[prost(message, tag = "4")]
    SnapshotRef(SnapshotRef),
    #[prost(message, tag = "5")]
    KnownRun(KnownRun),
}

/// Identity of the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct Identity {
    /// Random id of the directory. Never changes.
    #[prost(uint64, tag = "1")]
    pub(super) store: u64,
    /// Number of starts so far.
    #[prost(uint64, tag = "2")]
    pub(super) boot: u64,
    /// Random numbers of the latest runs in order.
    #[prost(uint64, repeated, tag = "3")]
    pub(super) runs: Vec<u64>,
    /// Instances that found the groups, if the directory was created to found them with these.
    /// Never changes.
    #[prost(uint64, repeated, tag = "4")]
    pub(super) founders: Vec<u64>,
}

/// Term, vote and commit of a group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct State {
    #[prost(uint32, tag = "1")]
    pub(super) group: u32,
    #[prost(message, required, tag = "2")]
    pub(super) hard: HardState,
    /// Latest membership that the store was told of, if it changed.
    #[prost(message, optional, tag = "3")]
    pub(super) known_members: Option<KnownMembers>,
}

/// Entries that replace a group's log from the first one's index on.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Entries {
    #[prost(uint32, tag = "1")]
    pub(super) group: u32,
    #[prost(message, repeated, tag = "2")]
    pub(super) entries: Vec<Entry>,
}

/// The current snapshot file of a group. Its name follows from group and index.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct SnapshotRef {
    #[prost(uint32, tag = "1")]
    pub(super) group: u32,
    #[prost(uint64, tag = "2")]
    pub(super) index: u64,
    #[prost(uint64, tag = "3")]
    pub(super) term: u64,
    #[prost(message, required, tag = "4")]
    pub(super) members: Membership,
}

/// Latest run seen of another store.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(super) struct KnownRun {
    #[prost(uint64, tag = "1")]
    pub(super) store: u64,
    #[prost(uint64, tag = "2")]
    pub(super) boot: u64,
    #[prost(uint64, tag = "3")]
    pub(super) run: u64,
}
