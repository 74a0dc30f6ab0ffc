//! Time as the state machines see it.

use std::ops::{Add, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A point on one process's own monotonic clock, in microseconds. Points of
/// two processes can't be compared; only durations cross the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// Time passed since `earlier`, or zero when `earlier` is later.
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

/// A duration in whole microseconds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A duration in whole milliseconds, as messages between processes carry it.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The time of day in milliseconds since 1970; it may jump.
pub(crate) fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}

/// Source of [`Time`]. Random runs put a simulated clock here.
pub trait Clock: Send + Sync {
    /// The current point in time.
    fn now(&self) -> Time;
}

/// The machine's clock.
///
/// It reads `CLOCK_BOOTTIME`, which goes on while the machine is suspended. A
/// lease measured on `CLOCK_MONOTONIC` would seem unexpired after a virtual
/// machine was paused and resumed, and a superseded catalogue would be used.
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
