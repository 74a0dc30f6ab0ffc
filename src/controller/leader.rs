//! State that the leading controller keeps in memory, besides the replicated register.
//! Does no I/O.
//!
//! Each term begins with what the controller knew as a follower, if it followed closely. Otherwise
//! the state is empty and is rebuilt as all upstreams and entry instances report again.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::crash_evidence::{CrashCauses, CrashEvidence};
use super::follower::Inheritance;
use super::order::{EndedOrder, OrderEnd};
use super::page::{PAGE_UPSTREAMS, PageBudget};
use super::reports::{CurrentRequest, Reports};
use crate::clock::{Time, micros, millis};
use crate::collections::HashMap;
use crate::configuration::{Configuration, Model};
use crate::decide::load::unit_hash;
use crate::decide::pace::Rotation;
use crate::decide::placement::{self, Worker};
use crate::decide::rate::RateLimiter;
use crate::fingerprint::Fingerprint;
use crate::register::{Register, VersionedConfiguration};
use crate::relay::HeartbeatDigest;
use crate::roster::{
    AnnounceOutcome, Announcement, CurrentAnnouncement, LOST_HEARTBEATS, LayerRange,
    RefreshOutcome, Roster, RosterEntry,
};
use crate::sync::{
    ControllerRecord, LimitRecord, RosterDelta, SyncReply, SyncRequest, UpstreamRecord, address_key,
};

/// Heartbeat periods after which a new leader has received a heartbeat of every live
/// upstream: an upstream whose call fails tries the next instance within a second.
const COMPLETE_HEARTBEATS: f64 = 2.5;

/// Heartbeat periods in which each live upstream sends a heartbeat, with some delay.
const HEARD_HEARTBEATS: f64 = 1.25;

/// Time after which every entry instance has sent a sync request to a new leader: an
/// instance that knows no leader asks the controllers in turn, a few per second.
const ENTRIES_KNOWN_AFTER: Duration = Duration::from_millis(300);

/// Time after which an order counts as lost and may be sent again. Loading a usual range
/// of layers takes one to four seconds.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause before an engine that refused an order gets another.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);

/// Pause before an engine that did not answer an order gets another.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of departures sent to an entry instance: those of the last minutes.
const MAX_DEPARTED: usize = 64;

/// Number of entry instances up to which the leader answers all of them itself. With more, it
/// refers them to its followers, so that its own work doesn't grow with their number.
const MAX_DIRECT_ENTRIES: usize = 100;

/// An order to an engine to hold a range of layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacementOrder {
    pub(crate) engine: Arc<str>,
    pub(crate) born: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) range: LayerRange,
    /// Term of the leader that issued the order.
    pub(crate) fence: u64,
    /// Number of the order among those of its term, so that two equal ones are told apart.
    pub(crate) number: u64,
}

/// An engine to query for its pace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PaceQuery {
    pub(crate) engine: Arc<str>,
    pub(crate) born: u64,
    pub(crate) address: SocketAddrV4,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: PlacementOrder,
    issued: Time,
    until: Time,
    /// Whether the engine is expected to carry out the order.
    expected: bool,
    /// Cause of its end if it is still pending at `until`.
    lapse: OrderEnd,
}

impl PendingOrder {
    fn end(self, now: Time, cause: OrderEnd) -> EndedOrder {
        EndedOrder {
            age: now.since(self.issued),
            order: self.order,
            cause,
        }
    }
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
    rate_limiter: RateLimiter,
    /// Orders by engine. Each change marks the upstream as changed in the roster, since
    /// instances see the layers that an engine retains, not those that it holds.
    pending: HashMap<Arc<str>, PendingOrder>,
    /// Number of the latest order of this term.
    last_order: u64,
    /// Orders that ended since the controller last took them.
    ended: Vec<EndedOrder>,
}

