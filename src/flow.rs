//! Maximum flow, the bound that engines and links set to the throughput.
//!
//! Dinic's algorithm over integer capacities.

use std::collections::VecDeque;

/// Capacity of an unlimited arc.
pub(crate) const UNLIMITED: u64 = u64::MAX / 4;

/// A directed flow network.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Arc `i ^ 1` is the reverse of arc `i`.
    arcs: Vec<Arc>,
    /// Indices of the arcs that leave each node.
    nodes: Vec<Vec<usize>>,
}

#[derive(Debug)]
struct Arc {
    to: usize,
    /// Residual capacity.
    residual: u64,
}

impl Network {
    /// Creates a network of `nodes` nodes without arcs.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            arcs: Vec::new(),
            nodes: vec![Vec::new(); nodes],
        }
    }

    /// Adds an arc and returns its index in the network.
    pub(crate) fn connect(&mut self, from: usize, to: usize, capacity: u64) -> usize {
        let index = self.arcs.len();
        self.nodes[from].push(index);
        self.nodes[to].push(index + 1);
        self.arcs.push(Arc {
            to,
            residual: capacity,
        });
        self.arcs.push(Arc {
            to: from,
            residual: 0,
        });
        index
    }

    /// Flow through an arc after [`maximise`](Self::maximise).
    #[cfg(test)]
    pub(crate) fn flow(&self, index: usize) -> u64 {
        self.arcs[index ^ 1].residual
    }

    /// Computes the maximum flow from `source` to `sink`.
    pub(crate) fn maximise(&mut self, source: usize, sink: usize) -> u64 {
        let mut total = 0;
        loop {
            let levels = self.levels(source);
            if levels[sink] == usize::MAX {
                return total;
            }
            let mut next = vec![0; self.nodes.len()];
            loop {
                let pushed = self.push(source, sink, UNLIMITED, &levels, &mut next);
                if pushed == 0 {
                    break;
                }
                total += pushed;
            }
        }
    }

    /// Distance of each node from `source` over arcs with residual capacity.
    fn levels(&self, source: usize) -> Vec<usize> {
        let mut levels = vec![usize::MAX; self.nodes.len()];
        levels[source] = 0;
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for &index in &self.nodes[node] {
                let arc = &self.arcs[index];
                if arc.residual > 0 && levels[arc.to] == usize::MAX {
                    levels[arc.to] = levels[node] + 1;
                    queue.push_back(arc.to);
                }
            }
        }
        levels
    }

    /// Pushes flow along one shortest path and returns the amount. The
    /// recursion depth is at most three times the number of layer boundaries.
    fn push(
        &mut self,
        node: usize,
        sink: usize,
        limit: u64,
        levels: &[usize],
        next: &mut [usize],
    ) -> u64 {
        if node == sink {
            return limit;
        }
        while next[node] < self.nodes[node].len() {
            let index = self.nodes[node][next[node]];
            let Arc { to, residual } = self.arcs[index];
            if residual > 0 && levels[to] == levels[node] + 1 {
                let pushed = self.push(to, sink, limit.min(residual), levels, next);
                if pushed > 0 {
                    self.arcs[index].residual -= pushed;
                    self.arcs[index ^ 1].residual += pushed;
                    return pushed;
                }
            }
            next[node] += 1;
        }
        0
    }
}
