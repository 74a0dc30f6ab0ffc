//! Choice of a path: which engines run which layers of a request.
//!
//! Load pattern: many requests a second over engines that differ twentyfold in
//! speed, where each engine's memory, not its speed, bounds how many requests
//! pass through it at once. The path with the least expected time is taken
//! among those with room. Times grow with the work that is under way, so load
//! spreads; engines in other failure domains cost extra, as all traffic
//! between domains shares one narrow link.

use std::collections::BTreeSet;

use crate::roster::LayerRange;

/// Cost of a millisecond for which a request occupies the link between two
/// domains, in milliseconds. All requests share the link, so each of the some
/// hundred that run waits for it too: at seven tenths of its use every token
/// that crosses waits for about 50 ms, which breaks the allowed pause of all
/// streams that cross. A path that stays in any one domain goes first.
const CROSSING: f64 = 100.0;

/// Delay between two domains, in milliseconds a token.
const FAR_MS: f64 = 0.25;

/// Cost of a first engine outside the caller's domain, in milliseconds a
/// request.
const ENTRY_MS: f64 = 1.0;

/// Cost of each engine in a path, in milliseconds a token: the way there and
/// the wait for a pass that runs.
const HOP_MS: f64 = 0.15;

/// Tokens of a prompt that an engine reads in one pass.
const CHUNK: f64 = 512.0;

/// Share of an engine's room from which its use is discouraged.
const TIGHT: f64 = 0.7;

/// An engine that a path may use.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Layers that it holds.
    pub(crate) range: LayerRange,
    /// Number of its failure domain.
    pub(crate) domain: usize,
    /// Milliseconds of a step for one layer under the present load.
    pub(crate) step_ms: f64,
    /// Milliseconds for one layer to read one prompt token.
    pub(crate) read_ms: f64,
    /// Memory for requests in all, in megabytes.
    pub(crate) memory_mb: f64,
    /// Memory for requests that is left, in megabytes.
    pub(crate) room_mb: f64,
    /// Share of the memory for requests that is in use.
    pub(crate) used: f64,
    /// Whether this instance may add another request for now.
    pub(crate) open: bool,
    /// Whether it takes another request as the first engine.
    pub(crate) enters: bool,
    /// Factor on its cost; above 1 for engines that are avoided.
    pub(crate) penalty: f64,
}

/// What a request asks of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    /// Prompt tokens.
    pub(crate) prompt: f64,
    /// Expected tokens of the answer.
    pub(crate) answer: f64,
    /// Memory that a token takes in one layer, in megabytes.
    pub(crate) token_mb: f64,
    /// Milliseconds for which a token occupies the link between two domains.
    pub(crate) crossing_ms: f64,
    /// Whether its path may pass from one domain into another.
    pub(crate) crosses: bool,
    /// Failure domain of the caller.
    pub(crate) home: usize,
    /// Share of an engine's memory for requests that must be free besides the
    /// request's own; see [`crate::decide::load::spare`]. None for one that has
    /// begun already: its caller has a part of the answer.
    pub(crate) spare: f64,
    /// Whether it leaves the other instances their part of an engine's room; see
    /// [`crate::decide::load::Loads::may_add`].
    pub(crate) turns: bool,
}

impl Work {
    /// Milliseconds for which one crossing occupies the link between domains.
    pub(crate) fn occupies(&self) -> f64 {
        self.tokens() * self.crossing_ms
    }

    /// Cost of passing into another domain, in milliseconds.
    fn crossing(&self) -> f64 {
        FAR_MS * self.answer + CROSSING * self.occupies()
    }

    /// Whether a candidate has room for the request in `layers` layers.
    fn fits(&self, candidate: &Candidate, layers: u32) -> bool {
        let spare = self.spare * candidate.memory_mb;
        (candidate.open || !self.turns) && self.memory(layers) + spare <= candidate.room_mb
    }

    /// Tokens that it takes, with its answer.
    pub(crate) fn tokens(&self) -> f64 {
        self.prompt + self.answer
    }

    /// Memory that the request takes in `layers` layers, in megabytes.
    pub(crate) fn memory(&self, layers: u32) -> f64 {
        self.tokens() * self.token_mb * f64::from(layers)
    }
}

/// One engine's part of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hop {
    /// Index of the candidate.
    pub(crate) engine: usize,
    pub(crate) range: LayerRange,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPath {
    /// No engine holds this layer.
    Missing(u32),
    /// Every engine with some layer is full.
    Full,
}

/// The cheapest way on from one layer boundary.
#[derive(Clone, Copy)]
struct Way {
    cost: f64,
    engine: usize,
    /// Index of the boundary that it leads to.
    to: usize,
}

/// Where a path begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Start {
    /// With layer 0, from the caller.
    Caller,
    /// Behind an engine in `domain` that keeps the layers before `layer`.
    Behind { layer: u32, domain: usize },
}

