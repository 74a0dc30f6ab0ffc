//! The layered graph of one model within a set of pools, and its flow.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::engine::Engines;
use super::types::Query;
use crate::clock::Time;
use crate::flow::Network;

/// Parts that the maximum flow is spread in. More give finer shares.
const PARTS: usize = 256;

/// Steepness of the price of a group's use when the flow is spread. The
/// steeper, the nearer to the least possible use of the most used group.
const STEEPNESS: i32 = 8;

/// Time for which engines that were found full are taken to be contended.
const CONTENDED: Duration = Duration::from_secs(2);

/// Load by places from which engines are taken to be contended.
const CROWDED: f64 = 0.7;

/// Flow is computed in thousandths of a token a second.
const SCALE: f64 = 1000.0;

/// Graphs of all versions of one model.
#[derive(Debug)]
pub(crate) struct Plan {
    model: Arc<str>,
    pools: Vec<String>,
    pub(crate) used: Time,
    /// When all engines were last found full.
    contended: Cell<Option<Time>>,
    pub(crate) variants: Vec<Variant>,
}

/// The graph of one version.
#[derive(Debug)]
pub(crate) struct Variant {
    pub(crate) version: Arc<str>,
    /// Maximum flow in tokens a second; above zero.
    pub(crate) bound: f64,
    /// Layers where a path may pass from one engine to the next, ascending;
    /// the first is 0 and the last the total.
    pub(crate) cuts: Vec<u32>,
    /// Ways on from each cut but the last; none of them is empty, or the
    /// maximum flow would be zero.
    pub(crate) ways: Vec<Vec<Way>>,
    pub(crate) groups: Vec<Group>,
}

/// A way on from a cut through one of a group's engines.
#[derive(Clone, Debug)]
pub(crate) struct Way {
    pub(crate) group: usize,
    /// Index of the cut it leads to.
    pub(crate) to: usize,
    /// Sum of the flow of this way and those before it at the cut.
    pub(crate) flow: f64,
}

/// Engines that hold the same layers.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) first: u32,
    pub(crate) end: u32,
    pub(crate) members: Vec<u32>,
    /// Sum of the capacities of this member and those before it.
    pub(crate) sums: Vec<f64>,
}

impl Group {
    fn capacity(&self) -> f64 {
        self.sums.last().copied().unwrap_or(0.0)
    }
}

impl Plan {
    pub(crate) fn new(model: &str, pools: &[String], now: Time) -> Self {
        Self {
            model: model.into(),
            pools: pools.to_vec(),
            used: now,
            contended: Cell::new(None),
            variants: Vec::new(),
        }
    }

    pub(crate) fn serves(&self, query: &Query<'_>) -> bool {
        *self.model == *query.model && self.pools == query.pools
    }

    /// Whether work waits for these engines on this instance, and so probably
    /// on all: then a place that comes free is seen by all at once.
    pub(crate) fn is_contended(&self, now: Time) -> bool {
        let contended = self.contended.get();
        contended.is_some_and(|at| now.since(at) < CONTENDED)
    }

    /// Books that no path was free, with the load by places where it ended.
    /// With many places free it was only this instance's part that was used
    /// up: then there is nothing to contend for, and waiting would idle them.
    pub(crate) fn contend(&self, now: Time, crowd: f64) {
        self.contended.set((crowd >= CROWDED).then_some(now));
    }

    /// Sum of the versions' maximum flows, in tokens a second.
    pub(crate) fn bound(&self) -> f64 {
        self.variants.iter().map(|v| v.bound).sum()
    }

    /// Computes graphs and flows anew.
    pub(crate) fn rebuild(&mut self, engines: &Engines) {
        let mut versions: BTreeMap<(Arc<str>, u32), Vec<u32>> = BTreeMap::new();
        for (i, engine) in engines.iter() {
            let stage = &engine.stage;
            let allowed = self.pools.iter().any(|p| **p == *stage.pool);
            if !allowed || stage.model != self.model || !engine.is_up() || engine.health.is_out() {
                continue;
            }
            let key = (stage.version.clone(), stage.total);
            versions.entry(key).or_default().push(i);
        }
        let built = versions.into_iter();
        let built =
            built.filter_map(|((v, total), members)| Variant::new(v, total, &members, engines));
        self.variants = built.collect();
    }
}

