//! The replicated state machine behind the catalogue.
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

/// Outcomes kept for resent changes: a week at 1,300 changes a day.
const KEPT_OUTCOMES: usize = 10_000;

/// Commands kept for instances that follow; older ones get a snapshot.
const KEPT_COMMANDS: usize = 256;

/// Longest name of an entry, in bytes.
const MAX_NAME: usize = 128;

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// A change id with the first outcome it got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Settled {
    id: String,
    /// SHA-256 of the command; tells a resend from a reuse of the id.
    digest: [u8; 32],
    outcome: Outcome,
}

/// A change of the past.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// The operator's id for the change.
    pub id: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// The whole replicated state, in the form that a snapshot has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SavedState {
    /// Log index of the last command applied. Never falls.
    index: u64,
    /// Log index of the last accepted change. Never falls.
    revision: u64,
    records: Vec<Record>,
    /// Oldest first; at most [`KEPT_OUTCOMES`].
    settled: VecDeque<Settled>,
}

/// The catalogue's state machine without its publication.
#[derive(Debug, Default)]
pub(crate) struct CatalogueState {
    index: u64,
    revision: u64,
    records: BTreeMap<EntryKey, Record>,
    settled: VecDeque<Settled>,
    /// Position of each id in `settled`, counted from the first ever settled.
    positions: BTreeMap<String, u64>,
    /// How many were dropped from the front of `settled`.
    dropped: u64,
}

impl CatalogueState {
    /// Log index of the last command applied.
    pub(crate) fn index(&self) -> u64 {
        self.index
    }

    /// Revision of the catalogue as it stands.
    pub(crate) fn catalogue_revision(&self) -> u64 {
        self.revision
    }

    /// The catalogue as it stands.
    pub(crate) fn catalogue(&self) -> Catalogue {
        Catalogue::new(self.revision, self.records.clone())
    }

