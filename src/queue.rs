//! Fair queue of waiting work, by class and organisation.
//!
//! A higher class is served before a lower one, but every lower class is
//! guaranteed a small minimum share of the service, its floor, so that none
//! starves. Within a class, the organisation with the smallest virtual time is
//! served first (start-time fair queueing). The [`Discipline`] decides what one
//! dispatch adds to the virtual time.

mod item;
mod rate;
pub(crate) mod tenant;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub use item::{Item, Refusal, RefusalReason};

use crate::catalogue::Class;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::OrganisationId;
use rate::ServiceRate;
use tenant::Tenants;

/// Classes, highest priority first.
const CLASSES: [Class; 3] = [Class::Interactive, Class::Standard, Class::Bulk];

/// Share of the served cost guaranteed to a waiting class, by class.
const FLOOR: [f64; 3] = [0.0, 0.10, 0.05];

/// How a dispatch is charged to its organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// First in, first out, regardless of organisations. A baseline.
    Fifo,
    /// Each dispatch costs one stride, whatever it runs: weighted fair dispatch
    /// as in Temporal's fairness pattern
    /// (<https://docs.temporal.io/design-patterns/fairness>). A baseline.
    Stride,
    /// A dispatch costs its estimate, corrected once the actual cost is known.
    #[default]
    Cost,
}

/// Waiting work of one instance.
#[derive(Debug)]
pub struct Queue {
    discipline: Discipline,
    classes: [Tenants; 3],
    /// Floor service owed to each class, accrued while it waits behind others.
    credit: [f64; 3],
    /// All waiting items by id, with the sequence number of their push.
    items: HashMap<u64, (Item, u64)>,
    /// Sequence number of the latest push.
    pushes: u64,
    /// Deadline and id of all waiting items.
    deadlines: BTreeSet<(Time, u64)>,
    /// Number of waiting items of each route.
    routes: HashMap<Arc<str>, u32>,
    rate: ServiceRate,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            classes: Default::default(),
            credit: [0.0; 3],
            items: HashMap::default(),
            pushes: 0,
            deadlines: BTreeSet::new(),
            routes: HashMap::default(),
            rate: ServiceRate::default(),
        }
    }

    /// Sets the weight of one organisation in all classes (1 by default).
    /// Non-positive and non-finite weights count as 1.
    pub fn set_weight(&mut self, organisation: &OrganisationId, weight: f64) {
        for class in &mut self.classes {
            class.set_weight(organisation, weight);
        }
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Enqueues an item, or refuses it with a time after which to retry.
    ///
    /// # Errors
    /// [`RefusalReason::Full`] if `item.bound` items of the route already wait,
    /// [`RefusalReason::Deadline`] if the item can't be started before its
    /// deadline at the present service rate, [`RefusalReason::Duplicate`] if an
    /// item with this id already waits.
    pub fn push(&mut self, now: Time, item: Item) -> Result<(), Refusal> {
        if self.items.contains_key(&item.id) {
            return Err(Refusal::new(RefusalReason::Duplicate, Duration::ZERO));
        }
        let wait = self.expected_wait(&item);
        let waiting = self.routes.get(&item.route).copied().unwrap_or(0);
        if waiting >= item.bound {
            return Err(Refusal::new(RefusalReason::Full, wait));
        }
        let remaining = item.deadline.since(now);
        if wait >= remaining {
            return Err(Refusal::new(RefusalReason::Deadline, wait - remaining));
        }
        self.insert(now, item);
        Ok(())
    }

    fn insert(&mut self, now: Time, item: Item) {
        if self.items.is_empty() {
            self.rate.start(now);
        }
        *self.routes.entry(item.route.clone()).or_default() += 1;
        self.pushes += 1;
        self.deadlines.insert((item.deadline, item.id));
        let key = self.fairness_key(&item);
        self.classes[item.class as usize].push(&key, self.pushes, item.id, item.cost);
        self.items.insert(item.id, (item, self.pushes));
    }

    /// Dequeues the item to serve next.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        let index = self.next_class()?;
        let id = self.classes[index].pop()?;
        let (item, _) = self.unindex(id)?;
        let charge = self.charge(item.cost);
        let key = self.fairness_key(&item);
        self.classes[index].charge(&key, charge);
        self.account(index, item.cost);
        self.rate.record(now, item.cost);
        if self.items.is_empty() {
            self.rate.stop(now);
        }
        Some(item)
    }

    /// Corrects the charge to an organisation once the actual cost of a
    /// dispatched item is known. Costs are in the unit of [`Item::cost`].
    pub fn settle(
        &mut self,
        organisation: &OrganisationId,
        class: Class,
        estimated: f64,
        actual: f64,
    ) {
        if self.discipline != Discipline::Cost {
            return;
        }
        self.classes[class as usize].charge(organisation, actual - estimated);
    }

    /// Removes an item whose caller disconnected.
    pub fn remove(&mut self, id: u64) -> Option<Item> {
        let (item, push) = self.unindex(id)?;
        let key = self.fairness_key(&item);
        self.classes[item.class as usize].remove(&key, push);
        Some(item)
    }

    /// Removes all items whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut expired = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(id));
        }
        expired
    }

    /// Time until `item` would be served if it were enqueued now, at the
    /// present service rate. Zero while the rate is unknown.
    #[must_use]
    pub fn expected_wait(&self, item: &Item) -> Duration {
        let class = item.class as usize;
        let key = self.fairness_key(item);
        let ahead = self.classes[class].work_ahead(&key);
        let higher: f64 = self.classes[..class].iter().map(Tenants::backlog).sum();
        let total = ahead + higher;
        let bounded = match class {
            0 => total,
            _ => total.min(ahead / FLOOR[class]),
        };
        self.rate.time_for(bounded)
    }

    fn fairness_key(&self, item: &Item) -> OrganisationId {
        match self.discipline {
            Discipline::Fifo => OrganisationId::from(""),
            _ => item.organisation.clone(),
        }
    }

    fn charge(&self, cost: f64) -> f64 {
        match self.discipline {
            Discipline::Cost => cost,
            Discipline::Stride | Discipline::Fifo => 1.0,
        }
    }

    /// The highest class with waiting items, unless a lower one is owed its
    /// floor.
    fn next_class(&self) -> Option<usize> {
        let owed = (1..CLASSES.len()).rev().find(|&i| {
            !self.classes[i].is_empty() && self.credit[i] >= self.classes[i].head_cost()
        });
        owed.or_else(|| (0..CLASSES.len()).find(|&i| !self.classes[i].is_empty()))
    }

    /// Accounts for a service of `cost`: the other waiting classes are credited
    /// their floor of it, the served class is debited.
    fn account(&mut self, served: usize, cost: f64) {
        for (i, credit) in self.credit.iter_mut().enumerate() {
            if i == served {
                *credit = (*credit - cost).max(0.0);
            } else if !self.classes[i].is_empty() {
                *credit += FLOOR[i] * cost;
            }
        }
    }

    /// Removes an item from all indices but that of its class; returns it with
    /// the sequence number of its push.
    fn unindex(&mut self, id: u64) -> Option<(Item, u64)> {
        let (item, push) = self.items.remove(&id)?;
        self.deadlines.remove(&(item.deadline, id));
        if let Some(count) = self.routes.get_mut(&item.route) {
            *count -= 1;
            if *count == 0 {
                self.routes.remove(&item.route);
            }
        }
        Some((item, push))
    }
}