/// The path with the least expected time from `start` to layer `layers`.
///
/// `noise` gives a factor near 1 for each candidate: instances that see the
/// same report would all pick the same engines without it.
pub(crate) fn choose(
    layers: u32,
    start: Start,
    candidates: &[Candidate],
    work: &Work,
    noise: impl Fn(usize) -> f64,
) -> Result<Vec<Hop>, NoPath> {
    let first = match start {
        Start::Caller => 0,
        Start::Behind { layer, .. } => layer,
    };
    let cuts = boundaries(first, layers, candidates);
    let domains = candidates.iter().map(|c| c.domain + 1).max().unwrap_or(0);
    let domains = match start {
        Start::Behind { domain, .. } => domains.max(domain + 1),
        Start::Caller => domains,
    };
    let last = cuts.len() - 1;
    // Cheapest way on from each boundary, by the domain of the engine before.
    let mut best: Vec<Vec<Option<Way>>> = vec![vec![None; domains]; cuts.len()];
    let mut enter: Option<Way> = None;
    for at in (0..last).rev() {
        let from_caller = at == 0 && start == Start::Caller;
        for (i, candidate) in candidates.iter().enumerate() {
            if !candidate.range.contains(cuts[at]) || (from_caller && !candidate.enters) {
                continue;
            }
            let Some(way) = way_on(i, candidate, at, &cuts, &best, work, noise(i)) else {
                continue;
            };
            if from_caller {
                let near = candidate.domain == work.home;
                let cost = way.cost + if near { 0.0 } else { ENTRY_MS };
                improve(&mut enter, Way { cost, ..way });
                continue;
            }
            for (domain, slot) in best[at].iter_mut().enumerate() {
                let near = domain == candidate.domain;
                if !near && !work.crosses {
                    continue;
                }
                let cost = way.cost + if near { 0.0 } else { work.crossing() };
                improve(slot, Way { cost, ..way });
            }
        }
    }
    if let Start::Behind { domain, .. } = start {
        enter = best[0][domain];
    }
    let Some(way) = enter else {
        return Err(missing(first, layers, candidates));
    };
    Ok(merge(follow(way, candidates, &cuts, &best)))
}

/// How often a path passes from one domain into another.
pub(crate) fn crossings(candidates: &[Candidate], hops: &[Hop]) -> usize {
    let domain = |h: &Hop| candidates[h.engine].domain;
    let pairs = hops.windows(2);
    pairs.filter(|p| domain(&p[0]) != domain(&p[1])).count()
}

fn boundaries(first: u32, layers: u32, candidates: &[Candidate]) -> Vec<u32> {
    let ends = candidates.iter().flat_map(|c| [c.range.first, c.range.end]);
    let inner = ends.filter(|&cut| first < cut && cut < layers);
    let cuts: BTreeSet<u32> = inner.chain([first, layers]).collect();
    cuts.into_iter().collect()
}

/// The cheapest way on from boundary `at` through one engine.
fn way_on(
    engine: usize,
    candidate: &Candidate,
    at: usize,
    cuts: &[u32],
    best: &[Vec<Option<Way>>],
    work: &Work,
    noise: f64,
) -> Option<Way> {
    let last = cuts.len() - 1;
    let crowd = 1.0 + 2.0 * ((candidate.used - TIGHT).max(0.0) / (1.0 - TIGHT));
    let factor = candidate.penalty * crowd * noise;
    let layer = candidate.step_ms * work.answer + candidate.read_ms * work.prompt;
    let hop = HOP_MS * (work.answer + work.prompt / CHUNK);
    let mut found: Option<Way> = None;
    for to in at + 1..=last {
        let passed = cuts[to] - cuts[at];
        if cuts[to] > candidate.range.end || !work.fits(candidate, passed) {
            break;
        }
        let rest = if to == last {
            0.0
        } else {
            match best[to][candidate.domain] {
                Some(way) => way.cost,
                None => continue,
            }
        };
        let cost = (layer * f64::from(passed) + hop) * factor + rest;
        improve(&mut found, Way { cost, engine, to });
    }
    found
}

fn improve(slot: &mut Option<Way>, way: Way) {
    if slot.is_none_or(|s| way.cost < s.cost) {
        *slot = Some(way);
    }
}

fn follow(
    first: Way,
    candidates: &[Candidate],
    cuts: &[u32],
    best: &[Vec<Option<Way>>],
) -> Vec<Hop> {
    let mut hops = Vec::new();
    let mut at = 0;
    let mut next = Some(first);
    while let Some(way) = next {
        let range = LayerRange::new(cuts[at], cuts[way.to]);
        hops.push(Hop {
            engine: way.engine,
            range,
        });
        at = way.to;
        next = best[at]
            .get(candidates[way.engine].domain)
            .copied()
            .flatten();
    }
    hops
}

/// Joins the parts of an engine that comes twice. It holds all layers between
/// them, and a path may name an engine only once.
fn merge(hops: Vec<Hop>) -> Vec<Hop> {
    let mut merged: Vec<Hop> = Vec::with_capacity(hops.len());
    for hop in hops {
        match merged.iter().position(|h| h.engine == hop.engine) {
            Some(at) => {
                merged.truncate(at + 1);
                merged[at].range.end = hop.range.end;
            }
            None => merged.push(hop),
        }
    }
    merged
}

fn missing(first: u32, layers: u32, candidates: &[Candidate]) -> NoPath {
    let held = |layer| candidates.iter().any(|c| c.range.contains(layer));
    match (first..layers).find(|&l| !held(l)) {
        Some(layer) => NoPath::Missing(layer),
        None => NoPath::Full,
    }
}

/// Whether the hops cover every layer from `first` on once and in order, each
/// on an engine of its own that holds it.
pub(crate) fn is_whole(first: u32, layers: u32, candidates: &[Candidate], hops: &[Hop]) -> bool {
    let sound = |(i, hop): (usize, &Hop)| {
        let inside = candidates[hop.engine].range.covers(hop.range);
        inside && hops[..i].iter().all(|h| h.engine != hop.engine)
    };
    hops.iter().enumerate().all(sound) && is_gapless(first, layers, hops.iter().map(|h| h.range))
}

/// Whether `parts` cover every layer from `first` on once and in order.
pub(crate) fn is_gapless(first: u32, layers: u32, parts: impl Iterator<Item = LayerRange>) -> bool {
    let mut at = Some(first);
    for part in parts {
        at = at.filter(|&a| a == part.first).map(|_| part.end);
    }
    at == Some(layers)
}
