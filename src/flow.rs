//! Maximum flow: the throughput bound that engines and links allow.
//!
//! Dinic's algorithm over integer capacities.

use std::collections::VecDeque;

/// A capacity without a limit.
pub(crate) const UNLIMITED: u64 = u64::MAX / 4;

/// A directed network with capacities.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Arc `i ^ 1` is the reverse of arc `i`.
    arcs: Vec<Arc>,
    /// Arcs that leave each node.
    nodes: Vec<Vec<usize>>,
}

#[derive(Debug)]
struct Arc {
    to: usize,
    /// Capacity left.
    left: u64,
}

impl Network {
    /// A network of `nodes` nodes without arcs.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            arcs: Vec::new(),
            nodes: vec![Vec::new(); nodes],
        }
    }

    /// Adds an arc and returns its number for [`flow`](Self::flow).
    pub(crate) fn connect(&mut self, from: usize, to: usize, capacity: u64) -> usize {
        let number = self.arcs.len();
        self.nodes[from].push(number);
        self.nodes[to].push(number + 1);
        self.arcs.push(Arc { to, left: capacity });
        self.arcs.push(Arc { to: from, left: 0 });
        number
    }

    /// Flow over an arc after [`maximise`](Self::maximise).
    #[cfg(test)]
    pub(crate) fn flow(&self, number: usize) -> u64 {
        self.arcs[number ^ 1].left
    }

    /// Pushes as much as possible from `source` to `sink`; returns how much.
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

    /// Distance of each node from `source` over arcs with capacity left.
    fn levels(&self, source: usize) -> Vec<usize> {
        let mut levels = vec![usize::MAX; self.nodes.len()];
        levels[source] = 0;
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for &number in &self.nodes[node] {
                let arc = &self.arcs[number];
                if arc.left > 0 && levels[arc.to] == usize::MAX {
                    levels[arc.to] = levels[node] + 1;
                    queue.push_back(arc.to);
                }
            }
        }
        levels
    }

    /// Pushes along one shortest path. The depth is at most the number of
    /// layer boundaries times three.
    fn push(
        &mut self,
        node: usize,
        sink: usize,
        most: u64,
        levels: &[usize],
        next: &mut [usize],
    ) -> u64 {
        if node == sink {
            return most;
        }
        while next[node] < self.nodes[node].len() {
            let number = self.nodes[node][next[node]];
            let Arc { to, left } = self.arcs[number];
            if left > 0 && levels[to] == levels[node] + 1 {
                let pushed = self.push(to, sink, most.min(left), levels, next);
                if pushed > 0 {
                    self.arcs[number].left -= pushed;
                    self.arcs[number ^ 1].left += pushed;
                    return pushed;
                }
            }
            next[node] += 1;
        }
        0
    }
}
