//! Sums of the loads in reports, with a log of their changes.

use crate::collections::HashMap;
use crate::roster::Changes;
use crate::sync::Load;

/// Sums of loads by engine.
#[derive(Default)]
pub(super) struct LoadSums {
    /// Engines without requests aren't listed.
    sums: HashMap<u64, Load>,
    /// Engines of which a summand changed, even if the sum is the same.
    changes: Changes<u64>,
}

impl LoadSums {
    /// Number of engines with requests.
    pub(super) fn len(&self) -> usize {
        self.sums.len()
    }

    /// Returns the number of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.changes.revision()
    }

    /// Returns the sum of an engine, without requests if none is known.
    pub(super) fn get(&self, engine: u64) -> Load {
        let empty = Load {
            engine,
            ..Load::default()
        };
        self.sums.get(&engine).copied().unwrap_or(empty)
    }

    /// Returns the sums, in no particular order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Load> {
        self.sums.values()
    }

    /// Replaces a summand of an engine.
    pub(super) fn replace(&mut self, engine: u64, before: Option<&Load>, after: Option<&Load>) {
        if before == after {
            return;
        }
        let mut sum = self.get(engine);
        if let Some(after) = after {
            sum = sum.plus(after);
        }
        if let Some(before) = before {
            sum = sum.minus(before);
        }
        if sum.requests > 0 {
            self.sums.insert(engine, sum);
            self.changes.note_change(&engine);
        } else {
            self.sums.remove(&engine);
            self.changes.note_removal(&engine);
        }
    }

    /// Returns the sums that changed after revision `known`, and the revision to which they apply: 0
    /// if they are all, since changes after `known` are no longer listed.
    pub(super) fn changed_since(&self, known: u64) -> (u64, Vec<Load>) {
        let page = self.changes.page(known, usize::MAX);
        let loads = page.ids.iter().map(|engine| self.get(**engine));
        (page.since, loads.collect())
    }
}
