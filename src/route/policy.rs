//! Policies that choose one hop: the default one and baselines.

use std::fmt::Debug;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::plan::{Edge, Variant};
use super::walk::Walk;

/// Draws of [`FlowShares`] for one hop, of which the cheapest is taken.
const DRAWS: usize = 2;

/// Cost ratio from which the cheaper engine is taken whatever the age of the
/// reports: so large a difference is not due to load but to a slow engine or a
/// cached prefix.
const DECISIVE_RATIO: f64 = 2.0;

/// An engine that could be the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub(crate) edge: usize,
    pub(crate) engine: u32,
}

/// The engines that can be the next hop at one point of a path.
#[derive(Debug)]
pub struct HopContext<'a, 'b> {
    pub(crate) walk: &'a Walk<'b>,
    pub(crate) variant: &'a Variant,
    pub(crate) edges: &'a [Edge],
    /// Engine of the previous hop.
    pub(crate) last: Option<u32>,
}

impl HopContext<'_, '_> {
    /// All usable engines, in a fixed order.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> {
        let edges = self.edges.iter().enumerate();
        let all = edges.flat_map(|(edge, e)| {
            let members = &self.variant.groups[e.group].members;
            members
                .iter()
                .map(move |&engine| Candidate { edge, engine })
        });
        all.filter(|c| self.walk.usable(c.engine))
    }

    /// Ratio of the total load of the reachable engines to their maximum load.
    pub(crate) fn load_ratio(&self) -> f64 {
        let groups = self.edges.iter().map(|e| &self.variant.groups[e.group]);
        let members = groups.flat_map(|g| &g.members);
        let engines = members.map(|&i| &self.walk.engines[i]);
        let sums = engines.fold((0.0, 0.0), |(load, most), e| {
            (load + e.load(self.walk.now), most + e.max_load())
        });
        sums.0 / sums.1
    }

    /// Draws an engine by its share of the maximum flow; `None` if it isn't
    /// usable.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let total = self.edges.last()?.flow;
        let at = rng.random::<f64>() * total;
        let edge = self.edges.partition_point(|e| e.flow <= at);
        let found = self.edges.get(edge)?;
        let group = &self.variant.groups[found.group];
        let at = rng.random::<f64>() * group.sums.last()?;
        let member = group.sums.partition_point(|&sum| sum <= at);
        let &engine = group.members.get(member)?;
        let usable = self.walk.usable(engine);
        usable.then_some(Candidate { edge, engine })
    }

    /// Usable engines that probably have the prompt's prefix cached.
    pub fn cached(&self) -> impl Iterator<Item = Candidate> {
        let known = self.walk.cached.iter();
        let live = known.filter(|c| self.walk.engines[c.engine].epoch == c.epoch);
        let candidates = live.filter_map(|c| self.candidate(c.engine));
        candidates.filter(|c| self.walk.usable(c.engine))
    }

    fn candidate(&self, engine: u32) -> Option<Candidate> {
        let stage = &self.walk.engines[engine].stage;
        let edge = self.edges.iter().position(|e| {
            let group = &self.variant.groups[e.group];
            group.first == stage.first && group.end == stage.end
        })?;
        let group = &self.variant.groups[self.edges[edge].group];
        let member = group.members.binary_search(&engine).is_ok();
        member.then_some(Candidate { edge, engine })
    }

    /// Seconds that the request is expected to spend at an engine.
    #[must_use]
    pub fn cost(&self, candidate: Candidate) -> f64 {
        self.walk.cost(candidate.engine, self.last)
    }

    /// Confidence in the known load of an engine, from 0 to 1.
    #[must_use]
    pub fn load_confidence(&self, candidate: Candidate) -> f64 {
        self.walk.engines[candidate.engine].load_confidence(self.walk.now)
    }

    /// Requests of this instance in flight on an engine, divided by its slots.
    #[must_use]
    pub fn in_flight(&self, candidate: Candidate) -> f64 {
        let engine = &self.walk.engines[candidate.engine];
        f64::from(engine.own()) / f64::from(engine.stage.slots.max(1))
    }

    /// The cheapest of the candidates.
    pub fn cheapest(&self, candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
        let costs = candidates.map(|c| (self.cost(c), c));
        let least = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        least.map(|(_, c)| c)
    }
}

/// Chooses the next hop of a path.
pub trait Policy: Debug + Send {
    /// Picks one of the usable candidates; `None` only if there are none.
    fn pick(&mut self, context: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate>;
}

/// Draws an engine by its share of the flow, unless a second draw or an engine
/// with the cached prefix is cheaper. If none of the drawn engines is usable,
/// it takes the cheapest of all.
///
/// The less certain the load, the less often the costs are compared, unless
/// they differ greatly. With outdated reports, all instances would otherwise
/// prefer the same engines until the next report, and load would oscillate
/// between engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowShares;

impl Policy for FlowShares {
    fn pick(&mut self, context: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let drawn: [Option<Candidate>; DRAWS] = std::array::from_fn(|_| context.draw(rng));
        let few = drawn.into_iter().flatten();
        let first = few.clone().next();
        let found = context.cheapest(few.chain(context.cached()));
        let (Some(first), Some(found)) = (first, found) else {
            return found.or_else(|| context.cheapest(context.candidates()));
        };
        let decisive = context.cost(found) * DECISIVE_RATIO < context.cost(first);
        let compare = decisive || rng.random::<f64>() < context.load_confidence(found);
        Some(if compare { found } else { first })
    }
}

/// One engine after another.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, context: &HopContext<'_, '_>, _: &mut ChaCha8Rng) -> Option<Candidate> {
        let count = context.candidates().count();
        self.turn = self.turn.wrapping_add(1);
        context.candidates().nth(self.turn % count.max(1))
    }
}

/// The engine with the fewest requests of this instance in flight, relative to
/// its slots; ties are broken at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn pick(&mut self, context: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let all = context.candidates();
        let keyed = all.map(|c| (context.in_flight(c), rng.random::<u32>(), c));
        let least = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, c)| c)
    }
}

/// The engine with the least expected time.
#[derive(Clone, Copy, Debug, Default)]
pub struct GreedyCheapest;

impl Policy for GreedyCheapest {
    fn pick(&mut self, context: &HopContext<'_, '_>, _: &mut ChaCha8Rng) -> Option<Candidate> {
        context.cheapest(context.candidates())
    }
}
