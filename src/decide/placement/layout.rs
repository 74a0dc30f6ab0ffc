//! Layout of a group of domains that share a pipeline: fills gaps and places copies.

use super::{
    BRIDGE_RESERVED, GROWTH, MAX_ROOM_DEFICIT, MIN_LAYER_ROOM, Move, RESERVED, STRETCH_RESERVED,
    Worker, capacity, total,
};
use crate::configuration::Model;
use crate::roster::LayerRange;

pub(super) struct Group<'a> {
    pub(super) model: &'a Model,
    pub(super) workers: &'a [Worker],
    pub(super) members: &'a [usize],
    /// Number of usual requests for which engines reserve memory.
    pub(super) requests: f64,
    /// Layers of each worker after the moves so far.
    pub(super) held: Vec<Option<LayerRange>>,
    /// Members that hold each layer, sorted by index.
    holders: Vec<Vec<usize>>,
    /// Number of tokens for which the holders of each layer together have memory.
    /// Like `speeds`, it is cached and updated only where an order changes the holders. Recomputing
    /// them for each placed engine took 0.6 s of a core for 2,925 engines; with the cache it takes
    /// 5 ms. The delay made a controller's heartbeats so late that it was deposed before it sent
    /// any order.
    rooms: Vec<f64>,
    /// Total speed of the holders of each layer.
    speeds: Vec<f64>,
    /// Number of layers, including copies, that the members can hold with memory reserved for
    /// `requests`.
    capacity: u32,
    moves: Vec<Move>,
}

impl<'a> Group<'a> {
    pub(super) fn new(model: &'a Model, workers: &'a [Worker], members: &'a [usize]) -> Self {
        let enough = |&&r: &&f64| total(model, workers, members, r) >= model.layers;
        let least = RESERVED[RESERVED.len() - 1];
        let requests = RESERVED.iter().find(enough).copied().unwrap_or(least);
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
            capacity: total(model, workers, members, requests),
            held,
            moves: Vec::new(),
        };
        for &member in members {
            let held = group.held[member];
            held.into_iter().for_each(|h| group.hold(member, h));
        }
        layers.for_each(|layer| group.update_sums(layer));
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

    /// Recomputes the room and speed of a layer.
    fn update_sums(&mut self, layer: u32) {
        let holders = &self.holders[layer as usize];
        let rooms = holders
            .iter()
            .filter_map(|&i| Some(self.room(i, self.held[i]?)));
        let speeds = holders.iter().map(|&i| 1.0 / self.workers[i].step_factor);
        let (room, speed) = (rooms.sum(), speeds.sum());
        self.rooms[layer as usize] = room;
        self.speeds[layer as usize] = speed;
    }

    /// Adds a member that held nothing before to the sums of a layer.
    fn add_to_sums(&mut self, layer: u32, member: usize) {
        let room = self.held[member].map_or(0.0, |held| self.room(member, held));
        self.rooms[layer as usize] += room;
        self.speeds[layer as usize] += 1.0 / self.workers[member].step_factor;
    }

    pub(super) fn plan(mut self) -> Vec<Move> {
        let mut empty: Vec<usize> = self.members.to_vec();
        empty.retain(|&i| self.held[i].is_none() && !self.workers[i].busy);
        // Fastest first: the first copy of each layer should be on a fast engine, and large
        // ranges fit best while no layer is placed.
        let slowness = |i: &usize| self.workers[*i].step_factor * self.workers[*i].read_factor;
        empty.sort_by(|a, b| slowness(a).total_cmp(&slowness(b)));
        for i in empty {
            self.place(i);
        }
        self.fill_gaps();
        if self.gap().is_none() {
            self.relieve();
        }
        self.moves
    }

