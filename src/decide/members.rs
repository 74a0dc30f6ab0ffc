//! Which stores vote on the replicated log.
//!
//! Failure pattern: the group is founded by the seeds alone and must grow to
//! the size that bears the losses asked for; a machine loses its disk and
//! comes back as a new store; a machine is gone for good and an empty one
//! takes its place at another address.

use std::time::Duration;

use crate::replica::{Change, Peer};

/// Silence after which a voter gives up its place to a store that waits. A
/// restart takes a second; a machine that is merely frozen for longer comes
/// back as the one that waits, and loses nothing.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// A voter as its leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VoterStatus {
    pub(crate) peer: Peer,
    /// Time since it last answered.
    pub(crate) silence: Duration,
}

/// Voters needed so that `tolerated` of them may be lost at once.
pub(crate) fn required_voters(tolerated: u32) -> usize {
    2 * tolerated as usize + 1
}

/// The next change of the members, if any. `voters` includes the leader, with
/// no silence; `waiting` are stores that ask to become members.
pub(crate) fn next_change(
    voters: &[VoterStatus],
    waiting: &[Peer],
    wanted: usize,
) -> Option<Change> {
    // The same machine with another disk takes the place of its old store.
    let replaced = |p: &&Peer| voters.iter().any(|v| v.peer.id == p.id);
    if let Some(&peer) = waiting.iter().find(replaced) {
        return Some(Change::Add(peer));
    }
    let &peer = waiting.first()?;
    if voters.len() < wanted {
        return Some(Change::Add(peer));
    }
    let silent = voters.iter().filter(|v| v.silence >= MAX_SILENCE);
    let gone = silent.max_by_key(|v| v.silence)?;
    Some(Change::Remove(gone.peer))
}
