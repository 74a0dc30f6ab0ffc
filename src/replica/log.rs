//! In-memory log: a snapshot and the entries after it.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message as _;

use super::member::Membership;

/// Type of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// A command for the state machine.
    Command = 0,
    /// No content. It lets a new leader commit the entries of earlier terms.
    Noop = 1,
    /// An encoded [`Membership`], effective as soon as it is in the log.
    Members = 2,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    /// Position, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Type of the content, a [`Kind`].
    #[prost(enumeration = "Kind", tag = "3")]
    pub kind: i32,
    /// Content.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// State of the state machine after all entries up to `index`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Snapshot {
    /// Last entry it covers, zero for none.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Membership at that index.
    #[prost(message, required, tag = "3")]
    pub members: Membership,
    /// State in the state machine's own encoding.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

/// Snapshot and entries of one replica.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Snapshot,
    /// Index and term of the entry before the first of `entries`. At most the
    /// snapshot's index: some covered entries are retained for lagging followers.
    base: (u64, u64),
    /// Consecutive entries from `base` on.
    entries: VecDeque<Entry>,
    /// Memberships by the index of their entry, ascending. Never empty; the
    /// first one is at or before the snapshot's index.
    members: Vec<(u64, Membership)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base: (snapshot.index, snapshot.term),
            members: vec![(snapshot.index, snapshot.members.clone())],
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base.1, |e| e.term)
    }

    /// Lowest index whose entry is retained.
    pub(crate) fn first_index(&self) -> u64 {
        self.base.0 + 1
    }

    /// Term at `index`, if the log knows it.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Latest membership in the log, committed or not, and its index.
    pub(crate) fn members(&self) -> (u64, &Membership) {
        let (index, members) = self.members.last().expect("never empty");
        (*index, members)
    }

    /// Membership effective at `index`.
    fn members_at(&self, index: u64) -> &Membership {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Adds an entry at the end.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "gap in the log");
        assert!(entry.term >= self.last_term(), "term fell in the log");
        if entry.kind() == Kind::Members {
            let members = Membership::decode(entry.data.clone());
            let members = members.expect("a leader encodes memberships correctly");
            self.members.push((entry.index, members));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        assert!(index > self.snapshot.index, "snapshot truncated");
        let keep = usize::try_from(index - self.first_index()).expect("log fits in memory");
        self.entries.truncate(keep);
        self.members.retain(|(at, _)| *at < index);
    }

    /// Entries from `index` on, at most `count` of them and about `bytes`.
    pub(crate) fn slice(&self, index: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let skip = usize::try_from(index - self.first_index()).expect("log fits in memory");
        let mut size = 0;
        self.entries
            .range(skip.min(self.entries.len())..)
            .take(count)
            .take_while(|e| {
                let fits = size < bytes;
                size += e.data.len();
                fits
            })
            .cloned()
            .collect()
    }

    /// Entries that the snapshot doesn't cover.
    pub(crate) fn tail(&self) -> Vec<Entry> {
        let skip = self.snapshot.index - self.base.0;
        let skip = usize::try_from(skip).expect("log fits in memory");
        self.entries.range(skip..).cloned().collect()
    }

    /// First index of the consecutive entries that share the term at `index`.
    pub(crate) fn term_start(&self, index: u64) -> u64 {
        let term = self.term(index);
        (self.first_index()..=index)
            .rev()
            .take_while(|&i| self.term(i) == term)
            .last()
            .unwrap_or(index)
    }

    /// Replaces the snapshot by the state machine's state at `index`, and retains
    /// `keep` covered entries for slightly lagging followers.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes, keep: u64) {
        let term = self.term(index).expect("applied entries are in the log");
        let members = self.members_at(index).clone();
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        let base = index.saturating_sub(keep).max(self.base.0);
        let base_term = self.term(base).expect("base is in the log");
        let drop = usize::try_from(base - self.base.0).expect("log fits in memory");
        self.entries.drain(..drop);
        self.base = (base, base_term);
        let first = self.members.iter().rposition(|(at, _)| *at <= index);
        self.members.drain(..first.unwrap_or(0));
    }

    /// Replaces everything up to the snapshot's index. Entries after it stay if
    /// the log matches the snapshot, since they may have been acknowledged.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let agrees = self.term(snapshot.index) == Some(snapshot.term);
        let tail = match agrees {
            true => self
                .entries
                .iter()
                .filter(|e| e.index > snapshot.index)
                .cloned()
                .collect(),
            false => Vec::new(),
        };
        *self = Self::new(snapshot, tail);
    }
}
