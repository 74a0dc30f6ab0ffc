//! What an entry instance knows of the fleet: configuration, lease, roster.
//! A state machine without I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::configuration::Table;
use crate::platform::configuration;
use crate::roster::Range;
use crate::sync::{RosterRecord, State, UpstreamRecord, key_address, unpack};

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
    pub(crate) layers: Option<Range>,
    /// Whether its heartbeats are late.
    pub(crate) late: bool,
}

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
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) services: Arc<Services>,
    /// Until when keys may be used.
    pub(crate) until: Time,
    /// Entry instances that share the limits.
    pub(crate) entries: u32,
    term: u64,
    revision: u64,
    /// Whether `services` holds every upstream that lives.
    complete: bool,
}

impl View {
    /// Knows nothing.
    pub(crate) fn new() -> Self {
        Self {
            table: None,
            services: Arc::default(),
            until: Time::default(),
            entries: 1,
            term: 0,
            revision: 0,
            complete: false,
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

    /// Whether the roster holds every upstream that lives.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the configuration may be acted on.
    pub(crate) fn is_confirmed(&self, now: Time) -> bool {
        self.table.is_some() && now < self.until
    }

    /// Takes in the answer to a question that was sent at `sent`. Returns
    /// whether it could be used.
    pub(crate) fn learn(&mut self, sent: Time, state: State, lease: Duration) -> bool {
        // A deposed leader that doesn't know yet may answer late. Nothing ever
        // goes back.
        if state.version < self.version() || self.is_older(&state) {
            return false;
        }
        if let Some(body) = &state.body {
            // Undecodable text means an instance of another release: what is
            // in force stays, and its lease runs out.
            let decoded = unpack(body).and_then(|b| configuration::decode(&b).ok());
            let Some(decoded) = decoded else {
                return false;
            };
            self.table = Some(Table::new(decoded));
        }
        if state.version != self.version() {
            return false;
        }
        if let Some(record) = state.roster {
            self.replace(record);
        }
        self.entries = state.entries.max(1);
        // The leader confirmed `age` before the question reached it, and it
        // reached it after it was sent.
        let age = Duration::from_micros(state.age);
        let until = (sent + lease) - age;
        self.until = self.until.max(until);
        true
    }

    fn is_older(&self, state: &State) -> bool {
        let roster = state.roster.as_ref();
        roster.is_some_and(|r| (r.term, r.revision) < (self.term, self.revision))
    }

    /// Takes in a roster. Until a new leader has heard all upstreams, those
    /// that it doesn't list stay, but for the ones that have left.
    fn replace(&mut self, record: RosterRecord) {
        let departed: HashMap<&str, u64> = record
            .departed
            .iter()
            .map(|d| (d.id.as_str(), d.born))
            .collect();
        let listed: HashSet<u64> = record.upstreams.iter().map(|u| u.address).collect();
        let mut services = Services::default();
        if !record.complete {
            for (service, upstreams) in &*self.services {
                let left = |u: &&Upstream| departed.get(&*u.id).is_some_and(|&b| u.born <= b);
                let kept = upstreams
                    .iter()
                    .filter(|u| !listed.contains(&u.key) && !left(u));
                services.insert(service.clone(), kept.cloned().collect());
            }
        }
        for upstream in record.upstreams {
            let service = upstream.service.clone();
            services.entry(service).or_default().push(upstream.into());
        }
        self.services = Arc::new(services);
        self.term = record.term;
        self.revision = record.revision;
        self.complete = record.complete;
    }
}

impl From<UpstreamRecord> for Upstream {
    fn from(record: UpstreamRecord) -> Self {
        Self {
            layers: record.range(),
            id: record.id.into(),
            born: record.born,
            key: record.address,
            address: key_address(record.address),
            domain: record.domain,
            slots: record.slots,
            kind: record.kind,
            late: record.late,
        }
    }
}
