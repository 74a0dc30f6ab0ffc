//! The roles of the users' platform as real processes, between an operator,
//! callers and engines that these tests stand in for.

#[path = "../common/mod.rs"]
mod common;

mod copy;
mod crash;
mod engine;
mod faults;
mod limit;
mod observe;
mod path;
mod stage;
