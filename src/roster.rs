//! The upstreams that announce themselves, as the leading controller knows
//! them: a state machine without I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use self::changes::Changes;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::pace;
use crate::relay::{self, HeartbeatDigest};

mod changes;

/// Heartbeats that an upstream may miss before it is avoided where another
/// can serve. One may be lost with the instance that it was sent to; the
/// sender then asks the next one within a second.
const LATE_BEATS: f64 = 2.2;

/// Heartbeats that an upstream may miss before it is dropped. Heartbeats may
/// arrive seconds late; dropping a sound engine costs a load of its layers.
pub(crate) const LOST_BEATS: f64 = 4.0;

/// As [`LATE_BEATS`] and [`LOST_BEATS`], of an upstream that several instances
/// found dead. A second witness may miss a heartbeat, but then requests fail
/// there as well: waiting on would only fail more of them.
const SUSPECT_LATE_BEATS: f64 = 1.1;
const SUSPECT_LOST_BEATS: f64 = 2.0;

/// Instances that must suspect an upstream. One alone may be cut off from it.
const WITNESSES: usize = 2;

/// Instances that must suspect an upstream for the others to be told at once, and
/// the part of a heartbeat period for which its latest heartbeat speaks for it.
const CROWD: usize = 4;
const SPOKEN_FOR: f64 = 0.25;

/// Sequence numbers below which an unknown upstream at a taken address counts
/// as its successor. A new one begins at 1; its first call or two may be lost.
const FRESH_SEQUENCE: u64 = 4;

/// Layers `first` (inclusive) to `end` (exclusive). Never empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct LayerRange {
    pub(crate) first: u32,
    pub(crate) end: u32,
}

impl LayerRange {
    pub(crate) fn new(first: u32, end: u32) -> Self {
        debug_assert!(first < end, "an empty range of layers");
        Self { first, end }
    }

    /// Number of layers.
    pub(crate) fn len(self) -> u32 {
        self.end - self.first
    }

    /// Whether all of `other` is in the range.
    pub(crate) fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }

    /// What two ranges have in common.
    pub(crate) fn intersection(self, other: Self) -> Option<Self> {
        let (first, end) = (self.first.max(other.first), self.end.min(other.end));
        (first < end).then(|| Self::new(first, end))
    }

    /// Whether `layer` is in the range.
    pub(crate) fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer < self.end
    }
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Announcement {
    pub(crate) id: Arc<str>,
    /// Start of the process, where ids are used again; else 0. A higher one
    /// supersedes a lower one of the same id.
    pub(crate) born: u64,
    /// Grows with each call of one start.
    pub(crate) sequence: u64,
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) domain: String,
    /// Requests that it takes at once.
    pub(crate) slots: u32,
    /// Whether it asks for no more work.
    pub(crate) leaving: bool,
    /// Kind of its accelerator.
    pub(crate) kind: Option<String>,
    /// Layers that it holds.
    pub(crate) layers: Option<LayerRange>,
}

/// One upstream in the roster.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) last: Announcement,
    pub(crate) heard: Time,
    /// Whether it is avoided for its silence.
    pub(crate) late: bool,
    /// How many times as long as usual it takes for its work.
    pub(crate) pace: f64,
    /// Whether several instances found it dead.
    pub(crate) suspected: bool,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceOutcome {
    /// A new start of an upstream.
    New,
    /// News or proof of life of a known one.
    Known,
    /// Older than what is known; nothing changed.
    Stale,
}

/// All upstreams that may be given work.
#[derive(Debug)]
pub(crate) struct Roster {
    beat: Duration,
    entries: HashMap<Arc<str>, Entry>,
    /// Ids of `entries` by address, at which only one can be.
    addresses: HashMap<SocketAddrV4, Arc<str>>,
    /// Starts that must not come back: left, or replaced at their address.
    /// Holds the `born` of the latest.
    ended: HashMap<Arc<str>, u64>,
    /// What instances must hear of.
    changes: Changes,
    /// When an upstream last appeared.
    joined: Option<Time>,
}

