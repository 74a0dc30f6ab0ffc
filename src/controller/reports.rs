//! Loads that entry instances report to the leading controller, and the load of the other
//! instances that each is sent in return.

use std::net::SocketAddrV4;
use std::time::Duration;

use self::carriers::Carriers;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::admission::RankCounts;
use crate::decide::proxies::MAX_PROXIES;
use crate::sync::{FleetLoad, Load, RankDemand, SyncRequest, address_from_key};

mod carriers;

/// Time for which an entry instance's report is valid. It reports several times within it,
/// so an instance that is silent for longer has lost its requests, too.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Bytes per second that the leader spends on sending all instances the load of the others: a
/// quarter of a controller's link.
///
/// With 300 instances and 216 engines, each reply contains the load; with 300 and 3,000, one in 13
/// does. The longer the interval, the more requests share the free memory that one report shows,
/// and the more of them wait for the next report.
const MAX_BYTES_PER_S: f64 = 5.5e6;

/// Encoded size of one engine's load, in bytes.
const LOAD_BYTES: f64 = 20.0;

/// A sync request of which [`Reports::check`] found no newer one from the same instance.
///
/// Everything that a request changes takes this type, so that a request that its sender gave up
/// changes nothing when it arrives after its successor.
#[derive(Debug)]
pub(crate) struct CurrentRequest(SyncRequest);

impl CurrentRequest {
    pub(crate) fn request(&self) -> &SyncRequest {
        &self.0
    }
}

/// Latest report of one instance.
struct Report {
    at: Time,
    /// See [`SyncRequest::born`].
    born: u64,
    /// See [`SyncRequest::sequence`].
    sequence: u64,
    loads: Vec<Load>,
    /// Address keys of upstreams at which requests failed.
    suspects: Vec<u64>,
    /// Number of requests that asked it for free memory on engines.
    room_requests: u32,
    /// Demand by rank.
    ranks: RankSums,
    /// When it was last sent the load of the others.
    last_sent: Option<Time>,
}

/// Latest reports and their sums.
#[derive(Default)]
pub(crate) struct Reports {
    latest: HashMap<u64, Report>,
    /// Sums of the loads in `latest`, by engine. Updated with each report: summing up for each
    /// reply takes time quadratic in the number of instances.
    sums: HashMap<u64, Load>,
    /// Sum of `room_requests` in `latest`.
    room_requests: u32,
    /// Sums of `ranks` in `latest`.
    ranks: RankSums,
    /// Instances in `latest`, by whether they can carry requests of others.
    carriers: Carriers,
    /// Number of loads that were read to answer instances.
    loads_read: u64,
}

/// Demand by rank, by service. It has no entries for services without demand.
#[derive(Default)]
struct RankSums(HashMap<String, RankCounts>);

impl RankSums {
    fn new(demand: &[RankDemand]) -> Self {
        let mut sums = Self::default();
        for demand in demand {
            let sum = sums.0.entry(demand.service.clone()).or_default();
            sum.add(&RankCounts::from(demand));
        }
        sums
    }

    fn add(&mut self, other: &Self) {
        for (service, counts) in &other.0 {
            self.0.entry(service.clone()).or_default().add(counts);
        }
    }

    fn subtract(&mut self, other: &Self) {
        for (service, counts) in &other.0 {
            if let Some(sum) = self.0.get_mut(service) {
                sum.subtract(counts);
            }
        }
        self.0.retain(|_, counts| !counts.is_empty());
    }

    fn encode(&self) -> Vec<RankDemand> {
        let sums = self.0.iter();
        sums.map(|(service, counts)| counts.demand(service))
            .collect()
    }
}

impl Reports {
    /// Returns the number of instances with a valid report.
    pub(crate) fn len(&self) -> usize {
        self.latest.len()
    }

    /// Checks that no newer request of the same instance has been recorded; returns `None` if one
    /// has.
    ///
    /// The order of requests is lost when a connection fails: what the kernel still retransmits on
    /// it may arrive after what was sent on the next one. A process whose clock was set back before
    /// its start is accepted again after [`REPORT_LIFETIME`].
    pub(crate) fn check(&self, request: SyncRequest) -> Option<CurrentRequest> {
        let latest = self.latest.get(&request.instance);
        let outdated =
            latest.is_some_and(|r| (r.born, r.sequence) > (request.born, request.sequence));
        (!outdated).then_some(CurrentRequest(request))
    }

