//! Which instances are alive: a SWIM-style failure detector.
//!
//! Every period an instance probes one other, so that its cost doesn't grow
//! with the fleet. A probe that fails, also through helpers, makes the target
//! suspect; a suspect that doesn't refute in time is dead.

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
