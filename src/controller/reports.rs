//! Loads that entry instances report to a controller, and the load of the other instances that
//! each is sent in return.
//!
//! The leader also receives the sums of its followers. A follower adds what the leader sends of
//! the instances that it doesn't answer itself. Both send only what changed since the revision that
//! the other has: they do so many times a second, and most engines are as before.

use std::net::SocketAddrV4;
use std::time::Duration;

use self::carriers::Carriers;
use self::ranks::RankSums;
use self::sums::LoadSums;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::proxies::MAX_PROXIES;
use crate::sync::{
    FleetLoad, FollowerReport, Load, SuspectCount, SyncRequest, address_from_key, address_key,
};

mod carriers;
mod others;
mod ranks;
mod sums;

/// Time for which an entry instance's report is valid. It reports several times within it,
/// so an instance that is silent for longer has lost its requests, too.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum number of instances that a follower names as able to carry requests.
const MAX_CARRIERS: usize = 32;

/// A sync request of which [`Reports::check`] found no newer one from the same instance, and whose
/// loads are all, or continue those in the instance's report.
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
    /// By engine.
    loads: HashMap<u64, Load>,
    /// Upstreams at which requests failed.
    suspects: Vec<SuspectCount>,
    /// Instances that the report covers, in the follower's case.
    follower: Option<FollowerReport>,
    /// Number of requests that asked it for free memory on engines.
    room_requests: u32,
    /// Demand by rank.
    ranks: RankSums,
    /// When it was last sent the load of the others, and the number of engines in it.
    last_sent: Option<(Time, usize)>,
}

impl Report {
    /// Number of entry instances that the report covers.
    fn entries(&self) -> u32 {
        self.follower.as_ref().map_or(1, |f| f.entries)
    }

    /// Subtracts the load in this report from a sum that contains it.
    fn without_own(&self, sum: Load) -> Load {
        let own = self.loads.get(&sum.engine);
        own.map_or(sum, |own| sum.minus(own))
    }

    /// See [`FollowerReport::revision`].
    fn revision(&self) -> u64 {
        self.follower.as_ref().map_or(0, |f| f.revision)
    }
}

/// Latest reports and their sums.
#[derive(Default)]
pub(crate) struct Reports {
    latest: HashMap<u64, Report>,
    /// Number of entry instances that `latest` covers.
    entries: u32,
    /// Instances that other controllers answer; none at the leader.
    remote: Remote,
    /// Sums of the loads in `latest`. Updated with each report: summing up for each reply takes
    /// time quadratic in the number of instances.
    sums: LoadSums,
    /// Revision of `sums` that the leader has; 0 if that isn't known, as from each request until
    /// its reply is applied.
    received: u64,
    /// Sum of `room_requests` in `latest`.
    room_requests: u32,
    /// Sums of `ranks` in `latest`.
    ranks: RankSums,
    /// Instances that may carry requests of others.
    carriers: Carriers,
    /// Number of loads that were read to answer instances.
    loads_read: u64,
}

/// What the leader sent of the instances that other controllers answer.
#[derive(Default)]
struct Remote {
    loads: HashMap<u64, Load>,
    room_requests: u32,
    ranks: RankSums,
    /// Some that can carry requests.
    carriers: Vec<u64>,
    /// Position of `loads`; see [`FleetLoad::source`].
    source: u64,
    revision: u64,
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

    /// Checks that no newer request of the same instance has been recorded, and that its loads are
    /// all or continue those recorded. Otherwise returns `None`; a follower then sends all.
    ///
    /// The order of requests is lost when a connection fails: what the kernel still retransmits on
    /// it may arrive after what was sent on the next one. A process whose clock was set back before
    /// its start is accepted again after [`REPORT_LIFETIME`].
    pub(crate) fn check(&self, request: SyncRequest) -> Option<CurrentRequest> {
        let latest = self.latest.get(&request.instance);
        let outdated =
            latest.is_some_and(|r| (r.born, r.sequence) > (request.born, request.sequence));
        let since = request.follower.as_ref().map_or(0, |f| f.since);
        let continues = |r: &Report| r.born == request.born && r.revision() >= since;
        let usable = !outdated && (since == 0 || latest.is_some_and(continues));
        usable.then_some(CurrentRequest(request))
    }

