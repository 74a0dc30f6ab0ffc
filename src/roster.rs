//! Upstreams known to the leading controller from their heartbeats. Does no I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use self::announcement::ReplacedLayers;
pub(crate) use self::announcement::{
    AnnounceOutcome, Announcement, CurrentAnnouncement, RefreshOutcome, StaleReason,
};
pub(crate) use self::changes::{Changes, Page};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::pace;
use crate::relay::{self, HeartbeatDigest};
use crate::sync::UpstreamRecord;

mod announcement;
mod changes;

/// Heartbeat periods of silence after which an upstream is avoided where another can serve.
/// One heartbeat may be lost with the instance that it was sent to; the sender then tries
/// the next instance within a second.
const LATE_HEARTBEATS: f64 = 2.2;

/// Heartbeat periods of silence after which an upstream is removed. Heartbeats may arrive
/// seconds late, and removing a healthy engine means that its layers are loaded again.
pub(crate) const LOST_HEARTBEATS: f64 = 4.0;

/// [`LATE_HEARTBEATS`] and [`LOST_HEARTBEATS`] of an upstream that several instances suspect.
/// It may only have missed a heartbeat, but then requests to it fail as well, and waiting
/// longer would fail more of them.
const SUSPECT_LATE_HEARTBEATS: f64 = 1.1;
const SUSPECT_LOST_HEARTBEATS: f64 = 2.0;

/// Number of instances that must suspect an upstream. A single one may be cut off from it.
const MIN_WITNESSES: usize = 2;

/// Number of instances that must suspect an upstream for the others to be notified at once,
/// and the part of a heartbeat period for which its latest heartbeat rules that out.
const BROADCAST_WITNESSES: usize = 4;
const BROADCAST_SILENCE: f64 = 0.25;

/// Sequence number from which an unknown upstream at a taken address does not count as the
/// successor there. A new upstream begins at 1, and its first call or two may be lost.
const ESTABLISHED_SEQUENCE: u64 = 4;

/// Time for which the position of a removed upstream's latest heartbeat is kept. Heartbeats that it
/// sent before that one may arrive seconds later and don't show that it is live.
const LOST_RETENTION: Duration = Duration::from_secs(30);

/// Layers `first` (inclusive) to `end` (exclusive). Never empty.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct LayerRange {
    pub(crate) first: u32,
    pub(crate) end: u32,
}

impl std::fmt::Debug for LayerRange {
    /// Writes the name `Range`, which log fields contain.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Range")
            .field("first", &self.first)
            .field("end", &self.end)
            .finish()
    }
}

impl LayerRange {
    pub(crate) fn new(first: u32, end: u32) -> Self {
        debug_assert!(first < end, "layer range is empty");
        Self { first, end }
    }

    /// Number of layers.
    pub(crate) fn len(self) -> u32 {
        self.end - self.first
    }

    /// Whether the range contains all of `other`.
    pub(crate) fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }

    /// Returns the intersection, or `None` if it is empty.
    pub(crate) fn intersection(self, other: Self) -> Option<Self> {
        let (first, end) = (self.first.max(other.first), self.end.min(other.end));
        (first < end).then(|| Self::new(first, end))
    }

    pub(crate) fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer < self.end
    }
}

/// One upstream in the roster.
#[derive(Clone, Debug)]
pub(crate) struct RosterEntry {
    /// Latest announcement.
    pub(crate) announcement: Announcement,
    /// Time of the latest heartbeat.
    pub(crate) last_heartbeat: Time,
    /// Whether it is avoided because its heartbeats are late.
    pub(crate) late: bool,
    /// Processing time relative to the usual one: 1 is normal, higher is slower.
    pub(crate) pace: f64,
    /// Whether several instances failed to reach it.
    pub(crate) suspected: bool,
    /// Layers that the upstream has replaced by those in `announcement`, according to itself.
    replaced: Vec<ReplacedLayers>,
}

impl RosterEntry {
    /// Whether the upstream reported its layers after it had sent `announcement`, which lists
    /// others.
    fn reported_after(&self, now: Time, announcement: &Announcement) -> bool {
        let known = &self.announcement;
        known.born == announcement.born
            && known.layers != announcement.layers
            && self
                .replaced
                .iter()
                .any(|r| r.predates(now, announcement.layers))
    }
}

