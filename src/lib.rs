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
mod disk;
mod flow;
mod id;
mod limit;
mod membership;
mod queue;
mod replica;
mod request;
mod route;
mod store;
mod upstream;
mod voter;

pub use auth::FleetKey;
pub use catalogue::{Class, Entry, Limits, Organisation, Pool, Route, Target};
pub use clock::{Clock, SystemClock, Time};
pub use collections::{HashMap, HashSet};
pub use id::{Incarnation, InstanceId, OrganisationId, Revision, UpstreamId};
pub use replica::{Change, Member, Message, Peer, Role};
pub use store::StoreError;
pub use voter::{
    ChangeError, GroupStatus, Machine, Peers, ProposeError, ReadError, Voter, VoterSettings,
};

#[cfg(test)]
mod tests;
