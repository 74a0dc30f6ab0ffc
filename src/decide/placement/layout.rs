//! One group of domains that share a pipeline: its gaps, and who fills them.

use super::{BRIMFUL, GROWTH, LEAST_ROOM, Move, ROOMS, STRETCHED, UNFAIR, Worker, capacity, total};
use crate::configuration::Model;
use crate::roster::LayerRange;

pub(super) struct Group<'a> {
    pub(super) model: &'a Model,
    pub(super) workers: &'a [Worker],
    pub(super) members: &'a [usize],
    /// Requests for which engines keep memory.
    pub(super) requests: f64,
    /// What each worker holds after the moves so far.
    pub(super) held: Vec<Option<LayerRange>>,
    /// Members that hold each layer, in the order of their indices.
    holders: Vec<Vec<usize>>,
    /// Tokens for which the holders of each layer together have memory.
    rooms: Vec<f64>,
    /// Speed of the holders of each layer together.
    speeds: Vec<f64>,
    /// Layers that the members bear with memory for `requests`, each copy counted.
    borne: u32,
    moves: Vec<Move>,
}

impl<'a> Group<'a> {
    pub(super) fn new(model: &'a Model, workers: &'a [Worker], members: &'a [usize]) -> Self {
        let enough = |&&r: &&f64| total(model, workers, members, r) >= model.layers;
        let least = ROOMS[ROOMS.len() - 1];
        let requests = ROOMS.iter().find(enough).copied().unwrap_or(least);
        let held: Vec<Option<LayerRange>> = workers.iter().map(|w| w.held).collect();
        let layers = 0..model.layers;
        let mut group = Self {
            model,
            workers,
            members,
            requests,
            holders: vec![Vec::new(); layers.len()],
            rooms: vec![0.0; layers.len()],
            speeds: vec![0.0; layers.len()],
            borne: total(model, workers, members, requests),
            held,
            moves: Vec::new(),
        };
        for &member in members {
            let held = group.held[member];
            held.into_iter().for_each(|h| group.hold(member, h));
        }
        layers.for_each(|layer| group.sum_up(layer));
        group
    }

    /// Adds a member to the holders of some layers.
    fn hold(&mut self, member: usize, range: LayerRange) {
        for layer in range.first..range.end.min(self.model.layers) {
            let holders = &mut self.holders[layer as usize];
            if let Err(at) = holders.binary_search(&member) {
                holders.insert(at, member);
            }
        }
    }

    /// Sums up the holders of a layer.
    ///
    /// The sums are kept, and renewed where an order changes the holders. Added up
    /// over all engines for each that is placed, they took 0.6 s of a core for
    /// 2,925 engines; that held up a controller's heartbeats, and it was deposed
    /// before any order had left. With the sums kept it takes 5 ms.
    fn sum_up(&mut self, layer: u32) {
        let holders = &self.holders[layer as usize];
        let rooms = holders
            .iter()
            .filter_map(|&i| Some(self.room(i, self.held[i]?)));
        let speeds = holders.iter().map(|&i| 1.0 / self.workers[i].step_factor);
        let (room, speed) = (rooms.sum(), speeds.sum());
        self.rooms[layer as usize] = room;
        self.speeds[layer as usize] = speed;
    }

    /// Adds what a member brings that held nothing before to the sums of a layer.
    fn add_up(&mut self, layer: u32, member: usize) {
        let room = self.held[member].map_or(0.0, |held| self.room(member, held));
        self.rooms[layer as usize] += room;
        self.speeds[layer as usize] += 1.0 / self.workers[member].step_factor;
    }

    pub(super) fn plan(mut self) -> Vec<Move> {
        let mut empty: Vec<usize> = self.members.to_vec();
        empty.retain(|&i| self.held[i].is_none() && !self.workers[i].busy);
        // The fastest first: the first copy of each layer should be on the
        // fast engines, and large ranges fit best while all is empty.
        let slowness = |i: &usize| self.workers[*i].step_factor * self.workers[*i].read_factor;
        empty.sort_by(|a, b| slowness(a).total_cmp(&slowness(b)));
        for i in empty {
            self.place(i);
        }
        self.mend();
        if self.gap().is_none() {
            self.relieve();
        }
        self.moves
    }

