//! laburnumquay: a router between callers and the model engines or plain
//! services (upstreams) that answer them.
//!
//! State machines do no I/O: an event and a time go in, typed effects come
//! out. Thin threads run them, so that a randomised run replays from its seed.

mod auth;
mod catalogue;
mod claim;
mod clock;
mod collections;
mod flow;
#[allow(dead_code)]
mod gossip;
mod id;
mod limit;
#[allow(dead_code)]
mod membership;
mod queue;
mod replica;
mod request;
mod route;
mod store;
#[allow(dead_code)]
mod upstream;

pub use auth::FleetKey;
pub use catalogue::{Class, Entry, Limits, Organisation, Pool, Route, Target};
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use gossip::{
    Datagram, Fleet, FleetDump, FleetError, FleetSettings, Node, NodeEvent, NodeSettings,
    TrafficCounts,
};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};
pub use membership::{Member, MemberDump, MemberState, MemberView};
pub use upstream::{
    AnnounceError, AnnounceOutcome, Announcement, Engine, Load, RegistryCounts, Serves, Service,
    Upstream, UpstreamDump, UpstreamState, UpstreamView,
};

#[cfg(test)]
mod tests;
