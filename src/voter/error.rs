//! Errors that callers of a voter receive.

use snafu::Snafu;

use crate::id::InstanceId;
use crate::replica::Cause;

/// Reason why a proposal has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ProposeError {
    /// Not started: another instance leads.
    #[snafu(display("this instance doesn't lead the group; send the change to the leader"))]
    NotLeader {
        /// The leader, if known.
        hint: Option<InstanceId>,
    },
    /// Not started: the queue is full.
    #[snafu(display("too many changes wait; try again later"))]
    Busy,
    /// It may or may not take effect.
    #[snafu(display("the outcome is unknown; send the same change again"))]
    Unknown,
    /// Not started: the voter has stopped.
    #[snafu(display("this instance has stopped; send the change to another one"))]
    Stopped,
}

/// Reason why a linearizable read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ReadError {
    /// No leader confirmed the read in time.
    #[snafu(display("no leader confirmed the read; try again later"))]
    NoLeader {
        /// The leader, if known.
        hint: Option<InstanceId>,
    },
    /// The queue is full.
    #[snafu(display("too many requests wait; try again later"))]
    Busy,
    /// The voter has stopped.
    #[snafu(display("this instance has stopped; read from another one"))]
    Stopped,
}

/// Reason why a membership change failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChangeError {
    /// Not started: another instance leads.
    #[snafu(display("this instance doesn't lead the group; send the change to the leader"))]
    NotLeader {
        /// The leader, if known.
        hint: Option<InstanceId>,
    },
    /// Not started: another change is in progress, or the queue is full.
    #[snafu(display("another change runs; try again later"))]
    Busy,
    /// Not started: the members that answer would form no quorum.
    #[snafu(display("the members that answer would be no quorum; bring others back first"))]
    Unsafe,
    /// It may or may not take effect.
    #[snafu(display("the outcome is unknown; look at the members, then try again"))]
    Unknown,
    /// Not started: the voter has stopped.
    #[snafu(display("this instance has stopped; send the change to another one"))]
    Stopped,
}

impl From<Cause> for ProposeError {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::NotLeader { hint } => Self::NotLeader {
                hint: hint.map(InstanceId),
            },
            Cause::Busy | Cause::Unsafe => Self::Busy,
            Cause::Unknown => Self::Unknown,
        }
    }
}

impl From<Cause> for ReadError {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::NotLeader { hint } => Self::NoLeader {
                hint: hint.map(InstanceId),
            },
            Cause::Busy | Cause::Unsafe | Cause::Unknown => Self::Busy,
        }
    }
}

impl From<Cause> for ChangeError {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::NotLeader { hint } => Self::NotLeader {
                hint: hint.map(InstanceId),
            },
            Cause::Busy => Self::Busy,
            Cause::Unsafe => Self::Unsafe,
            Cause::Unknown => Self::Unknown,
        }
    }
}
