//! Recognises a data folder that was put back from an old copy.
//!
//! Each start of a store is a run with a random number, and the store keeps
//! the numbers of its runs. A peer durably remembers the latest run that it
//! saw of each other member, and takes a later one only if that run knows the
//! remembered one. An old copy doesn't: it has forgotten what the store
//! promised since. A boot counter alone isn't enough, since a copy that starts
//! often enough overtakes the counter.
//!
//! A copy of the latest run itself looks the same to all peers: what such a store
//! has forgotten it asks them after its start, see [`crate::replica`].

use std::collections::BTreeMap;

use crate::replica::{Body, Message, SeenRun};

/// What to do with a message, judged by the run that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The latest known run.
    Current,
    /// A later run: remember it durably before the message counts.
    Later,
    /// A run that may be later: ask for its greeting.
    Unproven,
    /// An earlier run, or one of an old copy.
    Superseded,
}

/// Latest run seen of each other member.
#[derive(Debug, Default)]
pub(super) struct Sightings {
    /// Boot counter and run by store. Durable but for those just added.
    known: BTreeMap<u64, (u64, u64)>,
}

impl Sightings {
    pub(super) fn new(known: BTreeMap<u64, (u64, u64)>) -> Self {
        Self { known }
    }

    pub(super) fn judge(&self, message: &Message) -> Verdict {
        let Some(&(boot, run)) = self.known.get(&message.from_store) else {
            return Verdict::Later;
        };
        if (message.boot, message.run) == (boot, run) {
            return Verdict::Current;
        }
        if message.boot <= boot {
            return Verdict::Superseded;
        }
        match &message.body {
            Some(Body::Hello(hello)) if hello.runs.contains(&run) => Verdict::Later,
            Some(Body::Hello(_)) => Verdict::Superseded,
            _ => Verdict::Unproven,
        }
    }

    pub(super) fn insert(&mut self, message: &Message) {
        let seen = (message.boot, message.run);
        self.known.insert(message.from_store, seen);
    }

    /// Forgets all stores but those that `keep` names.
    pub(super) fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.known.retain(|&store, _| keep(store));
    }

    /// The latest runs of all stores but that of `reader`, who knows better.
    pub(super) fn seen(&self, reader: u64) -> Vec<SeenRun> {
        let others = self.known.iter().filter(|(store, _)| **store != reader);
        let seen = others.map(|(&store, &(boot, _))| SeenRun { store, boot });
        seen.collect()
    }

    pub(super) fn known(&self) -> &BTreeMap<u64, (u64, u64)> {
        &self.known
    }
}
