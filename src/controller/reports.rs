//! Loads that entry instances report to a controller, and the load of the other instances that
//! each is sent in return.
//!
//! The leader also receives the sums of its followers. A follower adds what the leader sends of
//! the instances that it doesn't answer itself.

use std::net::SocketAddrV4;
use std::time::Duration;

use self::carriers::Carriers;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::admission::RankCounts;
use crate::decide::proxies::MAX_PROXIES;
use crate::sync::{
    FleetLoad, FollowerReport, Load, RankDemand, SuspectCount, SyncRequest, address_from_key,
    address_key,
};

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

/// Maximum number of instances that a follower names as able to carry requests.
const MAX_CARRIERS: usize = 32;

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

/// Latest report of one entry instance or follower.
struct Report {
    at: Time,
    /// See [`SyncRequest::born`].
    born: u64,
    /// See [`SyncRequest::sequence`].
    sequence: u64,
    loads: Vec<Load>,
    /// Upstreams at which requests failed.
    suspects: Vec<SuspectCount>,
    /// Instances that the report covers, in the follower's case.
    follower: Option<FollowerReport>,
    /// Number of requests that asked it for free memory on engines.
    room_requests: u32,
    /// Demand by rank.
    ranks: RankSums,
    /// When it was last sent the load of the others.
    last_sent: Option<Time>,
}

impl Report {
    /// Number of entry instances that the report covers.
    fn entries(&self) -> u32 {
        self.follower.as_ref().map_or(1, |f| f.entries)
    }
}

/// Latest reports and their sums.
#[derive(Default)]
pub(crate) struct Reports {
    latest: HashMap<u64, Report>,
    /// Number of entry instances that `latest` covers.
    entries: u32,
    /// Load of the instances that other controllers answer; none at the leader.
    remote: HashMap<u64, Load>,
    /// The other sums of those instances.
    remote_demand: Demand,
    /// Some of those instances that can carry requests.
    remote_carriers: Vec<u64>,
    /// Sums of the loads in `latest`, by engine. Updated with each report: summing up for each
    /// reply takes time quadratic in the number of instances.
    sums: HashMap<u64, Load>,
    /// Sum of `room_requests` in `latest`.
    room_requests: u32,
    /// Sums of `ranks` in `latest`.
    ranks: RankSums,
    /// Instances that may carry requests of others.
    carriers: Carriers,
    /// Number of loads that were read to answer instances.
    loads_read: u64,
}

/// Demand of the instances that other controllers answer.
#[derive(Default)]
struct Demand {
    room_requests: u32,
    ranks: RankSums,
}