    /// Gives an empty engine the lowest layers that nobody holds, or else a
    /// copy of those with too little room, or of those that are run the
    /// slowest.
    ///
    /// The fastest engines hold many layers each, and no others did: in a
    /// domain of 33 engines 32 layers had one holder with room for 100 requests
    /// and 16 had eight; in a burst a third of the requests were refused.
    fn place(&mut self, worker: usize) {
        let most = self.most(worker, self.requests);
        if most == 0 {
            return;
        }
        let gap = self.gap();
        let range = gap.map(|g| LayerRange::new(g.first, g.end.min(g.first + most)));
        let range = range.or_else(|| self.scarce(most));
        let range = range.unwrap_or_else(|| self.slowest(most));
        self.order(worker, range);
    }

    /// The `length` layers around that with the least room, if that is far below
    /// what the engines together could give each layer.
    fn scarce(&self, length: u32) -> Option<LayerRange> {
        let fair = self.requests * f64::from(self.borne) / f64::from(self.model.layers);
        let wanted = self.tokens(LEAST_ROOM.max(fair - UNFAIR));
        let rooms = self.rooms();
        if rooms.iter().all(|&room| room >= wanted) {
            return None;
        }
        let rooms: Vec<f64> = rooms.iter().map(|room| room.min(wanted)).collect();
        Some(lowest(&rooms, length))
    }

    /// Fills what nobody holds: by engines beside the gap, which keep what
    /// they hold and load a few layers more; else by engines whose layers
    /// others hold too.
    ///
    /// Those must first finish what passes through them, for many seconds, in
    /// which the gap of even one layer stops the whole domain. So a neighbour
    /// bridges it meanwhile at the cost of its room, and gives the layers up
    /// again once the other has loaded them.
    fn mend(&mut self) {
        while let Some(gap) = self.gap() {
            if let Some((worker, range)) = self.stretch(gap, &STRETCHED) {
                self.order(worker, range);
                continue;
            }
            let bridge = self.stretch(gap, &BRIMFUL);
            let spare = self.spare(gap);
            let spare = spare.filter(|(s, _)| bridge.is_none_or(|(b, _)| b != *s));
            for (worker, range) in bridge.into_iter().chain(spare) {
                self.order(worker, range);
            }
            if bridge.is_none() && spare.is_none() {
                return;
            }
        }
    }

    /// The engine beside a gap that has the most room after it took what it
    /// can of the gap, and its new range.
    fn stretch(&self, gap: LayerRange, rungs: &[f64]) -> Option<(usize, LayerRange)> {
        // One that this plan stretches already may take some more.
        let idle = |&i: &usize| !self.workers[i].busy && self.keeps_held(i);
        let free = || self.members.iter().copied().filter(idle);
        let room = |(i, range): &(usize, LayerRange)| self.room(*i, *range);
        rungs.iter().find_map(|&requests| {
            free()
                .filter_map(|i| Some((i, self.stretched(i, gap, requests)?)))
                .max_by(|a, b| room(a).total_cmp(&room(b)))
        })
    }

    /// The range of an engine that takes what it can of the gap beside it and
    /// keeps memory for `requests`.
    fn stretched(&self, worker: usize, gap: LayerRange, requests: f64) -> Option<LayerRange> {
        let held = self.held[worker]?;
        let most = self.most(worker, requests).min(self.fits(worker));
        let more = most.saturating_sub(held.len()).min(gap.len());
        if more == 0 {
            return None;
        }
        if held.end == gap.first {
            return Some(LayerRange::new(held.first, gap.first + more));
        }
        (held.first == gap.end).then(|| LayerRange::new(gap.end - more, held.end))
    }

    /// Most layers that leave the running requests their memory.
    pub(super) fn fits(&self, worker: usize) -> u32 {
        let worker = &self.workers[worker];
        let free = worker.size_mb - GROWTH * worker.used_mb;
        (free / self.model.layer_mb).max(0.0) as u32
    }

