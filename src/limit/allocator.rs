//! The leader's side of the limits: divides each limit among the holders.

use std::sync::Arc;
use std::time::Duration;

use super::message::{Amounts, Demand, Grant, Share, ShareRequest};
use super::{DRIFT_MARGIN, LEASE};
use crate::catalogue::Limits;
use crate::clock::Time;
use crate::collections::{HashMap, HashSet};

/// Interval between sweeps for expired grants.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

/// Instance and incarnation.
type HolderKey = (u64, u64);

/// Grants the shares of all limits of a fleet.
///
/// At most one allocator may grant at a time: the caller uses it only while a
/// quorum confirms its leadership, and creates a new one for each term. A new
/// allocator relies on no earlier one granting any more.
#[derive(Debug)]
pub struct Allocator {
    /// Time until which shares granted by earlier allocators may be in use.
    unknown_until: Time,
    routes: HashMap<Arc<str>, Route>,
    holders: HashMap<HolderKey, HolderState>,
    last_sweep: Time,
}

/// State kept for a holder.
#[derive(Debug, Default)]
struct HolderState {
    /// Sequence of the latest share request answered. Requests up to it are
    /// late or duplicate copies.
    sequence: u64,
    /// Routes on which this holder has an account.
    routes: Vec<Arc<str>>,
    last_request: Time,
}

#[derive(Debug)]
struct Route {
    limit: [u32; 4],
    /// Number of times the limit was lowered.
    epoch: u64,
    accounts: HashMap<HolderKey, Account>,
    /// Sums over `accounts` of the fields of the same names.
    exposed: [u64; 4],
    fresh: [u64; 4],
    wanted: [u64; 4],
    excess: u64,
}

/// Grants and demand of one holder on one route.
#[derive(Debug, Default)]
struct Account {
    /// Grants that the holder uses or may still use when a delayed grant
    /// arrives.
    issued: Vec<Issued>,
    /// Maximum over `issued`, by kind.
    exposed: [u32; 4],
    /// Maximum over those of the present epoch, by kind.
    fresh: [u32; 4],
    wanted: [u32; 4],
    /// Running requests beyond `exposed`.
    excess: u32,
    running: u32,
}

#[derive(Debug)]
struct Issued {
    sequence: u64,
    /// Epoch of the limit at the time of the grant.
    epoch: u64,
    /// Time until which the grant counts: the lease from the receipt of the
    /// share request, plus the possible clock drift.
    until: Time,
    amounts: [u32; 4],
}

