//! Tests of crate-private parts, one file a module.

mod auth;
mod event;
mod flow;
mod route;
mod voter;
