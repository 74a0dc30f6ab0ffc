//! View of the fleet in an entry instance: configuration, lease and roster. A state machine
//! without I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::configuration::{Limits, RoutingTable};
use crate::decide::instance_count::InstanceCounts;
use crate::decide::run_history::EngineStart;
use crate::fingerprint::Fingerprint;
use crate::platform::configuration;
use crate::roster::LayerRange;
use crate::sync::{
    QuarantineRecord, QuarantinedRecord, RosterDelta, SyncReply, UpstreamRecord, address_from_key,
    unpack,
};

/// An upstream as reported by the leader.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Upstream {
    pub(crate) id: Arc<str>,
    pub(crate) born: u64,
    /// See [`crate::sync::address_key`].
    pub(crate) key: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) domain: String,
    pub(crate) slots: u32,
    pub(crate) kind: Option<String>,
    pub(crate) layers: Option<LayerRange>,
    /// Whether its heartbeats are late.
    pub(crate) late: bool,
    /// Ratio of its processing time to the usual one, at least 1.
    pub(crate) pace: f64,
    /// Whether several instances found it dead.
    pub(crate) suspected: bool,
}

impl Upstream {
    /// Identifies the current start of the upstream.
    pub(crate) fn start(&self) -> EngineStart {
        EngineStart {
            id: Arc::clone(&self.id),
            born: self.born,
        }
    }
}

/// Number of entry instances that is assumed until a leader has counted them.
///
/// It is high, so that no instance takes too much room at first; in a small fleet this only makes
/// requests wait a little. After a restart of all processes, a new leader knows only the instances
/// that have polled it. By its count, the first of them would take all the room of the fastest
/// engines for its callers, as if it were the only one.
const ASSUMED_ENTRIES: u32 = 300;

/// Upstreams by service.
pub(crate) type Services = HashMap<String, Vec<Upstream>>;

/// The upstreams of a service; empty if it is unknown.
pub(crate) fn of_service<'a>(services: &'a Services, service: &str) -> &'a [Upstream] {
    services.get(service).map_or(&[], Vec::as_slice)
}

/// Snapshot of the fleet, shared with requests.
#[derive(Clone)]
pub(crate) struct View {
    /// `None` before the first configuration.
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) services: Arc<Services>,
    /// Time until which keys may be used.
    pub(crate) lease_end: Time,
    /// Number of entry instances, as counted by leaders.
    counts: InstanceCounts,
    /// Highest term of a leader.
    term: u64,
    /// Change log that `revision` refers to; see [`RosterDelta::source`].
    source: u64,
    revision: u64,
    /// Whether `services` holds every live upstream.
    complete: bool,
    /// Pause before the rest of the roster may be requested, if there is more.
    more: Option<Duration>,
    /// Upstreams in `services` that the leader hasn't reported since it began to send the
    /// roster from the start. Empty once the roster is complete.
    unreported: Arc<HashSet<Arc<str>>>,
    /// Quarantined requests, with the end of each quarantine.
    quarantine: Arc<HashMap<Fingerprint, Time>>,
    /// The leader's checksum of `quarantine`.
    quarantine_checksum: u64,
    /// Requests that the leader suspects of crashing engines.
    suspects: Arc<[Fingerprint]>,
}

/// A response to a sync request that [`View::check`] found usable.
///
/// Everything that a response changes in an entry instance takes this type, so that a response of
/// a deposed leader changes nothing.
pub(crate) struct CurrentReply {
    reply: SyncReply,
    /// The configuration in the response. Its version is that of the response.
    table: Option<Arc<RoutingTable>>,
}

impl CurrentReply {
    pub(crate) fn reply(&self) -> &SyncReply {
        &self.reply
    }
}

