//! Detects a data directory that was restored from an old copy.
//!
//! Each start of a store is a run with a random number, and the store keeps
//! the numbers of its runs. A peer durably records the latest run that it saw of
//! each other member, and accepts a later one only if that run lists the recorded
//! one. An old copy doesn't, and lacks the votes and acknowledgements given since.
//! A boot counter alone isn't enough, since a copy that starts often enough
//! overtakes it.
//!
//! Peers can't tell a copy of the latest run from the original. Such a store
//! queries them after its start for the state that it lacks, see
//! [`crate::replica`].

use std::collections::BTreeMap;

use crate::replica::{Body, Message, SeenRun};

/// Relation of a message's run to the latest recorded run of its store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunStatus {
    /// The latest recorded run.
    Current,
    /// A later run, to be recorded durably before the message is handled.
    Later,
    /// A run that may be later, to be asked for a hello.
    Unproven,
    /// An earlier run, or one of an old copy.
    Superseded,
}

/// Latest runs of other members.
#[derive(Debug, Default)]
pub(super) struct KnownRuns {
    /// Boot counter and run by store. New ones become durable with the next sync.
    known: BTreeMap<u64, (u64, u64)>,
}

impl KnownRuns {
    pub(super) fn new(known: BTreeMap<u64, (u64, u64)>) -> Self {
        Self { known }
    }

    pub(super) fn classify(&self, message: &Message) -> RunStatus {
        let Some(&(boot, run)) = self.known.get(&message.from_store) else {
            return RunStatus::Later;
        };
        if (message.boot, message.run) == (boot, run) {
            return RunStatus::Current;
        }
        if message.boot <= boot {
            return RunStatus::Superseded;
        }
        match &message.body {
            Some(Body::Hello(hello)) if hello.runs.contains(&run) => RunStatus::Later,
            Some(Body::Hello(_)) => RunStatus::Superseded,
            _ => RunStatus::Unproven,
        }
    }

    pub(super) fn insert(&mut self, message: &Message) {
        let seen = (message.boot, message.run);
        self.known.insert(message.from_store, seen);
    }

    /// Drops the stores for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.known.retain(|&store, _| keep(store));
    }

    /// Latest runs of all stores except `reader`, the receiver's own.
    pub(super) fn seen(&self, reader: u64) -> Vec<SeenRun> {
        let others = self.known.iter().filter(|(store, _)| **store != reader);
        let seen = others.map(|(&store, &(boot, _))| SeenRun { store, boot });
        seen.collect()
    }

    pub(super) fn known(&self) -> &BTreeMap<u64, (u64, u64)> {
        &self.known
    }
}
