//! Which layers each engine holds.
//!
//! Load pattern: tens of engines of a few kinds in several failure domains,
//! none of which holds a whole model. A token that crosses into another domain
//! uses a link that all share and that carries less than one crossing of the
//! load, so every domain that can gets a whole pipeline of its own. An engine
//! filled with layers to the brim has no memory for requests, so each holds
//! only as many as leave room; what remains goes into a second copy of layers,
//! which takes over when an engine is lost.

use crate::configuration::Model;
use crate::roster::Range;

/// Requests for which each engine keeps memory, tried in this order. A domain
/// of the users' size has some fifty under way on a busy day, and takes the
/// load of another one when that has lost an engine.
const ROOMS: [f64; 7] = [100.0, 80.0, 60.0, 40.0, 24.0, 12.0, 4.0];

/// Requests for which the holders of a layer together should have memory. With
/// less the whole pipeline is held up by that layer.
const LEAST_ROOM: f64 = 60.0;

/// Memory that an engine keeps besides what its running requests take now, as
/// a share of it: their answers still grow. An engine whose memory runs out
/// interrupts the newest of them.
const GROWTH: f64 = 1.3;

/// Requests for which an engine keeps memory when it takes layers of a lost
/// neighbour, tried in this order.
/// The last is what the smallest engines of the users keep when they are full
/// to the brim: little room, but a gap of one layer stops the whole pipeline.
const STRETCHED: [f64; 4] = [60.0, 24.0, 12.0, 6.0];

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Worker {
    /// Failure domain.
    pub(crate) domain: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the time of a step; lower is faster.
    pub(crate) step_factor: f64,
    /// Factor on the time of reading; lower is faster.
    pub(crate) read_factor: f64,
    /// Memory that running requests take, in megabytes.
    pub(crate) used_mb: f64,
    /// Layers that it holds, or is loading.
    pub(crate) held: Option<Range>,
    /// Those of them that it has loaded.
    pub(crate) loaded: Option<Range>,
    /// Whether an order for it is under way: it isn't given another.
    pub(crate) busy: bool,
}

/// An engine, by index, that should hold other layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) worker: usize,
    pub(crate) range: Range,
}

/// The orders that bring the engines nearer to a whole pipeline in each group
/// of domains. Nothing to order means that all is well.
pub(crate) fn plan(model: &Model, workers: &[Worker]) -> Vec<Move> {
    let groups = group(model, workers);
    let plans = groups.iter().map(|g| Group::new(model, workers, g).plan());
    plans.flatten().collect()
}

/// Most layers of an engine that keeps memory for `requests`.
fn capacity(model: &Model, size_mb: f64, requests: f64) -> u32 {
    let tokens = requests * (model.usual_prompt + model.usual_answer);
    let layer = model.layer_mb + tokens * model.token_mb;
    ((size_mb / layer).floor() as u32).min(model.layers)
}

fn total(model: &Model, workers: &[Worker], members: &[usize], requests: f64) -> u32 {
    let sizes = members.iter().map(|&i| workers[i].size_mb);
    sizes.map(|s| capacity(model, s, requests)).sum()
}

/// Engines by group: each domain that can hold a whole pipeline is a group;
/// the others together are one, or join the largest if they still can't.
fn group(model: &Model, workers: &[Worker]) -> Vec<Vec<usize>> {
    let mut domains: Vec<&str> = workers.iter().map(|w| w.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let least = ROOMS[ROOMS.len() - 1];
    let is_whole = |m: &[usize]| total(model, workers, m, least) >= model.layers;
    let members = |d: &str| -> Vec<usize> {
        (0..workers.len())
            .filter(|&i| workers[i].domain == d)
            .collect()
    };
    let (mut whole, partial): (Vec<_>, Vec<_>) =
        domains.into_iter().map(members).partition(|m| is_whole(m));
    let rest: Vec<usize> = partial.concat();
    if rest.is_empty() {
        return whole;
    }
    match whole.iter_mut().max_by_key(|m| m.len()) {
        Some(largest) if !is_whole(&rest) => largest.extend(rest),
        _ => whole.push(rest),
    }
    whole
}

struct Group<'a> {
    model: &'a Model,
    workers: &'a [Worker],
    members: &'a [usize],
    /// Requests for which engines keep memory.
    requests: f64,
    /// What each worker holds after the moves so far.
    held: Vec<Option<Range>>,
    moves: Vec<Move>,
}

impl<'a> Group<'a> {
    fn new(model: &'a Model, workers: &'a [Worker], members: &'a [usize]) -> Self {
        let enough = |&&r: &&f64| total(model, workers, members, r) >= model.layers;
        let least = ROOMS[ROOMS.len() - 1];
        Self {
            model,
            workers,
            members,
            requests: ROOMS.iter().find(enough).copied().unwrap_or(least),
            held: workers.iter().map(|w| w.held).collect(),
            moves: Vec::new(),
        }
    }

