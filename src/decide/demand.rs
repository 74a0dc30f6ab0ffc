//! How many requests ask for room on the engines between two reports.
//!
//! Load pattern: hundreds of instances with about one request a second each. Room
//! that is divided among all of them falls mostly to those that have no request in
//! hand before the next report; it stays free while another instance's request
//! waits for its turn, is late or is refused. So room is divided among the requests
//! that ask for it, as long as they are fewer than the instances.

/// Requests that asked for room, here and at all instances together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    /// Here, since the last report; `None` before the first.
    asked: Option<u32>,
    /// Here, between the latest two reports; `None` before there were two.
    local: Option<u32>,
    /// At all instances, between two reports; `None` until it was told.
    all: Option<u32>,
}

impl Demand {
    /// Notes that a request asks for room.
    pub(crate) fn record_request(&mut self) {
        self.asked = self.asked.map(|asked| asked + 1);
    }

    /// Notes a report, and the requests at all instances if it tells of them. The
    /// `waiting` ones ask again.
    pub(crate) fn update(&mut self, all: Option<u32>, waiting: u32) {
        self.local = self.asked.replace(waiting);
        self.all = all;
    }

    /// Requests at this instance between two reports, to be told. While instances
    /// don't know, their number stands for that of their requests.
    pub(crate) fn local(&self) -> u32 {
        self.local.unwrap_or(1)
    }

    /// Among how many the room is divided: the `instances`, or the requests if
    /// these are fewer.
    pub(crate) fn sharers(&self, instances: u32) -> f64 {
        let requests = self.all.unwrap_or(instances);
        f64::from(requests.min(instances).max(1))
    }
}
