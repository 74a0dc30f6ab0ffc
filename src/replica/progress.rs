//! What a leader knows of each member.

use std::collections::BTreeMap;

use super::member::Peer;
use super::message::Seen;
use crate::clock::Time;

/// How entries flow to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    /// The end of its log is unknown: one message at a time.
    Probe { waiting: bool },
    /// Entries are sent ahead of acknowledgements.
    Stream,
    /// It needs a snapshot; `offset` bytes of that at `index` have arrived,
    /// and the next piece left at `sent`.
    Snapshot { index: u64, offset: u64, sent: Time },
}

/// State of one member as the leader sees it.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to be synced there. Only grows within the term.
    pub(super) matched: u64,
    /// Next index to send. Above `matched`.
    pub(super) next: u64,
    pub(super) flow: Flow,
    /// When it last answered in this term.
    pub(super) heard: Time,
    /// Latest read round it answered.
    pub(super) round: u64,
    /// Highest commit index sent to it.
    pub(super) told: u64,
    /// Boot counter at the time of `matched`.
    pub(super) boot: u64,
    /// Highest boot counter that another member has seen of it.
    pub(super) seen: u64,
    /// Whether it lost entries that it had acknowledged.
    pub(super) rolled: bool,
}

impl Progress {
    pub(super) fn new(next: u64, now: Time) -> Self {
        Self {
            matched: 0,
            next,
            flow: Flow::Probe { waiting: false },
            heard: now,
            round: 0,
            told: 0,
            boot: 0,
            seen: 0,
            rolled: false,
        }
    }
}

/// State of a leader. It ends with the term.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Index of the term's first entry.
    pub(super) first: u64,
    /// Members but for this one.
    pub(super) progress: BTreeMap<Peer, Progress>,
    /// Number of the latest read round. Only grows.
    pub(super) round: u64,
    /// When the last heartbeat was sent.
    pub(super) beat: Time,
    /// Member that takes over, and when the attempt ends.
    pub(super) transfer: Option<(Peer, Time)>,
    /// Whether the member that takes over was told.
    pub(super) told: bool,
}

impl Leadership {
    pub(super) fn new(first: u64, now: Time) -> Self {
        Self {
            first,
            progress: BTreeMap::new(),
            round: 0,
            beat: now,
            transfer: None,
            told: false,
        }
    }

    /// Last index that `peer` has synced, zero for one that must not count.
    pub(super) fn matched(&self, peer: Peer) -> u64 {
        let progress = self.progress.get(&peer);
        let counts = |p: &&Progress| !p.rolled && p.boot >= p.seen;
        progress.filter(counts).map_or(0, |p| p.matched)
    }

    /// Counts acknowledgements of runs before those that a member has seen no
    /// more: the later run may run on a copy that lacks them.
    pub(super) fn forget_earlier(&mut self, seen: &[Seen]) {
        for (peer, progress) in &mut self.progress {
            let boots = seen.iter().filter(|s| s.store == peer.store);
            let boot = boots.map(|s| s.boot).max();
            progress.seen = progress.seen.max(boot.unwrap_or(0));
        }
    }
}
