//! How requests wait for room on the engines.
//!
//! Load pattern: a burst, or an engine that is lost, leaves more requests than
//! room for some seconds, while several places a second come free. A request
//! that waits for one of them is answered sooner than one that is refused and
//! comes back, and it doesn't use up its caller's last try. Waiting is bounded
//! in time and number: what would wait longer is refused at once.

use std::time::Duration;

/// Part of the objective for which a request waits; the rest is for its first
/// token. Waiting for four objectives served as many, but 2 in 100 more of them
/// late (sum of the credit of ten days with trouble, 9.80 against 9.99).
const OBJECTIVES: f64 = 0.8;

/// Longest wait, whatever the objective.
const MOST: Duration = Duration::from_secs(2);

/// Requests that may wait on one instance: those to which an instance's part
/// of the places that come free in that time will go. A busy domain frees some
/// twenty a second for three or four instances.
const WAITERS: usize = 12;

/// Period at which the first in line looks for room.
pub(crate) const LOOK: Duration = Duration::from_millis(25);

/// How long a request may wait behind `waiters` others; nothing means that it
/// is refused at once.
pub(crate) fn limit(objective: Duration, left: Duration, waiters: usize) -> Option<Duration> {
    if waiters >= WAITERS {
        return None;
    }
    let limit = objective.mul_f64(OBJECTIVES);
    Some(limit.min(MOST).min(left / 3)).filter(|l| *l > LOOK)
}
