//! Keeps room on the engines for urgent requests while they are short of it.
//!
//! Load pattern: more requests of several ranks than room, spread over so many instances that each
//! has hardly two requests to order between two reports. Room that becomes free goes to whichever
//! instance sees it first, whatever the rank of its request. Less urgent requests therefore leave a
//! reserve on each engine, in proportion to the fraction of more urgent requests that are short of
//! room at all instances together. A report is up to half a second old when it takes effect, so
//! counts are smoothed over about that time; a quicker response would oscillate.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::rank::{RANKS, Rank};
use crate::sync::RankDemand;

/// Maximum reserve, as a fraction of an engine's memory for requests.
pub(crate) const MAX_RESERVE: f64 = 0.4;

/// Maximum difference between the reserves of a rank and of the next more urgent one. In one period
/// of reports 8 in 100 of the room become free; a smaller difference keeps none of it until the next
/// report. A larger one leaves room empty for longer after a shortage.
const MAX_STEP: f64 = 0.1;

/// Reserve for a rank per fraction of its requests that are short.
const GAIN: f64 = 1.5;

/// Part of all requests from which a rank has the whole of [`MAX_STEP`]. A rank with fewer requests
/// needs less room until the next report; with a whole step for each of many small ranks, most
/// requests would leave [`MAX_RESERVE`] free.
const FULL_PART: f64 = 1.0 / 3.0;

/// Minimum reserve. A smaller one has no effect, and would last long after a shortage.
const MIN_RESERVE: f64 = 0.01;

/// Number of requests that found room and that are added to those of a report, so that one short
/// request of two doesn't count as half.
const PRIOR_REQUESTS: f64 = 4.0;

/// Time constants of the counts, in seconds: for reserves, and for the guard and `Retry-After`.
const RESERVE_TIME: f64 = 0.5;
const GUARD_TIME: f64 = 2.0;

/// Rate at which a rank is served, as a fraction of the rate of all ranks, below which it leaves no
/// reserve.
const MIN_SERVED: f64 = 0.4;

/// Time for which the leader's sums are valid, and within which they lose their effect afterwards.
const VALID: Duration = Duration::from_secs(1);
const FADE: Duration = Duration::from_secs(1);

/// Number of requests to one service by rank, in the interval between two reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RankCounts {
    /// Requests that asked for room.
    pub(crate) asked: [u32; RANKS],
    /// Requests that found no room at once.
    pub(crate) short: [u32; RANKS],
    /// Requests that were refused for lack of room.
    pub(crate) refused: [u32; RANKS],
}

impl RankCounts {
    fn columns(&self) -> [&[u32; RANKS]; 3] {
        [&self.asked, &self.short, &self.refused]
    }

    fn columns_mut(&mut self) -> [&mut [u32; RANKS]; 3] {
        [&mut self.asked, &mut self.short, &mut self.refused]
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.columns().iter().all(|c| c.iter().all(|n| *n == 0))
    }

    /// Adds the counts of an instance to a sum.
    pub(crate) fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Subtracts the counts of an instance from a sum.
    pub(crate) fn subtract(&mut self, other: &Self) {
        self.combine(other, u32::saturating_sub);
    }

    fn combine(&mut self, other: &Self, operation: fn(u32, u32) -> u32) {
        for (own, other) in self.columns_mut().into_iter().zip(other.columns()) {
            for (own, other) in own.iter_mut().zip(other) {
                *own = operation(*own, *other);
            }
        }
    }

    /// Encodes the counts of a service.
    pub(crate) fn demand(&self, service: &str) -> RankDemand {
        let trimmed = |counts: &[u32; RANKS]| {
            let end = counts.iter().rposition(|n| *n > 0).map_or(0, |i| i + 1);
            counts[..end].to_vec()
        };
        RankDemand {
            service: service.to_owned(),
            asked: trimmed(&self.asked),
            short: trimmed(&self.short),
            refused: trimmed(&self.refused),
        }
    }
}

impl From<&RankDemand> for RankCounts {
    /// Decodes counts. Ranks beyond [`RANKS`] are ignored.
    fn from(demand: &RankDemand) -> Self {
        let mut counts = Self::default();
        let encoded = [&demand.asked, &demand.short, &demand.refused];
        for (column, encoded) in counts.columns_mut().into_iter().zip(encoded) {
            for (count, encoded) in column.iter_mut().zip(encoded) {
                *count = *encoded;
            }
        }
        counts
    }
}

/// Counts smoothed over time, by rank.
#[derive(Clone, Copy, Debug, Default)]
struct Smoothed {
    asked: [f64; RANKS],
    short: [f64; RANKS],
    refused: [f64; RANKS],
}

