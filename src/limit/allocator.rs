//! The leader's side of the limits: who may use how much until when.

use std::sync::Arc;
use std::time::Duration;

use super::message::{Amounts, Demand, Grant, Share, ShareRequest};
use super::{DRIFT_MARGIN, LEASE};
use crate::catalogue::Limits;
use crate::clock::Time;
use crate::collections::{HashMap, HashSet};

/// Time between two sweeps for grants that ran out.
const SWEEP: Duration = Duration::from_millis(250);

/// Instance and incarnation.
type HolderKey = (u64, u64);

/// Grants all shares of a fleet.
///
/// One allocator at a time may answer: the caller runs it only while its
/// leadership is confirmed by a quorum, and starts a new one per term: a new
/// allocator trusts that no earlier one answers any more.
#[derive(Debug)]
pub struct Allocator {
    /// Until then shares may be in use that this allocator doesn't know.
    quiet: Time,
    routes: HashMap<Arc<str>, Route>,
    holders: HashMap<HolderKey, Known>,
    swept: Time,
}

/// What is remembered of a holder.
#[derive(Debug, Default)]
struct Known {
    /// Latest question answered. Older ones are late copies.
    sequence: u64,
    /// Routes with a stake of this holder.
    routes: Vec<Arc<str>>,
    heard: Time,
}

#[derive(Debug)]
struct Route {
    limit: [u32; 4],
    /// Counts the lowerings of the limit.
    epoch: u64,
    stakes: HashMap<HolderKey, Stake>,
    /// Sums over `stakes` of the fields of the same names.
    exposed: [u64; 4],
    fresh: [u64; 4],
    wanted: [u64; 4],
    excess: u64,
}

/// One holder's part of a route.
#[derive(Debug, Default)]
struct Stake {
    /// Grants that the holder may use now or when a late answer reaches it.
    issued: Vec<Issued>,
    /// Largest of `issued`, by kind.
    exposed: [u32; 4],
    /// Largest of those of the present epoch, by kind.
    fresh: [u32; 4],
    wanted: [u32; 4],
    /// Running requests beyond `exposed`.
    excess: u32,
    running: u32,
}

#[derive(Debug)]
struct Issued {
    sequence: u64,
    /// Epoch of the limit that it was granted under.
    epoch: u64,
    /// Counted until then: the lease from the receipt of the question, plus
    /// what the clocks may drift apart meanwhile.
    until: Time,
    amounts: [u32; 4],
}

