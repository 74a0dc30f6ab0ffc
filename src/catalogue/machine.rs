//! The replicated state machine of the catalogue.
//!
//! Every replica applies the same commands in the same order, so nothing here
//! may depend on a clock, a random number or the order of a hash map.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::change::{MAX_ID, MAX_OPERATIONS};
use super::{Catalogue, Change, Entry, EntryKey, Expect, Kind, Operation, Outcome, Record};
use crate::voter::StateMachine;

/// Outcomes kept to answer resent changes: a week's worth at 1,300 changes a day.
const MAX_OUTCOMES: usize = 10_000;

/// Recent commands kept for followers. A follower that is further behind gets a
/// snapshot.
const MAX_RECENT_COMMANDS: usize = 256;

/// Longest name of an entry, in bytes.
const MAX_NAME_LEN: usize = 128;

/// Hexadecimal digits in a SHA-256 digest.
const DIGEST_HEX_LEN: usize = 64;

/// The first outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DecidedChange {
    id: String,
    /// SHA-256 of the command; distinguishes a resend from a reuse of the id.
    digest: [u8; 32],
    outcome: Outcome,
}

/// A decided change, as listed in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// The operator's id for the change.
    pub id: String,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Snapshot format of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SavedState {
    /// Log index of the last applied command. Never decreases.
    index: u64,
    /// Log index of the last accepted change. Never decreases.
    revision: u64,
    records: Vec<Record>,
    /// Oldest first; at most [`MAX_OUTCOMES`].
    settled: VecDeque<DecidedChange>,
}

/// Replicated state of the catalogue.
#[derive(Debug, Default)]
pub(crate) struct CatalogueState {
    index: u64,
    revision: u64,
    records: BTreeMap<EntryKey, Record>,
    decided: VecDeque<DecidedChange>,
    /// Position in `decided` by change id, counted from the first change ever
    /// decided.
    positions: BTreeMap<String, u64>,
    /// Number of changes dropped from the front of `decided`.
    dropped: u64,
}

impl CatalogueState {
    /// Log index of the last applied command.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Current revision of the catalogue.
    pub(crate) fn catalogue_revision(&self) -> u64 {
        self.revision
    }

    /// The current catalogue.
    pub(crate) fn catalogue(&self) -> Catalogue {
        Catalogue::new(self.revision, self.records.clone())
    }

