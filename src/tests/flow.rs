//! Tests of [`crate::flow`].

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::flow::Network;

#[test]
fn maximise_two_paths() {
    let mut network = Network::new(4);
    network.connect(0, 1, 10);
    network.connect(0, 2, 4);
    let cross = network.connect(1, 2, 15);
    network.connect(1, 3, 4);
    network.connect(2, 3, 10);
    assert_eq!(network.maximise(0, 3), 14);
    assert_eq!(network.flow(cross), 6);
}

#[test]
fn maximise_disconnected() {
    let mut network = Network::new(3);
    network.connect(0, 1, 10);
    assert_eq!(network.maximise(0, 2), 0);
}

/// The maximum flow equals the minimum cut, found by trying every set of nodes.
#[test]
fn maximise_equals_minimum_cut() {
    const NODES: usize = 7;
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arcs = Vec::new();
        let mut network = Network::new(NODES);
        for _ in 0..14 {
            let (from, to) = (rng.random_range(0..NODES), rng.random_range(0..NODES));
            let capacity = rng.random_range(0..20);
            network.connect(from, to, capacity);
            arcs.push((from, to, capacity));
        }
        let cut = |set: usize| -> u64 {
            let crosses =
                |&&(from, to, _): &&(usize, usize, u64)| set >> from & 1 == 1 && set >> to & 1 == 0;
            arcs.iter().filter(crosses).map(|a| a.2).sum()
        };
        let holds_ends = |set: &usize| set & 1 == 1 && set >> (NODES - 1) & 1 == 0;
        let least = (0..1 << NODES).filter(holds_ends).map(cut).min();
        assert_eq!(Some(network.maximise(0, NODES - 1)), least, "seed {seed}");
    }
}
