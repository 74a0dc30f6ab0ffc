//! The organisations of one class, ordered by virtual time.

use std::collections::{BTreeMap, BTreeSet};

use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Idle organisations kept before those without debt are dropped.
const IDLE_KEPT: usize = 4096;

/// A virtual time. Finite, ordered by `total_cmp`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Virtual(f64);

impl Eq for Virtual {}

impl PartialOrd for Virtual {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Virtual {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: u64,
    cost: f64,
}

/// One organisation's line.
#[derive(Debug)]
struct Tenant {
    weight: f64,
    /// Served cost by weight, in the class's virtual time.
    passed: f64,
    /// Waiting items by the number of their push: oldest first.
    line: BTreeMap<u64, Waiting>,
    /// Cost of `line`.
    backlog: f64,
}

/// All organisations of a class.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    index: HashMap<OrganisationId, usize>,
    slab: Vec<Tenant>,
    /// Exactly the organisations with waiting items, by virtual time.
    order: BTreeSet<(Virtual, usize)>,
    /// Virtual time of the class: that of the organisation served last. An
    /// organisation that comes back starts here, so idling saves up nothing.
    clock: f64,
    backlog: f64,
    /// Sum of the weights in `order`.
    weights: f64,
}

impl Tenants {
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Cost of all waiting items.
    pub(crate) fn backlog(&self) -> f64 {
        self.backlog
    }

    pub(crate) fn set_weight(&mut self, organisation: &OrganisationId, weight: f64) {
        let valid = weight.is_finite() && weight > 0.0;
        let i = self.find(organisation);
        let old = std::mem::replace(&mut self.slab[i].weight, if valid { weight } else { 1.0 });
        if !self.slab[i].line.is_empty() {
            self.weights += self.slab[i].weight - old;
        }
    }

    pub(crate) fn push(&mut self, organisation: &OrganisationId, push: u64, id: u64, cost: f64) {
        let clock = self.clock;
        let i = self.find(organisation);
        let tenant = &mut self.slab[i];
        let idle = tenant.line.is_empty();
        tenant.line.insert(push, Waiting { id, cost });
        tenant.backlog += cost;
        self.backlog += cost;
        if idle {
            tenant.passed = tenant.passed.max(clock);
            self.weights += tenant.weight;
            self.order.insert((Virtual(tenant.passed), i));
        }
    }

    /// Takes the oldest item of the organisation with the smallest virtual
    /// time; returns its id.
    pub(crate) fn pop(&mut self) -> Option<u64> {
        let &(passed, i) = self.order.first()?;
        self.clock = self.clock.max(passed.0);
        let (_, waiting) = self.slab[i].line.pop_first()?;
        self.left(i, waiting.cost);
        Some(waiting.id)
    }

    /// Moves an organisation's virtual time by `cost`, which may be negative
    /// when an estimate was too high.
    pub(crate) fn charge(&mut self, organisation: &OrganisationId, cost: f64) {
        let Some(&i) = self.index.get(organisation) else {
            return;
        };
        let tenant = &mut self.slab[i];
        let before = Virtual(tenant.passed);
        tenant.passed += cost / tenant.weight;
        if !tenant.line.is_empty() {
            self.order.remove(&(before, i));
            self.order.insert((Virtual(tenant.passed), i));
        }
    }

    /// Takes out an item that leaves without being served.
    pub(crate) fn remove(&mut self, organisation: &OrganisationId, push: u64) {
        let Some(&i) = self.index.get(organisation) else {
            return;
        };
        if let Some(waiting) = self.slab[i].line.remove(&push) {
            self.left(i, waiting.cost);
        }
    }

    /// Books that an item of `cost` left a line.
    fn left(&mut self, i: usize, cost: f64) {
        let tenant = &mut self.slab[i];
        tenant.backlog -= cost;
        self.backlog -= cost;
        if !tenant.line.is_empty() {
            return;
        }
        self.order.remove(&(Virtual(tenant.passed), i));
        tenant.backlog = 0.0;
        self.weights -= tenant.weight;
        if self.order.is_empty() {
            self.weights = 0.0;
            self.backlog = 0.0;
        }
    }

    /// Cost of the next item, zero when nothing waits.
    pub(crate) fn head_cost(&self) -> f64 {
        let Some(&(_, i)) = self.order.first() else {
            return 0.0;
        };
        self.slab[i]
            .line
            .first_key_value()
            .map_or(0.0, |(_, w)| w.cost)
    }

    /// Cost served before a new item of the organisation would be: its own
    /// line at its share of the service, at most the whole backlog.
    pub(crate) fn work_ahead(&self, organisation: &OrganisationId) -> f64 {
        let tenant = self.index.get(organisation).map(|&i| &self.slab[i]);
        let (own, weight, live) = tenant.map_or((0.0, 1.0, false), |t| {
            (t.backlog, t.weight, !t.line.is_empty())
        });
        let others = if live {
            self.weights - weight
        } else {
            self.weights
        };
        let debt = tenant.map_or(0.0, |t| (t.passed - self.clock).max(0.0));
        let shared = own + (own + debt * weight) * others / weight;
        shared.min(self.backlog)
    }

    fn find(&mut self, organisation: &OrganisationId) -> usize {
        if let Some(&i) = self.index.get(organisation) {
            return i;
        }
        if self.slab.len() >= IDLE_KEPT + 2 * self.order.len() {
            self.compact();
        }
        let i = self.slab.len();
        self.index.insert(organisation.clone(), i);
        self.slab.push(Tenant {
            weight: 1.0,
            passed: self.clock,
            line: BTreeMap::new(),
            backlog: 0.0,
        });
        i
    }

    /// Drops organisations that are idle, without debt and of default weight:
    /// they would start at the clock anyway.
    fn compact(&mut self) {
        let clock = self.clock;
        let old = std::mem::take(&mut self.slab);
        let mut places = vec![usize::MAX; old.len()];
        for (i, tenant) in old.into_iter().enumerate() {
            let idle = tenant.line.is_empty() && tenant.passed <= clock;
            if idle && (tenant.weight - 1.0).abs() < f64::EPSILON {
                continue;
            }
            places[i] = self.slab.len();
            self.slab.push(tenant);
        }
        self.index.retain(|_, i| {
            *i = places[*i];
            *i != usize::MAX
        });
        let order = std::mem::take(&mut self.order);
        self.order = order.into_iter().map(|(v, i)| (v, places[i])).collect();
    }
}
