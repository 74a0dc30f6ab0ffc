//! Tests of the platform's roles, `controller` and `entry`, as real processes. The
//! tests act as operator, callers and engines.

#[path = "../common/mod.rs"]
mod common;

mod crash;
mod crash_part;
mod crowd;
mod cut;
mod deployment;
mod drain;
mod end_to_end;
mod endless;
mod engine;
mod faults;
mod followers;
mod founding;
mod limit;
mod malformed;
mod metrics;
mod misbehaving;
mod notice;
mod order;
mod pause;
mod priority;
mod promise;
mod reach;
mod restore;
mod silence;
mod soak;
mod unframed;
