//! Chooses a path: which engines run which layers of a request.
//!
//! Load pattern: many requests a second over engines that differ twentyfold in speed, where the
//! memory of an engine, not its speed, limits how many requests pass through it at once. The
//! path with the least expected time is chosen among those with room. Times grow with the load,
//! so load spreads over the engines. Crossing into another failure domain costs extra, since all
//! traffic between domains shares one narrow link.

use std::collections::BTreeSet;

use crate::roster::LayerRange;

/// Cost of each millisecond for which a request occupies the link between two domains, in
/// milliseconds.
///
/// It is high, so that a path within one domain is preferred: about a hundred running requests
/// share the link, and an occupied millisecond delays each of them. At a utilisation of 0.7, every
/// token that crosses waits for about 50 ms, so that all streams that cross exceed their allowed
/// pause.
const LINK_COST: f64 = 100.0;

/// Latency between two domains, in milliseconds per token.
const CROSSING_MS: f64 = 0.25;

/// Cost of a first engine outside the caller's domain, in milliseconds per request.
const REMOTE_ENTRY_MS: f64 = 1.0;

/// Cost of each engine in a path, in milliseconds per token: the transfer, and the wait for the
/// pass that is running.
const HOP_MS: f64 = 0.15;

/// Number of prompt tokens that an engine reads in one pass.
const CHUNK_TOKENS: f64 = 512.0;

/// Utilisation of an engine's memory from which its cost increases.
const CONGESTED: f64 = 0.7;

/// An engine that a path may use.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Layers that it holds.
    pub(crate) range: LayerRange,
    /// Index of its failure domain.
    pub(crate) domain: usize,
    /// Duration of a step for one layer under the current load, in milliseconds.
    pub(crate) step_ms: f64,
    /// Time in which one layer reads one prompt token, in milliseconds.
    pub(crate) read_ms: f64,
    /// Total memory for requests, in megabytes.
    pub(crate) memory_mb: f64,
    /// Free memory for requests, in megabytes.
    pub(crate) room_mb: f64,
    /// Fraction of the memory for requests that is in use.
    pub(crate) utilisation: f64,
    /// Whether this instance's quota allows another request.
    pub(crate) has_quota: bool,
    /// Whether it accepts another request as its first engine.
    pub(crate) may_enter: bool,
    /// Factor on its cost; above 1 for engines to be avoided.
    pub(crate) cost_factor: f64,
}

/// Requirements of a request on its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Work {
    /// Number of prompt tokens.
    pub(crate) prompt: f64,
    /// Expected number of tokens of the response.
    pub(crate) answer: f64,
    /// Memory that a token uses in one layer, in megabytes.
    pub(crate) token_mb: f64,
    /// Time for which a token occupies the link between two domains, in milliseconds.
    pub(crate) crossing_ms: f64,
    /// Whether its path may cross between domains.
    pub(crate) may_cross: bool,
    /// Index of the caller's failure domain.
    pub(crate) caller_domain: usize,
    /// Fraction of an engine's memory for requests that must be free in addition to what the
    /// request uses; see [`crate::decide::load::headroom`]. Zero for a request of which an attempt
    /// may have run, since its caller may have a part of the response.
    pub(crate) headroom: f64,
    /// Whether it must stay within its instance's quota of an engine's room; see
    /// [`crate::decide::load::Loads::may_add`].
    pub(crate) obeys_quota: bool,
}

impl Work {
    /// Time for which one crossing occupies the link between domains, in milliseconds.
    pub(crate) fn link_ms(&self) -> f64 {
        self.tokens() * self.crossing_ms
    }

    /// Cost of crossing into another domain, in milliseconds.
    fn crossing_cost(&self) -> f64 {
        CROSSING_MS * self.answer + LINK_COST * self.link_ms()
    }

    /// Whether a candidate has room for the request in `layers` layers.
    fn fits(&self, candidate: &Candidate, layers: u32) -> bool {
        let headroom = self.headroom * candidate.memory_mb;
        (candidate.has_quota || !self.obeys_quota)
            && self.memory(layers) + headroom <= candidate.room_mb
    }

    /// Number of tokens of the prompt and the expected response.
    pub(crate) fn tokens(&self) -> f64 {
        self.prompt + self.answer
    }

    /// Memory that the request uses in `layers` layers, in megabytes.
    pub(crate) fn memory(&self, layers: u32) -> f64 {
        self.tokens() * self.token_mb * f64::from(layers)
    }
}

/// The part of a path at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hop {
    /// Index of the candidate.
    pub(crate) engine: usize,
    pub(crate) range: LayerRange,
}

/// Reason why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPath {
    /// No engine holds this layer.
    MissingLayer(u32),
    /// All holders of some layer are full.
    Full,
}

/// First step of the cheapest path from a layer boundary to the last one.
#[derive(Clone, Copy)]
struct Segment {
    /// Cost of the whole rest of the path.
    cost: f64,
    engine: usize,
    /// Index of the boundary at which the engine's part ends.
    to: usize,
}

/// Where a path begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Start {
    /// At layer 0, from the caller.
    Caller,
    /// At `layer`, after an engine in `domain` that keeps the layers before it.
    After { layer: u32, domain: usize },
}

