//! Ends of placement orders, as the leading controller logs them. Does no I/O.

use std::time::Duration;

use super::leader::PlacementOrder;

/// Why an order is no longer pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    /// A heartbeat listed the layers as ordered.
    Heartbeat,
    /// The engine reported the layers as ordered when it was polled.
    Poll,
    /// A heartbeat came from another incarnation of the engine.
    Restarted,
    /// The engine accepted it, or it was never sent, and it was not carried out in time.
    Expired,
    /// The engine refused it, and the pause after that is over.
    Refused,
    /// The engine did not answer it, and the pause after that is over.
    Unanswered,
    /// This controller leads again, in a later term than that of the order.
    Term,
}

impl OrderEnd {
    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Poll => "poll",
            Self::Restarted => "restarted",
            Self::Expired => "expired",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::Term => "term",
        }
    }
}

/// An order that is no longer pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndedOrder {
    pub(crate) order: PlacementOrder,
    pub(crate) cause: OrderEnd,
    /// Time since the order was issued.
    pub(crate) age: Duration,
}
