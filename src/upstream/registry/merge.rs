//! Handling of records and load reports from other instances.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::upstream::entry::{Entry, Metadata, PastInstant, Version, upstream_key};
use crate::upstream::registry::{EXPIRY, MAX_ENTRIES, RETENTION, Registry, RegistryEffect};
use crate::upstream::wire::{LoadReports, MetadataRecord, UpstreamRecord};
use crate::upstream::{Load, LoadLevel, UpstreamState, short_key};

/// Records this close to the end of their retention are no longer sent, so that
/// instances which remove them at different times don't restore them to each other.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

impl Registry {
    /// Merges a record. The effects include [`RegistryEffect::Broadcast`] if it was new.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        record: UpstreamRecord,
        out: &mut Vec<RegistryEffect>,
    ) {
        let Some(version) = record.version() else {
            self.refused += 1;
            return;
        };
        let since = PastInstant::aged(now, Duration::from_millis(record.age.into()));
        if since.age(now) >= RETENTION {
            return;
        }
        let Ok(metadata) = verify_metadata(record.metadata, record.key, record.digest) else {
            self.refused += 1;
            return;
        };
        let known = self.entries.get(&record.key);
        match known.map(|e| version.cmp(&e.version)) {
            Some(std::cmp::Ordering::Less) => self.stale += 1,
            Some(std::cmp::Ordering::Equal) => self.refresh(now, record.key, since, metadata, out),
            _ => self.replace(
                now,
                record.key,
                record.digest,
                version,
                since,
                metadata,
                out,
            ),
        }
    }

    /// Merges load reports.
    pub(crate) fn receive_loads(&mut self, loads: &LoadReports, out: &mut Vec<RegistryEffect>) {
        let columns = loads.keys.iter().zip(&loads.incarnations);
        let columns = columns.zip(loads.sequences.iter().zip(&loads.levels));
        for ((short, incarnation), (sequence, level)) in columns {
            self.receive_load(*short, *incarnation, *sequence, LoadLevel(*level), out);
        }
    }

    /// Returns the record of `key` for the wire, with its metadata if requested.
    pub(crate) fn record(&self, now: Time, key: u64, metadata: bool) -> Option<UpstreamRecord> {
        let entry = self.entries.get(&key)?;
        let age = entry.since.age(now);
        if age + RETENTION_MARGIN >= RETENTION {
            return None;
        }
        let millis = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let mut record = UpstreamRecord::new(key, &entry.version, millis, entry.digest);
        if metadata {
            record.metadata = entry.metadata.as_deref().map(Into::into);
        }
        Some(record)
    }

    /// Whether the entry of `key` has its metadata or needs none.
    pub(crate) fn is_complete(&self, key: u64) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|e| e.metadata.is_some() || e.ended())
    }

    /// Returns one row of [`LoadReports`]: short key, incarnation, sequence, level.
    pub(crate) fn load_report(&self, key: u64) -> Option<(u32, u8, u64, u8)> {
        let entry = self.entries.get(&key).filter(|e| !e.retired())?;
        let incarnation = short_incarnation(&entry.version);
        Some((
            short_key(key),
            incarnation,
            entry.load_sequence,
            LoadLevel::from(entry.load).0,
        ))
    }

    /// Returns key and hash of each entry that may be sent. Two instances with
    /// equal hashes have no records to exchange.
    pub(crate) fn hashes(&self, now: Time) -> impl Iterator<Item = (u64, u64)> + '_ {
        let is_sent = move |e: &Entry| e.since.age(now) + RETENTION_MARGIN < RETENTION;
        let entries = self.entries.iter().filter(move |(_, e)| is_sent(e));
        entries.map(|(key, entry)| (*key, entry.hash(*key)))
    }

    /// Merges a record with the known version, which may carry missing metadata
    /// or a newer liveness signal.
    ///
    /// Another instance never renews a record of which this instance is the
    /// registrar: it considers the upstream alive only because this instance is.
    fn refresh(
        &mut self,
        now: Time,
        key: u64,
        since: PastInstant,
        metadata: Option<Metadata>,
        out: &mut Vec<RegistryEffect>,
    ) {
        let own = (self.id, self.boot);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.metadata.is_none() && !entry.ended() {
            out.push(match metadata {
                Some(_) => RegistryEffect::Broadcast(key),
                None => RegistryEffect::RequestMetadata(key),
            });
            entry.metadata = metadata.map(Arc::new);
            self.dirty = true;
        }
        if (entry.version.registrar, entry.version.boot) == own {
            return;
        }
        if since.age(now) < entry.since.age(now) {
            entry.since = since;
            if entry.lapsed && !entry.ended() && since.age(now) < EXPIRY {
                entry.lapsed = false;
                self.dirty = true;
            }
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one record")]
    fn replace(
        &mut self,
        now: Time,
        key: u64,
        digest: u32,
        version: Version,
        since: PastInstant,
        metadata: Option<Metadata>,
        out: &mut Vec<RegistryEffect>,
    ) {
        let old = self.entries.get(&key);
        if old.is_none() && self.entries.len() >= MAX_ENTRIES && !self.evict(now) {
            self.refused += 1;
            return;
        }
        let old = self.entries.get(&key);
        let reused = old
            .filter(|e| e.digest == digest)
            .and_then(|e| e.metadata.clone());
        let gone = version.state == UpstreamState::Gone;
        let metadata = metadata.map(Arc::new).or(reused).filter(|_| !gone);
        let kept = old.filter(|e| e.version.incarnation == version.incarnation);
        let entry = Entry {
            lapsed: since.age(now) >= EXPIRY,
            latest_sequence: kept.map_or(0, |e| e.latest_sequence).max(version.sequence),
            load: kept.map_or(Load::default(), |e| e.load),
            load_sequence: kept.map_or(0, |e| e.load_sequence),
            reported: kept.map_or(LoadLevel::default(), |e| e.reported),
            reported_at: kept.map_or(now, |e| e.reported_at),
            version,
            metadata,
            digest,
            since,
            cached: None,
        };
        let incomplete = entry.metadata.is_none() && !entry.ended();
        self.insert(key, entry);
        out.push(match incomplete {
            true => RegistryEffect::RequestMetadata(key),
            false => RegistryEffect::Broadcast(key),
        });
    }

    fn receive_load(
        &mut self,
        short: u32,
        incarnation: u8,
        sequence: u64,
        level: LoadLevel,
        out: &mut Vec<RegistryEffect>,
    ) {
        let Some([key]) = self.short_keys.get(&short).map(Vec::as_slice) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let same = short_incarnation(&entry.version) == incarnation;
        let own = (entry.version.registrar, entry.version.boot) == (self.id, self.boot);
        if own || !same || sequence <= entry.load_sequence {
            return;
        }
        entry.load_sequence = sequence;
        entry.reported = level;
        self.dirty |= entry.set_load(level.into());
        out.push(RegistryEffect::BroadcastLoad(*key));
    }
}

impl Entry {
    fn hash(&self, key: u64) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut hasher = rustc_hash::FxHasher::default();
        let has_metadata = self.metadata.is_some();
        (key, &self.version, self.lapsed, has_metadata, self.digest).hash(&mut hasher);
        hasher.finish()
    }
}

fn short_incarnation(version: &Version) -> u8 {
    (version.incarnation.0 & 127) as u8
}

struct InvalidMetadata;

/// Decodes the metadata of a record and checks it against key and digest.
fn verify_metadata(
    record: Option<MetadataRecord>,
    key: u64,
    digest: u32,
) -> Result<Option<Metadata>, InvalidMetadata> {
    let Some(record) = record else {
        return Ok(None);
    };
    let metadata = record.into_metadata().ok_or(InvalidMetadata)?;
    if upstream_key(&metadata.id) != key || metadata.digest() != digest {
        return Err(InvalidMetadata);
    }
    Ok(Some(metadata))
}
