//! Checker of the invariants over all stores, and a state machine that reports to
//! it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::StateMachine;

/// The outcomes that callers received and the commands that stores applied.
#[derive(Default)]
pub(in crate::tests) struct Checker {
    /// Command by group and index, the same on every store.
    history: BTreeMap<(u32, u64), u64>,
    /// Commands acknowledged, in order, with their group.
    acknowledged: Vec<(u32, u64)>,
    /// Commands reported as not started.
    refused: BTreeSet<u64>,
    /// Number of confirmed reads.
    pub(in crate::tests) reads: usize,
}

impl Checker {
    pub(in crate::tests) fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// Number of acknowledged commands and confirmed reads.
    pub(in crate::tests) fn done(&self) -> usize {
        self.acknowledged.len() + self.reads
    }

    /// Highest index of a command that any store has applied.
    pub(in crate::tests) fn applied(&self, group: u32) -> u64 {
        let range = self.history.range((group, 0)..=(group, u64::MAX));
        range.last().map_or(0, |((_, index), _)| *index)
    }

    fn apply(&mut self, group: u32, index: u64, command: u64) {
        let first = *self.history.entry((group, index)).or_insert(command);
        assert_eq!(first, command, "stores disagree at {group}/{index}");
        let refused = self.refused.contains(&command);
        assert!(!refused, "a refused command took effect");
    }

    pub(in crate::tests) fn acknowledge(&mut self, group: u32, command: u64) {
        self.acknowledged.push((group, command));
    }

    pub(in crate::tests) fn refuse(&mut self, command: u64) {
        let done = self.history.values().any(|&c| c == command);
        assert!(!done, "a command that took effect was refused");
        self.refused.insert(command);
    }
}

/// The checker, shared by all parts of a simulation.
#[derive(Clone, Default)]
pub(in crate::tests) struct SharedChecker(Arc<Mutex<Checker>>);

impl SharedChecker {
    pub(in crate::tests) fn lock(&self) -> MutexGuard<'_, Checker> {
        self.0.lock().unwrap()
    }
}

/// A state machine that records its commands by index.
#[derive(Clone)]
pub(in crate::tests) struct RecordingMachine {
    group: u32,
    checker: SharedChecker,
    lines: Arc<Mutex<BTreeMap<u64, u64>>>,
}

impl RecordingMachine {
    pub(in crate::tests) fn new(group: u32, checker: &SharedChecker) -> Self {
        Self {
            group,
            checker: checker.clone(),
            lines: Arc::default(),
        }
    }

    /// Asserts that the first `count` acknowledged commands are applied here.
    pub(in crate::tests) fn check(&self, count: usize) {
        let lines = self.lines.lock().unwrap();
        let held: BTreeSet<u64> = lines.values().copied().collect();
        for (group, command) in &self.checker.lock().acknowledged[..count] {
            let here = *group != self.group || held.contains(command);
            assert!(here, "acknowledged command {command} is missing");
        }
    }
}

impl StateMachine for RecordingMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let value = u64::from_le_bytes(command.try_into().unwrap());
        self.checker.lock().apply(self.group, index, value);
        self.lines.lock().unwrap().insert(index, value);
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        let lines = self.lines.lock().unwrap();
        let pairs = lines.iter().flat_map(|(i, c)| [*i, *c]);
        pairs.flat_map(u64::to_le_bytes).collect()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let number = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
        let pairs = snapshot.chunks(16);
        let lines: BTreeMap<u64, u64> = pairs.map(|p| (number(&p[..8]), number(&p[8..]))).collect();
        for (&index, &command) in &lines {
            self.checker.lock().apply(self.group, index, command);
        }
        *self.lines.lock().unwrap() = lines;
    }
}
