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
/// of the users' size has some forty under way on a busy day.
const ROOMS: [f64; 5] = [56.0, 40.0, 24.0, 12.0, 4.0];

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Worker {
    /// Failure domain.
    pub(crate) domain: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the time of a step; lower is faster.
    pub(crate) step_factor: f64,
    /// Layers that it holds, or is loading.
    pub(crate) held: Option<Range>,
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
    groups
        .iter()
        .enumerate()
        .flat_map(|(turn, group)| Group::new(model, workers, group, turn).plan())
        .collect()
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
    /// Number of the group. Groups add their second copies at different
    /// layers, so that every layer has about as many copies in all.
    turn: usize,
    /// Requests for which engines keep memory.
    requests: f64,
    /// How many engines hold each layer.
    depth: Vec<u32>,
    moves: Vec<Move>,
}

impl<'a> Group<'a> {
    fn new(model: &'a Model, workers: &'a [Worker], members: &'a [usize], turn: usize) -> Self {
        let enough = |&&r: &&f64| total(model, workers, members, r) >= model.layers;
        let least = ROOMS[ROOMS.len() - 1];
        let requests = ROOMS.iter().find(enough).copied().unwrap_or(least);
        let mut group = Self {
            model,
            workers,
            members,
            turn,
            requests,
            depth: vec![0; model.layers as usize],
            moves: Vec::new(),
        };
        for &i in members {
            if let Some(range) = workers[i].held {
                group.count(range, 1);
            }
        }
        group
    }

    fn plan(mut self) -> Vec<Move> {
        let mut empty: Vec<usize> = self.members.to_vec();
        empty.retain(|&i| self.workers[i].held.is_none() && !self.workers[i].busy);
        // The fastest first: the first copy of each layer should be on the
        // fast engines, and large ranges fit best while all is empty.
        let speed = |i: &usize| self.workers[*i].step_factor;
        empty.sort_by(|a, b| speed(a).total_cmp(&speed(b)));
        for i in empty {
            self.place(i);
        }
        self.mend();
        self.moves
    }

    /// Gives an empty engine the lowest layers that nobody holds, or else a
    /// copy of those with the fewest.
    fn place(&mut self, worker: usize) {
        let most = capacity(self.model, self.workers[worker].size_mb, self.requests);
        if most == 0 {
            return;
        }
        let range = match self.gap() {
            Some(gap) => Range::new(gap.first, gap.end.min(gap.first + most)),
            None => self.thinnest(most),
        };
        self.order(worker, range);
    }

    /// Fills what nobody holds by engines whose layers others hold too.
    fn mend(&mut self) {
        while let Some(gap) = self.gap() {
            let Some(worker) = self.spare(gap) else {
                return;
            };
            let most = capacity(
                self.model,
                self.workers[worker].size_mb,
                ROOMS[ROOMS.len() - 1],
            );
            let range = Range::new(gap.first, gap.end.min(gap.first + most));
            if let Some(held) = self.workers[worker].held {
                self.count(held, -1);
            }
            self.order(worker, range);
        }
    }

    /// The engine that can best be spared for a gap: one that fills it, else
    /// the one with the most room.
    fn spare(&self, gap: Range) -> Option<usize> {
        let redundant = |i: &usize| {
            let worker = &self.workers[*i];
            let moved = self.moves.iter().any(|m| m.worker == *i);
            let copied = |r: Range| self.layers(r).iter().all(|&d| d > 1);
            !worker.busy && !moved && worker.held.is_some_and(copied)
        };
        let fits = |i: &usize| {
            let most = capacity(self.model, self.workers[*i].size_mb, ROOMS[ROOMS.len() - 1]);
            most.min(gap.len())
        };
        let spare = self.members.iter().copied().filter(redundant);
        // Of those that fill it, the smallest loses the least elsewhere.
        spare.max_by_key(|i| (fits(i), std::cmp::Reverse(self.workers[*i].size_mb as u64)))
    }

    fn order(&mut self, worker: usize, range: Range) {
        self.count(range, 1);
        self.moves.push(Move { worker, range });
    }

    fn count(&mut self, range: Range, by: i32) {
        for layer in range.first..range.end.min(self.model.layers) {
            let depth = &mut self.depth[layer as usize];
            *depth = depth.saturating_add_signed(by);
        }
    }

    fn layers(&self, range: Range) -> &[u32] {
        &self.depth[range.first as usize..range.end.min(self.model.layers) as usize]
    }

    /// The lowest run of layers that nobody holds.
    fn gap(&self) -> Option<Range> {
        let first = self.depth.iter().position(|&d| d == 0)?;
        let rest = &self.depth[first..];
        let length = rest.iter().position(|&d| d > 0).unwrap_or(rest.len());
        Some(Range::new(first as u32, (first + length) as u32))
    }

    /// The `length` layers with the fewest copies. The search begins at
    /// another place in each group.
    fn thinnest(&self, length: u32) -> Range {
        let layers = self.model.layers;
        let places = layers - length + 1;
        let start = (self.turn as u32 * layers / 3) % places;
        let copies =
            |first: u32| -> u32 { self.layers(Range::new(first, first + length)).iter().sum() };
        let firsts = (0..places).map(|i| (start + i) % places);
        let first = firsts.min_by_key(|&f| copies(f)).unwrap_or(0);
        Range::new(first, first + length)
    }
}