    /// Gives an empty engine the lowest layers without a holder, or else a copy of the layers with
    /// too little room, or else of the slowest ones.
    ///
    /// Room comes before speed: the fastest engines hold many layers each and so have little room
    /// for requests, but copies chosen by speed alone go to other layers. In a domain of 33
    /// engines, 32 layers had one holder with room for 100 requests while 16 had eight holders, and
    /// a third of the requests of a burst were refused.
    fn place(&mut self, worker: usize) {
        let most = self.max_layers(worker, self.requests);
        if most == 0 {
            return;
        }
        let gap = self.gap();
        let range = gap.map(|g| LayerRange::new(g.first, g.end.min(g.first + most)));
        let range = range.or_else(|| self.scarcest(most));
        let range = range.unwrap_or_else(|| self.slowest(most));
        self.assign(worker, range);
    }

    /// Returns the `length` layers with the least room, if some layer's room is far below an equal
    /// division of the engines' room.
    fn scarcest(&self, length: u32) -> Option<LayerRange> {
        let fair = self.requests * f64::from(self.capacity) / f64::from(self.model.layers);
        let wanted = self.tokens(MIN_LAYER_ROOM.max(fair - MAX_ROOM_DEFICIT));
        let rooms = self.rooms();
        if rooms.iter().all(|&room| room >= wanted) {
            return None;
        }
        let rooms: Vec<f64> = rooms.iter().map(|room| room.min(wanted)).collect();
        Some(lowest_window(&rooms, length))
    }

    /// Fills layers without a holder: by engines adjacent to the gap, which keep their layers and
    /// load a few more, or else by spare engines, whose layers others hold too.
    fn fill_gaps(&mut self) {
        while let Some(gap) = self.gap() {
            if let Some((worker, range)) = self.stretch(gap, &STRETCH_RESERVED) {
                self.assign(worker, range);
                continue;
            }
            // Even one missing layer stops the whole domain, and a spare engine must first finish
            // its running requests, which takes many seconds. Until it has loaded the layers, an
            // adjacent engine bridges the gap at the cost of its room, and gives them up
            // afterwards.
            let bridge = self.stretch(gap, &BRIDGE_RESERVED);
            let spare = self.spare_engine(gap);
            let spare = spare.filter(|(s, _)| bridge.is_none_or(|(b, _)| b != *s));
            for (worker, range) in bridge.into_iter().chain(spare) {
                self.assign(worker, range);
            }
            if bridge.is_none() && spare.is_none() {
                return;
            }
        }
    }

    /// Returns the engine adjacent to a gap that has the most room after it has taken as much of
    /// the gap as it can, and its new range.
    fn stretch(&self, gap: LayerRange, reserved: &[f64]) -> Option<(usize, LayerRange)> {
        // An engine that this plan already stretches may take more.
        let idle = |&i: &usize| !self.workers[i].busy && self.keeps_held(i);
        let free = || self.members.iter().copied().filter(idle);
        let room = |(i, range): &(usize, LayerRange)| self.room(*i, *range);
        reserved.iter().find_map(|&requests| {
            free()
                .filter_map(|i| Some((i, self.stretched(i, gap, requests)?)))
                .max_by(|a, b| room(a).total_cmp(&room(b)))
        })
    }

    /// Returns the range of an engine that takes as much as it can of an adjacent gap and reserves
    /// memory for `requests`.
    fn stretched(&self, worker: usize, gap: LayerRange, requests: f64) -> Option<LayerRange> {
        let held = self.held[worker]?;
        let most = self
            .max_layers(worker, requests)
            .min(self.max_beside_running(worker));
        let more = most.saturating_sub(held.len()).min(gap.len());
        if more == 0 {
            return None;
        }
        if held.end == gap.first {
            return Some(LayerRange::new(held.first, gap.first + more));
        }
        (held.first == gap.end).then(|| LayerRange::new(gap.end - more, held.end))
    }

    /// Maximum number of layers that leave enough memory for the running requests.
    pub(super) fn max_beside_running(&self, worker: usize) -> u32 {
        let worker = &self.workers[worker];
        let free = worker.size_mb - GROWTH * worker.used_mb;
        (free / self.model.layer_mb).max(0.0) as u32
    }

