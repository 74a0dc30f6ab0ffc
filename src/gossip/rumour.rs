//! Rumours that wait to be told, each a bounded number of times.

use std::collections::BTreeMap;
use std::hash::Hash;

use crate::collections::HashMap;

/// What became of a rumour that was to be written into a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Put {
    /// It was written.
    Sent,
    /// It no longer means anything.
    Void,
    /// The datagram is full.
    Full,
}

/// Subjects of rumours. What is told about a subject is written at the time
/// of sending, so that the newest word goes out and the queue stays small.
#[derive(Debug)]
pub(crate) struct Rumours<K> {
    /// Subjects by times told, the newest first among equals.
    queue: BTreeMap<(u32, u64), K>,
    places: HashMap<K, (u32, u64)>,
    /// Counts down, so that newer ones sort first.
    order: u64,
}

impl<K: Copy + Eq + Hash> Rumours<K> {
    /// An empty queue.
    pub(crate) fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            places: HashMap::default(),
            order: u64::MAX,
        }
    }

    /// Starts to tell of a subject, anew if it was being told of.
    pub(crate) fn add(&mut self, subject: K) {
        if let Some(place) = self.places.remove(&subject) {
            self.queue.remove(&place);
        }
        self.place(subject, 0);
    }

    /// Subjects that wait.
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Offers subjects to `put`, those told least first, each once. A subject
    /// told `limit` times is dropped.
    pub(crate) fn tell(&mut self, limit: u32, mut put: impl FnMut(K) -> Put) {
        let mut told = Vec::new();
        while let Some((place, subject)) = self.queue.first_key_value().map(|(p, s)| (*p, *s)) {
            let outcome = put(subject);
            if outcome == Put::Full {
                break;
            }
            self.queue.remove(&place);
            self.places.remove(&subject);
            if outcome == Put::Sent && place.0 + 1 < limit {
                told.push((subject, place.0 + 1));
            }
        }
        for (subject, times) in told {
            self.place(subject, times);
        }
    }

    fn place(&mut self, subject: K, times: u32) {
        self.order -= 1;
        let place = (times, self.order);
        self.queue.insert(place, subject);
        self.places.insert(subject, place);
    }
}
