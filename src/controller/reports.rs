//! What the entry instances report to the leading controller, and what each is
//! told of the others.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::sync::{FleetLoad, Load, SyncRequest, address_from_key};

/// Time for which an entry instance's report counts. It reports several times
/// in that time, so one that is silent for longer has lost its requests too.
const LIFE: Duration = Duration::from_secs(2);

/// Bytes in a second that the leader spends to tell all instances of the work
/// of the others: a quarter of a controller's link. With 300 instances before 216
/// engines each answer tells of it; with 300 before 3,000 one in 13 does. Told less
/// often, instances share the room with the requests of a longer time, and more of
/// theirs wait for the next report.
const BYTES_PER_S: f64 = 5.5e6;

/// Bytes that tell of one engine's work.
const LOAD_BYTES: f64 = 20.0;

/// One instance's latest report.
struct Report {
    at: Time,
    loads: Vec<Load>,
    /// Addresses of upstreams at which requests failed.
    suspects: Vec<u64>,
    /// Requests that asked it for room.
    room_requests: u32,
    /// When it was last told of the others' work.
    told: Option<Time>,
}

/// The latest reports, and their sum.
#[derive(Default)]
pub(crate) struct Reports {
    latest: HashMap<u64, Report>,
    /// Sum of the loads in `latest`, by engine. Kept up with each report:
    /// summed up for each answer, it takes the square of the instances.
    sums: HashMap<u64, Load>,
    /// Sum of `room_requests` in `latest`, kept up likewise.
    room_requests: u32,
}

impl Reports {
    /// Instances that report.
    pub(crate) fn len(&self) -> usize {
        self.latest.len()
    }

    /// Takes in the report of an instance.
    pub(crate) fn take(&mut self, now: Time, ask: SyncRequest) {
        let mut loads = ask.loads;
        // An engine without requests has no sum.
        loads.retain(|l| l.requests > 0);
        for load in &loads {
            let sum = self.sums.entry(load.engine).or_insert(Load {
                engine: load.engine,
                ..Load::default()
            });
            sum.memory += load.memory;
            sum.requests += load.requests;
            sum.entered += load.entered;
        }
        self.room_requests += ask.room_requests;
        let before = self.latest.remove(&ask.instance);
        if let Some(before) = &before {
            self.subtract(before);
        }
        let report = Report {
            at: now,
            loads,
            suspects: ask.suspects,
            room_requests: ask.room_requests,
            told: before.and_then(|b| b.told),
        };
        self.latest.insert(ask.instance, report);
    }

    fn subtract(&mut self, report: &Report) {
        self.room_requests -= report.room_requests;
        for load in &report.loads {
            let Some(sum) = self.sums.get_mut(&load.engine) else {
                continue;
            };
            sum.memory -= load.memory;
            sum.requests -= load.requests;
            sum.entered -= load.entered;
            if sum.requests == 0 {
                self.sums.remove(&load.engine);
            }
        }
    }

    /// Drops the reports of instances that fell silent.
    pub(crate) fn tick(&mut self, now: Time) {
        let silent = self.latest.iter().filter(|(_, r)| now.since(r.at) >= LIFE);
        let silent: Vec<u64> = silent.map(|(&instance, _)| instance).collect();
        for instance in silent {
            if let Some(report) = self.latest.remove(&instance) {
                self.subtract(&report);
            }
        }
    }

    /// Work of all instances at an engine.
    pub(crate) fn at(&self, engine: u64) -> Load {
        self.sums.get(&engine).copied().unwrap_or_default()
    }

    /// Instances by the upstream that they found dead.
    pub(crate) fn suspects(&self) -> HashMap<SocketAddrV4, usize> {
        let mut suspects = HashMap::default();
        for suspect in self.latest.values().flat_map(|r| &r.suspects) {
            *suspects.entry(address_from_key(*suspect)).or_default() += 1;
        }
        suspects
    }

    /// What the others than `instance` have at work, if it is time to tell it
    /// again.
    pub(crate) fn tell(&mut self, now: Time, instance: u64) -> Option<FleetLoad> {
        let period = self.period();
        let report = self.latest.get_mut(&instance)?;
        if report.told.is_some_and(|at| now.since(at) < period) {
            return None;
        }
        report.told = Some(now);
        let own: HashMap<u64, Load> = report.loads.iter().map(|l| (l.engine, *l)).collect();
        let others = self.sums.values().filter_map(|sum| {
            let own = own.get(&sum.engine).copied().unwrap_or_default();
            let rest = Load {
                engine: sum.engine,
                memory: sum.memory - own.memory,
                requests: sum.requests - own.requests,
                entered: sum.entered - own.entered,
            };
            (rest.requests > 0).then_some(rest)
        });
        Some(FleetLoad {
            loads: others.collect(),
            room_requests: self.room_requests,
        })
    }

    /// Period at which one instance is told of the others' work.
    fn period(&self) -> Duration {
        let bytes = self.latest.len() as f64 * self.sums.len() as f64 * LOAD_BYTES;
        Duration::from_secs_f64(bytes / BYTES_PER_S)
    }
}