impl Allocator {
    /// An allocator of a new leader. Shares that an earlier leader granted
    /// may be in use for a lease more; until then only reported shares are
    /// renewed, at the same amount.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            quiet: now + LEASE + DRIFT_MARGIN,
            routes: HashMap::default(),
            holders: HashMap::default(),
            swept: now,
        }
    }

    /// Takes over the limits of the catalogue. Routes that aren't listed get
    /// nothing any more. A lowered limit is in force one lease later, or one
    /// lease after the next takeover when that comes first: a new allocator
    /// can't tell which of the reported shares are older than the lowering.
    pub fn set_limits<'a>(&mut self, limits: impl IntoIterator<Item = (&'a str, Limits)>) {
        let mut rest: HashSet<Arc<str>> = self.routes.keys().cloned().collect();
        for (name, limits) in limits {
            rest.remove(name);
            let limit = Amounts::from(limits).array();
            match self.routes.get_mut(name) {
                Some(route) => route.set_limit(limit),
                None => {
                    self.routes.insert(name.into(), Route::new(limit));
                }
            }
        }
        for name in &rest {
            if let Some(route) = self.routes.get_mut(name) {
                route.set_limit([0; 4]);
            }
        }
        self.routes
            .retain(|name, r| !rest.contains(name) || !r.stakes.is_empty());
    }

    /// Answers a question, or nothing when it is a late or doubled copy.
    ///
    /// A late copy reports a demand that is past; answering it would grant what
    /// its sender has no use for and, being older, doesn't take.
    pub fn allocate(&mut self, now: Time, ask: &ShareRequest) -> Option<Grant> {
        self.sweep(now);
        let key = (ask.instance, ask.incarnation);
        let known = self.holders.entry(key).or_default();
        if ask.sequence <= known.sequence {
            return None;
        }
        known.sequence = ask.sequence;
        known.heard = now;
        let before = std::mem::take(&mut known.routes);
        for name in &before {
            if let Some(route) = self.routes.get_mut(name) {
                route.hear(now, key, ask.applied, &Demand::default());
            }
        }
        let mut shares = Vec::with_capacity(ask.demands.len());
        for demand in &ask.demands {
            let amounts = self.grant(now, key, ask, demand);
            shares.extend(amounts.map(|amounts| Share {
                route: demand.route.clone(),
                amounts: Amounts::from_array(amounts),
            }));
        }
        self.remember(key, before, &ask.demands);
        Some(Grant {
            instance: ask.instance,
            incarnation: ask.incarnation,
            sequence: ask.sequence,
            renewal: now < self.quiet,
            shares,
        })
    }

    fn grant(
        &mut self,
        now: Time,
        key: HolderKey,
        ask: &ShareRequest,
        demand: &Demand,
    ) -> Option<[u32; 4]> {
        let fleet = self.holders.len();
        let route = self.routes.get_mut(demand.route.as_str())?;
        route.hear(now, key, ask.applied, demand);
        let target = if now < self.quiet {
            demand.held.array()
        } else {
            route.target(key, fleet)
        };
        let amounts = route.issue(now, key, ask.sequence, target);
        Some(amounts).filter(|a| *a != [0; 4])
    }

    fn remember(&mut self, key: HolderKey, before: Vec<Arc<str>>, demands: &[Demand]) {
        let mut routes = before;
        for demand in demands {
            let found = self.routes.get_key_value(demand.route.as_str());
            routes.extend(found.map(|(name, _)| name.clone()));
        }
        routes.sort_unstable();
        routes.dedup();
        routes.retain(|name| {
            let route = self.routes.get(name);
            route.is_some_and(|r| r.stakes.contains_key(&key))
        });
        if let Some(known) = self.holders.get_mut(&key) {
            known.routes = routes;
        }
    }

    /// Drops grants that ran out and silent holders, now and then.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        for route in self.routes.values_mut() {
            route.sweep(now);
        }
        self.holders
            .retain(|_, known| now.since(known.heard) < 4 * LEASE);
    }

    /// Sum of the shares of a route that may be in use.
    #[must_use]
    pub fn exposed(&self, route: &str) -> [u64; 4] {
        self.routes
            .get(route)
            .map(|r| r.exposed)
            .unwrap_or_default()
    }
}

impl Route {
    fn new(limit: [u32; 4]) -> Self {
        Self {
            limit,
            epoch: 0,
            stakes: HashMap::default(),
            exposed: [0; 4],
            fresh: [0; 4],
            wanted: [0; 4],
            excess: 0,
        }
    }

    /// Sets the limit. When any part of it is lowered, no grant counts as
    /// fresh any more: see [`issue`](Self::issue).
    fn set_limit(&mut self, limit: [u32; 4]) {
        let lowered = limit.iter().zip(self.limit).any(|(new, old)| *new < old);
        self.limit = limit;
        if !lowered {
            return;
        }
        self.epoch += 1;
        self.fresh = [0; 4];
        for stake in self.stakes.values_mut() {
            stake.fresh = [0; 4];
        }
    }

    /// Takes in what a holder reports: grants before the one in use won't be
    /// used again.
    fn hear(&mut self, now: Time, key: HolderKey, applied: u64, demand: &Demand) {
        let epoch = self.epoch;
        let mut stake = self.take(key);
        stake
            .issued
            .retain(|i| i.sequence >= applied && i.until > now);
        stake.wanted = demand.wanted.array();
        stake.running = demand.running;
        stake.count(epoch);
        self.put(key, stake);
    }

    /// The part of the limit that a holder should have: its demand and an
    /// equal part of what nobody asks for, or its part of the limit by demand
    /// when all ask for more than there is, but at least one.
    ///
    /// The equal part counts all `fleet` holders, also those that have no
    /// stake in the route yet. Divided among the stakes alone, the first few
    /// took the whole limit, and when the first requests came to all instances
    /// at once, the last ones waited two periods for the first to give back.
    fn target(&self, key: HolderKey, fleet: usize) -> [u32; 4] {
        let own = self.stakes.get(&key).map(|s| s.wanted).unwrap_or_default();
        let holders = self.stakes.len().max(fleet).max(1) as u64;
        std::array::from_fn(|k| {
            let limit = u64::from(self.limit[k]);
            let want = u64::from(own[k]);
            let part = match limit.checked_sub(self.wanted[k]) {
                Some(spare) => want + spare / (holders + 1),
                None => divide(limit * want, self.wanted[k], key).max(want.min(1)),
            };
            u32::try_from(part).unwrap_or(u32::MAX).min(self.limit[k])
        })
    }