    /// Replaces the report of an instance.
    pub(crate) fn record(&mut self, now: Time, current: CurrentRequest) {
        let CurrentRequest(request) = current;
        let mut loads = request.loads;
        // `sums` has no entries for engines without requests.
        loads.retain(|l| l.requests > 0);
        for load in &loads {
            let sum = self.sums.entry(load.engine).or_insert(Load {
                engine: load.engine,
                ..Load::default()
            });
            sum.memory += load.memory;
            sum.requests += load.requests;
            sum.first_hops += load.first_hops;
        }
        self.room_requests += request.room_requests;
        let ranks = RankSums::new(&request.ranks);
        self.ranks.add(&ranks);
        let before = self.latest.remove(&request.instance);
        if let Some(before) = &before {
            self.subtract(before);
        }
        let report = Report {
            at: now,
            born: request.born,
            sequence: request.sequence,
            loads,
            suspects: request.suspects,
            room_requests: request.room_requests,
            ranks,
            last_sent: before.and_then(|b| b.last_sent),
        };
        self.carriers.set(request.instance, request.carries);
        self.latest.insert(request.instance, report);
    }

    fn subtract(&mut self, report: &Report) {
        self.room_requests -= report.room_requests;
        self.ranks.subtract(&report.ranks);
        for load in &report.loads {
            let Some(sum) = self.sums.get_mut(&load.engine) else {
                continue;
            };
            sum.memory -= load.memory;
            sum.requests -= load.requests;
            sum.first_hops -= load.first_hops;
            if sum.requests == 0 {
                self.sums.remove(&load.engine);
            }
        }
    }

    /// Doesn't count the last `paused` before `now` as silence of the instances, since this process
    /// could receive nothing.
    pub(crate) fn excuse_silence(&mut self, now: Time, paused: Duration) {
        for report in self.latest.values_mut() {
            report.at = (report.at + paused).min(now);
        }
    }

    /// Removes the reports of instances that have become silent.
    pub(crate) fn tick(&mut self, now: Time) {
        let silent = self
            .latest
            .iter()
            .filter(|(_, r)| now.since(r.at) >= REPORT_LIFETIME);
        let silent: Vec<u64> = silent.map(|(&instance, _)| instance).collect();
        for instance in silent {
            if let Some(report) = self.latest.remove(&instance) {
                self.subtract(&report);
            }
            self.carriers.remove(instance);
        }
    }

    /// Returns the load of all instances on an engine.
    pub(crate) fn load_of(&self, engine: u64) -> Load {
        self.sums.get(&engine).copied().unwrap_or_default()
    }

    /// Returns the number of instances that suspect each upstream.
    pub(crate) fn suspects(&self) -> HashMap<SocketAddrV4, usize> {
        let mut suspects = HashMap::default();
        for suspect in self.latest.values().flat_map(|r| &r.suspects) {
            *suspects.entry(address_from_key(*suspect)).or_default() += 1;
        }
        suspects
    }

    /// Returns the instances that may carry requests of `instance`, at most [`MAX_PROXIES`]: those
    /// that say that they can, or any if there are none, since they may have lost their links to
    /// other services only.
    pub(crate) fn proxies(&mut self, instance: u64) -> Vec<u64> {
        let named = self.carriers.able(instance, MAX_PROXIES);
        match named.is_empty() {
            true => self.carriers.any(instance, MAX_PROXIES),
            false => named,
        }
    }

    /// Number of records that were read to answer instances, by purpose.
    pub(crate) fn records_read(&self) -> [(&'static str, u64); 2] {
        [
            ("proxies", self.carriers.read()),
            ("loads", self.loads_read),
        ]
    }

    /// Returns the load of all instances but `instance`, if it is due to be sent again.
    pub(crate) fn others_load(&mut self, now: Time, instance: u64) -> Option<FleetLoad> {
        let period = self.period();
        let report = self.latest.get_mut(&instance)?;
        if report.last_sent.is_some_and(|at| now.since(at) < period) {
            return None;
        }
        report.last_sent = Some(now);
        self.loads_read += self.sums.len() as u64;
        let own: HashMap<u64, Load> = report.loads.iter().map(|l| (l.engine, *l)).collect();
        let others = self.sums.values().filter_map(|sum| {
            let own = own.get(&sum.engine).copied().unwrap_or_default();
            let remaining = Load {
                engine: sum.engine,
                memory: sum.memory - own.memory,
                requests: sum.requests - own.requests,
                first_hops: sum.first_hops - own.first_hops,
            };
            (remaining.requests > 0).then_some(remaining)
        });
        Some(FleetLoad {
            loads: others.collect(),
            room_requests: self.room_requests,
            ranks: self.ranks.encode(),
        })
    }

    /// Returns the period at which one instance is sent the load of the others.
    fn period(&self) -> Duration {
        let bytes = self.latest.len() as f64 * self.sums.len() as f64 * LOAD_BYTES;
        Duration::from_secs_f64(bytes / MAX_BYTES_PER_S)
    }
}
