//! Tests of crate-private parts, one file a module.

mod auth;
mod flow;
mod limit;
mod queue;
mod route;