    /// Returns the spare engine that fills a gap, or else the one that fills most of it, and its
    /// new range.
    fn spare_engine(&self, gap: LayerRange) -> Option<(usize, LayerRange)> {
        let least = RESERVED[RESERVED.len() - 1];
        let fits = |i: &usize| self.max_layers(*i, least).min(gap.len());
        let spare = self.members.iter().copied().filter(|&i| self.is_spare(i));
        // Of several that fill it, the one with the least running work is free first.
        let used = |i: &usize| std::cmp::Reverse(self.workers[*i].used_mb as u64);
        let worker = spare.max_by_key(|i| (fits(i), used(i)))?;
        let most = fits(&worker);
        (most > 0).then(|| (worker, LayerRange::new(gap.first, gap.first + most)))
    }

    /// Whether an engine keeps all its layers under the moves so far.
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

    /// Whether an engine is free and others have loaded all its layers.
    fn is_spare(&self, worker: usize) -> bool {
        self.is_free(worker) && self.others_hold(worker, |room| room > 0.0)
    }

    /// Whether others have loaded all layers of an engine, each with `enough` room.
    pub(super) fn others_hold(&self, worker: usize, enough: impl Fn(f64) -> bool) -> bool {
        let Some(held) = self.held[worker] else {
            return false;
        };
        let mut layers = held.first..held.end;
        layers.all(|layer| enough(self.loaded_room_at(layer, worker)))
    }

    pub(super) fn assign(&mut self, worker: usize, range: LayerRange) {
        let before = self.held[worker].replace(range);
        let held = range.first..range.end.min(self.model.layers);
        let Some(before) = before else {
            self.hold(worker, range);
            held.for_each(|layer| self.add_to_sums(layer, worker));
            self.moves.push(Move { worker, range });
            return;
        };
        let given_up = before.first..before.end.min(self.model.layers);
        for layer in given_up.clone() {
            self.holders[layer as usize].retain(|&i| i != worker);
        }
        self.hold(worker, range);
        // An engine's room at each of its layers depends on how many layers it holds.
        for layer in given_up.chain(held) {
            self.update_sums(layer);
        }
        self.moves.retain(|m| m.worker != worker);
        self.moves.push(Move { worker, range });
    }

    /// Maximum number of layers of an engine that reserves memory for `requests`.
    pub(super) fn max_layers(&self, worker: usize, requests: f64) -> u32 {
        capacity(self.model, self.workers[worker].size_mb, requests)
    }

    pub(super) fn holders(&self, layer: u32) -> impl Iterator<Item = usize> + '_ {
        // An engine may report layers beyond those of the current model.
        let holders = self.holders.get(layer as usize);
        holders.into_iter().flatten().copied()
    }

    /// Number of tokens for which the holders of each layer together have memory.
    pub(super) fn rooms(&self) -> &[f64] {
        &self.rooms
    }

    /// Number of tokens for which an engine with `range` has memory.
    pub(super) fn room(&self, worker: usize, range: LayerRange) -> f64 {
        let layers = f64::from(range.len());
        let memory = self.workers[worker].size_mb - layers * self.model.layer_mb;
        memory.max(0.0) / (layers * self.model.token_mb)
    }

    /// Returns the lowest contiguous layers without a holder.
    fn gap(&self) -> Option<LayerRange> {
        let held = |layer: &u32| !self.holders[*layer as usize].is_empty();
        let first = (0..self.model.layers).find(|l| !held(l))?;
        let end = (first..self.model.layers).find(held);
        Some(LayerRange::new(first, end.unwrap_or(self.model.layers)))
    }

    /// Returns the `length` layers with the lowest total speed of their holders.
    fn slowest(&self, length: u32) -> LayerRange {
        lowest_window(&self.speeds, length)
    }
}

/// Returns the first `length` contiguous layers with the least sum of `values`, which has one
/// value per layer.
fn lowest_window(values: &[f64], length: u32) -> LayerRange {
    let sum = |window: &[f64]| window.iter().sum::<f64>();
    let windows = values.windows(length as usize).map(sum).enumerate();
    let first = windows.min_by(|a, b| a.1.total_cmp(&b.1));
    let first = first.map_or(0, |(at, _)| at as u32);
    LayerRange::new(first, first + length)
}
