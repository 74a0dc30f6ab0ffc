//! Decides which stores vote on the replicated log.
//!
//! Failure pattern: the group is founded by the seeds alone and must grow to the size that
//! tolerates the configured number of failures. A machine may lose its disk and return as a new
//! store, or be lost for good and be replaced by an empty one at another address.

use std::time::Duration;

use crate::replica::{Change, Peer, Role};
use crate::voter::GroupStatus;

/// Silence after which a voter is replaced by a waiting store. A restart takes a second; a
/// machine that was only frozen for longer returns as a waiting store and loses nothing.
pub(crate) const MAX_SILENCE: Duration = Duration::from_secs(3);

/// State of a member as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemberStatus {
    pub(crate) peer: Peer,
    pub(crate) votes: bool,
    /// Time since its last response.
    pub(crate) silence: Duration,
}

/// All members of a group as seen by its leader, which has no silence itself.
pub(crate) fn statuses(group: &GroupStatus) -> Vec<MemberStatus> {
    let silence = |peer| group.silences.iter().find(|(p, _)| *p == peer);
    let members = group.members.iter().map(|m| MemberStatus {
        peer: m.peer(),
        votes: m.role() == Role::Voter,
        silence: silence(m.peer()).map_or(Duration::ZERO, |s| Duration::from_millis(s.1)),
    });
    members.collect()
}

/// Number of voters needed to tolerate the simultaneous loss of `tolerated` of them.
pub(crate) fn required_voters(tolerated: u32) -> usize {
    2 * tolerated as usize + 1
}

/// Returns the next change of the members, if any. `members` includes the leader, with no
/// silence; `waiting` contains the stores that ask to become members.
pub(crate) fn next_change(
    members: &[MemberStatus],
    waiting: &[Peer],
    required: usize,
) -> Option<Change> {
    // A machine with a new disk replaces its old store, which may not vote either: it was still
    // catching up, or barred.
    let is_replacement = |p: &&Peer| members.iter().any(|m| m.peer.id == p.id);
    if let Some(&peer) = waiting.iter().find(is_replacement) {
        return Some(Change::Add(peer));
    }
    let &peer = waiting.first()?;
    let voters = members.iter().filter(|m| m.votes);
    if voters.clone().count() < required {
        return Some(Change::Add(peer));
    }
    let silent = voters.filter(|v| v.silence >= MAX_SILENCE);
    let lost = silent.max_by_key(|v| v.silence)?;
    Some(Change::Remove(lost.peer))
}
