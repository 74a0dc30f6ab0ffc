//! Which engines are asked how fast they work, and which answers are news.
//!
//! Load pattern: some engines take several times as long as usual while their
//! heartbeats go on. By the speed of their kind they still look like the best, so
//! nearly all requests pass through them; first events come after seconds, or the
//! memory fills up and all is refused. Engines tell on request how many times as
//! long they take, so those at work are asked in turn, and paths are chosen by the
//! answers.

/// Rounds of asking in which each engine has its turn.
const ROUNDS: usize = 4;

/// Engines asked in one round. At a fleet of thousands the turns come more seldom,
/// and the leader's processor stays free for heartbeats.
const MOST: usize = 48;

/// Ratio of two paces from which the difference is told to all instances.
const NEWS: f64 = 1.25;

/// Bounds of a believable pace. One that is faster than its kind isn't relied on.
const LEAST: f64 = 1.0;
const SLOWEST: f64 = 100.0;

/// Whose turn it is to be asked.
#[derive(Debug, Default)]
pub(crate) struct Rotation {
    next: usize,
}

impl Rotation {
    /// The engines that are asked in this round, out of all those at work.
    pub(crate) fn next_batch<T: Clone>(&mut self, engines: &[T]) -> Vec<T> {
        let count = engines.len().div_ceil(ROUNDS).min(MOST);
        let start = self.next.checked_rem(engines.len()).unwrap_or(0);
        self.next = start + count;
        let turned = engines.iter().cycle().skip(start);
        turned.take(count).cloned().collect()
    }
}

/// What instances are told of an engine whose pace was `told` to them and is
/// `reported` now, if they should hear of it.
pub(crate) fn significant_change(told: f64, reported: f64) -> Option<f64> {
    // Also false for what isn't a number.
    let usable = reported > 0.0;
    let pace = reported.clamp(LEAST, SLOWEST);
    let ratio = pace / told;
    (usable && (ratio >= NEWS || ratio <= 1.0 / NEWS)).then_some(pace)
}
