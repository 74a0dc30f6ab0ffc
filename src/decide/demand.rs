//! Counts the requests that ask for room on the engines between two reports.
//!
//! Load pattern: hundreds of instances with about one request a second each. Room that is
//! divided among all of them goes mostly to instances that get no request before the next
//! report. It stays free while another instance's request waits for its quota, is late or is
//! refused. Room is therefore divided among the requests that ask for it, as long as they
//! are fewer than the instances.

/// Factor on the averages at each report. Between two reports most instances get one request or
/// none, so a single report doesn't tell whether one gets more than others.
const AVERAGE_DECAY: f64 = 0.9;

/// Requests that asked for room, at this instance and at all instances together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// At this instance since the last report; `None` before the first.
    asked: Option<u32>,
    /// At this instance between the latest two reports; `None` before the second.
    local: Option<u32>,
    /// At all instances between two reports; `None` until the leader reported it.
    total: Option<u32>,
    /// Decaying sums of `local` and `total`.
    recent_local: f64,
    recent_total: f64,
}

impl Demand {
    /// Records that a request asks for room.
    pub(crate) fn record_request(&mut self) {
        self.asked = self.asked.map(|asked| asked + 1);
    }

    /// Applies a report, with the number of requests at all instances if it contains one.
    /// The `waiting` requests of this instance ask again.
    pub(crate) fn update(&mut self, total: Option<u32>, waiting: u32) {
        self.local = self.asked.replace(waiting);
        self.total = total;
        if let (Some(local), Some(total)) = (self.local, total) {
            self.recent_local = self.recent_local * AVERAGE_DECAY + f64::from(local);
            self.recent_total = self.recent_total * AVERAGE_DECAY + f64::from(total);
        }
    }

    /// Number of requests at this instance between two reports, as reported to the leader.
    /// Until an instance knows it, it reports one, so that the number of instances stands
    /// in for the number of requests.
    pub(crate) fn local(&self) -> u32 {
        self.local.unwrap_or(1)
    }

    /// Ratio of the recent requests at this instance to the mean of all `instances`; 1 without any.
    pub(crate) fn crowding(&self, instances: u32) -> f64 {
        if self.recent_total < 1.0 {
            return 1.0;
        }
        self.recent_local * f64::from(instances) / self.recent_total
    }

    /// Number of parts into which room is divided: the `instances`, or the requests if these
    /// are fewer. Of the requests only the part `share` counts, from 0 to 1.
    pub(crate) fn sharers(&self, instances: u32, share: f64) -> f64 {
        let instances = f64::from(instances);
        let requests = self.total.map_or(instances, |t| f64::from(t) * share);
        requests.min(instances).max(1.0)
    }
}
