//! Leased shares of fleet-wide limits.
//!
//! The [`Allocator`] runs beside the leader of the replicated log, a
//! [`Holder`] on each instance. A holder asks once a period and whenever a
//! request finds no share; the answer replaces all that it holds. A grant is
//! valid for [`LEASE`] from the *sending of the question* on the holder's
//! clock; the allocator counts it for longer, from the receipt of the question
//! on its own clock. The receipt is never before the sending, so a share that
//! is used is always counted, whatever messages are lost, late or doubled.

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

/// Validity of a grant from the sending of the question, on the holder's clock.
pub const LEASE: Duration = Duration::from_secs(4);

/// Time between two questions of a holder.
pub const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// Least time between two questions when requests find no share.
pub const MIN_REQUEST_GAP: Duration = Duration::from_millis(50);

/// Bound on how far two clocks drift apart over one lease: 1% each way, and as
/// much again for the rounding to microseconds and for scheduling.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(160);