impl Roster {
    /// An empty roster of upstreams that call every `beat`.
    pub(crate) fn new(beat: Duration) -> Self {
        Self {
            beat,
            entries: HashMap::default(),
            addresses: HashMap::default(),
            ended: HashMap::default(),
            changes: Changes::default(),
            joined: None,
        }
    }

    /// Takes in an announcement of an upstream that isn't leaving.
    pub(crate) fn announce(&mut self, now: Time, news: Announcement) -> AnnounceOutcome {
        if self.is_retired(&news.id, news.born) || self.is_superseded(now, &news) {
            return AnnounceOutcome::Stale;
        }
        let entry = self.entries.get(&news.id);
        let known = entry.map(|e| &e.last);
        let fresh = known.is_none_or(|k| k.born < news.born);
        if known.is_some_and(|k| (k.born, k.sequence) >= (news.born, news.sequence)) {
            return AnnounceOutcome::Stale;
        }
        let changed = known.is_none_or(|k| differs(k, &news));
        let pace = entry.filter(|_| !fresh).map_or(1.0, |e| e.pace);
        self.displace(&news);
        let entry = Entry {
            heard: now,
            late: false,
            suspected: false,
            pace,
            last: news,
        };
        let id = entry.last.id.clone();
        let address = entry.last.address;
        let before = self.entries.insert(id.clone(), entry);
        if let Some(before) = before.as_ref().filter(|b| b.last.address != address) {
            self.addresses.remove(&before.last.address);
        }
        self.addresses.insert(address, id.clone());
        if changed || before.is_some_and(|b| b.late || b.suspected) {
            self.changes.note(&id);
        }
        if !fresh {
            return AnnounceOutcome::Known;
        }
        self.joined = Some(now);
        AnnounceOutcome::New
    }

    /// Takes in a proof of life. Returns whether the announcement of this `digest`
    /// is what is known of the start; if not, it is needed in full.
    pub(crate) fn refresh(&mut self, now: Time, pulse: &HeartbeatDigest) -> bool {
        if self.is_retired(&pulse.id, pulse.born) {
            return true;
        }
        let Some(entry) = self.entries.get_mut(&*pulse.id) else {
            return false;
        };
        let last = &mut entry.last;
        if last.born != pulse.born || relay::digest(last) != pulse.digest {
            return false;
        }
        if last.sequence >= pulse.sequence {
            return true;
        }
        last.sequence = pulse.sequence;
        entry.heard = now;
        let late = std::mem::take(&mut entry.late);
        if std::mem::take(&mut entry.suspected) || late {
            let id = entry.last.id.clone();
            self.changes.note(&id);
        }
        true
    }

    /// Whether this start has left or was replaced.
    pub(crate) fn is_retired(&self, id: &str, born: u64) -> bool {
        self.ended.get(id).is_some_and(|&b| born <= b)
    }

