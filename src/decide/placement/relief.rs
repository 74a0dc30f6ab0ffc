//! Relieves layers whose lack of room limits the whole pipeline.

use super::layout::Group;
use super::{BALANCE_GAIN, BALANCE_STEP, BALANCE_STEPS, MIN_LAYER_ROOM, total};
use crate::roster::LayerRange;

impl Group<'_> {
    /// Relieves the engine that limits the pipeline: it gives up layers for which others have room, or else a
    /// spare engine takes some of them first.
    ///
    /// Each plan contains one such order, since several at once would take engines away from
    /// requests faster than they add room.
    pub(super) fn relieve(&mut self) {
        let Some((worker, held)) = self.most_constrained() else {
            return;
        };
        if !self.is_free(worker) {
            return;
        }
        if let Some(range) = self.trimmed(worker, held) {
            return self.assign(worker, range);
        }
        let spare = self.members.iter().copied();
        let spare = spare.filter(|&i| i != worker && self.is_spare_with_room(i));
        let helper = spare.max_by_key(|&i| self.max_layers(i, self.requests));
        // Skips layers that others already hold or load with enough room.
        let least = self.tokens(MIN_LAYER_ROOM);
        let room = |layer: u32| self.rooms().get(layer as usize).copied();
        let first = (held.first..held.end).find(|&l| room(l).is_some_and(|r| r < least));
        let first = first.unwrap_or(held.first);
        let most = helper.map_or(0, |h| {
            self.max_layers(h, self.requests).min(held.end - first)
        });
        match helper {
            Some(helper) if most > 0 => self.assign(helper, LayerRange::new(first, first + most)),
            _ => self.balance(),
        }
    }

    /// Moves all engines towards ranges that leave each of them about the same room.
    ///
    /// This is needed after a large engine is lost for good, when some of the others hold too many
    /// layers and none is spare. Each engine grows towards its target range as far as its memory
    /// allows, and gives up only layers that others have loaded. The whole domain thus shifts over
    /// several orders, and no layer is missing in between.
    fn balance(&mut self) {
        // Pending orders may already relieve the layers.
        if self.members.iter().any(|&i| self.workers[i].busy) {
            return;
        }
        let Some(targets) = self.targets() else {
            return;
        };
        for (worker, target) in targets {
            let Some(held) = self.held[worker].filter(|_| self.is_free(worker)) else {
                continue;
            };
            let kept = self.without_copies(worker, held, target);
            let range = self.grown(worker, kept, target);
            if range != held {
                self.assign(worker, range);
            }
        }
    }

    /// Returns the ranges of a balanced layout that keeps the order of the engines, if it has much
    /// more room than the current one.
    fn targets(&self) -> Option<Vec<(usize, LayerRange)>> {
        let current = self.rooms().iter().copied().fold(f64::INFINITY, f64::min);
        let capacity = |requests| total(self.model, self.workers, self.members, requests);
        let steps = (1..=BALANCE_STEPS)
            .rev()
            .map(|s| f64::from(s) * BALANCE_STEP);
        let requests = steps
            .into_iter()
            .find(|&r| capacity(r) >= self.model.layers)?;
        if self.tokens(requests) < BALANCE_GAIN * current {
            return None;
        }
        let mut order: Vec<usize> = self.members.to_vec();
        order.retain(|&i| self.held[i].is_some());
        order.sort_by_key(|&i| self.held[i]);
        let mut at = 0;
        let mut targets = Vec::new();
        for worker in order {
            let end = self
                .model
                .layers
                .min(at + self.max_layers(worker, requests));
            if at < end {
                targets.push((worker, LayerRange::new(at, end)));
            }
            at = end;
        }
        Some(targets)
    }

    /// Returns an engine's range without the ends outside its target that others have loaded.
    fn without_copies(&self, worker: usize, held: LayerRange, target: LayerRange) -> LayerRange {
        let copied = |layer: u32| self.loaded_room_at(layer, worker) > 0.0;
        let outside = |layer: u32| !target.contains(layer) && copied(layer);
        let (low, high) = ends(held, outside);
        if low == held.len() {
            // All its layers are held elsewhere, and none belongs to the target.
            return target;
        }
        LayerRange::new(held.first + low, held.end - high)
    }

    /// Returns a range that is extended towards its target as far as the memory allows besides the
    /// running requests.
    fn grown(&self, worker: usize, kept: LayerRange, target: LayerRange) -> LayerRange {
        let mut left = self.max_beside_running(worker).saturating_sub(kept.len());
        let low = kept.first.saturating_sub(target.first).min(left);
        left -= low;
        let high = target.end.saturating_sub(kept.end).min(left);
        if kept.end < target.first || target.end < kept.first {
            // Reaching the target would require layers that don't belong to it.
            return kept;
        }
        LayerRange::new(kept.first - low, kept.end + high)
    }

    /// Returns the engine with the least room among the holders of the layer with the least room,
    /// and its range, if that layer has too little room.
    pub(super) fn most_constrained(&self) -> Option<(usize, LayerRange)> {
        let least = self.tokens(MIN_LAYER_ROOM);
        let rooms = (0..self.model.layers).zip(self.rooms().iter().copied());
        let constrained = rooms.filter(|&(_, room)| room > 0.0 && room < least);
        let (layer, _) = constrained.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let holders = self.holders(layer).filter_map(|i| Some((i, self.held[i]?)));
        holders.min_by(|a, b| self.room(a.0, a.1).total_cmp(&self.room(b.0, b.1)))
    }

    /// Returns the layers that an engine keeps if others have enough room for some at one of its
    /// ends.
    fn trimmed(&self, worker: usize, held: LayerRange) -> Option<LayerRange> {
        let least = self.tokens(MIN_LAYER_ROOM);
        let others = |layer: u32| self.loaded_room_at(layer, worker) >= least;
        let (low, high) = ends(held, others);
        // It keeps at least one layer, since otherwise it would be an empty engine.
        let most = held.len() - 1;
        if low.max(high).min(most) == 0 {
            return None;
        }
        Some(if low >= high {
            LayerRange::new(held.first + low.min(most), held.end)
        } else {
            LayerRange::new(held.first, held.end - high.min(most))
        })
    }

    /// Whether an engine is free and others have loaded all its layers with enough room.
    fn is_spare_with_room(&self, worker: usize) -> bool {
        let least = self.tokens(MIN_LAYER_ROOM);
        self.is_free(worker) && self.others_hold(worker, |room| room >= least)
    }

    /// Number of tokens for which the engines that have loaded a layer and keep it together have
    /// memory, except for one of them. Engines that are still loading it don't count: if another
    /// gave up the layer because of them, it would be missing until they have loaded it.
    pub(super) fn loaded_room_at(&self, layer: u32, without: usize) -> f64 {
        let loaded = |i: usize| self.workers[i].loaded.is_some_and(|l| l.contains(layer));
        let others = self.holders(layer).filter(|&i| i != without && loaded(i));
        let rooms = others.filter_map(|i| Some(self.room(i, self.held[i]?)));
        rooms.sum()
    }

    pub(super) fn tokens(&self, requests: f64) -> f64 {
        requests * self.model.usual_tokens()
    }
}

/// Number of layers at the low and at the high end of a range that satisfy `predicate`.
fn ends(range: LayerRange, predicate: impl Fn(u32) -> bool) -> (u32, u32) {
    let low = (range.first..range.end)
        .take_while(|&l| predicate(l))
        .count();
    let high = (range.first..range.end).rev().take_while(|&l| predicate(l));
    (low as u32, high.count() as u32)
}