impl Smoothed {
    /// Sets each value to `keep` times itself and `add` times the count.
    fn update(&mut self, counts: &RankCounts, keep: f64, add: f64) {
        let columns = [&mut self.asked, &mut self.short, &mut self.refused];
        for (column, counts) in columns.into_iter().zip(counts.columns()) {
            for (value, count) in column.iter_mut().zip(counts) {
                *value = keep * *value + add * f64::from(*count);
            }
        }
    }

    /// Fraction of the requests of `rank` that were served, or of all ranks.
    fn served(&self, rank: Option<Rank>) -> f64 {
        let ranks = rank.map_or(0..RANKS, |r| r.index()..r.index() + 1);
        let asked: f64 = self.asked[ranks.clone()].iter().sum();
        let refused: f64 = self.refused[ranks].iter().sum();
        1.0 - (refused / asked.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Reserves by rank: for each more urgent rank a part, in proportion to the fraction of its
    /// requests that were short, and at most to its part of all requests.
    fn reserves(&self) -> [f64; RANKS] {
        let mut reserves = [0.0_f64; RANKS];
        let all: f64 = self.asked.iter().sum();
        for rank in 1..RANKS {
            let asked = self.asked[rank - 1];
            let short = self.short[rank - 1] / (asked + PRIOR_REQUESTS);
            let part = (asked / all.max(f64::MIN_POSITIVE)).min(FULL_PART) / FULL_PART;
            let step = (GAIN * short).min(MAX_STEP) * part;
            reserves[rank] = (reserves[rank - 1] + step).min(MAX_RESERVE);
        }
        reserves
    }

    /// Part of the requests that are of `rank` or more urgent.
    fn share(&self, rank: Rank) -> Option<f64> {
        let all: f64 = self.asked.iter().sum();
        let entitled: f64 = self.asked[..=rank.index()].iter().sum();
        (entitled > 0.0).then(|| entitled / all)
    }
}

/// Demand for room at one service, as this instance or the leader counted it.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// When it was counted; `None` before the first time.
    at: Option<Time>,
    /// Smoothed over [`RESERVE_TIME`].
    recent: Smoothed,
    /// Smoothed over [`GUARD_TIME`].
    lasting: Smoothed,
    /// Most urgent rank of the latest counts with a request.
    first: Option<usize>,
    /// Reserves by rank without the guard, smoothed over [`RESERVE_TIME`]. Once limited, they are
    /// smoothed rather than the counts, so that a severe shortage has no longer
    /// effect than a slight one.
    reserves: [f64; RANKS],
}

impl Demand {
    /// Factor by which a value decays up to `now`.
    fn decay(&self, now: Time, time: f64) -> f64 {
        self.at
            .map_or(0.0, |at| (-now.since(at).as_secs_f64() / time).exp())
    }

    /// Applies sums over all instances. The same sums applied twice have no further effect.
    fn apply_sums(&mut self, now: Time, counts: &RankCounts) {
        let recent = self.decay(now, RESERVE_TIME);
        self.recent.update(counts, recent, 1.0 - recent);
        let lasting = self.decay(now, GUARD_TIME);
        self.lasting.update(counts, lasting, 1.0 - lasting);
        let mut latest = Smoothed::default();
        latest.update(counts, 0.0, 1.0);
        for (reserve, target) in self.reserves.iter_mut().zip(latest.reserves()) {
            *reserve = recent * *reserve + (1.0 - recent) * target;
        }
        self.finish(now, counts);
    }

    /// Adds this instance's own requests since the last time. They are few, so those of the time
    /// constant are summed up.
    fn add_own(&mut self, now: Time, counts: &RankCounts) {
        let recent = self.decay(now, RESERVE_TIME);
        self.recent.update(counts, recent, 1.0);
        let lasting = self.decay(now, GUARD_TIME);
        self.lasting.update(counts, lasting, 1.0);
        self.reserves = self.recent.reserves();
        self.finish(now, counts);
    }

    fn finish(&mut self, now: Time, counts: &RankCounts) {
        self.at = Some(now);
        self.first = counts.asked.iter().position(|n| *n > 0);
    }

    /// Reserve of `rank`; none if the rank is starved.
    fn reserve(&self, rank: Rank) -> f64 {
        if self.lasting.served(Some(rank)) < MIN_SERVED * self.lasting.served(None) {
            return 0.0;
        }
        let reserve = self.reserves[rank.index()];
        if reserve < MIN_RESERVE { 0.0 } else { reserve }
    }
}

/// Demand at one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Requests at this instance since the last report.
    counted: RankCounts,
    own: Demand,
    fleet: Demand,
}

impl Service {
    /// Weight of the leader's sums, from 0 to 1; that of this instance's own counts is the rest.
    fn weight(&self, now: Time) -> f64 {
        let age = self.fleet.at.map(|at| now.since(at));
        let over = age.map(|a| a.saturating_sub(VALID).div_duration_f64(FADE));
        over.map_or(0.0, |over| (1.0 - over).max(0.0))
    }

