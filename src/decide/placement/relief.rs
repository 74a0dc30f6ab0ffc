//! Room for the layers that hold up the whole pipeline.

use super::layout::Group;
use super::{BALANCE_GAIN, BALANCE_STEP, BALANCE_STEPS, LEAST_ROOM, total};
use crate::roster::LayerRange;

impl Group<'_> {
    /// Relieves the tightest engine: it gives up layers for which others have
    /// room, else a spare engine takes some of them first.
    ///
    /// One order a plan: several at once took engines from requests faster than
    /// they gave room (sum of worth over ten days with trouble: 6.48 against
    /// 6.71).
    pub(super) fn relieve(&mut self) {
        let Some((worker, held)) = self.tightest() else {
            return;
        };
        if !self.is_free(worker) {
            return;
        }
        if let Some(range) = self.trimmed(worker, held) {
            return self.order(worker, range);
        }
        let spare = self.members.iter().copied();
        let spare = spare.filter(|&i| i != worker && self.is_roomy_spare(i));
        let helper = spare.max_by_key(|&i| self.most(i, self.requests));
        // Where others hold or load some of them already, the next takes the
        // layers behind.
        let least = self.tokens(LEAST_ROOM);
        let room = |layer: u32| self.rooms().get(layer as usize).copied();
        let first = (held.first..held.end).find(|&l| room(l).is_some_and(|r| r < least));
        let first = first.unwrap_or(held.first);
        let most = helper.map_or(0, |h| self.most(h, self.requests).min(held.end - first));
        match helper {
            Some(helper) if most > 0 => self.order(helper, LayerRange::new(first, first + most)),
            _ => self.balance(),
        }
    }

    /// Moves all engines towards ranges that leave each about the same room.
    ///
    /// After a large engine has left for good, some of the others hold too
    /// much and none can be spared. Each grows towards its place as far as its
    /// memory allows, and gives up what others have loaded; over some orders
    /// the whole domain shifts, and no layer is missing in between.
    fn balance(&mut self) {
        // Orders that are under way may relieve the layers already.
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
                self.order(worker, range);
            }
        }
    }

    /// The ranges of a balanced layout in the present order of the engines, if
    /// it has much more room than the present one.
    fn targets(&self) -> Option<Vec<(usize, LayerRange)>> {
        let present = self.rooms().iter().copied().fold(f64::INFINITY, f64::min);
        let most = |requests| total(self.model, self.workers, self.members, requests);
        let steps = (1..=BALANCE_STEPS)
            .rev()
            .map(|s| f64::from(s) * BALANCE_STEP);
        let requests = steps.into_iter().find(|&r| most(r) >= self.model.layers)?;
        if self.tokens(requests) < BALANCE_GAIN * present {
            return None;
        }
        let mut order: Vec<usize> = self.members.to_vec();
        order.retain(|&i| self.held[i].is_some());
        order.sort_by_key(|&i| self.held[i]);
        let mut at = 0;
        let mut targets = Vec::new();
        for worker in order {
            let end = self.model.layers.min(at + self.most(worker, requests));
            if at < end {
                targets.push((worker, LayerRange::new(at, end)));
            }
            at = end;
        }
        Some(targets)
    }

    /// What an engine holds without the ends beyond its target that others
    /// have loaded.
    fn without_copies(&self, worker: usize, held: LayerRange, target: LayerRange) -> LayerRange {
        let copied = |layer: u32| self.loaded_room_at(layer, worker) > 0.0;
        let outside = |layer: u32| !target.contains(layer) && copied(layer);
        let (low, high) = ends(held, outside);
        if low == held.len() {
            // All of it is held elsewhere, and none of it is wanted here.
            return target;
        }
        LayerRange::new(held.first + low, held.end - high)
    }

    /// A range grown towards its target, as far as the memory allows beside
    /// the running requests.
    fn grown(&self, worker: usize, kept: LayerRange, target: LayerRange) -> LayerRange {
        let mut left = self.fits(worker).saturating_sub(kept.len());
        let low = kept.first.saturating_sub(target.first).min(left);
        left -= low;
        let high = target.end.saturating_sub(kept.end).min(left);
        if kept.end < target.first || target.end < kept.first {
            // Growing reaches it only over layers that it doesn't need.
            return kept;
        }
        LayerRange::new(kept.first - low, kept.end + high)
    }

    /// The engine with the least room among the holders of a layer for which
    /// all together have too little, and what it holds.
    pub(super) fn tightest(&self) -> Option<(usize, LayerRange)> {
        let least = self.tokens(LEAST_ROOM);
        let rooms = (0..self.model.layers).zip(self.rooms().iter().copied());
        let tight = rooms.filter(|&(_, room)| room > 0.0 && room < least);
        let (layer, _) = tight.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let holders = self.holders(layer).filter_map(|i| Some((i, self.held[i]?)));
        holders.min_by(|a, b| self.room(a.0, a.1).total_cmp(&self.room(b.0, b.1)))
    }

    /// What an engine should keep of its layers when others have room for
    /// some at an end.
    fn trimmed(&self, worker: usize, held: LayerRange) -> Option<LayerRange> {
        let least = self.tokens(LEAST_ROOM);
        let others = |layer: u32| self.loaded_room_at(layer, worker) >= least;
        let (low, high) = ends(held, others);
        // It keeps a layer at least, or it would be an empty engine.
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

    /// Whether others hold all that an engine holds, with room enough.
    fn is_roomy_spare(&self, worker: usize) -> bool {
        let least = self.tokens(LEAST_ROOM);
        self.is_free(worker) && self.others_hold(worker, |room| room >= least)
    }

    /// Tokens for which the engines that have loaded a layer and keep it
    /// together have memory, but for one of them. What is still being loaded
    /// doesn't count: given up on its account, the layer would be missing.
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

/// How many layers at the low and at the high end of a range `are` all so.
fn ends(range: LayerRange, are: impl Fn(u32) -> bool) -> (u32, u32) {
    let low = (range.first..range.end).take_while(|&l| are(l)).count();
    let high = (range.first..range.end).rev().take_while(|&l| are(l));
    (low as u32, high.count() as u32)
}
