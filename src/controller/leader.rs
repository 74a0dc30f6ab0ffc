//! State that the leading controller keeps in memory, besides the replicated register.
//! Does no I/O.
//!
//! Each term begins with what the controller knew as a follower, if it followed closely. Otherwise
//! the state is empty and is rebuilt as all upstreams and entry instances report again.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use self::placing::PendingOrder;
pub(crate) use self::placing::PlacementOrder;
use super::crash_evidence::{CrashCauses, CrashEvidence};
use super::follower::Inheritance;
use super::limits::LimitUpdates;
use super::order::{EndedOrder, OrderEnd};
use super::page::PageBudget;
use super::reports::Reports;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::pace::Rotation;
use crate::fingerprint::Fingerprint;
use crate::register::Register;
use crate::relay::HeartbeatDigest;
use crate::roster::{AnnounceOutcome, Announcement, RefreshOutcome, Roster, RosterEntry};
use crate::sync::address_key;

mod answer;
mod placing;

/// Heartbeat periods after which a new leader has received a heartbeat of every live
/// upstream: an upstream whose call fails tries the next instance within a second.
const COMPLETE_HEARTBEATS: f64 = 2.5;

/// An engine to query for its pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PaceQuery {
    pub(crate) engine: Arc<str>,
    pub(crate) born: u64,
    pub(crate) address: SocketAddrV4,
}