    fn reserve(&self, now: Time, rank: Rank) -> f64 {
        let weight = self.weight(now);
        // Holds no room for ranks that send no requests any more.
        let wanted = self.fleet.first.is_some_and(|first| first < rank.index());
        let fleet = if wanted {
            self.fleet.reserve(rank)
        } else {
            0.0
        };
        weight * fleet + (1.0 - weight) * self.own.reserve(rank)
    }

    /// The demand that counts most.
    fn demand(&self, now: Time) -> &Demand {
        match self.weight(now) > 0.0 {
            true => &self.fleet,
            false => &self.own,
        }
    }

    /// Whether the service had no requests for so long that nothing of them is left.
    fn is_idle(&self, now: Time) -> bool {
        let left: f64 = self.own.lasting.asked.iter().sum();
        left < 0.01 && self.counted.is_empty() && self.weight(now) <= 0.0
    }
}

/// Demand by rank, at this instance and at all instances together.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    services: HashMap<String, Service>,
}

impl Admission {
    /// Records that a request asks for room for the first time.
    pub(crate) fn record_asked(&mut self, service: &str, rank: Rank) {
        self.counted(service).asked[rank.index()] += 1;
    }

    /// Records that a request found no room at once.
    pub(crate) fn record_short(&mut self, service: &str, rank: Rank) {
        self.counted(service).short[rank.index()] += 1;
    }

    /// Records that a request was refused for lack of room.
    pub(crate) fn record_refused(&mut self, service: &str, rank: Rank) {
        self.counted(service).refused[rank.index()] += 1;
    }

    fn counted(&mut self, service: &str) -> &mut RankCounts {
        &mut self.service(service).counted
    }

    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), Service::default());
        }
        self.services.get_mut(name).expect("inserted above")
    }

    /// Closes the present interval and returns its counts, for the leader. Services without any
    /// are left out.
    pub(crate) fn report(&mut self, now: Time) -> Vec<(String, RankCounts)> {
        self.services.retain(|_, s| !s.is_idle(now));
        let mut report = Vec::new();
        for (name, service) in &mut self.services {
            let counts = std::mem::take(&mut service.counted);
            service.own.add_own(now, &counts);
            if !counts.is_empty() {
                report.push((name.clone(), counts));
            }
        }
        report
    }

    /// Applies the sums over the latest reports of all instances.
    pub(crate) fn update(&mut self, now: Time, fleet: &[(String, RankCounts)]) {
        for (name, counts) in fleet {
            self.service(name).fleet.apply_sums(now, counts);
        }
        let none = RankCounts::default();
        for (name, service) in &mut self.services {
            // Other services have no requests at any instance. Sums that were never received aren't
            // created, so that a service that is gone is removed at last.
            let listed = fleet.iter().any(|(listed, _)| listed == name);
            let remaining: f64 = service.fleet.lasting.asked.iter().sum();
            if !listed && remaining > 0.01 {
                service.fleet.apply_sums(now, &none);
            }
        }
    }

    /// Fraction of an engine's memory for requests that a request must leave free, up to
    /// [`MAX_RESERVE`].
    pub(crate) fn reserve(&self, now: Time, service: &str, rank: Rank) -> f64 {
        let service = self.services.get(service);
        service.map_or(0.0, |s| s.reserve(now, rank))
    }

    /// Part of the requests to the service among which room for this rank is divided: those of
    /// this rank and of more urgent ones. `None` if it is unknown.
    pub(crate) fn share(&self, now: Time, service: &str, rank: Rank) -> Option<f64> {
        let service = self.services.get(service)?;
        let valid = service.weight(now) > 0.0;
        valid.then(|| service.fleet.recent.share(rank))?
    }

    /// Fraction of the requests of this rank that were refused. `None` if none asked.
    pub(crate) fn refused(&self, now: Time, service: &str, rank: Rank) -> Option<f64> {
        let demand = self.services.get(service)?.demand(now);
        let asked = demand.lasting.asked[rank.index()];
        (asked > 0.0).then(|| 1.0 - demand.lasting.served(Some(rank)))
    }

    /// Time since the leader's sums were received; `None` before the first.
    pub(crate) fn age(&self, now: Time, service: &str) -> Option<Duration> {
        let at = self.services.get(service)?.fleet.at;
        at.map(|at| now.since(at))
    }

    /// Services with ranked requests, each with the ranks that it has had recently.
    pub(crate) fn ranked(&self) -> impl Iterator<Item = (&str, impl Iterator<Item = Rank>)> {
        self.services.iter().map(|(name, service)| {
            let asked = |i: &usize| {
                service.own.lasting.asked[*i] > 0.0 || service.fleet.lasting.asked[*i] > 0.0
            };
            (name.as_str(), (0..RANKS).filter(asked).map(Rank::new))
        })
    }
}