    /// Applies the command at `index` and returns its outcome.
    ///
    /// # Panics
    ///
    /// If `index` isn't higher than that of the last command: the log is being
    /// replayed onto a state that already contains it, and a change would be
    /// applied twice.
    pub(crate) fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        assert!(index > self.index, "log index {index} after {}", self.index);
        self.index = index;
        let Ok(change) = serde_json::from_slice::<Change>(command) else {
            return invalid("the change can't be read; send it with this release's client");
        };
        let digest: [u8; 32] = Sha256::digest(command).into();
        if let Some(first) = self.first_outcome(&change.id, &digest) {
            return first;
        }
        let outcome = self.decide(&change);
        if let Outcome::Accepted { .. } = outcome {
            self.update_records(index, &change);
        }
        self.record_outcome(change.id, digest, outcome.clone());
        outcome
    }

    fn first_outcome(&self, id: &str, digest: &[u8; 32]) -> Option<Outcome> {
        let position = self.positions.get(id)?;
        let offset = usize::try_from(position - self.dropped).ok()?;
        let first = self.decided.get(offset)?;
        if first.digest != *digest {
            return Some(Outcome::Reused);
        }
        Some(first.outcome.clone())
    }

    fn record_outcome(&mut self, id: String, digest: [u8; 32], outcome: Outcome) {
        let position = self.dropped + self.decided.len() as u64;
        self.positions.insert(id.clone(), position);
        self.decided.push_back(DecidedChange {
            id,
            digest,
            outcome,
        });
        while self.decided.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.decided.pop_front() {
                self.positions.remove(&oldest.id);
                self.dropped += 1;
            }
        }
    }

    fn decide(&self, change: &Change) -> Outcome {
        if let Some(conflict) = self.conflict(change) {
            return conflict;
        }
        match self.validate(change) {
            Ok(()) => Outcome::Accepted {
                revision: self.index,
            },
            Err(reason) => Outcome::Invalid { reason },
        }
    }

    fn conflict(&self, change: &Change) -> Option<Outcome> {
        match change.expect {
            Expect::Any => None,
            Expect::Catalogue(expected) => {
                (expected != self.revision).then_some(Outcome::Conflict {
                    revision: self.revision,
                    entry: None,
                })
            }
            Expect::Entry(expected) => change.operations.iter().find_map(|op| {
                let key = op.key();
                let revision = self.records.get(&key).map_or(0, |r| r.revision);
                (revision != expected).then_some(Outcome::Conflict {
                    revision,
                    entry: Some(key),
                })
            }),
        }
    }

    /// Checks that the catalogue stays consistent when the change is applied.
    fn validate(&self, change: &Change) -> Result<(), String> {
        check_shape(change)?;
        let mut after: BTreeMap<EntryKey, &Entry> = self
            .records
            .iter()
            .map(|(key, record)| (key.clone(), record.entry.as_ref()))
            .collect();
        for op in &change.operations {
            match op {
                Operation::Put(entry) => {
                    after.insert(entry.key(), entry);
                }
                Operation::Retire(key) => {
                    after
                        .remove(key)
                        .ok_or_else(|| format!("{key} doesn't exist; list the catalogue"))?;
                }
            }
        }
        check_references(&after)?;
        check_secrets(&after)
    }

    fn update_records(&mut self, index: u64, change: &Change) {
        self.revision = index;
        for op in &change.operations {
            match op {
                Operation::Put(entry) => {
                    let record = Record {
                        revision: index,
                        entry: Arc::new(entry.clone()),
                    };
                    self.records.insert(entry.key(), record);
                }
                Operation::Retire(key) => {
                    self.records.remove(key);
                }
            }
        }
    }

    /// The last `limit` decided changes, oldest first.
    pub(crate) fn history(&self, limit: usize) -> Vec<PastChange> {
        let skip = self.decided.len().saturating_sub(limit);
        self.decided
            .iter()
            .skip(skip)
            .map(|s| PastChange {
                id: s.id.clone(),
                outcome: s.outcome.clone(),
            })
            .collect()
    }

    /// Serializes the state.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let state = SavedState {
            index: self.index,
            revision: self.revision,
            records: self.records.values().cloned().collect(),
            settled: self.decided.clone(),
        };
        serde_json::to_vec(&state).expect("the state holds only strings and numbers")
    }

    /// Restores the state from `snapshot`, or returns `None` if it can't be read.
    pub(crate) fn from_snapshot(snapshot: &[u8]) -> Option<Self> {
        let state: SavedState = serde_json::from_slice(snapshot).ok()?;
        let positions = (0..).zip(&state.settled);
        Some(Self {
            index: state.index,
            revision: state.revision,
            positions: positions.map(|(at, s)| (s.id.clone(), at)).collect(),
            records: state
                .records
                .into_iter()
                .map(|r| (r.entry.key(), r))
                .collect(),
            decided: state.settled,
            dropped: 0,
        })
    }
}

fn invalid(reason: &str) -> Outcome {
    Outcome::Invalid {
        reason: reason.to_owned(),
    }
}

fn check_shape(change: &Change) -> Result<(), String> {
    if change.id.is_empty() || change.id.len() > MAX_ID {
        return Err(format!("give the change an id of 1 to {MAX_ID} bytes"));
    }
    if change.operations.is_empty() || change.operations.len() > MAX_OPERATIONS {
        return Err(format!("give 1 to {MAX_OPERATIONS} operations"));
    }
    let keys: BTreeSet<_> = change.operations.iter().map(Operation::key).collect();
    if keys.len() < change.operations.len() {
        return Err("name each entry once in a change".to_owned());
    }
    change.operations.iter().try_for_each(check_operation)
}

fn check_operation(op: &Operation) -> Result<(), String> {
    let key = op.key();
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if key.name.is_empty() || key.name.len() > MAX_NAME_LEN || !key.name.chars().all(plain) {
        return Err(format!(
            "name {key} with 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'"
        ));
    }
    let Operation::Put(entry) = op else {
        return Ok(());
    };
    let digests: &[String] = match entry {
        Entry::Organisation(o) => &o.keys,
        Entry::Pool(p) => std::slice::from_ref(&p.credential),
        Entry::Route(r) if r.pools.is_empty() => {
            return Err(format!("{key} names no pool; name at least one"));
        }
        Entry::Route(_) => &[],
    };
    let hex = |d: &String| d.len() == DIGEST_HEX_LEN && d.bytes().all(|b| b.is_ascii_hexdigit());
    if digests.iter().all(hex) {
        return Ok(());
    }
    Err(format!(
        "{key} holds a secret that isn't a SHA-256 digest of {DIGEST_HEX_LEN} hexadecimal digits"
    ))
}

