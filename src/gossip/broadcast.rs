//! Rumours that wait to be told, each a bounded number of times.

use std::collections::BTreeMap;
use std::hash::Hash;

use crate::collections::HashMap;

/// What became of a rumour that was to be written into a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// It was written.
    Sent,
    /// It no longer means anything.
    Obsolete,
    /// The datagram is full.
    Full,
}

/// Subjects of rumours. What is told about a subject is written at the time
/// of sending, so that the newest word goes out and the queue stays small.
#[derive(Debug)]
pub(crate) struct BroadcastQueue<K> {
    /// Subjects by times told, the newest first among equals.
    queue: BTreeMap<(u32, u64), K>,
    positions: HashMap<K, (u32, u64)>,
    /// Counts down, so that newer ones sort first.
    next_order: u64,
}

impl<K: Copy + Eq + Hash> BroadcastQueue<K> {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            positions: HashMap::default(),
            next_order: u64::MAX,
        }
    }

    /// Starts to tell of a subject, anew if it was being told of.
    pub(crate) fn add(&mut self, subject: K) {
        if let Some(position) = self.positions.remove(&subject) {
            self.queue.remove(&position);
        }
        self.enqueue(subject, 0);
    }

    /// Subjects that wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Offers subjects to `put`, those told least first, each once. A subject
    /// told `limit` times is dropped.
    pub(crate) fn transmit(&mut self, limit: u32, mut write: impl FnMut(K) -> WriteOutcome) {
        let mut sent = Vec::new();
        while let Some((position, subject)) = self.queue.first_key_value().map(|(p, s)| (*p, *s)) {
            let outcome = write(subject);
            if outcome == WriteOutcome::Full {
                break;
            }
            self.queue.remove(&position);
            self.positions.remove(&subject);
            if outcome == WriteOutcome::Sent && position.0 + 1 < limit {
                sent.push((subject, position.0 + 1));
            }
        }
        for (subject, transmits) in sent {
            self.enqueue(subject, transmits);
        }
    }

    fn enqueue(&mut self, subject: K, transmits: u32) {
        self.next_order -= 1;
        let position = (transmits, self.next_order);
        self.queue.insert(position, subject);
        self.positions.insert(subject, position);
    }
}
