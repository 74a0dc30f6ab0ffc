//! Registry of all upstreams known to an instance: a state machine without I/O.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::upstream::entry::{Entry, Metadata, PastInstant};
use crate::upstream::wire::{MetadataRecord, Renewal};
use crate::upstream::{AnnounceError, Load, Upstream, UpstreamState, UpstreamView, short_key};

mod announce;
mod merge;

/// Time without a liveness signal after which an upstream is removed from the view.
pub(crate) const EXPIRY: Duration = Duration::from_secs(10);

/// Retention time of the version of a retired upstream.
///
/// An announcement sent before `leaving` or `gone` can be delayed in the socket
/// of a suspended instance or beyond a network partition. Two hours exceed the
/// occasional one-hour partitions between regions.
pub(crate) const RETENTION: Duration = Duration::from_secs(7_200);

/// Maximum number of entries, including retired ones. A full registry evicts the
/// entry that retired first.
pub(crate) const MAX_ENTRIES: usize = 4_096;

/// Minimum time between two load reports of one upstream, unless its queue
/// becomes empty or non-empty.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time since the last load report before a change by a single step of
/// the scale is reported.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Outcome of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It changed the record or renewed it.
    Accepted,
    /// The same or a later announcement of this incarnation is known. Nothing changed.
    Duplicate,
    /// A higher incarnation or a later lifecycle state is known.
    Superseded,
}

/// Action that the caller of the registry must carry out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RegistryEffect {
    /// Send the record of this key to the fleet.
    Broadcast(u64),
    /// Send the load of this key to the fleet.
    BroadcastLoad(u64),
    /// Forward an announcement without changes to the registrar.
    ForwardRenewal(InstanceId, Renewal),
    /// Request the metadata of this key from the sender.
    RequestMetadata(u64),
}

/// Liveness of instances according to the failure detector.
pub(crate) trait InstanceLiveness {
    /// Whether the instance is alive in incarnation `boot`.
    fn is_alive(&self, id: InstanceId, boot: Incarnation) -> bool;
}

/// Counts for state dumps and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct RegistryCounts {
    /// Upstreams that accept new work.
    pub usable: usize,
    /// Upstreams that finish running work.
    pub leaving: usize,
    /// Entries retained only to reject older records.
    pub retired: usize,
    /// Entries of which this instance is the registrar.
    #[serde(rename = "vouched")]
    pub registered: usize,
    /// Records and announcements rejected because they were invalid or the
    /// registry was full.
    pub refused: u64,
    /// Records that were older than the known one.
    pub stale: u64,
}

/// Registry of upstreams.
pub(crate) struct Registry {
    id: InstanceId,
    boot: Incarnation,
    pub(super) entries: HashMap<u64, Entry>,
    /// Keys by short key. Load reports are dropped if several keys share a
    /// short key.
    short_keys: HashMap<u32, Vec<u64>>,
    view: Arc<UpstreamView>,
    dirty: bool,
    refused: u64,
    stale: u64,
}

impl Registry {
    /// Creates an empty registry of the instance `id` in its incarnation `boot`.
    pub(crate) fn new(id: InstanceId, boot: Incarnation) -> Self {
        Self {
            id,
            boot,
            entries: HashMap::default(),
            short_keys: HashMap::default(),
            view: Arc::default(),
            dirty: false,
            refused: 0,
            stale: 0,
        }
    }

    /// Expires and renews records. Must be called about once a second, before
    /// other events of the same time.
    ///
    /// Expiry precedes renewal by a live registrar. After a long suspension of
    /// this process all records lapse because the fleet may have changed. Only a
    /// record from another instance or a new announcement restores one.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        liveness: &impl InstanceLiveness,
        out: &mut Vec<RegistryEffect>,
    ) {
        let own = (self.id, self.boot);
        let mut expired = Vec::new();
        for (key, entry) in &mut self.entries {
            let age = entry.since.age(now);
            if entry.retired() {
                if age >= RETENTION {
                    expired.push(*key);
                }
                continue;
            }
            let version = &mut entry.version;
            let registrar = (version.registrar, version.boot);
            if age < EXPIRY {
                if registrar != own && liveness.is_alive(registrar.0, registrar.1) {
                    entry.since = PastInstant::now(now);
                }
                continue;
            }
            self.dirty = true;
            if registrar == own {
                version.silent = true;
                version.sequence = entry.latest_sequence;
                out.push(RegistryEffect::Broadcast(*key));
            } else {
                entry.lapsed = true;
            }
        }
        for key in expired {
            self.remove(key);
        }
    }

    /// Returns the upstreams that accept new work.
    pub(crate) fn snapshot(&mut self, now: Time) -> Arc<UpstreamView> {
        if self.dirty {
            self.dirty = false;
            self.view = Arc::new(self.build(now));
        }
        Arc::clone(&self.view)
    }

    /// Whether [`Registry::snapshot`] would return a different view than before.
    pub(crate) fn changed(&self) -> bool {
        self.dirty
    }

    /// Returns counts for state dumps and metrics.
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
        tracing::debug!(upstream = %id, "registry of upstreams is full");
        Err(AnnounceError::Full { limit: MAX_ENTRIES })
    }

    /// Removes the entry that retired first, or returns false if there is none.
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
            self.short_keys.entry(short_key(key)).or_default().push(key);
        }
    }

    fn remove(&mut self, key: u64) {
        self.entries.remove(&key);
        let short = short_key(key);
        if let Some(keys) = self.short_keys.get_mut(&short) {
            keys.retain(|k| *k != key);
            if keys.is_empty() {
                self.short_keys.remove(&short);
            }
        }
    }

    fn build(&mut self, now: Time) -> UpstreamView {
        let usable = self.entries.values_mut().filter(|e| e.usable());
        let mut upstreams: Vec<_> = usable.filter_map(Entry::cached_upstream).collect();
        upstreams.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        UpstreamView {
            version: self.view.version + 1,
            built: now,
            upstreams,
        }
    }
}

impl Entry {
    /// Stores a load and returns whether it changed.
    fn set_load(&mut self, load: Load) -> bool {
        let changed = self.load != load;
        self.load = load;
        self.cached.take_if(|_| changed);
        changed
    }

    fn cached_upstream(&mut self) -> Option<Arc<Upstream>> {
        if self.cached.is_none() {
            self.cached = self.to_upstream().map(Arc::new);
        }
        self.cached.clone()
    }

    fn to_upstream(&self) -> Option<Upstream> {
        let metadata = self.metadata.as_deref()?;
        Some(Upstream {
            id: metadata.id.clone(),
            incarnation: self.version.incarnation,
            address: metadata.address,
            domain: metadata.domain.clone(),
            pool: metadata.pool.clone(),
            serves: metadata.serves.clone(),
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
