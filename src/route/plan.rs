//! The layered graph of a model within a set of pools, and its maximum flow.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::engines::Engines;
use super::types::Query;
use crate::clock::Time;
use crate::flow::Network;

/// Number of parts in which the maximum flow is distributed. More parts give
/// finer shares.
const FLOW_PARTS: usize = 256;

/// Exponent of a group's utilisation in its cost when the flow is distributed.
/// The higher, the lower the utilisation of the most utilised group.
const COST_EXPONENT: i32 = 8;

/// Time for which engines count as contended after all were found full.
const CONTENTION_TIME: Duration = Duration::from_secs(2);

/// Ratio of load to maximum load from which engines count as contended.
const CONTENDED_RATIO: f64 = 0.7;

/// Units of integer flow per token per second.
const SCALE: f64 = 1000.0;

/// Graphs of all versions of one model.
#[derive(Debug)]
pub(crate) struct Plan {
    model: Arc<str>,
    pools: Vec<String>,
    pub(crate) used: Time,
    /// Time at which all engines were last found full.
    contended_at: Cell<Option<Time>>,
    pub(crate) variants: Vec<Variant>,
}

/// The graph of one version.
#[derive(Debug)]
pub(crate) struct Variant {
    pub(crate) version: Arc<str>,
    /// Maximum flow in tokens per second; above zero.
    pub(crate) bound: f64,
    /// Layer boundaries at which a path may pass from one engine to the next,
    /// ascending; the first is 0 and the last the total.
    pub(crate) boundaries: Vec<u32>,
    /// Outgoing edges of each boundary but the last. None is empty, or the
    /// maximum flow would be zero.
    pub(crate) edges: Vec<Vec<Edge>>,
    pub(crate) groups: Vec<Group>,
}

/// An edge from a boundary to a later one, through an engine of a group.
#[derive(Clone, Debug)]
pub(crate) struct Edge {
    pub(crate) group: usize,
    /// Index of the boundary it leads to.
    pub(crate) to: usize,
    /// Cumulative flow of this edge and those before it at the boundary.
    pub(crate) flow: f64,
}