/// Demand by rank, by service. It has no entries for services without demand.
#[derive(Clone, Default)]
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
    /// Returns the number of entry instances that valid reports cover.
    pub(crate) fn len(&self) -> usize {
        self.entries as usize
    }

    /// Returns the followers with a valid report that can answer instances, and their failure
    /// domains, ordered by id.
    pub(crate) fn followers(&self) -> Vec<(u64, &str)> {
        let followers = self.latest.iter().filter_map(|(id, report)| {
            let follower = report.follower.as_ref().filter(|f| f.ready)?;
            Some((*id, follower.domain.as_str()))
        });
        let mut followers: Vec<(u64, &str)> = followers.collect();
        followers.sort_unstable();
        followers
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
        let single = |address| SuspectCount {
            address,
            instances: 1,
        };
        let mut suspects: Vec<_> = request.suspects.into_iter().map(single).collect();
        match &request.follower {
            Some(follower) => {
                suspects.extend(&follower.suspects);
                let known = before.as_ref().and_then(|b| b.follower.as_ref());
                self.replace_carriers(known, follower);
            }
            None => self.carriers.set(request.instance, request.carries),
        }
        let report = Report {
            at: now,
            born: request.born,
            sequence: request.sequence,
            loads,
            suspects,
            follower: request.follower,
            room_requests: request.room_requests,
            ranks,
            last_sent: before.and_then(|b| b.last_sent),
        };
        self.entries += report.entries();
        self.latest.insert(request.instance, report);
    }

    /// Replaces the instances that a follower named as able to carry requests.
    fn replace_carriers(&mut self, before: Option<&FollowerReport>, now: &FollowerReport) {
        let gone = before.into_iter().flat_map(|b| &b.carriers);
        for instance in gone.filter(|id| !now.carriers.contains(id)) {
            self.carriers.remove(*instance);
        }
        for instance in &now.carriers {
            self.carriers.set(*instance, true);
        }
    }

    fn subtract(&mut self, report: &Report) {
        self.entries -= report.entries();
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
                let named = report.follower.iter().flat_map(|f| &f.carriers);
                for carrier in named.chain([&instance]) {
                    self.carriers.remove(*carrier);
                }
            }
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
            let address = address_from_key(suspect.address);
            *suspects.entry(address).or_default() += suspect.instances as usize;
        }
        suspects
    }

    /// Replaces the load of the instances that other controllers answer, as the leader sent it.
    pub(crate) fn set_remote(&mut self, load: &FleetLoad) {
        self.remote = load.loads.iter().map(|l| (l.engine, *l)).collect();
        self.remote_demand = Demand {
            room_requests: load.room_requests,
            ranks: RankSums::new(&load.ranks),
        };
    }

    /// Replaces the instances of other controllers that can carry requests.
    pub(crate) fn set_remote_carriers(&mut self, carriers: &[u64]) {
        self.remote_carriers = carriers.to_vec();
    }

    /// Forgets what the leader sent of the instances that other controllers answer.
    pub(crate) fn clear_remote(&mut self) {
        self.remote.clear();
        self.remote_demand = Demand::default();
        self.remote_carriers.clear();
    }

    /// Adds the sums of all reports to a follower's request. `ready` tells whether it can answer
    /// instances.
    pub(crate) fn add_sums(&mut self, domain: &str, ready: bool, request: &mut SyncRequest) {
        request.loads = self.sums.values().copied().collect();
        request.room_requests = self.room_requests;
        request.ranks = self.ranks.encode();
        let suspects = self.suspects().into_iter();
        let suspects = suspects.map(|(address, instances)| SuspectCount {
            address: address_key(address),
            instances: u32::try_from(instances).unwrap_or(u32::MAX),
        });
        request.follower = Some(FollowerReport {
            domain: domain.to_owned(),
            entries: self.entries,
            suspects: suspects.collect(),
            carriers: self.carriers.able(request.instance, MAX_CARRIERS),
            ready,
        });
    }

    /// Returns the instances that may carry requests of `instance`, at most [`MAX_PROXIES`]: those
    /// that say that they can, or any if there are none, since they may have lost their links to
    /// other services only.
    pub(crate) fn proxies(&mut self, instance: u64) -> Vec<u64> {
        let mut named = self.carriers.able(instance, MAX_PROXIES);
        let remote = self.remote_carriers.iter().copied();
        let remote: Vec<u64> = remote
            .filter(|id| *id != instance && !named.contains(id))
            .take(MAX_PROXIES - named.len())
            .collect();
        named.extend(remote);
        if named.is_empty() {
            named = self.carriers.any(instance, MAX_PROXIES);
        }
        named
    }

    /// Number of records that were read to answer instances, by purpose.
    pub(crate) fn records_read(&self) -> [(&'static str, u64); 2] {
        [
            ("proxies", self.carriers.read()),
            ("loads", self.loads_read),
        ]
    }

    /// Returns the load of all instances but those of `instance`, if it is due to be sent again.
    pub(crate) fn others_load(&mut self, now: Time, instance: u64) -> Option<FleetLoad> {
        let period = self.period();
        let report = self.latest.get_mut(&instance)?;
        if report.last_sent.is_some_and(|at| now.since(at) < period) {
            return None;
        }
        report.last_sent = Some(now);
        // A leader's sums contain the follower's own, which it adds itself.
        let mut ranks = self.ranks.clone();
        let room_requests = match report.follower {
            Some(_) => {
                ranks.subtract(&report.ranks);
                self.room_requests - report.room_requests
            }
            None => {
                ranks.add(&self.remote_demand.ranks);
                self.room_requests + self.remote_demand.room_requests
            }
        };
        self.loads_read += (self.sums.len() + self.remote.len()) as u64;
        let own: HashMap<u64, Load> = report.loads.iter().map(|l| (l.engine, *l)).collect();
        let local = self.sums.values().map(|sum| {
            let remote = self.remote.get(&sum.engine).copied().unwrap_or_default();
            let own = own.get(&sum.engine).copied().unwrap_or_default();
            Load {
                engine: sum.engine,
                memory: sum.memory + remote.memory - own.memory,
                requests: sum.requests + remote.requests - own.requests,
                first_hops: sum.first_hops + remote.first_hops - own.first_hops,
            }
        });
        let only_remote = self.remote.values();
        let only_remote = only_remote.filter(|l| !self.sums.contains_key(&l.engine));
        let loads = local.chain(only_remote.copied());
        Some(FleetLoad {
            loads: loads.filter(|l| l.requests > 0).collect(),
            room_requests,
            ranks: ranks.encode(),
        })
    }

    /// Returns the period at which one instance is sent the load of the others.
    fn period(&self) -> Duration {
        let engines = self.sums.len().max(self.remote.len());
        let bytes = self.latest.len() as f64 * engines as f64 * LOAD_BYTES;
        Duration::from_secs_f64(bytes / MAX_BYTES_PER_S)
    }
}
