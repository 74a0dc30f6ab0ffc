//! Monotonic time of the state machines, and the wall clock.

use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time on a process's own monotonic clock, in microseconds. Times of two processes can't be
/// compared, so messages between processes carry only durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(micros(rhs)))
    }
}

/// Converts a duration to whole microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole milliseconds, the unit in messages between processes.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Wall-clock time in milliseconds since 1970. May jump.
pub(crate) fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}

/// Source of [`Time`]. Randomised tests use a simulated clock.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Time;
}

/// The machine's clock.
///
/// Reads `CLOCK_BOOTTIME`, which advances while the machine is suspended. A lease measured with
/// `CLOCK_MONOTONIC` would seem unexpired after a virtual machine was paused and resumed, and a
/// superseded catalogue would be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Time {
        let ts = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(ts.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(ts.tv_nsec).unwrap_or(0);
        Time(secs * 1_000_000 + nanos / 1_000)
    }
}