    /// Notes that a start gets no more work and mustn't come back.
    pub(crate) fn retire(&mut self, id: &Arc<str>, born: u64) {
        let latest = self.ended.entry(id.clone()).or_default();
        *latest = (*latest).max(born);
        let gone = self.entries.get(id).is_some_and(|e| e.last.born <= born);
        if gone {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &Arc<str>) {
        if let Some(entry) = self.entries.remove(id) {
            self.addresses.remove(&entry.last.address);
            self.changes.leave(id);
        }
    }

    /// Notes that instances must hear of an upstream, for what isn't part of
    /// its announcements.
    pub(crate) fn touch(&mut self, id: &Arc<str>) {
        if self.entries.contains_key(id) {
            self.changes.note(id);
        }
    }

    /// Notes what a start holds, from another source than its heartbeats.
    pub(crate) fn set_layers(&mut self, id: &str, born: u64, range: LayerRange) {
        let entry = self.entries.get_mut(id).filter(|e| e.last.born == born);
        let Some(entry) = entry else { return };
        if entry.last.layers != Some(range) {
            entry.last.layers = Some(range);
            let id = entry.last.id.clone();
            self.changes.note(&id);
        }
    }

    /// Notes how fast a start works. Returns whether instances hear of it.
    pub(crate) fn set_pace(&mut self, id: &str, born: u64, reported: f64) -> bool {
        let entry = self.entries.get_mut(id).filter(|e| e.last.born == born);
        let Some(entry) = entry else { return false };
        let Some(pace) = pace::news(entry.pace, reported) else {
            return false;
        };
        entry.pace = pace;
        let id = entry.last.id.clone();
        self.changes.note(&id);
        true
    }

    /// Lets time pass: the silent ones are avoided, then dropped. `suspects`
    /// counts the instances at which requests failed there, by address.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        suspects: &HashMap<SocketAddrV4, usize>,
    ) -> Vec<Arc<str>> {
        let mut dropped = Vec::new();
        for (id, entry) in &mut self.entries {
            let witnesses = suspects.get(&entry.last.address).copied().unwrap_or(0);
            let (late, lost) = match witnesses >= WITNESSES {
                true => (SUSPECT_LATE_BEATS, SUSPECT_LOST_BEATS),
                false => (LATE_BEATS, LOST_BEATS),
            };
            let (late, lost) = (self.beat.mul_f64(late), self.beat.mul_f64(lost));
            let silent = now.since(entry.heard);
            if silent >= late && !entry.late {
                entry.late = true;
                self.changes.note(id);
            }
            let suspected = witnesses >= CROWD && silent >= self.beat.mul_f64(SPOKEN_FOR);
            if suspected != entry.suspected {
                entry.suspected = suspected;
                self.changes.note(id);
            }
            if silent >= lost {
                dropped.push(id.clone());
            }
        }
        for id in &dropped {
            self.remove(id);
        }
        dropped
    }

    /// The upstreams, in the order of their ids.
    pub(crate) fn list(&self) -> Vec<&Entry> {
        let mut list: Vec<_> = self.entries.values().collect();
        list.sort_unstable_by(|a, b| a.last.id.cmp(&b.last.id));
        list
    }

    /// The upstream of this id.
    pub(crate) fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// What changed, and when.
    pub(crate) fn changes(&self) -> &Changes {
        &self.changes
    }

    /// Whether no upstream has appeared for a heartbeat and a bit.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let beat = self.beat.mul_f64(1.25);
        self.joined.is_some_and(|at| now.since(at) >= beat)
    }

    /// Whether another upstream holds the address, and the news may be older
    /// than that one.
    ///
    /// A heartbeat that a partition delayed can arrive after its sender has
    /// crashed and another start took the address. Believed, it would bring
    /// requests to an upstream under a wrong name, which refuses each.
    fn is_superseded(&self, now: Time, news: &Announcement) -> bool {
        let Some(holder) = self.holder(news) else {
            return false;
        };
        if news.born != holder.last.born {
            return news.born < holder.last.born;
        }
        let silent = now.since(holder.heard) >= self.beat.mul_f64(LATE_BEATS);
        news.sequence >= FRESH_SEQUENCE && !silent
    }

    /// Ends whoever held the address before.
    fn displace(&mut self, news: &Announcement) {
        let before = self.holder(news);
        if let Some((id, born)) = before.map(|e| (e.last.id.clone(), e.last.born)) {
            self.retire(&id, born);
        }
    }

    /// Another upstream at the address of the news.
    fn holder(&self, news: &Announcement) -> Option<&Entry> {
        let id = self.addresses.get(&news.address);
        self.entries.get(id.filter(|id| **id != news.id)?)
    }
}

/// Whether instances must hear of the difference.
fn differs(old: &Announcement, new: &Announcement) -> bool {
    (old.born, old.address, old.layers, old.slots) != (new.born, new.address, new.layers, new.slots)
        || old.service != new.service
        || old.domain != new.domain
        || old.kind != new.kind
}