    /// Replaces the report of an instance.
    pub(crate) fn record(&mut self, now: Time, current: CurrentRequest) {
        let CurrentRequest(request) = current;
        let mut before = self.latest.remove(&request.instance);
        let loads = self.replace_loads(before.as_mut(), &request);
        self.room_requests += request.room_requests;
        let ranks = RankSums::new(&request.ranks);
        self.ranks.add(&ranks);
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

    /// Replaces the loads of an instance in the sums. Takes them out of the report before, and returns
    /// those of its next report.
    fn replace_loads(
        &mut self,
        before: Option<&mut Report>,
        request: &SyncRequest,
    ) -> HashMap<u64, Load> {
        let mut known = before.map_or_else(HashMap::default, |b| std::mem::take(&mut b.loads));
        let mut loads = HashMap::default();
        if request.follower.as_ref().is_some_and(|f| f.since > 0) {
            loads = std::mem::take(&mut known);
        }
        for load in &request.loads {
            let after = Some(load).filter(|l| l.requests > 0);
            let old = match after {
                Some(load) => loads.insert(load.engine, *load),
                None => loads.remove(&load.engine),
            };
            let old = old.or_else(|| known.remove(&load.engine));
            self.sums.replace(load.engine, old.as_ref(), after);
        }
        for (engine, old) in known {
            self.sums.replace(engine, Some(&old), None);
        }
        loads
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
        for (engine, load) in &report.loads {
            self.sums.replace(*engine, Some(load), None);
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
        self.sums.get(engine)
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

    /// Whether loads that the leader sent are all, or continue those known.
    pub(crate) fn fits(&self, load: &FleetLoad) -> bool {
        let remote = &self.remote;
        load.since == 0 || (load.source, load.since) == (remote.source, remote.revision)
    }

    /// Updates the load of the instances that other controllers answer with what the leader sent,
    /// if it fits.
    pub(crate) fn merge_remote(&mut self, load: &FleetLoad) {
        let remote = &mut self.remote;
        if load.since == 0 {
            remote.loads.clear();
        }
        for load in &load.loads {
            match load.requests {
                0 => remote.loads.remove(&load.engine),
                _ => remote.loads.insert(load.engine, *load),
            };
        }
        remote.room_requests = load.room_requests;
        remote.ranks = RankSums::new(&load.ranks);
        (remote.source, remote.revision) = (load.source, load.revision);
    }

    /// Replaces the instances of other controllers that can carry requests.
    pub(crate) fn set_remote_carriers(&mut self, carriers: &[u64]) {
        self.remote.carriers = carriers.to_vec();
    }

    /// Forgets what the leader sent of the instances that other controllers answer.
    pub(crate) fn clear_remote(&mut self) {
        self.remote = Remote::default();
    }

    /// Records up to which revision the leader has the loads that [`Self::add_sums`] adds; 0 if that
    /// isn't known.
    pub(crate) fn set_received(&mut self, revision: u64) {
        self.received = revision;
    }

    /// Adds the sums of all reports to a follower's request. `ready` tells whether it can answer
    /// instances.
    pub(crate) fn add_sums(&mut self, domain: &str, ready: bool, request: &mut SyncRequest) {
        // Without a usable reply, the next request contains all loads.
        let known = std::mem::take(&mut self.received);
        let (since, loads) = self.sums.changed_since(known);
        request.loads = loads;
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
            since,
            revision: self.sums.revision(),
            known_source: self.remote.source,
            known_revision: self.remote.revision,
        });
    }

    /// Returns the instances that may carry requests of `instance`, at most [`MAX_PROXIES`]: those
    /// that say that they can, or any if there are none, since they may have lost their links to
    /// other services only.
    pub(crate) fn proxies(&mut self, instance: u64) -> Vec<u64> {
        let mut named = self.carriers.able(instance, MAX_PROXIES);
        let remote = self.remote.carriers.iter().copied();
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
}