    fn plan(mut self) -> Vec<Move> {
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
    fn place(&mut self, worker: usize) {
        let most = self.most(worker, self.requests);
        if most == 0 {
            return;
        }
        let begin = |r: Range| Range::new(r.first, r.end.min(r.first + most));
        let tight = || self.tightest().map(|(_, held)| held);
        let range = self.gap().or_else(tight).map(begin);
        let range = range.unwrap_or_else(|| self.slowest(most));
        self.order(worker, range);
    }

    /// Fills what nobody holds: by engines beside the gap, which keep what
    /// they hold and load a few layers more, else by engines whose layers
    /// others hold too, which must first finish what passes through them.
    fn mend(&mut self) {
        while let Some(gap) = self.gap() {
            let found = self.stretch(gap).or_else(|| self.spare(gap));
            let Some((worker, range)) = found else {
                return;
            };
            self.order(worker, range);
        }
    }

    /// The engine beside a gap that has the most room after it took what it
    /// can of the gap, and its new range.
    fn stretch(&self, gap: Range) -> Option<(usize, Range)> {
        // One that this plan stretches already may take some more.
        let idle = |&i: &usize| !self.workers[i].busy && self.keeps_held(i);
        let free = || self.members.iter().copied().filter(idle);
        let room = |(i, range): &(usize, Range)| self.room(*i, *range);
        STRETCHED.iter().find_map(|&requests| {
            free()
                .filter_map(|i| Some((i, self.stretched(i, gap, requests)?)))
                .max_by(|a, b| room(a).total_cmp(&room(b)))
        })
    }

    /// The range of an engine that takes what it can of the gap beside it and
    /// keeps memory for `requests`.
    fn stretched(&self, worker: usize, gap: Range, requests: f64) -> Option<Range> {
        let held = self.held[worker]?;
        let most = self.most(worker, requests).min(self.fits(worker));
        let more = most.saturating_sub(held.len()).min(gap.len());
        if more == 0 {
            return None;
        }
        if held.end == gap.first {
            return Some(Range::new(held.first, gap.first + more));
        }
        (held.first == gap.end).then(|| Range::new(gap.end - more, held.end))
    }

    /// Most layers that leave the running requests their memory.
    fn fits(&self, worker: usize) -> u32 {
        let worker = &self.workers[worker];
        let free = worker.size_mb - GROWTH * worker.used_mb;
        (free / self.model.layer_mb).max(0.0) as u32
    }

    /// Gives room to the layers with the least: an engine that holds too many
    /// gives up those for which others have room, else a spare engine takes
    /// some of them first.
    fn relieve(&mut self) {
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
        let Some(helper) = spare.max_by_key(|&i| self.most(i, self.requests)) else {
            return;
        };
        let most = self.most(helper, self.requests).min(held.len());
        if most > 0 {
            self.order(helper, Range::new(held.first, held.first + most));
        }
    }

    /// The engine with the least room among the holders of a layer for which
    /// all together have too little, and what it holds.
    fn tightest(&self) -> Option<(usize, Range)> {
        let least = self.tokens(LEAST_ROOM);
        let rooms = (0..self.model.layers).map(|layer| (layer, self.room_at(layer)));
        let tight = rooms.filter(|&(_, room)| room > 0.0 && room < least);
        let (layer, _) = tight.min_by(|a, b| a.1.total_cmp(&b.1))?;
        let holders = self.holders(layer).filter_map(|i| Some((i, self.held[i]?)));
        holders.min_by(|a, b| self.room(a.0, a.1).total_cmp(&self.room(b.0, b.1)))
    }

    /// What an engine should keep of its layers when others have room for
    /// some at an end.
    fn trimmed(&self, worker: usize, held: Range) -> Option<Range> {
        let least = self.tokens(LEAST_ROOM);
        let others = |layer: u32| self.loaded_room_at(layer, worker) >= least;
        let low = (held.first..held.end).take_while(|&l| others(l)).count() as u32;
        let high = (held.first..held.end)
            .rev()
            .take_while(|&l| others(l))
            .count() as u32;
        // It keeps a layer at least, or it would be an empty engine.
        let most = held.len() - 1;
        if low.max(high).min(most) == 0 {
            return None;
        }
        Some(if low >= high {
            Range::new(held.first + low.min(most), held.end)
        } else {
            Range::new(held.first, held.end - high.min(most))
        })
    }

    /// Whether others hold all that an engine holds, with room enough.
    fn is_roomy_spare(&self, worker: usize) -> bool {
        let Some(held) = self.held[worker] else {
            return false;
        };
        let least = self.tokens(LEAST_ROOM);
        let roomy = |layer| self.loaded_room_at(layer, worker) >= least;
        self.is_free(worker) && (held.first..held.end).all(roomy)
    }

    /// Tokens for which the holders of a layer together have memory.
    fn room_at(&self, layer: u32) -> f64 {
        let rooms = self.holders(layer);
        let rooms = rooms.filter_map(|i| Some(self.room(i, self.held[i]?)));
        rooms.sum()
    }

    /// Tokens for which the engines that have loaded a layer and keep it
    /// together have memory, but for one of them. What is still being loaded
    /// doesn't count: given up on its account, the layer would be missing.
    fn loaded_room_at(&self, layer: u32, without: usize) -> f64 {
        let loaded = |i: usize| self.workers[i].loaded.is_some_and(|l| l.holds(layer));
        let others = self.holders(layer).filter(|&i| i != without && loaded(i));
        let rooms = others.filter_map(|i| Some(self.room(i, self.held[i]?)));
        rooms.sum()
    }

    fn tokens(&self, requests: f64) -> f64 {
        requests * (self.model.usual_prompt + self.model.usual_answer)
    }

    /// The engine that can best be spared for a gap: one that fills it, else
    /// the one that fills most of it.
    fn spare(&self, gap: Range) -> Option<(usize, Range)> {
        let least = ROOMS[ROOMS.len() - 1];
        let fits = |i: &usize| self.most(*i, least).min(gap.len());
        let spare = self.members.iter().copied().filter(|&i| self.is_spare(i));
        // Of those that fill it, the smallest loses the least elsewhere.
        let size = |i: &usize| std::cmp::Reverse(self.workers[*i].size_mb as u64);
        let worker = spare.max_by_key(|i| (fits(i), size(i)))?;
        let most = fits(&worker);
        (most > 0).then(|| (worker, Range::new(gap.first, gap.first + most)))
    }

    /// Whether an engine keeps all that it holds under the moves so far.
    fn keeps_held(&self, worker: usize) -> bool {
        let kept = |old: Range, new: Range| new.first <= old.first && old.end <= new.end;
        match (self.workers[worker].held, self.held[worker]) {
            (Some(old), Some(new)) => kept(old, new),
            _ => false,
        }
    }

    /// Whether an engine may be given an order.
    fn is_free(&self, worker: usize) -> bool {
        let moved = self.moves.iter().any(|m| m.worker == worker);
        !self.workers[worker].busy && !moved
    }

    /// Whether others hold all that an engine holds.
    fn is_spare(&self, worker: usize) -> bool {
        let Some(held) = self.held[worker] else {
            return false;
        };
        let copied = |layer| self.loaded_room_at(layer, worker) > 0.0;
        self.is_free(worker) && (held.first..held.end).all(copied)
    }

    fn order(&mut self, worker: usize, range: Range) {
        self.held[worker] = Some(range);
        self.moves.retain(|m| m.worker != worker);
        self.moves.push(Move { worker, range });
    }

    /// Most layers of an engine that keeps memory for `requests`.
    fn most(&self, worker: usize, requests: f64) -> u32 {
        capacity(self.model, self.workers[worker].size_mb, requests)
    }

    fn holders(&self, layer: u32) -> impl Iterator<Item = usize> + '_ {
        let holds = move |&&i: &&usize| self.held[i].is_some_and(|h| h.holds(layer));
        self.members.iter().filter(holds).copied()
    }

