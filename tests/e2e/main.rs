//! End-to-end tests: real instances and emulated upstreams as processes.

#[path = "../common/mod.rs"]
mod common;

mod answers;
mod bad_input;
mod catalogue;
mod control;
mod drain;
mod once;
mod resume;
