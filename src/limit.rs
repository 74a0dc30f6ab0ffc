//! Leased shares of fleet-wide limits.
//!
//! The [`Allocator`] runs on the leader of the replicated log, a [`Holder`] on
//! each instance. A holder sends a [`ShareRequest`] once per period, and
//! earlier when it has to deny a request; the [`Grant`] replaces all its
//! shares. A grant is valid for [`LEASE`] from the *sending* of the share
//! request on the holder's clock. The allocator counts it for longer: from the
//! receipt of the share request on its own clock, plus a margin for clock
//! drift. The receipt is never before the sending, so a share in use is always
//! counted, even if messages are lost, delayed or duplicated.

mod allocator;
mod bucket;
mod holder;
mod local;
mod message;

use std::time::Duration;

pub use allocator::Allocator;
pub use holder::{Holder, Permit};
pub use local::{Denial, DenialReason};
pub use message::{Amounts, Demand, Grant, Share, ShareRequest};

/// Validity of a grant, from the sending of the share request on the holder's
/// clock.
pub const LEASE: Duration = Duration::from_secs(4);

/// Interval between share requests of a holder with demand or shares.
pub const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// Minimum interval between share requests, used when requests are denied.
pub const MIN_REQUEST_GAP: Duration = Duration::from_millis(50);

/// Bound on how far two clocks drift apart over one lease: 1% each way, and as
/// much again for rounding to microseconds and for scheduling delays.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(160);