    /// Applies the command at `index` and tells what became of it.
    ///
    /// # Panics
    ///
    /// When `index` doesn't grow: the log would have been replayed onto a
    /// state that already holds it, and a change would count twice.
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
            self.commit(index, &change);
        }
        self.settle(change.id, digest, outcome.clone());
        outcome
    }

    fn first_outcome(&self, id: &str, digest: &[u8; 32]) -> Option<Outcome> {
        let position = self.positions.get(id)?;
        let offset = usize::try_from(position - self.dropped).ok()?;
        let settled = self.settled.get(offset)?;
        if settled.digest != *digest {
            return Some(Outcome::Reused);
        }
        Some(settled.outcome.clone())
    }

    fn settle(&mut self, id: String, digest: [u8; 32], outcome: Outcome) {
        let position = self.dropped + self.settled.len() as u64;
        self.positions.insert(id.clone(), position);
        self.settled.push_back(Settled {
            id,
            digest,
            outcome,
        });
        while self.settled.len() > KEPT_OUTCOMES {
            if let Some(oldest) = self.settled.pop_front() {
                self.positions.remove(&oldest.id);
                self.dropped += 1;
            }
        }
    }

    fn decide(&self, change: &Change) -> Outcome {
        if let Some(conflict) = self.conflict(change) {
            return conflict;
        }
        match self.check(change) {
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

    /// Whether the catalogue stays consistent with the change in force.
    fn check(&self, change: &Change) -> Result<(), String> {
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

    fn commit(&mut self, index: u64, change: &Change) {
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

    /// Ids and outcomes of the last `most` changes, newest last.
    pub(crate) fn history(&self, most: usize) -> Vec<PastChange> {
        let skip = self.settled.len().saturating_sub(most);
        self.settled
            .iter()
            .skip(skip)
            .map(|s| PastChange {
                id: s.id.clone(),
                outcome: s.outcome.clone(),
            })
            .collect()
    }

    /// The state as bytes.
    pub(crate) fn snapshot(&self) -> Vec<u8> {
        let state = SavedState {
            index: self.index,
            revision: self.revision,
            records: self.records.values().cloned().collect(),
            settled: self.settled.clone(),
        };
        serde_json::to_vec(&state).expect("the state holds only strings and numbers")
    }

    /// The book that `snapshot` describes, or `None` when it can't be read.
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
            settled: state.settled,
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
    if key.name.is_empty() || key.name.len() > MAX_NAME || !key.name.chars().all(plain) {
        return Err(format!(
            "name {key} with 1 to {MAX_NAME} letters, digits, '-', '_' or '.'"
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
    let hex = |d: &String| d.len() == DIGEST_DIGITS && d.bytes().all(|b| b.is_ascii_hexdigit());
    if digests.iter().all(hex) {
        return Ok(());
    }
    Err(format!(
        "{key} holds a secret that isn't a SHA-256 digest of {DIGEST_DIGITS} hexadecimal digits"
    ))
}

fn check_references(after: &BTreeMap<EntryKey, &Entry>) -> Result<(), String> {
    let named = |kind, name: &str| {
        let name = name.to_owned();
        after.contains_key(&EntryKey { kind, name })
    };
    for (key, entry) in after {
        let Entry::Route(route) = entry else { continue };
        if !named(Kind::Organisation, &route.organisation.0) {
            return Err(format!(
                "{key} needs organisation {}; add it, or retire the route first",
                route.organisation
            ));
        }
        if let Some(pool) = route.pools.iter().find(|p| !named(Kind::Pool, p)) {
            return Err(format!(
                "{key} needs pool {pool}; add it, or retire the route first"
            ));
        }
    }
    Ok(())
}

/// Two organisations with one key, or two pools with one credential, would
/// make it a matter of chance whose request it is: an organisation would
/// reach another's capacity.
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

/// What an instance that follows the catalogue gets from a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Feed {
    /// All commands behind the index it has, oldest first.
    Commands(Vec<(u64, Vec<u8>)>),
    /// The whole state.
    Snapshot(Vec<u8>),
}

/// The catalogue's state machine as a voter runs it.
pub(crate) struct CatalogueMachine {
    shared: Arc<CatalogueHandle>,
}

/// The part of the machine that other threads read.
pub(crate) struct CatalogueHandle {
    /// The catalogue as applied on this voter.
    catalogue: ArcSwap<Catalogue>,
    inner: std::sync::Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    state: CatalogueState,
    /// Recent commands, oldest first, without a gap.
    recent: VecDeque<(u64, Vec<u8>)>,
    /// Index behind which `recent` is complete.
    since: u64,
}

impl CatalogueMachine {
    /// An empty machine and the handle to read it by.
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
    /// The reply is an [`Outcome`] in JSON.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let mut inner = self.shared.lock();
        let before = inner.state.revision;
        let outcome = inner.state.apply(index, command);
        inner.recent.push_back((index, command.to_vec()));
        if inner.recent.len() > KEPT_COMMANDS
            && let Some((oldest, _)) = inner.recent.pop_front()
        {
            inner.since = oldest;
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
        let state =
            CatalogueState::from_snapshot(snapshot).expect("the store checked the snapshot's sum");
        let mut inner = self.shared.lock();
        inner.recent.clear();
        inner.since = state.index();
        self.shared.catalogue.store(Arc::new(state.catalogue()));
        inner.state = state;
    }
}

impl CatalogueHandle {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics with the book")
    }

    /// The catalogue as applied on this voter. It is in force only under a
    /// lease; see [`crate::follow`].
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        self.catalogue.load_full()
    }

    /// What an instance that has applied everything up to `have` misses.
    pub(crate) fn feed(&self, have: u64) -> Feed {
        let inner = self.lock();
        if have < inner.since {
            return Feed::Snapshot(inner.state.snapshot());
        }
        let missing = inner.recent.iter().filter(|(index, _)| *index > have);
        Feed::Commands(missing.cloned().collect())
    }
}
