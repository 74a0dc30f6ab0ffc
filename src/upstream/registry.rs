//! All upstreams that an instance knows: a state machine without I/O.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::upstream::entry::{Entry, Metadata, PastInstant};
use crate::upstream::wire::{MetadataRecord, Renewal};
use crate::upstream::{AnnounceError, Load, Upstream, UpstreamState, UpstreamView, short_of};

mod announce;
mod merge;

/// Silence after which an upstream is dropped from the view.
pub(crate) const EXPIRY: Duration = Duration::from_secs(10);

/// How long the order of a retired upstream is kept.
///
/// An announcement that was sent before `leaving` or `gone` can wait in the
/// socket of an instance that is suspended, or on the far side of a partition.
/// Two hours outlast the hour for which regions lose each other now and then.
pub(crate) const RETENTION: Duration = Duration::from_secs(7_200);

/// Most entries, retired ones included. The one that retired first makes room.
pub(crate) const MAX_ENTRIES: usize = 4_096;

/// Least time between two load reports of one upstream, unless work begins or
/// ceases to wait there.
const LOAD_PERIOD: Duration = Duration::from_secs(2);

/// Time after which a change by one step of the scale is reported too.
const LOAD_SETTLE: Duration = Duration::from_secs(10);

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It was news, or proof of life.
    Accepted,
    /// The same or a later one of this incarnation is known. Nothing changed.
    Duplicate,
    /// A higher incarnation is known, or this one is leaving or gone.
    Superseded,
}

/// What the owner of a registry must do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RegistryEffect {
    /// Tell the fleet of this record.
    Broadcast(u64),
    /// Tell the fleet of this load.
    BroadcastLoad(u64),
    /// Pass an announcement without news on to the instance that vouches.
    ForwardRenewal(InstanceId, Renewal),
    /// Ask the sender for the facts of this record.
    RequestMetadata(u64),
}

/// Who is alive, as the failure detector sees it.
pub(crate) trait InstanceLiveness {
    /// Whether the instance is alive in this incarnation.
    fn is_alive(&self, id: InstanceId, boot: Incarnation) -> bool;
}

/// Counts for dumps and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RegistryCounts {
    /// Upstreams that may be given work.
    pub usable: usize,
    /// Upstreams that finish their work.
    pub leaving: usize,
    /// Entries kept for their order alone.
    pub retired: usize,
    /// Entries of which this instance is the registrar.
    #[serde(rename = "vouched")]
    pub registered: usize,
    /// Records refused because the table was full.
    pub refused: u64,
    /// Records that were older than the one known.
    pub stale: u64,
}

/// The table of upstreams.
pub(crate) struct Registry {
    id: InstanceId,
    boot: Incarnation,
    pub(super) entries: HashMap<u64, Entry>,
    /// Keys by their short form. Two keys can share one; reports of load
    /// for both are then dropped.
    shorts: HashMap<u32, Vec<u64>>,
    view: Arc<UpstreamView>,
    dirty: bool,
    refused: u64,
    stale: u64,
}

impl Registry {
    /// An empty table of the instance `id` in its incarnation `boot`.
    pub(crate) fn new(id: InstanceId, boot: Incarnation) -> Self {
        Self {
            id,
            boot,
            entries: HashMap::default(),
            shorts: HashMap::default(),
            view: Arc::default(),
            dirty: false,
            refused: 0,
            stale: 0,
        }
    }