/// An upstream that was removed for its silence.
#[derive(Clone, Copy, Debug)]
struct LostUpstream {
    /// See [`Announcement::position`].
    position: (u64, u64),
    removed: Time,
}

/// All upstreams that may receive requests.
#[derive(Debug)]
pub(crate) struct Roster {
    heartbeat: Duration,
    entries: HashMap<Arc<str>, RosterEntry>,
    /// Ids of `entries` by address; each address has one upstream.
    addresses: HashMap<SocketAddrV4, Arc<str>>,
    /// Incarnations that must not return, since they left or were replaced at their address:
    /// the highest `born` by id.
    retired: HashMap<Arc<str>, u64>,
    /// Upstreams that were removed for their silence, without those that returned.
    lost: HashMap<Arc<str>, LostUpstream>,
    /// Changes to send to the entry instances.
    changes: Changes,
    /// Time at which the latest new incarnation appeared.
    last_join: Option<Time>,
}

impl Roster {
    /// Creates an empty roster. `heartbeat` is the heartbeat period of the upstreams.
    pub(crate) fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            entries: HashMap::default(),
            addresses: HashMap::default(),
            retired: HashMap::default(),
            lost: HashMap::default(),
            changes: Changes::default(),
            last_join: None,
        }
    }

    /// Checks that an announcement of an upstream that is not leaving is newer than everything
    /// known of that upstream and of its address.
    ///
    /// # Errors
    ///
    /// Why it is stale; then it must not have any effect.
    pub(crate) fn check(
        &self,
        now: Time,
        mut announcement: Announcement,
    ) -> Result<CurrentAnnouncement, StaleReason> {
        if let Some(reason) = self.staleness(&announcement.id, announcement.position()) {
            return Err(reason);
        }
        if self.is_superseded(now, &announcement) {
            return Err(StaleReason::Superseded);
        }
        let mut replaced = Vec::new();
        if let Some(entry) = self.entries.get(&announcement.id)
            && entry.reported_after(now, &announcement)
        {
            announcement.layers = entry.announcement.layers;
            replaced.clone_from(&entry.replaced);
        }
        Ok(CurrentAnnouncement {
            announcement,
            replaced,
        })
    }

    /// Returns why a heartbeat at this position is stale, as far as the position tells.
    fn staleness(&self, id: &str, position: (u64, u64)) -> Option<StaleReason> {
        if self.is_retired(id, position.0) {
            return Some(StaleReason::Retired);
        }
        let known = self.known_position(id)?;
        (known >= position).then_some(StaleReason::Older)
    }

    /// Returns the position of the latest heartbeat with this id; see [`Announcement::position`].
    pub(crate) fn known_position(&self, id: &str) -> Option<(u64, u64)> {
        match self.entries.get(id) {
            Some(entry) => Some(entry.announcement.position()),
            None => self.lost.get(id).map(|l| l.position),
        }
    }

    /// Applies a checked announcement. Returns whether it is the first of its incarnation.
    pub(crate) fn announce(&mut self, now: Time, current: CurrentAnnouncement) -> bool {
        let CurrentAnnouncement {
            announcement,
            replaced,
        } = current;
        let entry = self.entries.get(&announcement.id);
        let known = entry.map(|e| &e.announcement);
        let fresh = known.is_none_or(|k| k.born < announcement.born);
        let changed = known.is_none_or(|k| is_notable(k, &announcement));
        let pace = entry.filter(|_| !fresh).map_or(1.0, |e| e.pace);
        self.evict_holder(&announcement);
        let entry = RosterEntry {
            last_heartbeat: now,
            late: false,
            suspected: false,
            pace,
            replaced,
            announcement,
        };
        let id = entry.announcement.id.clone();
        let address = entry.announcement.address;
        let before = self.entries.insert(id.clone(), entry);
        if let Some(before) = before
            .as_ref()
            .filter(|b| b.announcement.address != address)
        {
            self.addresses.remove(&before.announcement.address);
        }
        self.addresses.insert(address, id.clone());
        self.lost.remove(&id);
        if changed || before.is_some_and(|b| b.late || b.suspected) {
            self.changes.note_change(&id);
        }
        if fresh {
            self.last_join = Some(now);
        }
        fresh
    }

    /// Applies a heartbeat digest.
    pub(crate) fn refresh(&mut self, now: Time, digest: &HeartbeatDigest) -> RefreshOutcome {
        if let Some(reason) = self.staleness(&digest.id, (digest.born, digest.sequence)) {
            return RefreshOutcome::Stale(reason);
        }
        let Some(entry) = self.entries.get_mut(&*digest.id) else {
            return RefreshOutcome::Unknown;
        };
        let known = &mut entry.announcement;
        if known.born != digest.born || relay::digest(known) != digest.digest {
            return RefreshOutcome::Unknown;
        }
        known.sequence = digest.sequence;
        entry.replaced.clear();
        entry.last_heartbeat = now;
        let late = std::mem::take(&mut entry.late);
        if std::mem::take(&mut entry.suspected) || late {
            let id = entry.announcement.id.clone();
            self.changes.note_change(&id);
        }
        RefreshOutcome::Applied
    }

    /// Adds an upstream as a former leader described it, unless it has left since. Its next heartbeat
    /// counts whatever its number, and its silence counts from `now`.
    pub(crate) fn inherit(&mut self, now: Time, record: &UpstreamRecord) {
        let announcement = record.announcement(0);
        if self.is_retired(&record.id, record.born) {
            return;
        }
        let id = announcement.id.clone();
        self.addresses.insert(announcement.address, id.clone());
        self.changes.note_change(&id);
        let entry = RosterEntry {
            announcement,
            last_heartbeat: now,
            late: record.late,
            pace: f64::from(record.pace).max(1.0),
            suspected: record.suspected,
            replaced: Vec::new(),
        };
        self.entries.insert(id, entry);
    }

    /// Whether this incarnation has left or was replaced.
    pub(crate) fn is_retired(&self, id: &str, born: u64) -> bool {
        self.retired.get(id).is_some_and(|&b| born <= b)
    }

    /// Removes an incarnation and all earlier ones for good.
    pub(crate) fn retire(&mut self, id: &Arc<str>, born: u64) {
        let latest = self.retired.entry(id.clone()).or_default();
        *latest = (*latest).max(born);
        let present = self
            .entries
            .get(id)
            .is_some_and(|e| e.announcement.born <= born);
        if present {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &Arc<str>) -> Option<RosterEntry> {
        let entry = self.entries.remove(id)?;
        self.addresses.remove(&entry.announcement.address);
        self.changes.note_removal(id);
        Some(entry)
    }

    /// Marks an upstream as changed if it is in the roster. Used for changes that don't come from
    /// its announcements.
    pub(crate) fn mark_changed(&mut self, id: &Arc<str>) {
        if self.entries.contains_key(id) {
            self.changes.note_change(id);
        }
    }

    /// Sets the layers that an incarnation reported at `now`, other than in a heartbeat.
    pub(crate) fn set_layers(&mut self, now: Time, id: &str, born: u64, range: LayerRange) {
        let entry = self
            .entries
            .get_mut(id)
            .filter(|e| e.announcement.born == born);
        let Some(entry) = entry else { return };
        let before = entry.announcement.layers;
        if before == Some(range) {
            return;
        }
        entry.announcement.layers = Some(range);
        entry.replaced.retain(|r| now < r.until);
        entry.replaced.push(ReplacedLayers {
            before,
            kept: before.and_then(|b| b.intersection(range)),
            // A heartbeat that is delayed for longer makes the upstream late.
            until: now + self.heartbeat.mul_f64(LATE_HEARTBEATS),
        });
        let id = entry.announcement.id.clone();
        self.changes.note_change(&id);
    }

    /// Sets the pace of an incarnation. Returns whether it changed enough to notify instances.
    pub(crate) fn set_pace(&mut self, id: &str, born: u64, reported: f64) -> bool {
        let entry = self
            .entries
            .get_mut(id)
            .filter(|e| e.announcement.born == born);
        let Some(entry) = entry else { return false };
        let Some(pace) = pace::significant_change(entry.pace, reported) else {
            return false;
        };
        entry.pace = pace;
        let id = entry.announcement.id.clone();
        self.changes.note_change(&id);
        true
    }

    /// Doesn't count the last `paused` before `now` as silence of the upstreams, since this process
    /// could receive nothing.
    pub(crate) fn excuse_silence(&mut self, now: Time, paused: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heartbeat = (entry.last_heartbeat + paused).min(now);
        }
    }

    /// Marks silent upstreams as late, then removes them. Returns the removed ones.
    ///
    /// `suspects` is the number of instances whose requests failed at each address.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        suspects: &HashMap<SocketAddrV4, usize>,
    ) -> Vec<Arc<str>> {
        let mut removed = Vec::new();
        for (id, entry) in &mut self.entries {
            let witnesses = suspects
                .get(&entry.announcement.address)
                .copied()
                .unwrap_or(0);
            let (late, lost) = match witnesses >= MIN_WITNESSES {
                true => (SUSPECT_LATE_HEARTBEATS, SUSPECT_LOST_HEARTBEATS),
                false => (LATE_HEARTBEATS, LOST_HEARTBEATS),
            };
            let (late, lost) = (self.heartbeat.mul_f64(late), self.heartbeat.mul_f64(lost));
            let silent = now.since(entry.last_heartbeat);
            if silent >= late && !entry.late {
                entry.late = true;
                self.changes.note_change(id);
            }
            let suspected = witnesses >= BROADCAST_WITNESSES
                && silent >= self.heartbeat.mul_f64(BROADCAST_SILENCE);
            if suspected != entry.suspected {
                entry.suspected = suspected;
                self.changes.note_change(id);
            }
            if silent >= lost {
                removed.push(id.clone());
            }
        }
        for id in &removed {
            if let Some(entry) = self.remove(id) {
                let position = entry.announcement.position();
                let lost = LostUpstream {
                    position,
                    removed: now,
                };
                self.lost.insert(id.clone(), lost);
            }
        }
        self.lost
            .retain(|_, l| now.since(l.removed) < LOST_RETENTION);
        removed
    }

    /// Returns the upstreams, ordered by id.
    pub(crate) fn list(&self) -> Vec<&RosterEntry> {
        let mut list: Vec<_> = self.entries.values().collect();
        list.sort_unstable_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
        list
    }

    /// Returns the upstream with this id.
    pub(crate) fn get(&self, id: &str) -> Option<&RosterEntry> {
        self.entries.get(id)
    }

    /// Returns the change log.
    pub(crate) fn changes(&self) -> &Changes {
        &self.changes
    }

    /// Whether no new upstream has appeared for 1.25 heartbeat periods.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let period = self.heartbeat.mul_f64(1.25);
        self.last_join.is_some_and(|at| now.since(at) >= period)
    }

    /// Whether another upstream holds the address, and the announcement may be older than it.
    ///
    /// A heartbeat delayed by a partition can arrive after its sender has crashed and another
    /// upstream took the address. If it were applied, requests would be sent to the new
    /// upstream under the wrong id, and it would refuse them.
    fn is_superseded(&self, now: Time, announcement: &Announcement) -> bool {
        let Some(holder) = self.holder(announcement) else {
            return false;
        };
        if announcement.born != holder.announcement.born {
            return announcement.born < holder.announcement.born;
        }
        let silent = now.since(holder.last_heartbeat) >= self.heartbeat.mul_f64(LATE_HEARTBEATS);
        let is_new = announcement.sequence < ESTABLISHED_SEQUENCE
            && !self.lost.contains_key(&announcement.id);
        !is_new && !silent
    }

    /// Retires the upstream that held the address before.
    fn evict_holder(&mut self, announcement: &Announcement) {
        let before = self.holder(announcement);
        if let Some((id, born)) = before.map(|e| (e.announcement.id.clone(), e.announcement.born)) {
            self.retire(&id, born);
        }
    }

    /// Returns another upstream at the address of the announcement.
    fn holder(&self, announcement: &Announcement) -> Option<&RosterEntry> {
        let id = self.addresses.get(&announcement.address);
        self.entries.get(id.filter(|id| **id != announcement.id)?)
    }
}

/// Whether instances need to be notified of the difference.
fn is_notable(old: &Announcement, new: &Announcement) -> bool {
    (old.born, old.address, old.layers, old.slots) != (new.born, new.address, new.layers, new.slots)
        || old.service != new.service
        || old.domain != new.domain
        || old.kind != new.kind
}
