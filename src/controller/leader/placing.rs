//! Placement orders of the leader, and what becomes of them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use super::LeaderState;
use crate::clock::Time;
use crate::configuration::{Configuration, Model};
use crate::controller::order::{EndedOrder, OrderEnd};
use crate::decide::placement::{self, Worker};
use crate::roster::{Announcement, CurrentAnnouncement, LOST_HEARTBEATS, LayerRange, RosterEntry};
use crate::sync::address_key;

/// Heartbeat periods in which each live upstream sends a heartbeat, with some delay.
const HEARD_HEARTBEATS: f64 = 1.25;

/// Time after which an order counts as lost and may be sent again. Loading a usual range
/// of layers takes one to four seconds.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause before an engine that refused an order gets another.
const REFUSED_PAUSE: Duration = Duration::from_millis(700);

/// Pause before an engine that did not answer an order gets another.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(2);

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

/// An order that the engine may still carry out.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: PlacementOrder,
    issued: Time,
    pub(super) until: Time,
    /// Whether the engine is expected to carry out the order.
    expected: bool,
    /// Cause of its end if it is still pending at `until`.
    pub(super) lapse: OrderEnd,
}

impl PendingOrder {
    pub(super) fn end(self, now: Time, cause: OrderEnd) -> EndedOrder {
        EndedOrder {
            age: now.since(self.issued),
            order: self.order,
            cause,
        }
    }
}

impl LeaderState {
    /// Ends the pending order of an engine if its announcement shows that the order was carried
    /// out, or that the engine has restarted.
    pub(super) fn settle_order(&mut self, now: Time, current: &CurrentAnnouncement) {
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
    pub(super) fn end_order(&mut self, now: Time, engine: &Arc<str>, cause: OrderEnd) {
        if let Some(pending) = self.pending.remove(engine) {
            self.ended.push(pending.end(now, cause));
            self.roster.mark_changed(engine);
        }
    }

    /// Takes the orders that ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<EndedOrder> {
        std::mem::take(&mut self.ended)
    }

    /// Returns the layers of an upstream without those that it was ordered to release:
    /// it accepts no new requests for them.
    pub(super) fn retained_layers(&self, announcement: &Announcement) -> Option<LayerRange> {
        match self.pending_of(announcement) {
            Some(pending) => announcement.layers?.intersection(pending.order.range),
            None => announcement.layers,
        }
    }

    /// Returns the pending order of an upstream.
    pub(super) fn pending_of(&self, announcement: &Announcement) -> Option<&PendingOrder> {
        let pending = self.pending.get(&announcement.id);
        pending.filter(|p| p.order.born == announcement.born)
    }

    /// Whether enough upstreams are known to issue orders.
    ///
    /// Until all have sent a heartbeat, layers that are held seem to be missing. After that,
    /// orders don't wait for engines that join: while an operator replaced one engine per
    /// second, there was always one that had just joined, and gaps stayed open for 5.5 s.
    pub(super) fn may_order(&self, now: Time) -> bool {
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
    pub(super) fn members(&self, service: &str) -> impl Iterator<Item = &RosterEntry> {
        let list = self.roster.list().into_iter();
        list.filter(move |e| e.announcement.service == service)
    }

    pub(super) fn holds_layers(&self, service: &str) -> bool {
        self.members(service)
            .any(|e| e.announcement.layers.is_some())
    }

    pub(super) fn plan_orders(&self, service: &str, model: &Model) -> Vec<PlacementOrder> {
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

    pub(super) fn worker(&self, entry: &RosterEntry, model: &Model) -> Option<Worker> {
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
    pub(super) fn pending_mut(&mut self, order: &PlacementOrder) -> Option<&mut PendingOrder> {
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
