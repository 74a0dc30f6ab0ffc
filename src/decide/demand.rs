//! How many requests ask for room on the engines between two reports.
//!
//! Load pattern: hundreds of instances with about one request a second each. Room
//! that is divided among all of them falls mostly to those that have no request in
//! hand before the next report; it stays free while another instance's request
//! waits for its turn, is late or is refused. So room is divided among the requests
//! that ask for it, as long as they are fewer than the instances.

/// Requests that asked for room, here and at all instances together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Here, since the last report.
    asked: u32,
    /// Here, between the latest two reports; 1 before there were two.
    own: u32,
    /// At all instances, between two reports; `None` until it was told.
    all: Option<u32>,
    /// Whether a report has come.
    begun: bool,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            asked: 0,
            // While instances don't know, their number stands for their requests.
            own: 1,
            all: None,
            begun: false,
        }
    }
}

impl Demand {
    /// Notes that a request asks for room.
    pub(crate) fn ask(&mut self) {
        self.asked += 1;
    }

    /// Notes a report, and the requests at all instances if it tells of them. The
    /// `waiting` ones ask again.
    pub(crate) fn learn(&mut self, all: Option<u32>, waiting: u32) {
        // What came before the first report tells of no whole span.
        if self.begun {
            self.own = self.asked;
        }
        self.begun = true;
        self.asked = waiting;
        self.all = all;
    }

    /// Requests at this instance between two reports, to be told.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Among how many the room is divided: the `instances`, or the requests if
    /// these are fewer.
    pub(crate) fn sharers(&self, instances: u32) -> f64 {
        let requests = self.all.unwrap_or(instances);
        f64::from(requests.min(instances).max(1))
    }
}
