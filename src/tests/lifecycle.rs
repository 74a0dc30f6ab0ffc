//! Randomised simulation of requests, claims and engines under faults.
//!
//! Each run is a discrete-event simulation with its own seed. `LQ_RUNS` sets the
//! number of runs and `LQ_FIRST` the first seed, to replay a failure.

mod caller;
mod check;
mod engine;
mod register;
mod world;

use check::Totals;
use world::World;

const RUNS: u64 = 500;

/// A non-idempotent request runs at most once, and each caller gets its own answer.
///
/// Callers submit requests, and submit them again through another instance when the
/// answer is lost. Meanwhile instances crash and freeze before and after dispatch,
/// proposals are lost and duplicated, and engines disconnect, skip layers, repeat
/// tokens, mix up streams and send late.
#[test]
fn run_faults() {
    let runs = number("LQ_RUNS", RUNS);
    let first = number("LQ_FIRST", 0);
    let mut total = Totals::default();
    for seed in first..first + runs {
        total.add(&World::new(seed).run());
    }
    println!("{runs} runs: {total:?}");
    if runs >= RUNS {
        total.assert_varied();
    }
}

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(default, |n| n.parse().expect("a number"))
}