    /// Grants as much of `target` as is free.
    ///
    /// Guards against granting the same unit twice, which would show as more
    /// admitted in the fleet than the limit: what any other holder may use is
    /// never granted. After a limit was lowered the old grants exceed it; then
    /// a holder keeps of its own what fits the new limit beside all grants
    /// issued since, and as every old grant runs out within a lease, the sum
    /// of what is left fits the limit.
    fn issue(&mut self, now: Time, key: HolderKey, sequence: u64, target: [u32; 4]) -> [u32; 4] {
        let epoch = self.epoch;
        let mut stake = self.take(key);
        let amounts = std::array::from_fn(|k| {
            let limit = u64::from(self.limit[k]);
            let excess = if k == 2 { self.excess } else { 0 };
            let free = limit.saturating_sub(self.exposed[k] + excess);
            let kept = limit.saturating_sub(self.fresh[k]);
            let most = free.max(kept.min(u64::from(stake.exposed[k])));
            target[k].min(u32::try_from(most).unwrap_or(u32::MAX))
        });
        stake.issued.push(Issued {
            sequence,
            epoch,
            until: now + LEASE + DRIFT_MARGIN,
            amounts,
        });
        stake.count(epoch);
        self.put(key, stake);
        for k in 0..4 {
            assert!(
                self.fresh[k] <= u64::from(self.limit[k]),
                "grants of kind {k} exceed the limit"
            );
        }
        amounts
    }

    fn sweep(&mut self, now: Time) {
        let epoch = self.epoch;
        let ran_out = |s: &Stake| s.issued.iter().any(|i| i.until <= now);
        let stakes = self.stakes.iter().filter(|(_, s)| ran_out(s));
        let keys: Vec<HolderKey> = stakes.map(|(key, _)| *key).collect();
        for key in keys {
            let mut stake = self.take(key);
            stake.issued.retain(|i| i.until > now);
            if stake.issued.is_empty() {
                stake.running = 0;
                stake.wanted = [0; 4];
            }
            stake.count(epoch);
            self.put(key, stake);
        }
    }

    /// Takes a stake out of the map and of the sums.
    fn take(&mut self, key: HolderKey) -> Stake {
        let stake = self.stakes.remove(&key).unwrap_or_default();
        for k in 0..4 {
            self.exposed[k] -= u64::from(stake.exposed[k]);
            self.fresh[k] -= u64::from(stake.fresh[k]);
            self.wanted[k] -= u64::from(stake.wanted[k]);
        }
        self.excess -= u64::from(stake.excess);
        stake
    }

    /// Puts a stake back, unless nothing of it is left.
    fn put(&mut self, key: HolderKey, stake: Stake) {
        if stake.issued.is_empty() && stake.wanted == [0; 4] && stake.running == 0 {
            return;
        }
        for k in 0..4 {
            self.exposed[k] += u64::from(stake.exposed[k]);
            self.fresh[k] += u64::from(stake.fresh[k]);
            self.wanted[k] += u64::from(stake.wanted[k]);
        }
        self.excess += u64::from(stake.excess);
        self.stakes.insert(key, stake);
    }
}

/// Divides, rounding up for as many holders as the remainder says. Rounded down
/// for all, many small parts would leave much of a limit unused; the number of
/// the instance decides, so that parts stay the same from grant to grant.
fn divide(part: u64, by: u64, key: HolderKey) -> u64 {
    const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
    let place = key.0.wrapping_mul(GOLDEN) as f64 / u64::MAX as f64;
    let remainder = (part % by) as f64 / by as f64;
    part / by + u64::from(place < remainder)
}

impl Stake {
    /// Recounts what the issued grants expose.
    fn count(&mut self, epoch: u64) {
        self.exposed = [0; 4];
        self.fresh = [0; 4];
        for issued in &self.issued {
            for k in 0..4 {
                self.exposed[k] = self.exposed[k].max(issued.amounts[k]);
                if issued.epoch == epoch {
                    self.fresh[k] = self.fresh[k].max(issued.amounts[k]);
                }
            }
        }
        self.excess = self.running.saturating_sub(self.exposed[2]);
    }
}
