//! Policies that draw one hop, the adopted one and baselines.

use std::fmt::Debug;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::plan::{Variant, Way};
use super::walk::Walk;

/// Draws of [`FlowShares`] for one hop, of which the cheapest is taken.
const DRAWS: usize = 2;

/// How many times cheaper an engine must be to be taken whatever the age of
/// the reports: then it isn't load but a slow engine or a cached prefix.
const CLEAR: f64 = 2.0;

/// An engine that could be the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub(crate) way: usize,
    pub(crate) engine: u32,
}

/// The engines in reach at one point of a path.
#[derive(Debug)]
pub struct HopContext<'a, 'b> {
    pub(crate) walk: &'a Walk<'b>,
    pub(crate) variant: &'a Variant,
    pub(crate) ways: &'a [Way],
    /// Engine of the hop before.
    pub(crate) last: Option<u32>,
}

impl HopContext<'_, '_> {
    /// All engines that may be used, in a fixed order.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> {
        let ways = self.ways.iter().enumerate();
        let all = ways.flat_map(|(way, w)| {
            let members = &self.variant.groups[w.group].members;
            members.iter().map(move |&engine| Candidate { way, engine })
        });
        all.filter(|c| self.walk.usable(c.engine))
    }

    /// Load of all engines in reach by the sequences they should have at most.
    pub(crate) fn crowd(&self) -> f64 {
        let groups = self.ways.iter().map(|w| &self.variant.groups[w.group]);
        let members = groups.flat_map(|g| &g.members);
        let engines = members.map(|&i| &self.walk.engines[i]);
        let sums = engines.fold((0.0, 0.0), |(load, most), e| {
            (load + e.load(self.walk.now), most + e.most())
        });
        sums.0 / sums.1
    }

    /// Draws an engine by its share of the maximum flow, if it may be used.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let total = self.ways.last()?.flow;
        let at = rng.random::<f64>() * total;
        let way = self.ways.partition_point(|w| w.flow <= at);
        let found = self.ways.get(way)?;
        let group = &self.variant.groups[found.group];
        let at = rng.random::<f64>() * group.sums.last()?;
        let member = group.sums.partition_point(|&sum| sum <= at);
        let &engine = group.members.get(member)?;
        let usable = self.walk.usable(engine);
        usable.then_some(Candidate { way, engine })
    }

    /// Engines in reach that probably hold the prompt's prefix.
    pub fn cached(&self) -> impl Iterator<Item = Candidate> {
        let known = self.walk.cached.iter();
        let live = known.filter(|c| self.walk.engines[c.engine].epoch == c.epoch);
        let placed = live.filter_map(|c| self.place(c.engine));
        placed.filter(|c| self.walk.usable(c.engine))
    }

    fn place(&self, engine: u32) -> Option<Candidate> {
        let stage = &self.walk.engines[engine].stage;
        let way = self.ways.iter().position(|w| {
            let group = &self.variant.groups[w.group];
            group.first == stage.first && group.end == stage.end
        })?;
        let group = &self.variant.groups[self.ways[way].group];
        let held = group.members.binary_search(&engine).is_ok();
        held.then_some(Candidate { way, engine })
    }

    /// Seconds the request is expected to spend at an engine.
    #[must_use]
    pub fn cost(&self, candidate: Candidate) -> f64 {
        self.walk.cost(candidate.engine, self.last)
    }

    /// How far the load of an engine is known, from 0 to 1.
    #[must_use]
    pub fn knowledge(&self, candidate: Candidate) -> f64 {
        self.walk.engines[candidate.engine].knowledge(self.walk.now)
    }

    /// Requests of this instance in flight on an engine by its slots.
    #[must_use]
    pub fn in_flight(&self, candidate: Candidate) -> f64 {
        let engine = &self.walk.engines[candidate.engine];
        f64::from(engine.own()) / f64::from(engine.stage.slots.max(1))
    }

    /// The cheapest of some engines.
    pub fn cheapest(&self, candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
        let costs = candidates.map(|c| (self.cost(c), c));
        let least = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        least.map(|(_, c)| c)
    }
}

/// Draws the next hop of a path.
pub trait Policy: Debug + Send {
    /// One of the site's candidates, or nothing only when there are none.
    fn pick(&mut self, site: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate>;
}

/// A draw by the flow's shares, unless a second draw or an engine that cached
/// the prefix is cheaper; the cheapest of all engines when none of the drawn
/// may be used.
///
/// Two draws are compared only as far as the load is known: with old reports
/// all instances would favour the same engines for as long as the reports are
/// old, and load would swing between engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowShares;

impl Policy for FlowShares {
    fn pick(&mut self, site: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let drawn: [Option<Candidate>; DRAWS] = std::array::from_fn(|_| site.draw(rng));
        let few = drawn.into_iter().flatten();
        let first = few.clone().next();
        let found = site.cheapest(few.chain(site.cached()));
        let (Some(first), Some(found)) = (first, found) else {
            return found.or_else(|| site.cheapest(site.candidates()));
        };
        let clear = site.cost(found) * CLEAR < site.cost(first);
        let compare = clear || rng.random::<f64>() < site.knowledge(found);
        Some(if compare { found } else { first })
    }
}

/// One engine after the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, site: &HopContext<'_, '_>, _: &mut ChaCha8Rng) -> Option<Candidate> {
        let count = site.candidates().count();
        self.turn = self.turn.wrapping_add(1);
        site.candidates().nth(self.turn % count.max(1))
    }
}

/// The engine with the fewest requests of this instance, by its slots; a
/// random one of several.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl Policy for LeastInFlight {
    fn pick(&mut self, site: &HopContext<'_, '_>, rng: &mut ChaCha8Rng) -> Option<Candidate> {
        let all = site.candidates();
        let keyed = all.map(|c| (site.in_flight(c), rng.random::<u32>(), c));
        let least = keyed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        least.map(|(_, _, c)| c)
    }
}

/// The engine with the least expected time of all.
#[derive(Clone, Copy, Debug, Default)]
pub struct GreedyCheapest;

impl Policy for GreedyCheapest {
    fn pick(&mut self, site: &HopContext<'_, '_>, _: &mut ChaCha8Rng) -> Option<Candidate> {
        site.cheapest(site.candidates())
    }
}