fn check_references(after: &BTreeMap<EntryKey, &Entry>) -> Result<(), String> {
    let exists = |kind, name: &str| {
        let name = name.to_owned();
        after.contains_key(&EntryKey { kind, name })
    };
    for (key, entry) in after {
        let Entry::Route(route) = entry else { continue };
        if !exists(Kind::Organisation, &route.organisation.0) {
            return Err(format!(
                "{key} needs organisation {}; add it, or retire the route first",
                route.organisation
            ));
        }
        if let Some(pool) = route.pools.iter().find(|p| !exists(Kind::Pool, p)) {
            return Err(format!(
                "{key} needs pool {pool}; add it, or retire the route first"
            ));
        }
    }
    Ok(())
}

/// Checks that no secret is shared.
///
/// With a key shared by two organisations, or a credential by two pools, the
/// owner of a request would be ambiguous, and an organisation could use another's
/// capacity.
fn check_secrets(after: &BTreeMap<EntryKey, &Entry>) -> Result<(), String> {
    let mut seen = BTreeSet::new();
    for (key, entry) in after {
        let digests: &[String] = match entry {
            Entry::Organisation(o) => &o.keys,
            Entry::Pool(p) => std::slice::from_ref(&p.credential),
            Entry::Route(_) => &[],
        };
        for digest in digests {
            if !seen.insert((key.kind, digest)) {
                return Err(format!("{key} shares a secret; give it one of its own"));
            }
        }
    }
    Ok(())
}

/// Updates that a voter sends to a follower of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Feed {
    /// All commands after the index that the follower has applied, oldest first.
    Commands(Vec<(u64, Vec<u8>)>),
    /// A snapshot of the whole state.
    Snapshot(Vec<u8>),
}

/// The state machine that a voter runs. Publishes each new catalogue.
pub(crate) struct CatalogueMachine {
    shared: Arc<CatalogueHandle>,
}

/// Read access to the state machine for other threads.
pub(crate) struct CatalogueHandle {
    /// The catalogue as applied on this voter.
    catalogue: ArcSwap<Catalogue>,
    inner: std::sync::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    state: CatalogueState,
    /// Recent commands, oldest first and without gaps.
    recent: VecDeque<(u64, Vec<u8>)>,
    /// `recent` contains every command after this index.
    complete_after: u64,
}

impl CatalogueMachine {
    /// Creates an empty state machine and its handle.
    pub(crate) fn new() -> (Self, Arc<CatalogueHandle>) {
        let shared = Arc::new(CatalogueHandle {
            catalogue: ArcSwap::from_pointee(Catalogue::default()),
            inner: std::sync::Mutex::default(),
        });
        (
            Self {
                shared: Arc::clone(&shared),
            },
            shared,
        )
    }
}

impl StateMachine for CatalogueMachine {
    /// Replies with an [`Outcome`] in JSON.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let mut inner = self.shared.lock();
        let before = inner.state.revision;
        let outcome = inner.state.apply(index, command);
        inner.recent.push_back((index, command.to_vec()));
        if inner.recent.len() > MAX_RECENT_COMMANDS
            && let Some((oldest, _)) = inner.recent.pop_front()
        {
            inner.complete_after = oldest;
        }
        if inner.state.revision != before {
            let catalogue = inner.state.catalogue();
            self.shared.catalogue.store(Arc::new(catalogue));
        }
        serde_json::to_vec(&outcome).expect("an outcome holds only strings and numbers")
    }

    fn snapshot(&self) -> Vec<u8> {
        self.shared.lock().state.snapshot()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let state = CatalogueState::from_snapshot(snapshot)
            .expect("the store verified the snapshot's checksum");
        let mut inner = self.shared.lock();
        inner.recent.clear();
        inner.complete_after = state.index();
        self.shared.catalogue.store(Arc::new(state.catalogue()));
        inner.state = state;
    }
}

impl CatalogueHandle {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// The catalogue as applied on this voter. It may be used only under a
    /// lease; see [`crate::follow`].
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        self.catalogue.load_full()
    }

    /// Updates for a follower that has applied everything up to index `have`.
    pub(crate) fn feed(&self, have: u64) -> Feed {
        let inner = self.lock();
        if have < inner.complete_after {
            return Feed::Snapshot(inner.state.snapshot());
        }
        let missing = inner.recent.iter().filter(|(index, _)| *index > have);
        Feed::Commands(missing.cloned().collect())
    }
}
