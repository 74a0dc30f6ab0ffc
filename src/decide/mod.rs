//! Decisions under load and failure, apart from I/O.
//!
//! Each module answers one load pattern, named in its head, and gives the
//! reason for its limits.

pub(crate) mod allowance;
pub(crate) mod demand;
pub(crate) mod health;
pub(crate) mod hold;
pub(crate) mod leave;
pub(crate) mod link;
pub(crate) mod load;
pub(crate) mod members;
pub(crate) mod pace;
pub(crate) mod path;
pub(crate) mod pick;
pub(crate) mod placement;
pub(crate) mod quarantine;
pub(crate) mod rate;
pub(crate) mod refusal;
pub(crate) mod retry;
pub(crate) mod run_history;
pub(crate) mod silence;
pub(crate) mod waiting;