/// Engines that hold the same layers.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    pub(crate) first: u32,
    pub(crate) end: u32,
    pub(crate) members: Vec<u32>,
    /// Cumulative capacity of this member and those before it.
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
            contended_at: Cell::new(None),
            variants: Vec::new(),
        }
    }

    pub(crate) fn serves(&self, query: &Query<'_>) -> bool {
        *self.model == *query.model && self.pools == query.pools
    }

    /// Whether work waits for these engines on this instance and thus probably
    /// on all. Then all instances see a slot that becomes free at the same
    /// time.
    pub(crate) fn is_contended(&self, now: Time) -> bool {
        let contended_at = self.contended_at.get();
        contended_at.is_some_and(|at| now.since(at) < CONTENTION_TIME)
    }

    /// Records that no path was free, with the load ratio of the engines at
    /// which the walk ended. If many of their slots are free, only this
    /// instance's quota was used up; then they aren't contended, and waiting
    /// for them would leave them idle.
    pub(crate) fn set_contended(&self, now: Time, load_ratio: f64) {
        self.contended_at
            .set((load_ratio >= CONTENDED_RATIO).then_some(now));
    }

    /// Sum of the versions' maximum flows, in tokens per second.
    pub(crate) fn bound(&self) -> f64 {
        self.variants.iter().map(|v| v.bound).sum()
    }

    /// Recomputes graphs and flows.
    pub(crate) fn rebuild(&mut self, engines: &Engines) {
        let mut versions: BTreeMap<(Arc<str>, u32), Vec<u32>> = BTreeMap::new();
        for (i, engine) in engines.iter() {
            let stage = &engine.stage;
            let allowed = self.pools.iter().any(|p| **p == *stage.pool);
            if !allowed
                || stage.model != self.model
                || !engine.is_up()
                || engine.health.is_excluded()
            {
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
    /// Builds the graph of `members`; `None` if they don't hold all layers.
    fn new(version: Arc<str>, total: u32, members: &[u32], engines: &Engines) -> Option<Self> {
        let groups = group(members, engines);
        let mut boundaries: Vec<u32> = groups.iter().map(|g| g.end).chain([0]).collect();
        boundaries.sort_unstable();
        boundaries.dedup();
        if boundaries.last() != Some(&total) {
            return None;
        }
        let edges = edges(&boundaries, &groups);
        let mut variant = Self {
            version,
            bound: 0.0,
            boundaries,
            edges,
            groups,
        };
        variant.bound = variant.maximum_flow();
        if variant.bound <= 0.0 {
            return None;
        }
        variant.distribute();
        Some(variant)
    }

    /// Maximum flow from layer 0 to the total, in tokens per second.
    ///
    /// Each group is one arc with the sum of its engines' capacities. This is
    /// exact, because the engines of a group connect the same boundaries.
    fn maximum_flow(&self) -> f64 {
        let boundaries = self.boundaries.len();
        let mut network = Network::new(boundaries + 2 * self.groups.len());
        for (i, group) in self.groups.iter().enumerate() {
            let capacity = (group.capacity() * SCALE) as u64;
            network.connect(boundaries + 2 * i, boundaries + 2 * i + 1, capacity);
            if let Ok(to) = self.boundaries.binary_search(&group.end) {
                network.connect(boundaries + 2 * i + 1, to, capacity);
            }
        }
        for (from, edges) in self.edges.iter().enumerate() {
            for edge in edges {
                let capacity = (self.groups[edge.group].capacity() * SCALE) as u64;
                network.connect(from, boundaries + 2 * edge.group, capacity);
            }
        }
        network.maximise(0, boundaries - 1) as f64 / SCALE
    }

    /// Distributes the maximum flow over the groups as evenly as the graph
    /// allows. A maximum flow alone may leave one of two equal groups idle if
    /// the bottleneck is elsewhere.
    fn distribute(&mut self) {
        let part = self.bound / FLOW_PARTS as f64;
        let mut used = vec![0.0; self.groups.len()];
        let mut flows: Vec<Vec<f64>> = self.edges.iter().map(|e| vec![0.0; e.len()]).collect();
        for _ in 0..FLOW_PARTS {
            let next = self.cheapest(&used, part);
            let mut boundary = 0;
            while let Some(edge) = next[boundary] {
                flows[boundary][edge] += part;
                used[self.edges[boundary][edge].group] += part;
                boundary = self.edges[boundary][edge].to;
            }
        }
        for (edges, flows) in self.edges.iter_mut().zip(flows) {
            let mut sum = 0.0;
            for (edge, flow) in edges.iter_mut().zip(flows) {
                sum += flow;
                edge.flow = sum;
            }
        }
    }

    /// The cheapest outgoing edge of each boundary for one more part of the
    /// flow.
    fn cheapest(&self, used: &[f64], part: f64) -> Vec<Option<usize>> {
        let last = self.boundaries.len() - 1;
        let mut cost = vec![f64::INFINITY; self.boundaries.len()];
        let mut next = vec![None; self.boundaries.len()];
        cost[last] = 0.0;
        for boundary in (0..last).rev() {
            for (i, edge) in self.edges[boundary].iter().enumerate() {
                let utilisation = (used[edge.group] + part) / self.groups[edge.group].capacity();
                let total = utilisation.powi(COST_EXPONENT) + cost[edge.to];
                if total < cost[boundary] {
                    cost[boundary] = total;
                    next[boundary] = Some(i);
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

/// The outgoing edges of each boundary.
fn edges(boundaries: &[u32], groups: &[Group]) -> Vec<Vec<Edge>> {
    let mut edges: Vec<Vec<Edge>> = vec![Vec::new(); boundaries.len()];
    for from in (0..boundaries.len() - 1).rev() {
        let boundary = boundaries[from];
        for (group, g) in groups.iter().enumerate() {
            let Ok(to) = boundaries.binary_search(&g.end) else {
                continue;
            };
            if g.first <= boundary && boundary < g.end {
                edges[from].push(Edge {
                    group,
                    to,
                    flow: 0.0,
                });
            }
        }
    }
    edges
}