/// Returns the path with the least expected time from `start` to layer `layers`.
///
/// `noise` returns a factor near 1 for each candidate, without which all instances that see the
/// same report would choose the same engines.
pub(crate) fn choose(
    layers: u32,
    start: Start,
    candidates: &[Candidate],
    work: &Work,
    noise: impl Fn(usize) -> f64,
) -> Result<Vec<Hop>, NoPath> {
    let first = match start {
        Start::Caller => 0,
        Start::After { layer, .. } => layer,
    };
    let cuts = boundaries(first, layers, candidates);
    let domains = candidates.iter().map(|c| c.domain + 1).max().unwrap_or(0);
    let domains = match start {
        Start::After { domain, .. } => domains.max(domain + 1),
        Start::Caller => domains,
    };
    let last = cuts.len() - 1;
    // Cheapest continuation from each boundary, by the domain of the previous engine.
    let mut best: Vec<Vec<Option<Segment>>> = vec![vec![None; domains]; cuts.len()];
    let mut entry: Option<Segment> = None;
    for at in (0..last).rev() {
        let from_caller = at == 0 && start == Start::Caller;
        for (i, candidate) in candidates.iter().enumerate() {
            if !candidate.range.contains(cuts[at]) || (from_caller && !candidate.may_enter) {
                continue;
            }
            let Some(segment) = cheapest_segment(i, candidate, at, &cuts, &best, work, noise(i))
            else {
                continue;
            };
            if from_caller {
                let same_domain = candidate.domain == work.caller_domain;
                let cost = segment.cost + if same_domain { 0.0 } else { REMOTE_ENTRY_MS };
                improve(&mut entry, Segment { cost, ..segment });
                continue;
            }
            for (domain, slot) in best[at].iter_mut().enumerate() {
                let same_domain = domain == candidate.domain;
                if !same_domain && !work.may_cross {
                    continue;
                }
                let cost = segment.cost
                    + if same_domain {
                        0.0
                    } else {
                        work.crossing_cost()
                    };
                improve(slot, Segment { cost, ..segment });
            }
        }
    }
    if let Start::After { domain, .. } = start {
        entry = best[0][domain];
    }
    let Some(segment) = entry else {
        return Err(no_path_reason(first, layers, candidates));
    };
    Ok(merge(follow(segment, candidates, &cuts, &best)))
}

/// Number of crossings between domains on a path.
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

/// Returns the cheapest continuation from boundary `at` that begins with an engine.
fn cheapest_segment(
    engine: usize,
    candidate: &Candidate,
    at: usize,
    cuts: &[u32],
    best: &[Vec<Option<Segment>>],
    work: &Work,
    noise: f64,
) -> Option<Segment> {
    let last = cuts.len() - 1;
    let congestion = 1.0 + 2.0 * ((candidate.utilisation - CONGESTED).max(0.0) / (1.0 - CONGESTED));
    let factor = candidate.cost_factor * congestion * noise;
    let layer_cost = candidate.step_ms * work.answer + candidate.read_ms * work.prompt;
    let hop_cost = HOP_MS * (work.answer + work.prompt / CHUNK_TOKENS);
    let mut found: Option<Segment> = None;
    for to in at + 1..=last {
        let passed = cuts[to] - cuts[at];
        if cuts[to] > candidate.range.end || !work.fits(candidate, passed) {
            break;
        }
        let rest = if to == last {
            0.0
        } else {
            match best[to][candidate.domain] {
                Some(segment) => segment.cost,
                None => continue,
            }
        };
        let cost = (layer_cost * f64::from(passed) + hop_cost) * factor + rest;
        improve(&mut found, Segment { cost, engine, to });
    }
    found
}

fn improve(slot: &mut Option<Segment>, segment: Segment) {
    if slot.is_none_or(|s| segment.cost < s.cost) {
        *slot = Some(segment);
    }
}

fn follow(
    first: Segment,
    candidates: &[Candidate],
    cuts: &[u32],
    best: &[Vec<Option<Segment>>],
) -> Vec<Hop> {
    let mut hops = Vec::new();
    let mut at = 0;
    let mut next = Some(first);
    while let Some(segment) = next {
        let range = LayerRange::new(cuts[at], cuts[segment.to]);
        hops.push(Hop {
            engine: segment.engine,
            range,
        });
        at = segment.to;
        next = best[at]
            .get(candidates[segment.engine].domain)
            .copied()
            .flatten();
    }
    hops
}

/// Joins two parts at the same engine. It holds all layers between them, and a path may name an
/// engine only once.
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

fn no_path_reason(first: u32, layers: u32, candidates: &[Candidate]) -> NoPath {
    let held = |layer| candidates.iter().any(|c| c.range.contains(layer));
    match (first..layers).find(|&l| !held(l)) {
        Some(layer) => NoPath::MissingLayer(layer),
        None => NoPath::Full,
    }
}

/// Whether the hops cover every layer from `first` on once and in order, each at a different
/// engine that holds its layers.
pub(crate) fn is_complete(first: u32, layers: u32, candidates: &[Candidate], hops: &[Hop]) -> bool {
    let is_valid = |(i, hop): (usize, &Hop)| {
        let is_held = candidates[hop.engine].range.covers(hop.range);
        is_held && hops[..i].iter().all(|h| h.engine != hop.engine)
    };
    hops.iter().enumerate().all(is_valid)
        && is_contiguous(first, layers, hops.iter().map(|h| h.range))
}

/// Whether `parts` cover every layer from `first` on once and in order.
pub(crate) fn is_contiguous(
    first: u32,
    layers: u32,
    parts: impl Iterator<Item = LayerRange>,
) -> bool {
    let mut at = Some(first);
    for part in parts {
        at = at.filter(|&a| a == part.first).map(|_| part.end);
    }
    at == Some(layers)
}
