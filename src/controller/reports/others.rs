//! Load of the other instances, as each instance or follower is sent it.

use std::time::Duration;

use super::{Report, Reports};
use crate::clock::Time;
use crate::sync::{FleetLoad, Load};

/// Bytes per second that a controller spends on sending others the load of the rest: a quarter of its
/// link.
///
/// With 300 instances and 216 engines, each reply contains the load; with 300 and 3,000, one in 13
/// does. The longer the interval, the more requests share the free memory that one report shows,
/// and the more of them wait for the next report.
const MAX_BYTES_PER_S: f64 = 5.5e6;

/// Encoded size of one engine's load, in bytes.
const LOAD_BYTES: f64 = 20.0;

impl Reports {
    /// Returns the load of all instances but those of `instance`, if it is due to be sent again.
    pub(crate) fn others_load(&mut self, now: Time, instance: u64) -> Option<FleetLoad> {
        let report = self.due_report(now, instance)?;
        let remote = &self.remote;
        let local = self.sums.values().map(|sum| {
            let others = remote.loads.get(&sum.engine);
            report.without_own(others.map_or(*sum, |r| sum.plus(r)))
        });
        let only_remote = remote.loads.values();
        let only_remote = only_remote.filter(|l| self.sums.get(l.engine).requests == 0);
        let loads = local.chain(only_remote.copied());
        let loads: Vec<Load> = loads.filter(|l| l.requests > 0).collect();
        let mut ranks = self.ranks.clone();
        ranks.add(&remote.ranks);
        let load = FleetLoad {
            room_requests: self.room_requests + remote.room_requests,
            ranks: ranks.encode(),
            loads,
            ..FleetLoad::default()
        };
        self.loads_read += (self.sums.len() + remote.loads.len()) as u64;
        self.note_sent(now, instance, load.loads.len());
        Some(load)
    }

    /// Returns what changed in the load of all instances but those of a follower since the revision
    /// that it has, if it is due to be sent again. `source` identifies this change log.
    pub(crate) fn others_changes(
        &mut self,
        now: Time,
        instance: u64,
        source: u64,
    ) -> Option<FleetLoad> {
        let report = self.due_report(now, instance)?;
        let follower = report.follower.as_ref()?;
        let known = match follower.known_source == source {
            true => follower.known_revision,
            false => 0,
        };
        let (since, changed) = self.sums.changed_since(known);
        // The sums contain the follower's own demand, which it adds itself.
        let mut ranks = self.ranks.clone();
        ranks.subtract(&report.ranks);
        let load = FleetLoad {
            loads: changed.into_iter().map(|l| report.without_own(l)).collect(),
            room_requests: self.room_requests - report.room_requests,
            ranks: ranks.encode(),
            source,
            since,
            revision: self.sums.revision(),
        };
        self.loads_read += load.loads.len() as u64;
        self.note_sent(now, instance, load.loads.len());
        Some(load)
    }

    /// Returns the report of an instance that is due to be sent the load of the others.
    fn due_report(&self, now: Time, instance: u64) -> Option<&Report> {
        let report = self.latest.get(&instance)?;
        let due = |(at, engines): (Time, usize)| now.since(at) >= self.period(engines);
        report.last_sent.is_none_or(due).then_some(report)
    }

    fn note_sent(&mut self, now: Time, instance: u64, engines: usize) {
        if let Some(report) = self.latest.get_mut(&instance) {
            report.last_sent = Some((now, engines));
        }
    }

    /// Returns the period after which an instance that was sent the load of that many engines is
    /// sent it again.
    fn period(&self, engines: usize) -> Duration {
        let bytes = self.latest.len() as f64 * engines as f64 * LOAD_BYTES;
        Duration::from_secs_f64(bytes / MAX_BYTES_PER_S)
    }
}
