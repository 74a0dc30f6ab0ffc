//! laburnumquay: a router between callers and the model engines or plain
//! services (upstreams) that answer them.
//!
//! State machines do no I/O: they take an event and a time and return typed
//! effects, which thin driver threads carry out. A randomised test can thus be
//! replayed from its seed.

mod allocate;
mod auth;
mod body_memory;
mod budget;
mod catalogue;
mod claim;
mod cli;
mod client;
mod client_limits;
mod clock;
mod collections;
mod configuration;
mod confirm;
mod connection;
mod control;
mod controller;
mod decide;
mod disk;
mod dispatch;
mod dump;
mod engine;
mod entry;
mod error;
mod event;
mod explain;
mod fingerprint;
mod flow;
mod follow;
mod frame;
mod gate;
mod gossip;
mod http;
mod id;
mod instance;
mod lease;
mod limit;
mod log;
mod membership;
mod message;
mod metric;
mod node;
mod openai;
mod peer;
mod periodic;
// The platform's formats are kept in a directory of their own at the root, apart from the
// product's own interfaces.
#[path = "../platform/mod.rs"]
mod platform;
mod poll;
mod program;
mod prompt;
mod propose;
mod queue;
mod register;
mod relay;
mod replica;
mod request;
mod role;
mod roster;
mod route;
mod serve;
mod settings;
mod startup;
mod store;
mod supervise;
mod sync;
mod turn;
mod upstream;
mod voter;
mod whole;

pub use auth::FleetKey;
pub use catalogue::{
    Catalogue, Change as CatalogueChange, Class, Entry, EntryKey, Expect, Kind, Limits, Listing,
    Operation, Organisation, Outcome as ChangeOutcome, PastChange, Pool, Record, Route, Target,
};
pub use cli::command;
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use error::{EXIT_OK, Error, Result};
pub use gossip::{
    Datagram, Fleet, FleetDump, FleetError, FleetSettings, Node, NodeEvent, NodeSettings,
    TrafficCounts,
};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};
pub use limit::{
    Allocator, Amounts, Demand, Denial, DenialReason, Grant, Holder, LEASE, MIN_REQUEST_GAP,
    Permit, REQUEST_PERIOD, Share, ShareRequest,
};
pub use membership::{Member, MemberDump, MemberState, MemberView};
pub use program::run;
pub use queue::{Discipline, Item, Queue, Refusal, RefusalReason};
pub use replica::{Change, Member as GroupMember, Message, Peer, Role};
pub use route::{
    Candidate, Choice, FlowShares, GreedyCheapest, Hop, HopContext, LeastInFlight, NoPath,
    NoPathReason, Outcome, Policy, Query, RoundRobin, Router, Stage, Ticket,
};
pub use settings::Settings;
pub use store::StoreError;
pub use upstream::{
    AnnounceError, AnnounceOutcome, Announcement, Engine, Load, RegistryCounts, Serves, Service,
    Upstream, UpstreamDump, UpstreamState, UpstreamView,
};
pub use voter::{
    ChangeError, GroupStatus, MessageSender, ProposeError, ReadError, StateMachine, Voter,
    VoterSettings,
};

#[cfg(test)]
mod tests;
