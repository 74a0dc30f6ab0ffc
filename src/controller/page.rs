//! Paces the parts of the roster that an instance fetches.
//!
//! Load pattern: one instance starts and needs the whole roster before it can serve, or all of them
//! start at once, and the whole rosters would fill the controller's link and its processor. So each
//! reply holds a small part, and says how soon the next one may be fetched.

use std::time::Duration;

use crate::clock::Time;

/// Maximum number of upstreams in one reply, at about 75 bytes each.
pub(crate) const PAGE_UPSTREAMS: usize = 128;

/// Number of upstreams sent per second: 11 MB, half of the smallest controller's link.
const UPSTREAMS_PER_S: f64 = 150_000.0;

/// Time for which unused room is kept.
const BURST: Duration = Duration::from_millis(250);

/// Pause before the next part while there is room, and when there is none. 300 instances that fetch
/// a part in each of the long ones take the whole rate.
const MIN_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Room for upstreams in replies.
#[derive(Debug)]
pub(crate) struct PageBudget {
    /// Number of upstreams that may be sent now.
    room: f64,
    updated: Time,
}

impl PageBudget {
    /// Creates a budget with all its room.
    pub(crate) fn new() -> Self {
        Self {
            room: Self::capacity(),
            updated: Time::default(),
        }
    }

    fn capacity() -> f64 {
        UPSTREAMS_PER_S * BURST.as_secs_f64()
    }

    /// Records that a reply holds `count` upstreams. Returns the pause before the next part.
    pub(crate) fn spend(&mut self, now: Time, count: usize) -> Duration {
        let gained = UPSTREAMS_PER_S * now.since(self.updated).min(BURST).as_secs_f64();
        self.updated = now;
        self.room = (self.room + gained).min(Self::capacity());
        self.room = (self.room - count as f64).max(0.0);
        let used = 1.0 - self.room / Self::capacity();
        MIN_PAUSE + (MAX_PAUSE - MIN_PAUSE).mul_f64(used)
    }
}
