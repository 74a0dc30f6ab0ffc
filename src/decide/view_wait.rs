//! Limits how long a request waits for this instance to receive its view of the system.
//!
//! Load pattern: all processes are killed at once and restart within a second. Callers whose
//! responses were cut off return at that moment. An instance that refused them because it has
//! no configuration yet would use up their last retry, although it has one a second later. The
//! same happens, for a shorter time, after a machine was suspended and its lease expired.

use std::time::Duration;

use crate::clock::Time;

/// Time after its start in which an instance may still lack information: an election takes up
/// to 1.2 s, and every upstream sends a heartbeat within 1.2 s.
const STARTUP: Duration = Duration::from_secs(4);

/// Maximum wait during startup.
const STARTUP_WAIT: Duration = Duration::from_millis(2_500);

/// Maximum wait at other times: a request to the leader and its response, after one that was
/// lost.
const RENEWAL_WAIT: Duration = Duration::from_millis(350);

/// Whether an instance that started at `started` may still lack information.
pub(crate) fn is_starting(started: Time, now: Time) -> bool {
    now.since(started) < STARTUP
}

/// Maximum wait of a request that arrives at `now` with time `left`, at an instance that
/// started at `started`. At least a third of the request's time remains after the wait.
pub(crate) fn limit(started: Time, now: Time, left: Duration) -> Duration {
    let most = if is_starting(started, now) {
        STARTUP_WAIT
    } else {
        RENEWAL_WAIT
    };
    most.min(left * 2 / 3)
}
