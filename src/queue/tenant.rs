//! The organisations of one class, ordered by virtual time.

use std::collections::{BTreeMap, BTreeSet};

use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Number of idle organisations kept before those without debt are dropped.
const MAX_IDLE: usize = 4096;

/// A virtual time. Finite, ordered by `total_cmp`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct VirtualTime(f64);

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    id: u64,
    cost: f64,
}

/// Position of an organisation in the order of service. Of several with the same virtual time, the
/// one whose oldest item has waited longest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    time: VirtualTime,
    /// Sequence number of the push of the oldest item.
    push: u64,
    /// Index in the slab.
    index: usize,
}

/// Position of an item in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Start {
    /// Virtual time at which its service would start.
    time: VirtualTime,
    push: u64,
    id: u64,
}

/// Queue of one organisation.
#[derive(Debug)]
struct Tenant {
    weight: f64,
    /// Served cost divided by the weight, in the class's virtual time.
    virtual_time: f64,
    /// Waiting items by the sequence number of their push, oldest first.
    queue: BTreeMap<u64, Waiting>,
    /// Total cost of `queue`.
    backlog: f64,
}

impl Tenant {
    /// Waiting items with the virtual times at which they would be served, if no others come.
    fn starts(&self) -> impl Iterator<Item = Start> {
        let queue = self.queue.iter();
        queue.scan(self.virtual_time, |next, (&push, waiting)| {
            let time = VirtualTime(*next);
            *next += waiting.cost / self.weight;
            let id = waiting.id;
            Some(Start { time, push, id })
        })
    }

    /// Virtual time at which an item would be served that is pushed when the class is at `clock`.
    fn next_start(&self, clock: f64) -> VirtualTime {
        if self.queue.is_empty() {
            return VirtualTime(self.virtual_time.max(clock));
        }
        let costs = self.queue.values().map(|w| w.cost / self.weight);
        VirtualTime(costs.fold(self.virtual_time, |time, cost| time + cost))
    }
}

/// All organisations of a class.
#[derive(Debug, Default)]
pub(crate) struct Tenants {
    index: HashMap<OrganisationId, usize>,
    slab: Vec<Tenant>,
    /// Precisely the organisations with waiting items, by virtual time.
    order: BTreeSet<Position>,
    /// Virtual time of the class: that of the organisation served last. An
    /// organisation that was idle starts here, so that idle time earns no
    /// credit.
    clock: f64,
    backlog: f64,
    /// Sum of the weights in `order`.
    weights: f64,
}

impl Tenants {
    pub(crate) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Total cost of all waiting items.
    pub(crate) fn backlog(&self) -> f64 {
        self.backlog
    }

    pub(crate) fn set_weight(&mut self, organisation: &OrganisationId, weight: f64) {
        let valid = weight.is_finite() && weight > 0.0;
        let i = self.find_or_insert(organisation);
        let old = std::mem::replace(&mut self.slab[i].weight, if valid { weight } else { 1.0 });
        if !self.slab[i].queue.is_empty() {
            self.weights += self.slab[i].weight - old;
        }
    }

    pub(crate) fn push(&mut self, organisation: &OrganisationId, push: u64, id: u64, cost: f64) {
        let clock = self.clock;
        let i = self.find_or_insert(organisation);
        let tenant = &mut self.slab[i];
        let idle = tenant.queue.is_empty();
        tenant.queue.insert(push, Waiting { id, cost });
        tenant.backlog += cost;
        self.backlog += cost;
        if idle {
            tenant.virtual_time = tenant.virtual_time.max(clock);
            self.weights += tenant.weight;
            self.order.extend(self.position(i));
        }
    }

    /// Removes the oldest item of the organisation with the smallest virtual
    /// time and returns its id.
    pub(crate) fn pop(&mut self) -> Option<u64> {
        let &Position { time, push, index } = self.order.first()?;
        self.clock = self.clock.max(time.0);
        let waiting = self.take(index, push)?;
        Some(waiting.id)
    }

    /// Advances an organisation's virtual time by `cost`, which is negative if
    /// an estimate was too high.
    pub(crate) fn charge(&mut self, organisation: &OrganisationId, cost: f64) {
        let Some(&i) = self.index.get(organisation) else {
            return;
        };
        if let Some(before) = self.position(i) {
            self.order.remove(&before);
        }
        let tenant = &mut self.slab[i];
        tenant.virtual_time += cost / tenant.weight;
        self.order.extend(self.position(i));
    }

    /// Removes an item that won't be served.
    pub(crate) fn remove(&mut self, organisation: &OrganisationId, push: u64) {
        if let Some(&i) = self.index.get(organisation) {
            self.take(i, push);
        }
    }

