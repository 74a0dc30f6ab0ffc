//! Copy of the leader's roster, with a change log of its own.
//!
//! The change log outlives the leader: a new leader sends its roster from the start, and the copy
//! logs only what differs. So the entry instances fetch the differences, not the whole roster.

use std::sync::Arc;

use crate::collections::{HashMap, HashSet};
use crate::register::Departed;
use crate::roster::{Changes, Page};
use crate::sync::{RosterDelta, UpstreamRecord};

/// Copy of the leader's roster.
#[derive(Debug, Default)]
pub(crate) struct RosterCopy {
    records: HashMap<Arc<str>, UpstreamRecord>,
    /// Ids of `records` by address key; each address has one upstream.
    addresses: HashMap<u64, Arc<str>>,
    changes: Changes,
    /// Position in the leader's change log.
    source: u64,
    revision: u64,
    /// Whether the copy holds every live upstream.
    complete: bool,
    /// Whether the leader has more to send.
    more: bool,
    /// Upstreams that the leader hasn't sent since it began from the start. Empty once the copy is
    /// complete.
    unreported: HashSet<Arc<str>>,
    /// Latest departures, for instances whose roster is incomplete.
    departed: Vec<Departed>,
}

impl RosterCopy {
    /// Source and revision of the leader's roster.
    pub(crate) fn position(&self) -> (u64, u64) {
        (self.source, self.revision)
    }

    /// Whether the copy holds every live upstream.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the leader has more to send.
    pub(crate) fn has_more(&self) -> bool {
        self.more
    }

    /// Returns the change log of this copy.
    pub(crate) fn changes(&self) -> &Changes {
        &self.changes
    }

    /// The upstreams, in no particular order.
    pub(crate) fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.records.values()
    }

    /// Whether a part of the leader's roster follows this copy.
    pub(crate) fn fits(&self, delta: &RosterDelta) -> bool {
        delta.since == 0 || (delta.source, delta.since) == self.position()
    }

    /// Merges a part of the leader's roster that fits. Until the copy is complete, upstreams that
    /// the leader hasn't sent stay, unless they have departed.
    pub(crate) fn merge(&mut self, delta: RosterDelta) {
        if delta.since == 0 {
            self.unreported = self.records.keys().cloned().collect();
        }
        for id in &delta.removed {
            self.remove(id);
        }
        for start in &delta.departed {
            let known = self.records.get(&*start.id);
            if known.is_some_and(|r| r.born <= start.born) {
                self.remove(&start.id);
            }
        }
        for record in delta.upstreams {
            self.insert(record);
        }
        if delta.complete {
            for id in std::mem::take(&mut self.unreported) {
                self.remove(&id);
            }
        }
        self.departed = delta.departed;
        (self.source, self.revision) = (delta.source, delta.revision);
        (self.complete, self.more) = (delta.complete, delta.more);
    }

    fn insert(&mut self, record: UpstreamRecord) {
        let id: Arc<str> = record.id.as_str().into();
        self.unreported.remove(&id);
        let known = self.records.get(&id);
        if known == Some(&record) {
            return;
        }
        if let Some(address) = known.map(|k| k.address) {
            self.addresses.remove(&address);
        }
        if let Some(holder) = self.addresses.insert(record.address, id.clone()) {
            self.forget(&holder);
        }
        self.changes.note_change(&id);
        self.records.insert(id, record);
    }

    fn remove(&mut self, id: &str) {
        let Some(record) = self.records.get(id) else {
            return;
        };
        self.addresses.remove(&record.address);
        let id: Arc<str> = id.into();
        self.forget(&id);
    }

    /// Removes an upstream whose address no longer leads to it.
    fn forget(&mut self, id: &Arc<str>) {
        self.unreported.remove(id);
        if self.records.remove(id).is_some() {
            self.changes.note_removal(id);
        }
    }

    /// Encodes a page for an instance. `source` identifies this copy.
    pub(crate) fn delta(&self, source: u64, page: &Page<'_>) -> RosterDelta {
        let complete = !page.more && self.complete;
        RosterDelta {
            complete,
            departed: match complete {
                true => Vec::new(),
                false => self.departed.clone(),
            },
            ..RosterDelta::from_page(source, page, |id| self.records.get(id).cloned())
        }
    }
}
