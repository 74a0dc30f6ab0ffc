//! What waits in the queue and how it is refused.

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
    /// Route of the catalogue that the request came in by.
    pub route: Arc<str>,
    /// Owner of the route.
    pub organisation: OrganisationId,
    /// Class of work.
    pub class: Class,
    /// Estimated cost in stage seconds (or tokens; one unit for the whole
    /// queue). Positive and finite.
    pub cost: f64,
    /// When the request is worth nothing any more.
    pub deadline: Time,
    /// Items that the route may have waiting on this instance at present.
    pub bound: u32,
}

/// Why the queue didn't take an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The route has as many items waiting as it may.
    Full,
    /// The item wouldn't be served before its deadline.
    Deadline,
    /// An item with this id waits already.
    Duplicate,
}

/// The queue didn't take an item. The request was not run.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the request was not run ({reason:?}): send it again in {retry_after:?}"))]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When another try has a chance.
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