    /// The engine that can best be spared for a gap: one that fills it, else
    /// the one that fills most of it.
    fn spare(&self, gap: LayerRange) -> Option<(usize, LayerRange)> {
        let least = ROOMS[ROOMS.len() - 1];
        let fits = |i: &usize| self.most(*i, least).min(gap.len());
        let spare = self.members.iter().copied().filter(|&i| self.is_spare(i));
        // Of those that fill it, the one with the least to finish is free first.
        let used = |i: &usize| std::cmp::Reverse(self.workers[*i].used_mb as u64);
        let worker = spare.max_by_key(|i| (fits(i), used(i)))?;
        let most = fits(&worker);
        (most > 0).then(|| (worker, LayerRange::new(gap.first, gap.first + most)))
    }

    /// Whether an engine keeps all that it holds under the moves so far.
    fn keeps_held(&self, worker: usize) -> bool {
        match (self.workers[worker].held, self.held[worker]) {
            (Some(old), Some(new)) => new.covers(old),
            _ => false,
        }
    }

    /// Whether an engine may be given an order.
    pub(super) fn is_free(&self, worker: usize) -> bool {
        let moved = self.moves.iter().any(|m| m.worker == worker);
        !self.workers[worker].busy && !moved
    }

    /// Whether others hold all that an engine holds.
    fn is_spare(&self, worker: usize) -> bool {
        self.is_free(worker) && self.others_hold(worker, |room| room > 0.0)
    }

    /// Whether others have loaded all that an engine holds, each layer with
    /// `enough` room.
    pub(super) fn others_hold(&self, worker: usize, enough: impl Fn(f64) -> bool) -> bool {
        let Some(held) = self.held[worker] else {
            return false;
        };
        let mut layers = held.first..held.end;
        layers.all(|layer| enough(self.loaded_room_at(layer, worker)))
    }

    pub(super) fn order(&mut self, worker: usize, range: LayerRange) {
        let before = self.held[worker].replace(range);
        let held = range.first..range.end.min(self.model.layers);
        let Some(before) = before else {
            self.hold(worker, range);
            held.for_each(|layer| self.add_up(layer, worker));
            self.moves.push(Move { worker, range });
            return;
        };
        let given_up = before.first..before.end.min(self.model.layers);
        for layer in given_up.clone() {
            self.holders[layer as usize].retain(|&i| i != worker);
        }
        self.hold(worker, range);
        // An engine's room at each of its layers depends on how many it holds.
        for layer in given_up.chain(held) {
            self.sum_up(layer);
        }
        self.moves.retain(|m| m.worker != worker);
        self.moves.push(Move { worker, range });
    }

    /// Most layers of an engine that keeps memory for `requests`.
    pub(super) fn most(&self, worker: usize, requests: f64) -> u32 {
        capacity(self.model, self.workers[worker].size_mb, requests)
    }

    pub(super) fn holders(&self, layer: u32) -> impl Iterator<Item = usize> + '_ {
        // An engine may report layers beyond those of the model in force.
        let holders = self.holders.get(layer as usize);
        holders.into_iter().flatten().copied()
    }

    /// Tokens for which the holders of each layer together have memory.
    pub(super) fn rooms(&self) -> &[f64] {
        &self.rooms
    }

    /// Tokens for which an engine with `range` has memory.
    pub(super) fn room(&self, worker: usize, range: LayerRange) -> f64 {
        let layers = f64::from(range.len());
        let memory = self.workers[worker].size_mb - layers * self.model.layer_mb;
        memory.max(0.0) / (layers * self.model.token_mb)
    }

    /// The lowest run of layers that nobody holds.
    fn gap(&self) -> Option<LayerRange> {
        let held = |layer: &u32| !self.holders[*layer as usize].is_empty();
        let first = (0..self.model.layers).find(|l| !held(l))?;
        let end = (first..self.model.layers).find(held);
        Some(LayerRange::new(first, end.unwrap_or(self.model.layers)))
    }

    /// The `length` layers that their holders together run the slowest.
    fn slowest(&self, length: u32) -> LayerRange {
        lowest(&self.speeds, length)
    }
}

/// The `length` layers with the least sum of `values`, which has one for each
/// layer; where many are alike, the first of them.
fn lowest(values: &[f64], length: u32) -> LayerRange {
    let sum = |window: &[f64]| window.iter().sum::<f64>();
    let windows = values.windows(length as usize).map(sum).enumerate();
    let first = windows.min_by(|a, b| a.1.total_cmp(&b.1));
    let first = first.map_or(0, |(at, _)| at as u32);
    LayerRange::new(first, first + length)
}
