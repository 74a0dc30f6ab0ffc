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
mod flow;
mod id;
mod limit;
mod membership;
mod queue;
mod replica;
#[allow(dead_code, unused_imports)]
mod request;
mod route;
mod store;
mod upstream;

pub use auth::FleetKey;
pub use catalogue::{Class, Entry, Limits, Organisation, Pool, Route, Target};
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};

#[cfg(test)]
mod tests;