    /// Position in `order` of an organisation; `None` if it has no waiting items.
    fn position(&self, index: usize) -> Option<Position> {
        let tenant = &self.slab[index];
        let (&push, _) = tenant.queue.first_key_value()?;
        let time = VirtualTime(tenant.virtual_time);
        Some(Position { time, push, index })
    }

    /// Removes an item from the queue of its organisation, and updates the order and the sums.
    fn take(&mut self, i: usize, push: u64) -> Option<Waiting> {
        let before = self.position(i)?;
        let tenant = &mut self.slab[i];
        let waiting = tenant.queue.remove(&push)?;
        tenant.backlog -= waiting.cost;
        self.backlog -= waiting.cost;
        self.order.remove(&before);
        if let Some(after) = self.position(i) {
            self.order.insert(after);
            return Some(waiting);
        }
        let tenant = &mut self.slab[i];
        tenant.backlog = 0.0;
        self.weights -= tenant.weight;
        if self.order.is_empty() {
            self.weights = 0.0;
            self.backlog = 0.0;
        }
        Some(waiting)
    }

    /// Id of the item that `pop` would return.
    pub(crate) fn first(&self) -> Option<u64> {
        let first = self.order.first()?;
        let (_, waiting) = self.slab[first.index].queue.first_key_value()?;
        Some(waiting.id)
    }

    /// Id of the item that would be served last, if no others come.
    pub(crate) fn last(&self) -> Option<u64> {
        let starts = self.active().flat_map(Tenant::starts);
        starts.max().map(|start| start.id)
    }

    /// Number of waiting items that would be served before a new one of the organisation, if no
    /// others come.
    pub(crate) fn items_ahead(&self, organisation: &OrganisationId) -> usize {
        let tenant = self.index.get(organisation).map(|&i| &self.slab[i]);
        let next = tenant.map_or(VirtualTime(self.clock), |t| t.next_start(self.clock));
        let starts = self.active().flat_map(Tenant::starts);
        starts.filter(|start| start.time <= next).count()
    }

    /// Number of waiting items.
    pub(crate) fn len(&self) -> usize {
        self.active().map(|t| t.queue.len()).sum()
    }

    /// Organisations with waiting items.
    fn active(&self) -> impl Iterator<Item = &Tenant> {
        self.order.iter().map(|p| &self.slab[p.index])
    }

    /// Cost of the next item; zero if none waits.
    pub(crate) fn head_cost(&self) -> f64 {
        let Some(first) = self.order.first() else {
            return 0.0;
        };
        self.slab[first.index]
            .queue
            .first_key_value()
            .map_or(0.0, |(_, w)| w.cost)
    }

    /// Cost that is served before a new item of the organisation: its own queue
    /// at its share of the service, but at most the whole backlog.
    pub(crate) fn work_ahead(&self, organisation: &OrganisationId) -> f64 {
        let tenant = self.index.get(organisation).map(|&i| &self.slab[i]);
        let (own, weight, active) = tenant.map_or((0.0, 1.0, false), |t| {
            (t.backlog, t.weight, !t.queue.is_empty())
        });
        let others = if active {
            self.weights - weight
        } else {
            self.weights
        };
        let debt = tenant.map_or(0.0, |t| (t.virtual_time - self.clock).max(0.0));
        let shared = own + (own + debt * weight) * others / weight;
        shared.min(self.backlog)
    }

    fn find_or_insert(&mut self, organisation: &OrganisationId) -> usize {
        if let Some(&i) = self.index.get(organisation) {
            return i;
        }
        if self.slab.len() >= MAX_IDLE + 2 * self.order.len() {
            self.compact();
        }
        let i = self.slab.len();
        self.index.insert(organisation.clone(), i);
        self.slab.push(Tenant {
            weight: 1.0,
            virtual_time: self.clock,
            queue: BTreeMap::new(),
            backlog: 0.0,
        });
        i
    }

    /// Drops organisations that are idle, without debt and of default weight.
    /// They would start at the class's virtual time anyway.
    fn compact(&mut self) {
        let clock = self.clock;
        let old = std::mem::take(&mut self.slab);
        let mut indices = vec![usize::MAX; old.len()];
        for (i, tenant) in old.into_iter().enumerate() {
            let idle = tenant.queue.is_empty() && tenant.virtual_time <= clock;
            if idle && (tenant.weight - 1.0).abs() < f64::EPSILON {
                continue;
            }
            indices[i] = self.slab.len();
            self.slab.push(tenant);
        }
        self.index.retain(|_, i| {
            *i = indices[*i];
            *i != usize::MAX
        });
        let order = std::mem::take(&mut self.order).into_iter();
        let moved = order.map(|p| Position {
            index: indices[p.index],
            ..p
        });
        self.order = moved.collect();
    }
}
