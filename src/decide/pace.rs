//! Decides which engines are asked for their pace, and which changes instances must learn.
//!
//! Load pattern: some engines take several times as long as usual while their heartbeats
//! continue. Judged by the speed of their kind they still look best, so nearly all requests pass
//! through them; first events take seconds, or their memory fills up and all requests are
//! refused. On request, engines report their pace: how many times as long as usual they take.
//! Engines with load are therefore asked in rotation, and paths are chosen by the answers.

/// Number of rounds in which every engine is asked once.
const ROUNDS: usize = 4;

/// Maximum number of engines asked in one round. In a fleet of thousands each engine is asked
/// less often, which leaves the leader's processor free for heartbeats.
const MAX_PER_ROUND: usize = 48;

/// Ratio of two paces from which the change is sent to all instances.
const SIGNIFICANT_RATIO: f64 = 1.25;

/// Bounds of a pace. Reports of an engine that is faster than its kind are not relied on.
const MIN_PACE: f64 = 1.0;
const MAX_PACE: f64 = 100.0;

/// Selects the engines to ask, in rotation.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    next: usize,
}

impl Rotation {
    /// Returns the engines to ask in this round, out of all those with load.
    pub(crate) fn next_batch<T: Clone>(&mut self, engines: &[T]) -> Vec<T> {
        let count = engines.len().div_ceil(ROUNDS).min(MAX_PER_ROUND);
        let start = self.next.checked_rem(engines.len()).unwrap_or(0);
        self.next = start + count;
        let rotated = engines.iter().cycle().skip(start);
        rotated.take(count).cloned().collect()
    }
}

/// Returns an engine's `reported` pace, within the bounds, if it differs enough from the `known`
/// one to be sent to the instances.
pub(crate) fn significant_change(known: f64, reported: f64) -> Option<f64> {
    // Also false for NaN.
    let usable = reported > 0.0;
    let pace = reported.clamp(MIN_PACE, MAX_PACE);
    let ratio = pace / known;
    (usable && (ratio >= SIGNIFICANT_RATIO || ratio <= 1.0 / SIGNIFICANT_RATIO)).then_some(pace)
}
