//! Orders to engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::Controller;
use super::leader::PlacementOrder;
use crate::engine::{call, report};
use crate::event;
use crate::metric;
use crate::platform::engine;

/// Longest wait for an engine to take an order. One that runs answers within
/// milliseconds, a lost packet is sent again after 200 ms.
const ANSWER: Duration = Duration::from_millis(600);

/// Period of asking an engine whether it has carried out an order. Its next
/// heartbeat may be more than a second away, while a short load takes 0.2 s.
const LOOK: Duration = Duration::from_millis(300);

/// Orders that wait for an answer at once. A new fleet of 2,985 engines was given
/// all its orders in one moment: with a connection for each the controller ran out
/// of descriptors and of processor time, and none was answered within [`ANSWER`].
/// Engines answer within milliseconds, so this many keep the processor busy.
const ORDERS: usize = 48;

/// Orders at once about whose carrying out engines are asked. Of the others the
/// next heartbeat tells. Asking all of a fleet of 2,985 took 10,000 connections a
/// second.
const LOOKS: usize = 24;

/// How many calls to engines may run at once.
pub(super) struct Calls {
    orders: Semaphore,
    looks: Semaphore,
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            orders: Semaphore::new(ORDERS),
            looks: Semaphore::new(LOOKS),
        }
    }
}

impl Controller {
    /// Gives one order when it is its turn, and looks until it is carried out.
    pub(super) async fn place(self: Arc<Self>, order: PlacementOrder) {
        let Ok(turn) = self.calls.orders.acquire().await else {
            return;
        };
        // While it waited, the time of the order may have passed, or the term: a
        // deposed leader would go on giving orders with an old fence.
        let leads = self.lead().term == Some(order.fence);
        if !leads || !self.leader_state().is_pending(&order) {
            return;
        }
        let may_run = self.give(&order).await;
        drop(turn);
        if may_run && let Ok(_free) = self.calls.looks.try_acquire() {
            self.look(&order).await;
        }
    }

    /// Gives one order, and notes what became of it. Returns whether the engine
    /// may carry it out.
    async fn give(&self, order: &PlacementOrder) -> bool {
        let body = Bytes::from(engine::place(order.range, order.fence));
        let request = Request::post(engine::ORDER);
        let answer = call(order.address.into(), &order.engine, request, body, ANSWER).await;
        let status = answer.map(|a| a.0);
        let taken = engine::is_taken(status);
        match status {
            Some(_) if taken => {}
            Some(_) => self
                .leader_state()
                .record_refusal(self.now(), &order.engine),
            None => self
                .leader_state()
                .record_unanswered(self.now(), &order.engine),
        }
        let label = status.map_or("none".to_owned(), |s| s.as_u16().to_string());
        metrics::counter!(metric::ORDERS.name, "status" => label).increment(1);
        tracing::info!(
            event = event::LAYERS_ORDERED.id,
            upstream = %order.engine,
            address = %order.address,
            first = order.range.first,
            end = order.range.end,
            fence = order.fence,
            status = status.map(|s| s.as_u16()),
            "layers ordered"
        );
        taken || status.is_none()
    }

    /// Asks an engine until it reports what it was ordered to hold.
    async fn look(&self, order: &PlacementOrder) {
        loop {
            sleep(LOOK).await;
            if !self.leader_state().is_pending(order) {
                return;
            }
            let Some(report) = report(order.address.into(), &order.engine, ANSWER).await else {
                continue;
            };
            if engine::reported_layers(&report) == Some(order.range) {
                self.leader_state().complete_order(order);
            }
        }
    }
}
