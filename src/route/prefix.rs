//! Tracks which engines probably have a prompt prefix cached.

use crate::clock::Time;
use crate::collections::HashMap;

/// Maximum number of prefixes in each of the two generations.
const MAX_PREFIXES: usize = 4096;
/// Maximum number of engines recorded for one prefix.
const MAX_ENGINES: usize = 16;
/// Time constant with which the confidence in a cached prefix decays, in
/// seconds. Engines don't report evictions reliably.
const CACHE_DECAY: f64 = 60.0;

/// An engine that recently ran a prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Cached {
    pub(crate) engine: u32,
    /// Epoch of the engine's slab entry; another epoch means another engine.
    pub(crate) epoch: u32,
    at: Time,
}

impl Cached {
    /// Probability that the prefix is still cached.
    pub(crate) fn probability(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / CACHE_DECAY).exp()
    }
}

/// Prefixes in two generations. When the young one is full, it replaces the old
/// one, which drops the prefixes that weren't used for a generation.
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

    pub(crate) fn record(
        &mut self,
        now: Time,
        prefix: u64,
        locations: impl Iterator<Item = (u32, u32)>,
    ) {
        if self.young.len() >= MAX_PREFIXES && !self.young.contains_key(&prefix) {
            self.old = std::mem::take(&mut self.young);
        }
        let from_old = self.old.remove(&prefix);
        let known = self
            .young
            .entry(prefix)
            .or_insert(from_old.unwrap_or_default());
        for (engine, epoch) in locations {
            known.retain(|c| c.engine != engine);
            if known.len() >= MAX_ENGINES {
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
