//! Unit tests of the crate's modules, one file per module.

use std::time::Duration;

use crate::clock::Time;
use crate::controller::leader::LeaderState;
use crate::register::Register;
use crate::roster::{AnnounceOutcome, Announcement, Roster};
use crate::sync::{SyncReply, SyncRequest};

mod answer;
mod auth;
mod budget;
mod claim;
mod cli;
mod client_limits;
mod configuration;
mod decide;
mod dispatch;
mod engine;
mod event;
mod event_buffer;
mod explain;
mod fingerprint;
mod flow;
mod follow;
mod follower;
mod generation;
mod http;
mod leader;
mod lifecycle;
mod limit;
mod metric;
mod order;
mod page;
mod peer;
mod platform;
mod pool;
mod proxy;
mod queue;
mod register;
mod registry;
mod relay;
mod replica;
mod roster;
mod route;
mod simulation;
mod store;
mod sync;
mod targets;
mod turn;
mod view;
mod voter;
mod waiters;
mod whole;

/// Entry instances up to which the leader of a test answers all of them itself.
const DIRECT: usize = 100;

/// Returns the time `millis` milliseconds after zero.
fn at(millis: u64) -> Time {
    Time(millis * 1000)
}

/// Applies an announcement to a roster, unless it is stale.
fn announce(roster: &mut Roster, now: Time, announcement: Announcement) -> AnnounceOutcome {
    match roster.check(now, announcement) {
        Ok(current) => match roster.announce(now, current) {
            true => AnnounceOutcome::New,
            false => AnnounceOutcome::Known,
        },
        Err(reason) => AnnounceOutcome::Stale(reason),
    }
}

/// Answers a sync request, unless it is outdated.
fn handle_sync(
    leader: &mut LeaderState,
    now: Time,
    request: SyncRequest,
    register: &Register,
) -> Option<SyncReply> {
    let current = leader.check_sync(request)?;
    Some(leader.sync(now, current, Duration::ZERO, None, register))
}
