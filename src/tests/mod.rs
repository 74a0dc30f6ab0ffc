//! Tests of crate-private parts, one file a module.

mod auth;
mod registry;
