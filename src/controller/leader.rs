//! What the leading controller knows besides the replicated register: a state
//! machine without I/O.
//!
//! It begins empty with each term of leadership and fills within a heartbeat
//! period, as every upstream and every entry instance calls again.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::reports::Reports;
use crate::clock::{Time, micros};
use crate::collections::{HashMap, HashSet};
use crate::configuration::{Configuration, Model};
use crate::decide::load::scatter;
use crate::decide::pace::Turns;
use crate::decide::placement::{self, Worker};
use crate::decide::quarantine::{Crashes, CrashingRequest};
use crate::decide::rate::RateLimiter;
use crate::decide::run_history::EngineStart;
use crate::fingerprint::Fingerprint;
use crate::register::{Quarantined, Register, Versioned};
use crate::relay::HeartbeatDigest;
use crate::roster::{AnnounceOutcome, Announcement, Entry, LOST_BEATS, LayerRange, Roster};
use crate::sync::{LimitRecord, RosterDelta, SyncReply, SyncRequest, UpstreamRecord, address_key};

/// Heartbeat periods after which a new leader has heard every upstream that
/// lives: an upstream whose call fails asks the next instance within a second.
const COMPLETE_BEATS: f64 = 2.5;

/// Time after which a new leader has heard every entry instance: one that knows no
/// leader asks the controllers in turn, a few in a second.
const COUNTED: Duration = Duration::from_millis(300);

/// Time for which a given order is taken to be under way. Loading a usual
/// range takes one to four seconds; an order that was lost is given again.
const ORDER: Duration = Duration::from_secs(6);

/// Pause after an order that an engine refused.
const REFUSED: Duration = Duration::from_millis(700);

/// Pause after an order that an engine didn't answer.
const UNANSWERED: Duration = Duration::from_secs(2);

/// Departures that are told to entry instances: those of the last minutes.
const TOLD_DEPARTED: usize = 64;

/// Upstreams that one answer tells of, some 75 bytes each. 300 instances that
/// all begin anew are told four times a second: 11 MB a second, half of a
/// controller's link. The users' fleets of today fit into one answer.
const PAGE: usize = 128;

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) engine: Arc<str>,
    pub(crate) born: u64,
    pub(crate) address: SocketAddrV4,
    pub(crate) range: LayerRange,
    /// Term of the leadership that gives it.
    pub(crate) fence: u64,
}

/// An engine that is asked how fast it works.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Asked {
    pub(crate) engine: Arc<str>,
    pub(crate) born: u64,
    pub(crate) address: SocketAddrV4,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    born: u64,
    range: LayerRange,
    until: Time,
    /// Whether the engine is taken to obey.
    sure: bool,
}

/// Numbers for metrics.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    /// Upstreams by service and state.
    pub(crate) upstreams: BTreeMap<(String, &'static str), u32>,
    /// Orders under way.
    pub(crate) pending: usize,
    /// Entry instances that report.
    pub(crate) entries: usize,
    /// Requests suspected of crashing engines.
    pub(crate) suspects: usize,
}

/// State of one term of leadership.
pub(crate) struct LeaderState {
    beat: Duration,
    term: u64,
    since: Time,
    roster: Roster,
    /// Departures of the register that the roster knows.
    departed: u64,
    reports: Reports,
    turns: Turns,
    crashes: Crashes,
    rate_limiter: RateLimiter,
    /// Each change of it touches the upstream in the roster, since instances
    /// see what an engine keeps, not what it holds.
    pending: HashMap<Arc<str>, Pending>,
}

impl LeaderState {
    /// An empty board for upstreams that call every `beat`.
    pub(crate) fn new(beat: Duration) -> Self {
        Self {
            beat,
            term: 0,
            since: Time::default(),
            roster: Roster::new(beat),
            departed: 0,
            reports: Reports::default(),
            turns: Turns::default(),
            crashes: Crashes::default(),
            rate_limiter: RateLimiter::default(),
            pending: HashMap::default(),
        }
    }

    /// Enters `term`, with an empty board if it is a new one, and takes in
    /// what the register has learnt.
    pub(crate) fn lead(&mut self, now: Time, term: u64, register: &Register) {
        if self.term != term {
            *self = Self::new(self.beat);
            self.term = term;
            self.since = now;
        }
        let (departed, count) = register.departed_after(self.departed);
        for start in departed {
            self.roster.retire(&start.id.as_str().into(), start.born);
        }
        self.departed = count;
    }

