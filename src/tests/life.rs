//! Randomised runs of requests, claims and engines under faults.
//!
//! Each run is a discrete simulation with one seed. `LQ_RUNS` sets the number
//! of runs.

mod caller;
mod check;
mod engine;
mod register;
mod world;

use check::Totals;
use world::World;

const RUNS: u64 = 500;

/// A caller sends a letter's request, and sends it again through another
/// instance when the answer is lost. Meanwhile instances crash and freeze
/// between claim and dispatch and after it, proposals are lost and doubled, and
/// engines break off, skip layers, repeat tokens, mix up streams and send late.
/// The letter must go out once, and every answer must be its own.
#[test]
fn run_faults() {
    let runs = std::env::var("LQ_RUNS").map_or(RUNS, |n| n.parse().expect("LQ_RUNS: a number"));
    let mut total = Totals::default();
    for seed in 0..runs {
        total.add(&World::new(seed).run());
    }
    println!("{runs} runs: {total:?}");
    total.assert_varied();
}