impl Allocator {
    /// Creates the allocator of a new leader. Shares that an earlier leader
    /// granted may be in use for one more lease; until then reported shares are
    /// only renewed, at the same amount.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            unknown_until: now + LEASE + DRIFT_MARGIN,
            routes: HashMap::default(),
            holders: HashMap::default(),
            last_sweep: now,
        }
    }

    /// Sets the limits from the catalogue. Routes that aren't listed get no
    /// more shares. A lowered limit is in force one lease later, or one lease
    /// after the next change of leader if that comes first: a new allocator
    /// can't tell which of the reported shares were granted before the limit
    /// was lowered.
    pub fn set_limits<'a>(&mut self, limits: impl IntoIterator<Item = (&'a str, Limits)>) {
        let mut unlisted: HashSet<Arc<str>> = self.routes.keys().cloned().collect();
        for (name, limits) in limits {
            unlisted.remove(name);
            let limit = Amounts::from(limits).array();
            match self.routes.get_mut(name) {
                Some(route) => route.set_limit(limit),
                None => {
                    self.routes.insert(name.into(), Route::new(limit));
                }
            }
        }
        for name in &unlisted {
            if let Some(route) = self.routes.get_mut(name) {
                route.set_limit([0; 4]);
            }
        }
        self.routes
            .retain(|name, r| !unlisted.contains(name) || !r.accounts.is_empty());
    }

    /// Answers a share request; `None` if it is a late or duplicate copy.
    ///
    /// A late copy reports outdated demand. A grant for it would reserve shares
    /// that the holder doesn't want, and would ignore as outdated.
    pub fn allocate(&mut self, now: Time, request: &ShareRequest) -> Option<Grant> {
        self.sweep(now);
        let key = (request.instance, request.incarnation);
        let state = self.holders.entry(key).or_default();
        if request.sequence <= state.sequence {
            return None;
        }
        state.sequence = request.sequence;
        state.last_request = now;
        let before = std::mem::take(&mut state.routes);
        for name in &before {
            if let Some(route) = self.routes.get_mut(name) {
                route.apply_report(now, key, request.applied, &Demand::default());
            }
        }
        let mut shares = Vec::with_capacity(request.demands.len());
        for demand in &request.demands {
            let amounts = self.grant(now, key, request, demand);
            shares.extend(amounts.map(|amounts| Share {
                route: demand.route.clone(),
                amounts: Amounts::from_array(amounts),
            }));
        }
        self.record_routes(key, before, &request.demands);
        Some(Grant {
            instance: request.instance,
            incarnation: request.incarnation,
            sequence: request.sequence,
            renewal: now < self.unknown_until,
            shares,
        })
    }

    fn grant(
        &mut self,
        now: Time,
        key: HolderKey,
        request: &ShareRequest,
        demand: &Demand,
    ) -> Option<[u32; 4]> {
        let fleet = self.holders.len();
        let route = self.routes.get_mut(demand.route.as_str())?;
        route.apply_report(now, key, request.applied, demand);
        let target = if now < self.unknown_until {
            demand.held.array()
        } else {
            route.target(key, fleet)
        };
        let amounts = route.issue(now, key, request.sequence, target);
        Some(amounts).filter(|a| *a != [0; 4])
    }

    fn record_routes(&mut self, key: HolderKey, before: Vec<Arc<str>>, demands: &[Demand]) {
        let mut routes = before;
        for demand in demands {
            let found = self.routes.get_key_value(demand.route.as_str());
            routes.extend(found.map(|(name, _)| name.clone()));
        }
        routes.sort_unstable();
        routes.dedup();
        routes.retain(|name| {
            let route = self.routes.get(name);
            route.is_some_and(|r| r.accounts.contains_key(&key))
        });
        if let Some(state) = self.holders.get_mut(&key) {
            state.routes = routes;
        }
    }

    /// Periodically drops expired grants and holders that stopped requesting.
    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_PERIOD {
            return;
        }
        self.last_sweep = now;
        for route in self.routes.values_mut() {
            route.sweep(now);
        }
        self.holders
            .retain(|_, state| now.since(state.last_request) < 4 * LEASE);
    }

    /// Sum of the shares of a route that may be in use, by kind.
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
            accounts: HashMap::default(),
            exposed: [0; 4],
            fresh: [0; 4],
            wanted: [0; 4],
            excess: 0,
        }
    }

    /// Sets the limit. If any kind of it is lowered, no earlier grant counts as
    /// fresh any more: see [`issue`](Self::issue).
    fn set_limit(&mut self, limit: [u32; 4]) {
        let lowered = limit.iter().zip(self.limit).any(|(new, old)| *new < old);
        self.limit = limit;
        if !lowered {
            return;
        }
        self.epoch += 1;
        self.fresh = [0; 4];
        for account in self.accounts.values_mut() {
            account.fresh = [0; 4];
        }
    }

    /// Applies a holder's report: grants older than the one in use won't be
    /// used again, so they are dropped.
    fn apply_report(&mut self, now: Time, key: HolderKey, applied: u64, demand: &Demand) {
        let epoch = self.epoch;
        let mut account = self.remove(key);
        account
            .issued
            .retain(|i| i.sequence >= applied && i.until > now);
        account.wanted = demand.wanted.array();
        account.running = demand.running;
        account.recompute(epoch);
        self.insert(key, account);
    }

    /// The share that a holder should have: its demand plus an equal part of
    /// the unclaimed rest of the limit. If the total demand exceeds the limit,
    /// it is a part of the limit in proportion to the holder's demand, but at
    /// least one if it has any.
    fn target(&self, key: HolderKey, fleet: usize) -> [u32; 4] {
        let own = self
            .accounts
            .get(&key)
            .map(|s| s.wanted)
            .unwrap_or_default();
        // The rest is divided by all holders of the fleet, including those
        // without an account on the route. Divided among the accounts alone,
        // the whole limit would go to the first few holders. When the first
        // requests reach all instances at once, the last ones would then wait
        // two periods until the first ones give shares back.
        let holders = self.accounts.len().max(fleet).max(1) as u64;
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
    /// Nothing that another holder may use is granted: a unit granted twice
    /// would let the fleet admit more than the limit.
    fn issue(&mut self, now: Time, key: HolderKey, sequence: u64, target: [u32; 4]) -> [u32; 4] {
        let epoch = self.epoch;
        let mut account = self.remove(key);
        let amounts = std::array::from_fn(|k| {
            let limit = u64::from(self.limit[k]);
            let excess = if k == 2 { self.excess } else { 0 };
            let free = limit.saturating_sub(self.exposed[k] + excess);
            // After a limit was lowered, the earlier grants exceed it. Then a
            // holder keeps as much of its own share as fits the new limit
            // beside all grants issued since. Every earlier grant expires
            // within a lease, after which the sum of all grants fits the limit.
            let kept = limit.saturating_sub(self.fresh[k]);
            let most = free.max(kept.min(u64::from(account.exposed[k])));
            target[k].min(u32::try_from(most).unwrap_or(u32::MAX))
        });
        account.issued.push(Issued {
            sequence,
            epoch,
            until: now + LEASE + DRIFT_MARGIN,
            amounts,
        });
        account.recompute(epoch);
        self.insert(key, account);
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
        let has_expired = |s: &Account| s.issued.iter().any(|i| i.until <= now);
        let accounts = self.accounts.iter().filter(|(_, s)| has_expired(s));
        let keys: Vec<HolderKey> = accounts.map(|(key, _)| *key).collect();
        for key in keys {
            let mut account = self.remove(key);
            account.issued.retain(|i| i.until > now);
            if account.issued.is_empty() {
                account.running = 0;
                account.wanted = [0; 4];
            }
            account.recompute(epoch);
            self.insert(key, account);
        }
    }

    /// Removes an account from the map and from the sums.
    fn remove(&mut self, key: HolderKey) -> Account {
        let account = self.accounts.remove(&key).unwrap_or_default();
        for k in 0..4 {
            self.exposed[k] -= u64::from(account.exposed[k]);
            self.fresh[k] -= u64::from(account.fresh[k]);
            self.wanted[k] -= u64::from(account.wanted[k]);
        }
        self.excess -= u64::from(account.excess);
        account
    }

    /// Inserts an account into the map and the sums, unless it is empty.
    fn insert(&mut self, key: HolderKey, account: Account) {
        if account.issued.is_empty() && account.wanted == [0; 4] && account.running == 0 {
            return;
        }
        for k in 0..4 {
            self.exposed[k] += u64::from(account.exposed[k]);
            self.fresh[k] += u64::from(account.fresh[k]);
            self.wanted[k] += u64::from(account.wanted[k]);
        }
        self.excess += u64::from(account.excess);
        self.accounts.insert(key, account);
    }
}

/// Divides, rounding up for a fraction of the holders that matches the
/// remainder. If all rounded down, many small parts would leave much of a limit
/// unused. A hash of the instance id decides, so that a holder's part stays the
/// same from grant to grant.
fn divide(part: u64, by: u64, key: HolderKey) -> u64 {
    const GOLDEN: u64 = 0x9E37_79B9_7F4A_7C15;
    let hash = key.0.wrapping_mul(GOLDEN) as f64 / u64::MAX as f64;
    let remainder = (part % by) as f64 / by as f64;
    part / by + u64::from(hash < remainder)
}

impl Account {
    /// Recomputes the totals from the issued grants.
    fn recompute(&mut self, epoch: u64) {
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
