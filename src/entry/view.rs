//! What an entry instance knows of the fleet: configuration, lease, roster.
//! A state machine without I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::configuration::RoutingTable;
use crate::decide::run_history::EngineStart;
use crate::fingerprint::Fingerprint;
use crate::platform::configuration;
use crate::roster::LayerRange;
use crate::sync::{
    QuarantineRecord, QuarantinedRecord, RosterDelta, SyncReply, UpstreamRecord, address_from_key,
    unpack,
};

/// One upstream as the leader tells of it.
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
    /// How many times as long as usual it takes for its work.
    pub(crate) pace: f64,
    /// Whether several instances found it dead.
    pub(crate) suspected: bool,
}

impl Upstream {
    /// The start of the upstream.
    pub(crate) fn start(&self) -> EngineStart {
        EngineStart {
            id: Arc::clone(&self.id),
            born: self.born,
        }
    }
}

/// Entry instances that are assumed until a leader has counted them.
///
/// Guards against the herd after a restart of all processes: a new leader knows only
/// the instances that have asked it, and the first would take all the room of the
/// fastest engines for its callers, as one of one. Many are assumed: a small fleet
/// waits a little for its turn instead.
const ASSUMED_ENTRIES: u32 = 300;

/// The upstreams by service.
pub(crate) type Services = HashMap<String, Vec<Upstream>>;

/// The upstreams of one service; none of one that isn't known.
pub(crate) fn of_service<'a>(services: &'a Services, service: &str) -> &'a [Upstream] {
    services.get(service).map_or(&[], Vec::as_slice)
}

/// What is known at one time. Shared with the requests.
#[derive(Clone)]
pub(crate) struct View {
    /// `None` before the first configuration.
    pub(crate) table: Option<Arc<RoutingTable>>,
    pub(crate) services: Arc<Services>,
    /// Until when keys may be used.
    pub(crate) lease_end: Time,
    /// Entry instances as a leader counted them last.
    counted: Option<u32>,
    term: u64,
    revision: u64,
    /// Whether `services` holds every upstream that lives.
    complete: bool,
    /// Whether the leader had more to tell.
    more: bool,
    /// Upstreams in `services` that the leader hasn't told of since it began
    /// anew. Empty once the roster is complete.
    unheard: Arc<HashSet<Arc<str>>>,
    /// Quarantined requests, with the end of each quarantine.
    quarantine: Arc<HashMap<Fingerprint, Time>>,
    /// The leader's checksum of `quarantine`.
    quarantine_checksum: u64,
    /// Requests that the leader suspects of crashing engines.
    suspects: Arc<[Fingerprint]>,
}

impl View {
    /// Knows nothing.
    pub(crate) fn new() -> Self {
        Self {
            table: None,
            services: Arc::default(),
            lease_end: Time::default(),
            counted: None,
            term: 0,
            revision: 0,
            complete: false,
            more: false,
            unheard: Arc::default(),
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

    /// Term and revision of the roster.
    pub(crate) fn roster(&self) -> (u64, u64) {
        (self.term, self.revision)
    }

    /// Entry instances that share the limits.
    pub(crate) fn entry_count(&self) -> u32 {
        self.counted.unwrap_or(ASSUMED_ENTRIES)
    }

    /// Entry instances as a leader counted them; `None` before it did.
    pub(crate) fn counted_entries(&self) -> Option<u32> {
        self.counted
    }

    /// Whether the roster holds every upstream that lives.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the leader has more to tell already.
    pub(crate) fn has_more(&self) -> bool {
        self.more
    }

    /// Whether the configuration may be acted on.
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

    /// Takes in the answer to a question that was sent at `sent`. Returns
    /// whether it could be used.
    pub(crate) fn apply(&mut self, sent: Time, state: SyncReply, lease: Duration) -> bool {
        // A deposed leader that doesn't know yet may answer late. Nothing ever
        // goes back.
        if state.version < self.version() || self.is_unfit(&state) {
            return false;
        }
        if let Some(body) = &state.body {
            // Undecodable text means an instance of another release: what is
            // in force stays, and its lease runs out.
            let decoded = unpack(body).and_then(|b| configuration::decode(&b).ok());
            let Some(decoded) = decoded else {
                return false;
            };
            self.table = Some(RoutingTable::new(decoded));
        }
        if state.version != self.version() {
            return false;
        }
        if let Some(record) = state.roster {
            self.merge(record);
        }
        if state.entries_known {
            self.counted = Some(state.entries.max(1));
        }
        let fingerprints = state.suspects.iter();
        let fingerprints = fingerprints.filter_map(|f| Fingerprint::try_from(&**f).ok());
        self.suspects = fingerprints.collect();
        if let Some(record) = state.quarantine {
            self.set_quarantine(sent, &record);
        }
        // The leader confirmed `age` before the question reached it, and it
        // reached it after it was sent.
        let age = Duration::from_micros(state.age);
        let lease_end = (sent + lease) - age;
        self.lease_end = self.lease_end.max(lease_end);
        true
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

    /// Whether the roster comes from a deposed leader, or goes on after
    /// another part than this view has.
    fn is_unfit(&self, state: &SyncReply) -> bool {
        let Some(roster) = &state.roster else {
            return false;
        };
        let fits = roster.since == 0 || (roster.term, roster.since) == self.roster();
        roster.term < self.term || !fits
    }

    /// Takes in a part of the roster. Until the leader has told of all that it
    /// heard, and has heard all, those of which it hasn't told stay, but for
    /// the ones that have left.
    fn merge(&mut self, record: RosterDelta) {
        let mut services = Services::clone(&self.services);
        let mut unheard = HashSet::clone(&self.unheard);
        if record.since == 0 {
            let known = services.values().flatten();
            unheard = known.map(|u| u.id.clone()).collect();
        }
        let mut dropped: HashSet<&str> = record.removed.iter().map(String::as_str).collect();
        dropped.extend(record.upstreams.iter().map(|u| u.id.as_str()));
        let departed = record.departed.iter().map(|d| (d.id.as_str(), d.born));
        let departed: HashMap<&str, u64> = departed.collect();
        let taken: HashSet<u64> = record.upstreams.iter().map(|u| u.address).collect();
        unheard.retain(|id| !dropped.contains(&**id));
        let stays = |u: &Upstream| {
            let left = departed.get(&*u.id).is_some_and(|&b| u.born <= b);
            let lost = record.complete && unheard.contains(&u.id);
            !dropped.contains(&*u.id) && !taken.contains(&u.key) && !left && !lost
        };
        for upstreams in services.values_mut() {
            upstreams.retain(stays);
        }
        for upstream in &record.upstreams {
            let service = upstream.service.clone();
            services.entry(service).or_default().push(upstream.into());
        }
        if record.complete {
            unheard.clear();
        }
        self.services = Arc::new(services);
        self.unheard = Arc::new(unheard);
        self.term = record.term;
        self.revision = record.revision;
        self.complete = record.complete;
        self.more = record.more;
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