impl Variant {
    /// The graph over `members`, or nothing when they don't hold all layers.
    fn new(version: Arc<str>, total: u32, members: &[u32], engines: &Engines) -> Option<Self> {
        let groups = group(members, engines);
        let mut cuts: Vec<u32> = groups.iter().map(|g| g.end).chain([0]).collect();
        cuts.sort_unstable();
        cuts.dedup();
        if cuts.last() != Some(&total) {
            return None;
        }
        let ways = ways(&cuts, &groups);
        let mut variant = Self {
            version,
            bound: 0.0,
            cuts,
            ways,
            groups,
        };
        variant.bound = variant.maximum();
        if variant.bound <= 0.0 {
            return None;
        }
        variant.spread();
        Some(variant)
    }

    /// The maximum flow from layer 0 to the total, in tokens a second.
    ///
    /// Every group is an arc with the sum of its engines' capacities: engines
    /// of a group join the same cuts, so the sum loses nothing.
    fn maximum(&self) -> f64 {
        let cuts = self.cuts.len();
        let mut network = Network::new(cuts + 2 * self.groups.len());
        for (i, group) in self.groups.iter().enumerate() {
            let capacity = (group.capacity() * SCALE) as u64;
            network.connect(cuts + 2 * i, cuts + 2 * i + 1, capacity);
            if let Ok(to) = self.cuts.binary_search(&group.end) {
                network.connect(cuts + 2 * i + 1, to, capacity);
            }
        }
        for (from, ways) in self.ways.iter().enumerate() {
            for way in ways {
                let capacity = (self.groups[way.group].capacity() * SCALE) as u64;
                network.connect(from, cuts + 2 * way.group, capacity);
            }
        }
        network.maximise(0, cuts - 1) as f64 / SCALE
    }

    /// Spreads the maximum flow so that the groups are used as evenly as the
    /// graph allows. A maximum flow by itself may leave one of two equal
    /// groups idle when the bottleneck is elsewhere.
    fn spread(&mut self) {
        let part = self.bound / PARTS as f64;
        let mut used = vec![0.0; self.groups.len()];
        let mut flows: Vec<Vec<f64>> = self.ways.iter().map(|w| vec![0.0; w.len()]).collect();
        for _ in 0..PARTS {
            let next = self.cheapest(&used, part);
            let mut cut = 0;
            while let Some(way) = next[cut] {
                flows[cut][way] += part;
                used[self.ways[cut][way].group] += part;
                cut = self.ways[cut][way].to;
            }
        }
        for (ways, flows) in self.ways.iter_mut().zip(flows) {
            let mut sum = 0.0;
            for (way, flow) in ways.iter_mut().zip(flows) {
                sum += flow;
                way.flow = sum;
            }
        }
    }

    /// The cheapest way on from each cut for one more part of the flow.
    fn cheapest(&self, used: &[f64], part: f64) -> Vec<Option<usize>> {
        let last = self.cuts.len() - 1;
        let mut cost = vec![f64::INFINITY; self.cuts.len()];
        let mut next = vec![None; self.cuts.len()];
        cost[last] = 0.0;
        for cut in (0..last).rev() {
            for (i, way) in self.ways[cut].iter().enumerate() {
                let use_after = (used[way.group] + part) / self.groups[way.group].capacity();
                let total = use_after.powi(STEEPNESS) + cost[way.to];
                if total < cost[cut] {
                    cost[cut] = total;
                    next[cut] = Some(i);
                }
            }
        }
        next
    }
}

fn group(members: &[u32], engines: &Engines) -> Vec<Group> {
    let mut ranges: BTreeMap<(u32, u32), Group> = BTreeMap::new();
    for &i in members {
        let engine = &engines[i];
        let capacity = engine.capacity();
        let (first, end) = (engine.stage.first, engine.stage.end);
        if capacity <= 0.0 || first >= end || end > engine.stage.total {
            continue;
        }
        let group = ranges.entry((first, end)).or_insert_with(|| Group {
            first,
            end,
            members: Vec::new(),
            sums: Vec::new(),
        });
        let sum = group.capacity() + capacity;
        group.members.push(i);
        group.sums.push(sum);
    }
    ranges.into_values().collect()
}

/// The ways on from each cut.
fn ways(cuts: &[u32], groups: &[Group]) -> Vec<Vec<Way>> {
    let mut ways: Vec<Vec<Way>> = vec![Vec::new(); cuts.len()];
    for from in (0..cuts.len() - 1).rev() {
        let cut = cuts[from];
        for (group, g) in groups.iter().enumerate() {
            let Ok(to) = cuts.binary_search(&g.end) else {
                continue;
            };
            if g.first <= cut && cut < g.end {
                ways[from].push(Way {
                    group,
                    to,
                    flow: 0.0,
                });
            }
        }
    }
    ways
}
