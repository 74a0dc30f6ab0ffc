//! Records and loads that other instances tell of.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::upstream::entry::{Entry, Metadata, PastInstant, Version, key_of};
use crate::upstream::registry::{EXPIRY, MAX_ENTRIES, RETENTION, Registry, RegistryEffect};
use crate::upstream::wire::{LoadReports, MetadataRecord, UpstreamRecord};
use crate::upstream::{Load, LoadLevel, UpstreamState, short_of};

/// Records this close to their end are no longer told of, so that instances
/// which drop them at different times don't hand them back to each other.
const FADE: Duration = Duration::from_secs(60);

impl Registry {
    /// Merges a record. `Spread` is among the effects when it was news.
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
        let Ok(facts) = checked_facts(record.facts, record.key, record.digest) else {
            self.refused += 1;
            return;
        };
        let known = self.entries.get(&record.key);
        match known.map(|e| version.cmp(&e.version)) {
            Some(std::cmp::Ordering::Less) => self.stale += 1,
            Some(std::cmp::Ordering::Equal) => self.confirm(now, record.key, since, facts, out),
            _ => self.replace(now, record.key, record.digest, version, since, facts, out),
        }
    }

    /// Takes reports of load.
    pub(crate) fn receive_loads(&mut self, loads: &LoadReports, out: &mut Vec<RegistryEffect>) {
        let columns = loads.keys.iter().zip(&loads.incarnations);
        let columns = columns.zip(loads.sequences.iter().zip(&loads.levels));
        for ((short, incarnation), (sequence, level)) in columns {
            self.receive_load(*short, *incarnation, *sequence, LoadLevel(*level), out);
        }
    }

    /// The record of `key` for the wire, with facts if asked for.
    pub(crate) fn record(&self, now: Time, key: u64, facts: bool) -> Option<UpstreamRecord> {
        let entry = self.entries.get(&key)?;
        let age = entry.since.age(now);
        if age + FADE >= RETENTION {
            return None;
        }
        let millis = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let mut record = UpstreamRecord::new(key, &entry.version, millis, entry.digest);
        if facts {
            record.facts = entry.facts.as_deref().map(Into::into);
        }
        Some(record)
    }

    /// Whether the record of `key` says all that there is to say.
    pub(crate) fn is_complete(&self, key: u64) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|e| e.facts.is_some() || e.ended())
    }

    /// One row of a [`LoadReports`]: short key, incarnation, sequence, level.
    pub(crate) fn load_report(&self, key: u64) -> Option<(u32, u8, u64, u8)> {
        let entry = self.entries.get(&key).filter(|e| !e.retired())?;
        let incarnation = short_incarnation(&entry.version);
        Some((
            short_of(key),
            incarnation,
            entry.loaded,
            LoadLevel::from(entry.load).0,
        ))
    }

    /// Key and hash of each entry that is told of. Two instances whose
    /// hashes are the same have nothing to tell each other.
    pub(crate) fn hashes(&self, now: Time) -> impl Iterator<Item = (u64, u64)> + '_ {
        let told = move |e: &Entry| e.since.age(now) + FADE < RETENTION;
        let entries = self.entries.iter().filter(move |(_, e)| told(e));
        entries.map(|(key, entry)| (*key, entry.hash(*key)))
    }

    /// Takes a record equal to the one known: perhaps a newer proof of life.
    ///
    /// A record for which this instance vouches is never renewed by another:
    /// the other counts it as alive only because this instance is.
    fn confirm(
        &mut self,
        now: Time,
        key: u64,
        since: PastInstant,
        facts: Option<Metadata>,
        out: &mut Vec<RegistryEffect>,
    ) {
        let own = (self.id, self.boot);
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.facts.is_none() && !entry.ended() {
            out.push(match facts {
                Some(_) => RegistryEffect::Broadcast(key),
                None => RegistryEffect::RequestMetadata(key),
            });
            entry.facts = facts.map(Arc::new);
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
        facts: Option<Metadata>,
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
            .and_then(|e| e.facts.clone());
        let gone = version.state == UpstreamState::Gone;
        let facts = facts.map(Arc::new).or(reused).filter(|_| !gone);
        let kept = old.filter(|e| e.version.incarnation == version.incarnation);
        let entry = Entry {
            lapsed: since.age(now) >= EXPIRY,
            latest: kept.map_or(0, |e| e.latest).max(version.sequence),
            load: kept.map_or(Load::default(), |e| e.load),
            loaded: kept.map_or(0, |e| e.loaded),
            told: kept.map_or(LoadLevel::default(), |e| e.told),
            told_at: kept.map_or(now, |e| e.told_at),
            version,
            facts,
            digest,
            since,
            shown: None,
        };
        let lacking = entry.facts.is_none() && !entry.ended();
        self.insert(key, entry);
        out.push(match lacking {
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
        let Some([key]) = self.shorts.get(&short).map(Vec::as_slice) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let same = short_incarnation(&entry.version) == incarnation;
        let own = (entry.version.registrar, entry.version.boot) == (self.id, self.boot);
        if own || !same || sequence <= entry.loaded {
            return;
        }
        entry.loaded = sequence;
        entry.told = level;
        self.dirty |= entry.set_load(level.into());
        out.push(RegistryEffect::BroadcastLoad(*key));
    }
}

impl Entry {
    fn hash(&self, key: u64) -> u64 {
        use std::hash::{Hash, Hasher};
        let mut hasher = rustc_hash::FxHasher::default();
        let known = self.facts.is_some();
        (key, &self.version, self.lapsed, known, self.digest).hash(&mut hasher);
        hasher.finish()
    }
}

fn short_incarnation(version: &Version) -> u8 {
    (version.incarnation.0 & 127) as u8
}

struct BadFacts;

/// The facts of a record. They must belong to its key and digest.
fn checked_facts(
    record: Option<MetadataRecord>,
    key: u64,
    digest: u32,
) -> Result<Option<Metadata>, BadFacts> {
    let Some(record) = record else {
        return Ok(None);
    };
    let facts = record.facts().ok_or(BadFacts)?;
    if key_of(&facts.id) != key || facts.digest() != digest {
        return Err(BadFacts);
    }
    Ok(Some(facts))
}
