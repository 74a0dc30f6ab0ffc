//! SWIM-style membership and failure detection.
//!
//! Each instance probes one other per period, so its cost doesn't grow with
//! the fleet. A target that answers neither a direct nor an indirect probe
//! becomes suspect; a suspect that doesn't refute in time is declared dead.

mod detector;
mod member;
mod merge;
mod probe;
mod upkeep;
mod wire;

pub use member::{Member, MemberDump, MemberState, MemberView};

pub(crate) use detector::{DetectorSettings, MemberEffect, Membership, SUSPEND_GAP};
pub(crate) use merge::RecordSource;
pub(crate) use probe::ProbeEvent;
pub(crate) use wire::{MemberRecord, decode_address, encode_address};
