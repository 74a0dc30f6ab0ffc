//! Which engines probably hold the cache of which prompt prefix.

use crate::clock::Time;
use crate::collections::HashMap;

/// Prefixes in each of the two generations.
const KEPT: usize = 4096;
/// Engines remembered for one prefix.
const PLACES: usize = 16;
/// Time constant with which a cached prefix is forgotten, in seconds. Engines
/// evict without a word that could be relied on.
const EVICTION: f64 = 60.0;

/// An engine that ran a prefix lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Cached {
    pub(crate) engine: u32,
    /// Epoch of the engine's place; another epoch is another engine.
    pub(crate) epoch: u32,
    at: Time,
}

impl Cached {
    /// Chance that the prefix is still there.
    pub(crate) fn chance(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / EVICTION).exp()
    }
}

/// Memory of prefixes in two generations: when the young one is full, it
/// becomes the old one, and what wasn't seen for a generation is gone.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    young: HashMap<u64, Vec<Cached>>,
    old: HashMap<u64, Vec<Cached>>,
}

impl Prefixes {
    pub(crate) fn get(&self, prefix: u64) -> &[Cached] {
        let found = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        found.map_or(&[], Vec::as_slice)
    }

    pub(crate) fn learn(
        &mut self,
        now: Time,
        prefix: u64,
        places: impl Iterator<Item = (u32, u32)>,
    ) {
        if self.young.len() >= KEPT && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        let from_old = self.old.remove(&prefix);
        let known = self
            .young
            .entry(prefix)
            .or_insert(from_old.unwrap_or_default());
        for (engine, epoch) in places {
            known.retain(|c| c.engine != engine);
            if known.len() >= PLACES {
                known.remove(0);
            }
            known.push(Cached {
                engine,
                epoch,
                at: now,
            });
        }
    }
}