    /// Lets time pass. To be called about once a second, before other events
    /// of the same time.
    ///
    /// Expiry goes before renewal by a registrar that is alive. After a long
    /// suspension of this process every record lapses, since the fleet may
    /// have moved on, and comes back only with a record from elsewhere.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        liveness: &impl InstanceLiveness,
        out: &mut Vec<RegistryEffect>,
    ) {
        let own = (self.id, self.boot);
        let mut ended = Vec::new();
        for (key, entry) in &mut self.entries {
            let age = entry.since.age(now);
            if entry.retired() {
                if age >= RETENTION {
                    ended.push(*key);
                }
                continue;
            }
            let version = &mut entry.version;
            let vouched = (version.registrar, version.boot);
            if age < EXPIRY {
                if vouched != own && liveness.is_alive(vouched.0, vouched.1) {
                    entry.since = PastInstant::now(now);
                }
                continue;
            }
            self.dirty = true;
            if vouched == own {
                version.silent = true;
                version.sequence = entry.latest;
                out.push(RegistryEffect::Broadcast(*key));
            } else {
                entry.lapsed = true;
            }
        }
        for key in ended {
            self.remove(key);
        }
    }

    /// The upstreams that may be given work.
    pub(crate) fn snapshot(&mut self, now: Time) -> Arc<UpstreamView> {
        if self.dirty {
            self.dirty = false;
            self.view = Arc::new(self.build(now));
        }
        Arc::clone(&self.view)
    }

    /// Whether [`Registry::snapshot`] would give another view than before.
    pub(crate) fn changed(&self) -> bool {
        self.dirty
    }

    /// Counts for dumps and metrics.
    pub(crate) fn counts(&self) -> RegistryCounts {
        let count = |f: &dyn Fn(&Entry) -> bool| self.entries.values().filter(|e| f(e)).count();
        let leaving = |e: &Entry| e.version.state == UpstreamState::Leaving && !e.retired();
        let registered = |e: &Entry| {
            (e.version.registrar, e.version.boot) == (self.id, self.boot) && !e.retired()
        };
        RegistryCounts {
            usable: count(&Entry::usable),
            leaving: count(&leaving),
            retired: count(&Entry::retired),
            registered: count(&registered),
            refused: self.refused,
            stale: self.stale,
        }
    }

    fn make_room(&mut self, now: Time, id: &UpstreamId) -> Result<(), AnnounceError> {
        if self.entries.len() < MAX_ENTRIES || self.evict(now) {
            return Ok(());
        }
        self.refused += 1;
        tracing::debug!(upstream = %id, "table of upstreams is full");
        Err(AnnounceError::Full { limit: MAX_ENTRIES })
    }

    /// Drops the entry that retired first. Only a full table comes to this.
    fn evict(&mut self, now: Time) -> bool {
        let retired = self.entries.iter().filter(|(_, e)| e.retired());
        let oldest = retired.max_by_key(|(key, e)| (e.since.age(now), **key));
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return false;
        };
        self.remove(key);
        true
    }

    fn insert(&mut self, key: u64, entry: Entry) {
        self.dirty = true;
        if self.entries.insert(key, entry).is_none() {
            self.shorts.entry(short_of(key)).or_default().push(key);
        }
    }

    fn remove(&mut self, key: u64) {
        self.entries.remove(&key);
        let short = short_of(key);
        if let Some(keys) = self.shorts.get_mut(&short) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.shorts.remove(&short);
            }
        }
    }

    fn build(&mut self, now: Time) -> UpstreamView {
        let usable = self.entries.values_mut().filter(|e| e.usable());
        let mut upstreams: Vec<_> = usable.filter_map(Entry::show).collect();
        upstreams.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        UpstreamView {
            version: self.view.version + 1,
            built: now,
            upstreams,
        }
    }
}

impl Entry {
    /// Notes a load; says whether it is another.
    fn set_load(&mut self, load: Load) -> bool {
        let changed = self.load != load;
        self.load = load;
        self.shown.take_if(|_| changed);
        changed
    }

    fn show(&mut self) -> Option<Arc<Upstream>> {
        if self.shown.is_none() {
            self.shown = self.upstream().map(Arc::new);
        }
        self.shown.clone()
    }

    fn upstream(&self) -> Option<Upstream> {
        let facts = self.facts.as_deref()?;
        Some(Upstream {
            id: facts.id.clone(),
            incarnation: self.version.incarnation,
            address: facts.address,
            domain: facts.domain.clone(),
            pool: facts.pool.clone(),
            serves: facts.serves.clone(),
            load: self.load,
        })
    }
}

impl Metadata {
    /// Checksum over all fields.
    fn digest(&self) -> u32 {
        crc32fast::hash(&prost::Message::encode_to_vec(&MetadataRecord::from(self)))
    }
}
