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
#[allow(dead_code)]
mod flow;
mod id;
#[allow(dead_code)]
mod limit;
mod membership;
#[allow(dead_code)]
mod queue;
mod replica;
mod request;
#[allow(dead_code)]
mod route;
mod store;
mod upstream;

pub use auth::FleetKey;
pub use catalogue::{Class, Entry, Limits, Organisation, Pool, Route, Target};
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};
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
