//! The leader's view of each member.

use std::collections::BTreeMap;

use super::member::Peer;
use super::message::SeenRun;
use crate::clock::Time;

/// How the leader replicates to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReplicationMode {
    /// The end of its log is unknown: one message is sent at a time.
    Probe { waiting: bool },
    /// Entries are sent ahead of acknowledgements.
    Pipeline,
    /// It needs a snapshot. `offset` bytes of the one at `index` have arrived;
    /// the next chunk was sent at `sent`.
    Snapshot { index: u64, offset: u64, sent: Time },
}

/// Replication progress of one member.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to be synced by the member. Only grows within the term.
    pub(super) matched: u64,
    /// Next index to send. Above `matched`.
    pub(super) next: u64,
    pub(super) mode: ReplicationMode,
    /// When the member last answered in this term.
    pub(super) last_contact: Time,
    /// Latest read round that the member answered.
    pub(super) round: u64,
    /// Highest commit index sent to the member.
    pub(super) commit_sent: u64,
    /// Boot counter of the run that acknowledged `matched`.
    pub(super) boot: u64,
    /// Highest boot counter of the member that another one has seen.
    pub(super) seen: u64,
    /// Whether the member lost entries that it had acknowledged.
    pub(super) rolled_back: bool,
}

impl Progress {
    pub(super) fn new(next: u64, now: Time) -> Self {
        Self {
            matched: 0,
            next,
            mode: ReplicationMode::Probe { waiting: false },
            last_contact: now,
            round: 0,
            commit_sent: 0,
            boot: 0,
            seen: 0,
            rolled_back: false,
        }
    }
}

/// State of a leader, dropped at the end of its term.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Index of the term's first entry.
    pub(super) first: u64,
    /// Progress of all other members.
    pub(super) progress: BTreeMap<Peer, Progress>,
    /// Number of the latest read round. Only grows.
    pub(super) round: u64,
    /// When the last heartbeat was sent.
    pub(super) last_heartbeat: Time,
    /// When unknown contacts were last sent a hello.
    pub(super) last_greeting: Time,
    /// Target of a leadership transfer, and when the attempt ends.
    pub(super) transfer: Option<(Peer, Time)>,
    /// Whether the target was told to campaign.
    pub(super) transfer_sent: bool,
}

impl Leadership {
    pub(super) fn new(first: u64, now: Time) -> Self {
        Self {
            first,
            progress: BTreeMap::new(),
            round: 0,
            last_heartbeat: now,
            last_greeting: now,
            transfer: None,
            transfer_sent: false,
        }
    }

    /// Last index that `peer` has synced, zero if its acknowledgements don't
    /// count.
    pub(super) fn matched(&self, peer: Peer) -> u64 {
        let progress = self.progress.get(&peer);
        let counts = |p: &&Progress| !p.rolled_back && p.boot >= p.seen;
        progress.filter(counts).map_or(0, |p| p.matched)
    }

    /// Records the runs that a member has seen. Acknowledgements of earlier runs
    /// no longer count, since the later run may use a copy that lacks the
    /// entries.
    pub(super) fn record_seen_runs(&mut self, seen: &[SeenRun]) {
        for (peer, progress) in &mut self.progress {
            let boots = seen.iter().filter(|s| s.store == peer.store);
            let boot = boots.map(|s| s.boot).max();
            progress.seen = progress.seen.max(boot.unwrap_or(0));
        }
    }
}