    /// Takes in an announcement of an upstream that isn't leaving.
    pub(crate) fn announce(&mut self, now: Time, news: Announcement) -> AnnounceOutcome {
        let pending = self.pending.get(&news.id);
        let done = |p: &Pending| p.born != news.born || news.layers == Some(p.range);
        if pending.is_some_and(done) {
            self.pending.remove(&news.id);
            self.roster.touch(&news.id);
        }
        self.roster.announce(now, news)
    }

    /// Takes in a proof of life; see [`Roster::refresh`].
    pub(crate) fn refresh(&mut self, now: Time, pulse: &HeartbeatDigest) -> bool {
        self.roster.refresh(now, pulse)
    }

    /// The upstream of this id.
    pub(crate) fn upstream(&self, id: &str) -> Option<&Entry> {
        self.roster.get(id)
    }

    /// Whether this start has left.
    pub(crate) fn has_left(&self, id: &str, born: u64) -> bool {
        self.roster.is_retired(id, born)
    }

    /// Lets time pass; returns the upstreams that were dropped.
    pub(crate) fn tick(&mut self, now: Time) -> Vec<Arc<str>> {
        self.reports.tick(now);
        let over = self.pending.iter().filter(|(_, p)| now >= p.until);
        let over: Vec<Arc<str>> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.pending.remove(&id);
            self.roster.touch(&id);
        }
        self.roster.tick(now, &self.reports.suspects())
    }

    /// Whether every upstream that lives has been heard in this term.
    fn is_complete(&self, now: Time) -> bool {
        now.since(self.since) >= self.beat.mul_f64(COMPLETE_BEATS)
    }

    /// Answers an entry instance. `age` tells how old the confirmation of the
    /// register by a quorum is.
    pub(crate) fn sync(
        &mut self,
        now: Time,
        ask: SyncRequest,
        age: Duration,
        current: Option<Versioned>,
        register: &Register,
    ) -> SyncReply {
        let current_version = current.as_ref().map_or(0, |c| c.version);
        let newer = current.filter(|c| c.version != ask.version);
        let known = ask.term == self.term
            && ask.revision == self.roster.changes().revision()
            && ask.complete == self.is_complete(now);
        let roster = (!known).then(|| self.record(now, &ask, register));
        let instance = ask.instance;
        self.record_runs(now, &ask);
        let instances = self.reports.len() as u32;
        for limit in &ask.limits {
            let (address, update) = (limit.address, limit.update(now));
            self.rate_limiter
                .apply(now, address, update, instances, 0.0);
        }
        self.reports.take(now, ask);
        SyncReply {
            age: micros(age),
            version: current_version,
            body: newer.map(|c| c.body),
            roster,
            work: self.reports.tell(now, instance),
            entries: self.reports.len() as u32,
            voters: Vec::new(),
            entries_known: now.since(self.since) >= COUNTED,
            term: self.term,
            suspects: self.crashes.suspects().map(Fingerprint::bytes).collect(),
            quarantine: None,
            limits: self.limit_records(now, instance),
        }
    }

    /// A subset of the latest limit updates, for the answer to an instance.
    fn limit_records(&self, now: Time, instance: u64) -> Vec<LimitRecord> {
        let draw = scatter(now.0.wrapping_add(instance));
        let updates = self.rate_limiter.message_updates(draw);
        let record = |(address, update)| LimitRecord::new(now, address, update);
        updates.map(record).collect()
    }

    /// Records the cut and harmless runs that an instance reports.
    fn record_runs(&mut self, now: Time, ask: &SyncRequest) {
        let at = |age| now - Duration::from_micros(age);
        for cut in &ask.cut {
            let Ok(fingerprint) = Fingerprint::try_from(&*cut.fingerprint) else {
                continue;
            };
            let engine = EngineStart {
                id: cut.engine.as_str().into(),
                born: cut.born,
            };
            let organisation = cut.organisation.as_str().into();
            self.crashes
                .record_crash(at(cut.age), engine, fingerprint, organisation);
        }
        for run in &ask.harmless {
            if let Ok(fingerprint) = Fingerprint::try_from(&*run.fingerprint) {
                self.crashes.record_harmless(at(run.age), fingerprint);
            }
        }
    }

    /// Returns requests that crash engines and are not quarantined yet.
    pub(crate) fn crashing_requests(
        &mut self,
        now: Time,
        register: &Register,
    ) -> Vec<CrashingRequest> {
        let refused = register.quarantined();
        let refused: HashSet<Fingerprint> = refused
            .iter()
            .filter_map(Quarantined::fingerprint)
            .collect();
        self.crashes.tick(now, |f| refused.contains(f))
    }

    /// Removes a request from all recorded crashes.
    pub(crate) fn forget_crashes(&mut self, fingerprint: &Fingerprint) {
        self.crashes.forget(fingerprint);
    }

    /// The next part of the roster that the asker misses.
    fn record(&self, now: Time, ask: &SyncRequest, register: &Register) -> RosterDelta {
        let changes = self.roster.changes();
        let known = if ask.term == self.term {
            ask.revision
        } else {
            0
        };
        let since = changes.base(known);
        let page = changes.after(since).take(PAGE);
        let (mut upstreams, mut removed) = (Vec::new(), Vec::new());
        let mut revision = since;
        for (changed, id) in page {
            revision = changed;
            match self.roster.get(id) {
                Some(e) => upstreams.push(UpstreamRecord::new(e, self.kept(&e.last))),
                None => removed.push(id.to_string()),
            }
        }
        let more = changes.after(revision).next().is_some();
        let complete = !more && self.is_complete(now);
        let departed = if complete { 0 } else { TOLD_DEPARTED };
        RosterDelta {
            term: self.term,
            since,
            // Of changes that were overtaken by later ones, nothing is left.
            revision: if more { revision } else { changes.revision() },
            complete,
            upstreams,
            removed,
            more,
            departed: register.latest_departed(departed),
        }
    }

    /// The layers of a start without those that it was ordered to give up. It
    /// takes nothing new for them.
    fn kept(&self, start: &Announcement) -> Option<LayerRange> {
        match self.pending_of(start) {
            Some(pending) => start.layers?.intersection(pending.range),
            None => start.layers,
        }
    }

    /// The order that is under way for a start.
    fn pending_of(&self, start: &Announcement) -> Option<&Pending> {
        let pending = self.pending.get(&start.id);
        pending.filter(|p| p.born == start.born)
    }

    /// Whether what is known of the upstreams is enough to give orders.
    ///
    /// Before all are heard, engines that hold layers seem to be missing. Once
    /// they are, a gap doesn't wait for those that join: where the operator
    /// replaces an engine each second, no moment is without one that has joined
    /// lately, and gaps stayed open for 5.5 s.
    fn may_order(&self, now: Time) -> bool {
        // An established leader has dropped a silent one by then.
        let heard = now.since(self.since) >= self.beat.mul_f64(LOST_BEATS);
        self.is_complete(now) && (heard || self.roster.is_settled(now))
    }

    /// Orders that the layers of the configuration's models need now.
    pub(crate) fn orders(&mut self, now: Time, configuration: &Configuration) -> Vec<Placement> {
        if !self.may_order(now) {
            return Vec::new();
        }
        let settled = self.roster.is_settled(now);
        // While nobody holds layers, the first to announce itself would get
        // those that belong on the fastest.
        let models = configuration.models();
        let models = models.filter(|(s, _)| settled || self.holds_layers(s));
        let orders: Vec<Placement> = models.flat_map(|(s, m)| self.place(s, m)).collect();
        for order in &orders {
            let pending = Pending {
                born: order.born,
                range: order.range,
                until: now + ORDER,
                sure: true,
            };
            self.pending.insert(order.engine.clone(), pending);
            self.roster.touch(&order.engine);
        }
        orders
    }

    /// The upstreams of a service, in the order of their ids.
    fn members(&self, service: &str) -> impl Iterator<Item = &Entry> {
        let list = self.roster.list().into_iter();
        list.filter(move |e| e.last.service == service)
    }

    fn holds_layers(&self, service: &str) -> bool {
        self.members(service).any(|e| e.last.layers.is_some())
    }

    fn place(&self, service: &str, model: &Model) -> Vec<Placement> {
        let (entries, workers): (Vec<_>, Vec<_>) = self
            .members(service)
            .filter_map(|e| Some((e, self.worker(e, model)?)))
            .unzip();
        let moves = placement::plan(model, &workers);
        let orders = moves.into_iter().map(|m| {
            let last = &entries[m.worker].last;
            Placement {
                engine: last.id.clone(),
                born: last.born,
                address: last.address,
                range: m.range,
                fence: self.term,
            }
        });
        orders.collect()
    }

    fn worker(&self, entry: &Entry, model: &Model) -> Option<Worker> {
        let last = &entry.last;
        let accelerator = model.accelerator(last.kind.as_deref()?)?;
        let pending = self.pending_of(last);
        let used = self.reports.at(address_key(last.address));
        Some(Worker {
            domain: last.domain.clone(),
            size_mb: accelerator.size_mb,
            step_factor: accelerator.step_factor,
            read_factor: accelerator.read_factor,
            used_mb: f64::from(used.memory),
            held: match pending {
                Some(pending) if pending.sure => Some(pending.range),
                _ => self.kept(last),
            },
            loaded: last.layers,
            busy: pending.is_some(),
        })
    }

    /// For each domain with engines of `service`, the layers of its model that
    /// no engine there holds.
    pub(crate) fn missing(
        &self,
        service: &str,
        model: &Model,
    ) -> BTreeMap<String, Vec<LayerRange>> {
        let mut held: BTreeMap<String, Vec<LayerRange>> = BTreeMap::new();
        for entry in self.members(service) {
            let ranges = held.entry(entry.last.domain.clone()).or_default();
            ranges.extend(entry.last.layers);
        }
        let gaps = |ranges: Vec<LayerRange>| uncovered(model.layers, ranges);
        held.into_iter().map(|(d, r)| (d, gaps(r))).collect()
    }

    /// Engines that are to be asked now how fast they work: in turn those that
    /// requests pass through, or that were slow.
    pub(crate) fn ask_next(&mut self) -> Vec<Asked> {
        let at_work = |e: &&Entry| {
            let used = self.reports.at(address_key(e.last.address));
            e.last.layers.is_some() && (used.requests > 0 || e.pace > 1.0)
        };
        let list = self.roster.list().into_iter();
        let engines: Vec<&Entry> = list.filter(at_work).collect();
        let turn = self.turns.take(&engines).into_iter();
        turn.map(|e| Asked {
            engine: e.last.id.clone(),
            born: e.last.born,
            address: e.last.address,
        })
        .collect()
    }

    /// Notes how fast an engine works. Returns whether instances hear of it.
    pub(crate) fn set_pace(&mut self, asked: &Asked, reported: f64) -> bool {
        self.roster.set_pace(&asked.engine, asked.born, reported)
    }

    /// What the metrics show.
    pub(crate) fn counts(&self) -> Counts {
        let mut counts = Counts {
            pending: self.pending.len(),
            entries: self.reports.len(),
            suspects: self.crashes.suspects().count(),
            ..Counts::default()
        };
        for entry in self.roster.list() {
            let state = match entry.late {
                true => "late",
                false if entry.pace > 1.0 => "slow",
                false => "sound",
            };
            let key = (entry.last.service.clone(), state);
            *counts.upstreams.entry(key).or_default() += 1;
        }
        counts
    }

    /// Notes that an engine reports to hold what it was ordered to.
    pub(crate) fn carried_out(&mut self, order: &Placement) {
        if !self.is_pending(order) {
            return;
        }
        self.pending.remove(&order.engine);
        self.roster.touch(&order.engine);
        self.roster
            .set_layers(&order.engine, order.born, order.range);
    }

    /// Whether an order is still taken to be under way.
    pub(crate) fn is_pending(&self, order: &Placement) -> bool {
        let pending = self.pending.get(&order.engine);
        pending.is_some_and(|p| p.born == order.born && p.range == order.range)
    }

    /// Notes that an engine didn't answer an order. It may obey late, so it gets
    /// nothing new for what it would give up, and no other order for a while;
    /// but what it was to load is missing, and another engine may take it.
    pub(crate) fn unanswered(&mut self, now: Time, engine: &str) {
        if let Some(pending) = self.pending.get_mut(engine) {
            pending.sure = false;
            pending.until = now + UNANSWERED;
        }
    }

    /// Notes that an engine didn't take an order; it may get another soon.
    pub(crate) fn refused(&mut self, now: Time, engine: &str) {
        if let Some(pending) = self.pending.get_mut(engine) {
            pending.until = now + REFUSED;
        }
    }
}

/// The runs of layers that none of `ranges` holds.
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