/// Figures for the controller's metrics.
#[derive(Debug, Default)]
pub(crate) struct LeaderCounts {
    /// Number of upstreams by service and state.
    pub(crate) upstreams: BTreeMap<(String, &'static str), u32>,
    /// Number of pending orders.
    pub(crate) pending: usize,
    /// Number of entry instances that sent a sync request lately.
    pub(crate) entries: usize,
    /// Number of requests suspected of crashing engines.
    pub(crate) suspects: usize,
    /// Number of records read to answer instances, by purpose.
    pub(crate) records_read: [(&'static str, u64); 2],
}

/// State of the leader during one term.
pub(crate) struct LeaderState {
    heartbeat: Duration,
    /// Number of entry instances up to which none is referred to followers.
    direct: usize,
    term: u64,
    term_start: Time,
    /// Whether the term began with a complete roster.
    inherited: bool,
    /// Whether entry instances are referred to followers.
    delegates: bool,
    roster: Roster,
    /// Number of the register's departures that are applied to the roster.
    departures_seen: u64,
    reports: Reports,
    page_budget: PageBudget,
    rotation: Rotation,
    crashes: CrashEvidence,
    limits: LimitUpdates,
    /// Orders by engine. Each change marks the upstream as changed in the roster, since
    /// instances see the layers that an engine retains, not those that it holds.
    pending: HashMap<Arc<str>, PendingOrder>,
    /// Number of the latest order of this term.
    last_order: u64,
    /// Orders that ended since the controller last took them.
    ended: Vec<EndedOrder>,
}

impl LeaderState {
    /// Creates an empty state. `heartbeat` is the heartbeat period of the upstreams; up to `direct`
    /// entry instances are answered by the leader alone.
    ///
    /// A leader takes about half of a processor for 300 instances. With more, it refers them to its
    /// followers, so that its own work doesn't grow with their number. Over followers, what an
    /// instance knows of the load of the others is up to 100 ms older.
    pub(crate) fn new(heartbeat: Duration, direct: usize) -> Self {
        Self {
            heartbeat,
            direct,
            term: 0,
            term_start: Time::default(),
            inherited: false,
            delegates: false,
            roster: Roster::new(heartbeat),
            departures_seen: 0,
            reports: Reports::default(),
            page_budget: PageBudget::new(),
            rotation: Rotation::default(),
            crashes: CrashEvidence::default(),
            limits: LimitUpdates::default(),
            pending: HashMap::default(),
            last_order: 0,
            ended: Vec::new(),
        }
    }

    /// Clears the state if `term` is a new one, and applies the register's latest
    /// departures. Returns whether it is a new one.
    pub(crate) fn enter_term(&mut self, now: Time, term: u64, register: &Register) -> bool {
        let entered = self.term != term;
        if entered {
            let pending = std::mem::take(&mut self.pending).into_values();
            let mut ended = std::mem::take(&mut self.ended);
            ended.extend(pending.map(|p| p.end(now, OrderEnd::Term)));
            *self = Self::new(self.heartbeat, self.direct);
            self.ended = ended;
            self.term = term;
            self.term_start = now;
        }
        let (departed, count) = register.departed_after(self.departures_seen);
        for start in departed {
            self.roster.retire(&start.id.as_str().into(), start.born);
        }
        self.departures_seen = count;
        entered
    }

    /// Begins the term with what this controller knew as a follower: the reports of the instances
    /// that it answered, and the roster.
    ///
    /// Without them, a new leader would know the upstreams only after some heartbeat periods, and
    /// each instance would fetch the whole roster again.
    pub(crate) fn inherit(&mut self, now: Time, inheritance: Inheritance<'_>) {
        self.reports = inheritance.reports;
        self.delegates = inheritance.delegated;
        self.inherited = inheritance.roster.is_complete();
        for record in inheritance.roster.records() {
            self.roster.inherit(now, record);
        }
    }

    /// Applies an announcement of an upstream that is not leaving, unless it is stale.
    pub(crate) fn announce(&mut self, now: Time, announcement: Announcement) -> AnnounceOutcome {
        match self.roster.check(now, announcement) {
            Ok(current) => {
                self.settle_order(now, &current);
                match self.roster.announce(now, current) {
                    true => AnnounceOutcome::New,
                    false => AnnounceOutcome::Known,
                }
            }
            Err(reason) => AnnounceOutcome::Stale(reason),
        }
    }

    /// Applies a heartbeat digest; see [`Roster::refresh`].
    pub(crate) fn refresh(&mut self, now: Time, digest: &HeartbeatDigest) -> RefreshOutcome {
        self.roster.refresh(now, digest)
    }

    /// See [`Roster::known_position`].
    pub(crate) fn known_position(&self, id: &str) -> Option<(u64, u64)> {
        self.roster.known_position(id)
    }

    /// Returns the upstream with this id.
    pub(crate) fn upstream(&self, id: &str) -> Option<&RosterEntry> {
        self.roster.get(id)
    }

    /// Whether this incarnation has left.
    pub(crate) fn has_left(&self, id: &str, born: u64) -> bool {
        self.roster.is_retired(id, born)
    }

    /// Doesn't count a pause of this process, of length `paused` and until `now`, as silence of
    /// upstreams and instances.
    pub(crate) fn excuse_silence(&mut self, now: Time, paused: Duration) {
        self.roster.excuse_silence(now, paused);
        self.reports.excuse_silence(now, paused);
    }

    /// Advances time. Returns the upstreams that were removed for their silence.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Arc<str>> {
        self.reports.tick(now);
        let expired = self.pending.iter().filter(|(_, p)| now >= p.until);
        let expired: Vec<_> = expired.map(|(id, p)| (id.clone(), p.lapse)).collect();
        for (id, cause) in expired {
            self.end_order(now, &id, cause);
        }
        self.roster.tick(now, &self.reports.suspects())
    }

    /// Whether every live upstream is known: from this controller's time as a follower, or since
    /// each has sent a heartbeat in this term.
    fn is_complete(&self, now: Time) -> bool {
        self.inherited || now.since(self.term_start) >= self.heartbeat.mul_f64(COMPLETE_HEARTBEATS)
    }

    /// Returns what crashes engines and is not quarantined yet.
    pub(crate) fn crash_causes(&mut self, now: Time, register: &Register) -> CrashCauses {
        self.crashes.tick(now, register)
    }

    /// Removes a request or a part of prompts from all recorded crashes.
    pub(crate) fn forget_crashes(&mut self, fingerprint: &Fingerprint) {
        self.crashes.forget(fingerprint);
    }

    /// Returns the engines to query for their pace now, in turn: those that process requests
    /// or were slow.
    pub(crate) fn next_pace_queries(&mut self) -> Vec<PaceQuery> {
        let is_queried = |e: &&RosterEntry| {
            let used = self.reports.load_of(address_key(e.announcement.address));
            e.announcement.layers.is_some() && (used.requests > 0 || e.pace > 1.0)
        };
        let list = self.roster.list().into_iter();
        let engines: Vec<&RosterEntry> = list.filter(is_queried).collect();
        let selected = self.rotation.next_batch(&engines).into_iter();
        selected
            .map(|e| PaceQuery {
                engine: e.announcement.id.clone(),
                born: e.announcement.born,
                address: e.announcement.address,
            })
            .collect()
    }

    /// Records the pace that an engine reported. Returns whether instances are notified.
    pub(crate) fn set_pace(&mut self, query: &PaceQuery, reported: f64) -> bool {
        self.roster.set_pace(&query.engine, query.born, reported)
    }

    /// Returns the figures for the metrics.
    pub(crate) fn counts(&self) -> LeaderCounts {
        let mut counts = LeaderCounts {
            pending: self.pending.len(),
            entries: self.reports.len(),
            suspects: self.crashes.suspects().count(),
            records_read: self.reports.records_read(),
            ..LeaderCounts::default()
        };
        for entry in self.roster.list() {
            let state = match entry.late {
                true => "late",
                false if entry.pace > 1.0 => "slow",
                false => "sound",
            };
            let key = (entry.announcement.service.clone(), state);
            *counts.upstreams.entry(key).or_default() += 1;
        }
        counts
    }
}
