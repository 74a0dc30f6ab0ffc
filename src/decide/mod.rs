//! Decisions under load and failure, separate from I/O.
//!
//! The documentation of each module describes the load or failure pattern that it handles
//! and gives the reasons for its limits.

pub(crate) mod admission;
pub(crate) mod backoff;
pub(crate) mod body_budget;
pub(crate) mod connections;
pub(crate) mod crashing_parts;
pub(crate) mod demand;
pub(crate) mod drain;
pub(crate) mod health;
pub(crate) mod instance_count;
pub(crate) mod link;
pub(crate) mod load;
pub(crate) mod members;
pub(crate) mod migration;
pub(crate) mod pace;
pub(crate) mod path;
pub(crate) mod pick;
pub(crate) mod placement;
pub(crate) mod proxies;
pub(crate) mod quarantine;
pub(crate) mod rank;
pub(crate) mod rate;
pub(crate) mod reachability;
pub(crate) mod refusal;
pub(crate) mod retry;
pub(crate) mod retry_budget;
pub(crate) mod run_history;
pub(crate) mod shedding;
pub(crate) mod silence;
pub(crate) mod stall;
pub(crate) mod view_wait;
pub(crate) mod wait_queue;
pub(crate) mod waiting;
