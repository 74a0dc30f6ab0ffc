//! How long a request waits for this instance to learn what it needs.
//!
//! Load pattern: all processes are killed at once and start again within a
//! second. Callers whose answers were cut off come back at that moment, and an
//! instance that refuses them for want of a configuration uses up their last
//! try, though it will know everything a second later. The same, shorter, after
//! a machine was suspended and its lease ran out meanwhile.

use std::time::Duration;

use crate::clock::Time;

/// Time after its start in which an instance still learns what it needs: an
/// election takes up to 1.2 s, and every upstream calls within 1.2 s.
const STARTING: Duration = Duration::from_secs(4);

/// Longest wait while the instance starts.
const START_WAIT: Duration = Duration::from_millis(2_500);

/// Longest wait at other times: a question to the leader and its answer, after
/// one that was lost.
const RENEWAL_WAIT: Duration = Duration::from_millis(350);

/// Whether an instance that started at `started` still learns what it needs.
pub(crate) fn is_starting(started: Time, now: Time) -> bool {
    now.since(started) < STARTING
}

/// How long a request that came at `now` may wait, of an instance that started
/// at `started`. A third of its time is left to it in any case.
pub(crate) fn limit(started: Time, now: Time, left: Duration) -> Duration {
    let most = if is_starting(started, now) {
        START_WAIT
    } else {
        RENEWAL_WAIT
    };
    most.min(left * 2 / 3)
}
