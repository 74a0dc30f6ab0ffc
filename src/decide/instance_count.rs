//! Counts the entry instances among which a limit is divided.
//!
//! Load pattern: a new leader counts the instances that have polled it so far, and an instance that
//! is frozen or cut off is dropped from the count while what it sent still counts against limits
//! over a window, and while it still sends. Dividing by such a count gives several times the
//! limit to the others. The largest count within the window is therefore used.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;

/// Latest counts of the instances.
#[derive(Clone, Debug)]
pub(crate) struct InstanceCounts {
    retention: Duration,
    /// Counts with the time of their first report, in order of time. Each is larger than all later
    /// ones, and all but the first began within the retention.
    counts: VecDeque<(Time, u32)>,
}

impl InstanceCounts {
    /// Counts are retained for `retention`; the latest one is always.
    pub(crate) fn new(retention: Duration) -> Self {
        Self {
            retention,
            counts: VecDeque::new(),
        }
    }

    /// Records a leader's count.
    pub(crate) fn record(&mut self, now: Time, count: u32) {
        while self.counts.back().is_some_and(|(_, c)| *c < count) {
            self.counts.pop_back();
        }
        if self.latest() != Some(count) {
            self.counts.push_back((now, count));
        }
        // A count holds until the next one.
        while self.counts.len() > 1 && now.since(self.counts[1].0) >= self.retention {
            self.counts.pop_front();
        }
    }

    /// Returns the largest retained count; `None` before the first.
    pub(crate) fn largest(&self) -> Option<u32> {
        self.counts.front().map(|(_, count)| *count)
    }

    /// Returns the latest count; `None` before the first.
    pub(crate) fn latest(&self) -> Option<u32> {
        self.counts.back().map(|(_, count)| *count)
    }
}