    /// Tokens for which an engine with `range` has memory.
    fn room(&self, worker: usize, range: Range) -> f64 {
        let layers = f64::from(range.len());
        let memory = self.workers[worker].size_mb - layers * self.model.layer_mb;
        memory.max(0.0) / (layers * self.model.token_mb)
    }

    /// The lowest run of layers that nobody holds.
    fn gap(&self) -> Option<Range> {
        let held = |layer: &u32| self.holders(*layer).next().is_some();
        let first = (0..self.model.layers).find(|l| !held(l))?;
        let end = (first..self.model.layers).find(held);
        Some(Range::new(first, end.unwrap_or(self.model.layers)))
    }

    /// The `length` layers that their holders together run the slowest.
    fn slowest(&self, length: u32) -> Range {
        let speed = |i: usize| 1.0 / self.workers[i].step_factor;
        let speeds: Vec<f64> = (0..self.model.layers)
            .map(|layer| self.holders(layer).map(speed).sum())
            .collect();
        let sum = |first: u32| -> f64 {
            let range = first as usize..(first + length) as usize;
            speeds[range].iter().sum()
        };
        let firsts = 0..=self.model.layers - length;
        let first = firsts.min_by(|&a, &b| sum(a).total_cmp(&sum(b)));
        let first = first.unwrap_or(0);
        Range::new(first, first + length)
    }
}
