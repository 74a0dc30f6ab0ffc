//! Order of waiting work between organisations and classes.
//!
//! Classes come first: a higher class is served before a lower one, but every
//! lower class is sure of a small floor of the service, so nothing starves.
//! Inside a class the organisation with the smallest virtual time is served
//! (start-time fair queueing). What one dispatch adds to the virtual time is
//! the [`Discipline`]'s business.

mod item;
mod rate;
mod tenant;

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

/// Classes in their order of priority.
const CLASSES: [Class; 3] = [Class::Interactive, Class::Standard, Class::Bulk];

/// Share of the served cost that a waiting class is sure of, by class.
const FLOOR: [f64; 3] = [0.0, 0.10, 0.05];

/// How a dispatch is charged to its organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discipline {
    /// First in, first out: no organisations at all. A baseline.
    Fifo,
    /// One dispatch costs one stride, whatever it runs: weighted fair dispatch
    /// as in Temporal's fairness pattern
    /// (<https://docs.temporal.io/design-patterns/fairness>). A baseline.
    Stride,
    /// A dispatch costs its estimate, corrected when the true cost is known.
    #[default]
    Cost,
}

/// Waiting work of one instance.
#[derive(Debug)]
pub struct Queue {
    discipline: Discipline,
    classes: [Tenants; 3],
    /// Floor service owed to each class while it waits behind higher ones.
    credit: [f64; 3],
    /// Every waiting item by id, with the number of its push.
    items: HashMap<u64, (Item, u64)>,
    /// Number of the latest push.
    pushes: u64,
    /// Deadline and id of every waiting item.
    deadlines: BTreeSet<(Time, u64)>,
    /// Number of waiting items of each route.
    routes: HashMap<Arc<str>, u32>,
    rate: ServiceRate,
}

impl Queue {
    /// An empty queue.
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

    /// Takes an item in, or refuses it with a time to come back.
    ///
    /// # Errors
    /// [`RefusalReason::Full`] when the route already has `item.bound` waiting,
    /// [`RefusalReason::Deadline`] when the present service rate can't start
    /// the item before its deadline, [`RefusalReason::Duplicate`] when the id
    /// already waits.
    pub fn push(&mut self, now: Time, item: Item) -> Result<(), Refusal> {
        if self.items.contains_key(&item.id) {
            return Err(Refusal::new(RefusalReason::Duplicate, Duration::ZERO));
        }
        let wait = self.expected_wait(&item);
        let waiting = self.routes.get(&item.route).copied().unwrap_or(0);
        if waiting >= item.bound {
            return Err(Refusal::new(RefusalReason::Full, wait));
        }
        let left = item.deadline.since(now);
        if wait >= left {
            return Err(Refusal::new(RefusalReason::Deadline, wait - left));
        }
        self.insert(now, item);
        Ok(())
    }

    fn insert(&mut self, now: Time, item: Item) {
        if self.items.is_empty() {
            self.rate.busy(now);
        }
        *self.routes.entry(item.route.clone()).or_default() += 1;
        self.pushes += 1;
        self.deadlines.insert((item.deadline, item.id));
        let key = self.key(&item);
        self.classes[item.class as usize].push(&key, self.pushes, item.id, item.cost);
        self.items.insert(item.id, (item, self.pushes));
    }

    /// Takes out the item that is served next.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        let index = self.next_class()?;
        let id = self.classes[index].pop()?;
        let (item, _) = self.forget(id)?;
        let charge = self.charge(item.cost);
        let key = self.key(&item);
        self.classes[index].charge(&key, charge);
        self.account(index, item.cost);
        self.rate.served(now, item.cost);
        if self.items.is_empty() {
            self.rate.idle(now);
        }
        Some(item)
    }

    /// Corrects the account of an organisation once the true cost of a
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

    /// Takes out an item whose caller left.
    pub fn remove(&mut self, id: u64) -> Option<Item> {
        let (item, push) = self.forget(id)?;
        let key = self.key(&item);
        self.classes[item.class as usize].remove(&key, push);
        Some(item)
    }

    /// Takes out every item whose deadline has come.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut gone = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            gone.extend(self.remove(id));
        }
        gone
    }

    /// Time until `item` would be served if it were taken in now, by the
    /// present service rate. Zero while the rate isn't known.
    #[must_use]
    pub fn expected_wait(&self, item: &Item) -> Duration {
        let class = item.class as usize;
        let key = self.key(item);
        let ahead = self.classes[class].work_ahead(&key);
        let higher: f64 = self.classes[..class].iter().map(Tenants::backlog).sum();
        let total = ahead + higher;
        let floored = match class {
            0 => total,
            _ => total.min(ahead / FLOOR[class]),
        };
        self.rate.time_for(floored)
    }

    fn key(&self, item: &Item) -> OrganisationId {
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

    /// The highest class with work, unless a lower one is owed its floor.
    fn next_class(&self) -> Option<usize> {
        let owed = (1..CLASSES.len()).rev().find(|&i| {
            !self.classes[i].is_empty() && self.credit[i] >= self.classes[i].head_cost()
        });
        owed.or_else(|| (0..CLASSES.len()).find(|&i| !self.classes[i].is_empty()))
    }

    /// Books a service of `cost`: classes that waited behind it earn their
    /// floor of it, the served class pays.
    fn account(&mut self, served: usize, cost: f64) {
        for (i, credit) in self.credit.iter_mut().enumerate() {
            if i == served {
                *credit = (*credit - cost).max(0.0);
            } else if !self.classes[i].is_empty() {
                *credit += FLOOR[i] * cost;
            }
        }
    }

    /// Drops an item from all but its class; returns it and its push.
    fn forget(&mut self, id: u64) -> Option<(Item, u64)> {
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