impl View {
    /// An empty view. Limits hold over windows of at most `window`.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            table: None,
            services: Arc::default(),
            lease_end: Time::default(),
            counts: InstanceCounts::new(window),
            term: 0,
            source: 0,
            revision: 0,
            complete: false,
            more: None,
            unreported: Arc::default(),
            quarantine: Arc::default(),
            quarantine_checksum: 0,
            suspects: Arc::default(),
        }
    }

    /// Version of the configuration; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        let table = self.table.as_ref();
        table.map_or(0, |t| t.configuration.version)
    }

    /// Maximum size of a request body, in bytes.
    pub(crate) fn body_limit(&self) -> usize {
        let limit = self.table.as_ref().map(|t| t.configuration.limits.body);
        let limit = limit.filter(|&l| l > 0);
        limit.unwrap_or(Limits::default().body)
    }

    /// Upstreams of a service at which a request can begin.
    pub(crate) fn entrances<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Upstream> {
        let found = self.table.as_ref().and_then(|t| t.service(service));
        let has_model = found.is_some_and(|s| s.model.is_some());
        let upstreams = of_service(&self.services, service).iter();
        upstreams.filter(move |u| !has_model || u.layers.is_some_and(|l| l.first == 0))
    }

    /// Highest term of a leader.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Source and revision of the roster.
    pub(crate) fn roster(&self) -> (u64, u64) {
        (self.source, self.revision)
    }

    /// Number of entry instances that share the limits over a window.
    pub(crate) fn entry_count(&self) -> u32 {
        self.counts.largest().unwrap_or(ASSUMED_ENTRIES)
    }

    /// Number of entry instances that share the room on the engines.
    pub(crate) fn active_entries(&self) -> u32 {
        self.counted_entries().unwrap_or(ASSUMED_ENTRIES)
    }

    /// Number of entry instances in a leader's latest count; `None` before the first count.
    pub(crate) fn counted_entries(&self) -> Option<u32> {
        self.counts.latest()
    }

    /// Whether the roster holds every live upstream.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the pause before the rest of the roster may be requested, if there is more.
    pub(crate) fn more_after(&self) -> Option<Duration> {
        self.more
    }

    /// Whether the configuration may be used: there is one, and its lease is held.
    pub(crate) fn is_confirmed(&self, now: Time) -> bool {
        self.table.is_some() && now < self.lease_end
    }

    /// Returns the remaining time of a request's quarantine, if it has not expired.
    pub(crate) fn quarantined(&self, now: Time, fingerprint: &Fingerprint) -> Option<Duration> {
        let until = self.quarantine.get(fingerprint)?;
        Some(until.since(now)).filter(|left| !left.is_zero())
    }

    /// Whether the leader lists a request as quarantined, even if it has expired by now.
    pub(crate) fn is_quarantined(&self, fingerprint: &Fingerprint) -> bool {
        self.quarantine.contains_key(fingerprint)
    }

    /// The quarantined requests.
    pub(crate) fn quarantine(&self) -> impl Iterator<Item = &Fingerprint> {
        self.quarantine.keys()
    }

    /// The leader's checksum of the quarantined requests.
    pub(crate) fn quarantine_checksum(&self) -> u64 {
        self.quarantine_checksum
    }

    /// Requests that the leader suspects of crashing engines.
    pub(crate) fn suspects(&self) -> &[Fingerprint] {
        &self.suspects
    }

    /// Checks whether a response to a sync request can be used. Returns `None` if it comes from a
    /// deposed leader or doesn't fit this view; then no part of it may be used.
    pub(crate) fn check(&self, reply: SyncReply) -> Option<CurrentReply> {
        // A deposed leader that doesn't know it yet may respond late. Versions never decrease.
        if reply.version < self.version() || self.is_out_of_sequence(&reply) {
            return None;
        }
        let table = match &reply.body {
            // An undecodable configuration comes from another release: the current one stays
            // until its lease runs out.
            Some(body) => {
                let decoded = configuration::decode(&unpack(body)?).ok()?;
                Some(RoutingTable::new(decoded))
            }
            None => None,
        };
        let version = match &table {
            Some(table) => table.configuration.version,
            None => self.version(),
        };
        (reply.version == version).then_some(CurrentReply { reply, table })
    }

    /// Applies a checked response to a sync request that was sent at `sent`.
    pub(crate) fn apply(&mut self, sent: Time, current: CurrentReply, lease: Duration) {
        let CurrentReply { reply, table } = current;
        if table.is_some() {
            self.table = table;
        }
        self.term = self.term.max(reply.term);
        if let Some(record) = reply.roster {
            self.merge_roster(record);
        }
        if reply.entries_known {
            self.counts.record(sent, reply.entries.max(1));
        }
        let fingerprints = reply.suspects.iter();
        let fingerprints = fingerprints.filter_map(|f| Fingerprint::try_from(&**f).ok());
        self.suspects = fingerprints.collect();
        if let Some(record) = reply.quarantine {
            self.set_quarantine(sent, &record);
        }
        // The leader's confirmation was `age` old when the request arrived, which was after it
        // was sent.
        let age = Duration::from_micros(reply.age);
        let lease_end = (sent + lease) - age;
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Replaces the quarantine. Remaining times count from when the sync request was sent,
    /// so a quarantine may end slightly early, never late.
    fn set_quarantine(&mut self, sent: Time, record: &QuarantineRecord) {
        let request = |r: &QuarantinedRecord| {
            let fingerprint = Fingerprint::try_from(&*r.fingerprint).ok()?;
            Some((fingerprint, sent + Duration::from_millis(r.remaining_ms)))
        };
        self.quarantine = Arc::new(record.requests.iter().filter_map(request).collect());
        self.quarantine_checksum = record.checksum;
    }

    /// Whether a response comes from a deposed leader, or its roster continues from another
    /// revision than this view has.
    fn is_out_of_sequence(&self, reply: &SyncReply) -> bool {
        if reply.term < self.term {
            return true;
        }
        let Some(roster) = &reply.roster else {
            return false;
        };
        roster.since != 0 && (roster.source, roster.since) != self.roster()
    }

    /// Merges a part of the roster. Until the roster is complete, upstreams that the leader
    /// hasn't reported stay, unless they have departed.
    fn merge_roster(&mut self, record: RosterDelta) {
        let mut services = Services::clone(&self.services);
        let mut unreported = HashSet::clone(&self.unreported);
        if record.since == 0 {
            let known = services.values().flatten();
            unreported = known.map(|u| u.id.clone()).collect();
        }
        let mut dropped: HashSet<&str> = record.removed.iter().map(String::as_str).collect();
        dropped.extend(record.upstreams.iter().map(|u| u.id.as_str()));
        let departed = record.departed.iter().map(|d| (d.id.as_str(), d.born));
        let departed: HashMap<&str, u64> = departed.collect();
        let addresses: HashSet<u64> = record.upstreams.iter().map(|u| u.address).collect();
        unreported.retain(|id| !dropped.contains(&**id));
        let stays = |u: &Upstream| {
            let left = departed.get(&*u.id).is_some_and(|&b| u.born <= b);
            let lost = record.complete && unreported.contains(&u.id);
            !dropped.contains(&*u.id) && !addresses.contains(&u.key) && !left && !lost
        };
        for upstreams in services.values_mut() {
            upstreams.retain(stays);
        }
        for upstream in &record.upstreams {
            let service = upstream.service.clone();
            services.entry(service).or_default().push(upstream.into());
        }
        if record.complete {
            unreported.clear();
        }
        self.services = Arc::new(services);
        self.unreported = Arc::new(unreported);
        self.source = record.source;
        self.revision = record.revision;
        self.complete = record.complete;
        let pause = Duration::from_millis(record.pause_ms.into());
        self.more = record.more.then_some(pause);
    }
}

impl From<&UpstreamRecord> for Upstream {
    fn from(record: &UpstreamRecord) -> Self {
        Self {
            layers: record.range(),
            id: record.id.as_str().into(),
            born: record.born,
            key: record.address,
            address: address_from_key(record.address),
            domain: record.domain.clone(),
            slots: record.slots,
            kind: record.kind.clone(),
            late: record.late,
            pace: f64::from(record.pace).max(1.0),
            suspected: record.suspected,
        }
    }
}
