//! laburnumquay: a router between callers and the model engines or plain
//! services (upstreams) that answer them.
//!
//! State machines do no I/O: an event and a time go in, typed effects come
//! out. Thin threads run them, so that a randomised run replays from its seed.

mod auth;
#[allow(dead_code)]
mod budget;
mod catalogue;
#[allow(dead_code, unused_imports)]
mod claim;
mod clock;
mod collections;
mod disk;
#[allow(dead_code)]
mod flow;
#[allow(dead_code)]
mod gossip;
mod id;
#[allow(dead_code)]
mod limit;
#[allow(dead_code)]
mod membership;
#[allow(dead_code)]
mod queue;
mod replica;
#[allow(dead_code, unused_imports)]
mod request;
#[allow(dead_code)]
mod route;
mod store;
#[allow(dead_code)]
mod upstream;
mod voter;

pub use auth::FleetKey;
pub use catalogue::{Class, Entry, Limits, Organisation, Pool, Route, Target};
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use gossip::{Fleet, FleetDump, FleetError, FleetSettings, TrafficCounts};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};
pub use replica::{Change, Member, Message, Peer, Role};
pub use store::StoreError;
pub use voter::{
    ChangeError, GroupStatus, Machine, Peers, ProposeError, ReadError, Voter, VoterSettings,
pub use membership::{Member, MemberDump, MemberState, MemberView};
pub use upstream::{
    AnnounceError, AnnounceOutcome, Announcement, Engine, Load, RegistryCounts, Serves, Service,
    Upstream, UpstreamDump, UpstreamState, UpstreamView,
pub use limit::{
    Allocator, Amounts, Ask, Demand, Denial, DenialReason, Grant, Holder, LEASE, PERIOD, Permit,
    Share, URGENT,
};
pub use queue::{Discipline, Item, Queue, Refusal, RefusalReason};
pub use route::{
    Candidate, Choice, FlowShares, GreedyCheapest, Hop, LeastInFlight, NoPath, NoPathReason,
    Outcome, Policy, Query, RoundRobin, Router, Site, Stage, Ticket,
};

#[cfg(test)]
mod tests;
