//! Tests of crate-private parts, one file a module.

mod answer;
mod auth;
mod budget;
mod claim;
mod cli;
mod configuration;
mod decide;
mod dispatch;
mod engine;
mod event;
mod flow;
mod follow;
mod generation;
mod http;
mod life;
mod limit;
mod platform;
mod queue;
mod registry;
mod replica;
mod roster;
mod route;
mod simulation;
mod store;
mod view;
mod voter;
