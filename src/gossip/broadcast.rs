//! Queue of broadcasts, each of which is sent a bounded number of times.

use std::collections::BTreeMap;
use std::hash::Hash;

use crate::collections::HashMap;

/// Result of writing a broadcast into a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The broadcast was written.
    Sent,
    /// There is nothing left to send about the subject.
    Obsolete,
    /// The datagram is full.
    Full,
}

/// Queue of subjects to broadcast. The record of a subject is looked up when it is
/// sent, so that the newest version is sent and the queue stays small.
#[derive(Debug)]
pub(crate) struct BroadcastQueue<K> {
    /// Subjects ordered by the number of times sent, the newest first among equals.
    queue: BTreeMap<(u32, u64), K>,
    positions: HashMap<K, (u32, u64)>,
    /// Counts down, so that newer subjects sort first.
    last_order: u64,
}

impl<K: Copy + Eq + Hash> BroadcastQueue<K> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            positions: HashMap::default(),
            last_order: u64::MAX,
        }
    }

    /// Queues a subject. If it is already queued, its count starts again at zero.
    pub(crate) fn add(&mut self, subject: K) {
        if let Some(position) = self.positions.remove(&subject) {
            self.queue.remove(&position);
        }
        self.enqueue(subject, 0);
    }

    /// Number of queued subjects.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Passes subjects to `write`, those sent least often first, each once, until it
    /// returns [`WriteOutcome::Full`]. A subject that was sent `limit` times is
    /// dropped.
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
        self.last_order -= 1;
        let position = (transmits, self.last_order);
        self.queue.insert(position, subject);
        self.positions.insert(subject, position);
    }
}