impl LeaderState {
    /// Creates an empty state. `heartbeat` is the heartbeat period of the upstreams.
    pub(crate) fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
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
            rate_limiter: RateLimiter::default(),
            pending: HashMap::default(),
            last_order: 0,
            ended: Vec::new(),
        }
    }

    /// Number of the term.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Clears the state if `term` is a new one, and applies the register's latest
    /// departures. Returns whether it is a new one.
    pub(crate) fn enter_term(&mut self, now: Time, term: u64, register: &Register) -> bool {
        let entered = self.term != term;
        if entered {
            let pending = std::mem::take(&mut self.pending).into_values();
            let mut ended = std::mem::take(&mut self.ended);
            ended.extend(pending.map(|p| p.end(now, OrderEnd::Term)));
            *self = Self::new(self.heartbeat);
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

    /// Ends the pending order of an engine if its announcement shows that the order was carried
    /// out, or that the engine has restarted.
    fn settle_order(&mut self, now: Time, current: &CurrentAnnouncement) {
        let announcement = current.announcement();
        let Some(pending) = self.pending.get(&announcement.id) else {
            return;
        };
        if pending.order.born != announcement.born {
            self.end_order(now, &announcement.id, OrderEnd::Restarted);
        } else if announcement.layers == Some(pending.order.range) {
            self.end_order(now, &announcement.id, OrderEnd::Heartbeat);
        }
    }

    /// Ends the pending order of an engine.
    fn end_order(&mut self, now: Time, engine: &Arc<str>, cause: OrderEnd) {
        if let Some(pending) = self.pending.remove(engine) {
            self.ended.push(pending.end(now, cause));
            self.roster.mark_changed(engine);
        }
    }

    /// Takes the orders that ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<EndedOrder> {
        std::mem::take(&mut self.ended)
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

    /// See [`Reports::check`].
    pub(crate) fn check_sync(&self, request: SyncRequest) -> Option<CurrentRequest> {
        self.reports.check(request)
    }

    /// Answers a sync request of an entry instance. `age` is the time since a quorum
    /// confirmed the register.
    pub(crate) fn sync(
        &mut self,
        now: Time,
        current: CurrentRequest,
        age: Duration,
        configuration: Option<VersionedConfiguration>,
        register: &Register,
    ) -> SyncReply {
        let request = current.request();
        let current_version = configuration.as_ref().map_or(0, |c| c.version);
        let other_version = configuration.filter(|c| c.version != request.version);
        let up_to_date = request.source == self.term
            && request.revision == self.roster.changes().revision()
            && request.complete == self.is_complete(now);
        let roster = (!up_to_date).then(|| self.roster_delta(now, request, register));
        let instance = request.instance;
        self.record_sync(now, current);
        SyncReply {
            age: micros(age),
            version: current_version,
            body: other_version.map(|c| c.body),
            roster,
            work: self.reports.others_load(now, instance),
            entries: self.reports.len() as u32,
            voters: Vec::new(),
            entries_known: self.entries_known(now),
            term: self.term,
            suspects: self.crashes.suspects().map(Fingerprint::bytes).collect(),
            quarantine: None,
            limits: self.limit_records(now, instance),
            proxies: self.reports.proxies(instance),
            controllers: self.delegates(now),
            cut_received: None,
        }
    }

    /// Returns the followers that answer entry instances; none while the leader answers all itself.
    fn delegates(&mut self, now: Time) -> Vec<ControllerRecord> {
        // Until all instances are counted, a new leader does as the one before.
        if self.entries_known(now) {
            self.delegates = self.reports.len() > MAX_DIRECT_ENTRIES;
        }
        if !self.delegates {
            return Vec::new();
        }
        let followers = self.reports.followers().into_iter();
        let record = |(id, domain): (u64, &str)| ControllerRecord {
            id,
            domain: domain.to_owned(),
        };
        followers.map(record).collect()
    }

    /// Whether every entry instance has reported in this term, directly or to a follower.
    fn entries_known(&self, now: Time) -> bool {
        now.since(self.term_start) >= ENTRIES_KNOWN_AFTER
    }

    /// Records what an instance reports.
    fn record_sync(&mut self, now: Time, current: CurrentRequest) {
        self.crashes.record(now, &current);
        let instances = self.reports.len() as u32;
        for limit in &current.request().limits {
            let (address, update) = (limit.address, limit.update(now));
            self.rate_limiter
                .apply(now, address, update, instances, 0.0);
        }
        self.reports.record(now, current);
    }

    /// Returns a subset of the latest limit updates, for the reply to an instance.
    fn limit_records(&self, now: Time, instance: u64) -> Vec<LimitRecord> {
        let draw = unit_hash(now.0.wrapping_add(instance));
        let updates = self.rate_limiter.message_updates(draw);
        let record = |(address, update)| LimitRecord::new(now, address, update);
        updates.map(record).collect()
    }

    /// Returns what crashes engines and is not quarantined yet.
    pub(crate) fn crash_causes(&mut self, now: Time, register: &Register) -> CrashCauses {
        self.crashes.tick(now, register)
    }

    /// Removes a request or a part of prompts from all recorded crashes.
    pub(crate) fn forget_crashes(&mut self, fingerprint: &Fingerprint) {
        self.crashes.forget(fingerprint);
    }

    /// Returns the next page of roster changes that the sender of `request` lacks.
    fn roster_delta(
        &mut self,
        now: Time,
        request: &SyncRequest,
        register: &Register,
    ) -> RosterDelta {
        let known = match request.source == self.term {
            true => request.revision,
            false => 0,
        };
        let page = self.roster.changes().page(known, PAGE_UPSTREAMS);
        let pause = self.page_budget.spend(now, page.ids.len());
        let record = |id: &str| {
            let entry = self.roster.get(id)?;
            Some(UpstreamRecord::new(
                entry,
                self.retained_layers(&entry.announcement),
            ))
        };
        let complete = !page.more && self.is_complete(now);
        let departed = if complete { 0 } else { MAX_DEPARTED };
        RosterDelta {
            complete,
            pause_ms: millis(pause) as u32,
            departed: register.latest_departed(departed),
            ..RosterDelta::from_page(self.term, &page, record)
        }
    }

    /// Returns the layers of an upstream without those that it was ordered to release:
    /// it accepts no new requests for them.
    fn retained_layers(&self, announcement: &Announcement) -> Option<LayerRange> {
        match self.pending_of(announcement) {
            Some(pending) => announcement.layers?.intersection(pending.order.range),
            None => announcement.layers,
        }
    }

    /// Returns the pending order of an upstream.
    fn pending_of(&self, announcement: &Announcement) -> Option<&PendingOrder> {
        let pending = self.pending.get(&announcement.id);
        pending.filter(|p| p.order.born == announcement.born)
    }

    /// Whether enough upstreams are known to issue orders.
    ///
    /// Until all have sent a heartbeat, layers that are held seem to be missing. After that,
    /// orders don't wait for engines that join: while an operator replaced one engine per
    /// second, there was always one that had just joined, and gaps stayed open for 5.5 s.
    fn may_order(&self, now: Time) -> bool {
        if self.inherited {
            // By then, each live upstream has told its layers in this term.
            return now.since(self.term_start) >= self.heartbeat.mul_f64(HEARD_HEARTBEATS);
        }
        // By then, silent upstreams have been removed.
        let silent_removed = now.since(self.term_start) >= self.heartbeat.mul_f64(LOST_HEARTBEATS);
        self.is_complete(now) && (silent_removed || self.roster.is_settled(now))
    }

    /// Returns the orders that are due now for the models of the configuration.
    pub(crate) fn orders(
        &mut self,
        now: Time,
        configuration: &Configuration,
    ) -> Vec<PlacementOrder> {
        if !self.may_order(now) {
            return Vec::new();
        }
        let settled = self.roster.is_settled(now);
        // While no engine holds layers, the first to announce itself would get the layers
        // that belong on the fastest one.
        let models = configuration.models();
        let models = models.filter(|(s, _)| settled || self.holds_layers(s));
        let mut orders: Vec<PlacementOrder> =
            models.flat_map(|(s, m)| self.plan_orders(s, m)).collect();
        for order in &mut orders {
            self.last_order += 1;
            order.number = self.last_order;
            let pending = PendingOrder {
                order: order.clone(),
                issued: now,
                until: now + ORDER_TIMEOUT,
                expected: true,
                lapse: OrderEnd::Expired,
            };
            self.pending.insert(order.engine.clone(), pending);
            self.roster.mark_changed(&order.engine);
        }
        orders
    }

    /// Returns the upstreams of a service, ordered by id.
    fn members(&self, service: &str) -> impl Iterator<Item = &RosterEntry> {
        let list = self.roster.list().into_iter();
        list.filter(move |e| e.announcement.service == service)
    }

    fn holds_layers(&self, service: &str) -> bool {
        self.members(service)
            .any(|e| e.announcement.layers.is_some())
    }

    fn plan_orders(&self, service: &str, model: &Model) -> Vec<PlacementOrder> {
        let (entries, workers): (Vec<_>, Vec<_>) = self
            .members(service)
            .filter_map(|e| Some((e, self.worker(e, model)?)))
            .unzip();
        let moves = placement::plan(model, &workers);
        let orders = moves.into_iter().map(|m| {
            let announcement = &entries[m.worker].announcement;
            PlacementOrder {
                engine: announcement.id.clone(),
                born: announcement.born,
                address: announcement.address,
                range: m.range,
                fence: self.term,
                // Assigned once the order is issued.
                number: 0,
            }
        });
        orders.collect()
    }

    fn worker(&self, entry: &RosterEntry, model: &Model) -> Option<Worker> {
        let announcement = &entry.announcement;
        let accelerator = model.accelerator(announcement.kind.as_deref()?)?;
        let pending = self.pending_of(announcement);
        let used = self.reports.load_of(address_key(announcement.address));
        Some(Worker {
            domain: announcement.domain.clone(),
            size_mb: accelerator.size_mb,
            step_factor: accelerator.step_factor,
            read_factor: accelerator.read_factor,
            used_mb: f64::from(used.memory),
            held: match pending {
                Some(pending) if pending.expected => Some(pending.order.range),
                _ => self.retained_layers(announcement),
            },
            loaded: announcement.layers,
            busy: pending.is_some(),
        })
    }

    /// Returns the model's layers that no engine holds, for each failure domain with engines
    /// of `service`.
    pub(crate) fn missing_layers(
        &self,
        service: &str,
        model: &Model,
    ) -> BTreeMap<String, Vec<LayerRange>> {
        let mut held: BTreeMap<String, Vec<LayerRange>> = BTreeMap::new();
        for entry in self.members(service) {
            let ranges = held.entry(entry.announcement.domain.clone()).or_default();
            ranges.extend(entry.announcement.layers);
        }
        let gaps = |ranges: Vec<LayerRange>| uncovered(model.layers, ranges);
        held.into_iter().map(|(d, r)| (d, gaps(r))).collect()
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

    /// Records that an engine holds the layers that it was ordered to hold.
    pub(crate) fn complete_order(&mut self, now: Time, order: &PlacementOrder) {
        if !self.is_pending(order) {
            return;
        }
        self.end_order(now, &order.engine, OrderEnd::Poll);
        self.roster
            .set_layers(now, &order.engine, order.born, order.range);
    }

    /// Whether an order is still pending.
    pub(crate) fn is_pending(&self, order: &PlacementOrder) -> bool {
        let pending = self.pending.get(&order.engine);
        pending.is_some_and(|p| p.order == *order)
    }

    /// Returns an order if it is still pending. An answer may come after its order was replaced.
    fn pending_mut(&mut self, order: &PlacementOrder) -> Option<&mut PendingOrder> {
        let pending = self.pending.get_mut(&order.engine);
        pending.filter(|p| p.order == *order)
    }

    /// Records that an engine did not answer an order.
    ///
    /// It may still carry it out, so it gets no new requests for layers that it would release,
    /// and no other order for a while. The layers that it was to load count as missing, so
    /// another engine may load them.
    pub(crate) fn record_unanswered(&mut self, now: Time, order: &PlacementOrder) {
        if let Some(pending) = self.pending_mut(order) {
            pending.expected = false;
            pending.until = now + UNANSWERED_PAUSE;
            pending.lapse = OrderEnd::Unanswered;
        }
    }

    /// Records that an engine refused an order. It may get another one soon.
    pub(crate) fn record_refusal(&mut self, now: Time, order: &PlacementOrder) {
        if let Some(pending) = self.pending_mut(order) {
            pending.until = now + REFUSED_PAUSE;
            pending.lapse = OrderEnd::Refused;
        }
    }
}

/// Returns the contiguous ranges of layers that none of `ranges` covers.
fn uncovered(layers: u32, mut ranges: Vec<LayerRange>) -> Vec<LayerRange> {
    ranges.sort_unstable();
    let mut gaps = Vec::new();
    let mut at = 0;
    for range in ranges {
        if range.first > at {
            gaps.push(LayerRange::new(at, range.first));
        }
        at = at.max(range.end);
    }
    if at < layers {
        gaps.push(LayerRange::new(at, layers));
    }
    gaps
}
