//! Items of the queue and reasons for refusing them.

use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

use crate::catalogue::Class;
use crate::clock::Time;
use crate::id::OrganisationId;

/// One waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Unique among the waiting items of the instance.
    pub id: u64,
    /// Route of the catalogue that the request uses.
    pub route: Arc<str>,
    /// Owner of the route.
    pub organisation: OrganisationId,
    /// Class of work.
    pub class: Class,
    /// Estimated cost in stage seconds or tokens, with one unit for the whole
    /// queue. Positive and finite.
    pub cost: f64,
    /// Time after which the request is of no use to its caller.
    pub deadline: Time,
    /// Maximum number of items of the route that may wait on this instance.
    pub bound: u32,
}

/// Why the queue refused an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The maximum number of items of the route already wait.
    Full,
    /// The item wouldn't be served before its deadline.
    Deadline,
    /// An item with this id already waits.
    Duplicate,
}

/// The queue refused an item. The request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("request not run: queue refused it ({reason:?}); retry in {retry_after:?}"))]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl Refusal {
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }
}
