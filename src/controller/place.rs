//! Placement orders to engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::Controller;
use super::leader::{LeaderState, PlacementOrder};
use crate::engine::{call, fetch_report};
use crate::event;
use crate::metric;
use crate::platform::engine;

/// Timeout for an engine's answer. A running engine answers within milliseconds, and a lost
/// packet is retransmitted after 200 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval of polling an engine whether it has carried out an order. Its next heartbeat may be
/// more than a second away, while loading a few layers takes 0.2 s.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of concurrent orders. When a new fleet of 2,985 engines got all its orders at
/// once, with a connection each, the controller ran out of file descriptors and CPU time, and
/// none was answered within [`ANSWER_TIMEOUT`]. Engines answer within milliseconds, so this many
/// keep the CPU busy.
const MAX_CONCURRENT_ORDERS: usize = 48;

/// Maximum number of orders whose engines are polled at once; the completion of others is learned
/// from the next heartbeat. Polling all of a fleet of 2,985 engines took 10,000 connections a
/// second.
const MAX_CONCURRENT_POLLS: usize = 24;

/// Limits on concurrent calls to engines.
pub(super) struct EngineCalls {
    orders: Semaphore,
    polls: Semaphore,
}

impl Default for EngineCalls {
    fn default() -> Self {
        Self {
            orders: Semaphore::new(MAX_CONCURRENT_ORDERS),
            polls: Semaphore::new(MAX_CONCURRENT_POLLS),
        }
    }
}

impl Controller {
    /// Sends an order once a permit is available, and polls until it is carried out.
    pub(super) async fn execute_order(self: Arc<Self>, order: PlacementOrder) {
        let Ok(permit) = self.engine_calls.orders.acquire().await else {
            return;
        };
        if !self.is_due(&order) {
            return;
        }
        let may_run = self.send_order(&order).await;
        drop(permit);
        if may_run && let Ok(_permit) = self.engine_calls.polls.try_acquire() {
            self.poll_order(&order).await;
        }
    }

    /// Whether an order is still pending in the term in which it was issued. A deposed leader keeps
    /// its orders until it leads again; without the term, it would send them with an outdated fence
    /// and poll their engines without end.
    fn is_due(&self, order: &PlacementOrder) -> bool {
        let leads = self.leader_info().term == Some(order.fence);
        leads && self.leader_state().is_pending(order)
    }

    /// Sends an order and records the answer. Returns whether the engine may carry it out.
    async fn send_order(&self, order: &PlacementOrder) -> bool {
        let body = Bytes::from(engine::placement_order(order.range, order.fence));
        let request = Request::post(engine::ORDER);
        let answer = call(
            order.address.into(),
            &order.engine,
            request,
            body,
            ANSWER_TIMEOUT,
        )
        .await;
        let status = answer.map(|a| a.0);
        let accepted = engine::is_accepted(status);
        match status {
            Some(_) if accepted => {}
            Some(_) => self.leader_state().record_refusal(self.now(), order),
            None => self.leader_state().record_unanswered(self.now(), order),
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
            number = order.number,
            status = status.map(|s| s.as_u16()),
            "layers ordered"
        );
        accepted || status.is_none()
    }

    /// Polls an engine until it reports the layers that it was ordered to hold.
    async fn poll_order(&self, order: &PlacementOrder) {
        loop {
            sleep(POLL_INTERVAL).await;
            if !self.is_due(order) {
                return;
            }
            let Some(report) =
                fetch_report(order.address.into(), &order.engine, ANSWER_TIMEOUT).await
            else {
                continue;
            };
            if engine::reported_layers(&report) == Some(order.range) {
                let mut state = self.leader_state();
                state.complete_order(self.now(), order);
                report_ended(&mut state);
            }
        }
    }
}

/// Logs and counts the orders that ended since the last call.
pub(super) fn report_ended(state: &mut LeaderState) {
    for ended in state.take_ended() {
        let cause = ended.cause.name();
        metrics::counter!(metric::ENDED_ORDERS.name, "cause" => cause).increment(1);
        tracing::info!(
            event = event::ORDER_ENDED.id,
            upstream = %ended.order.engine,
            address = %ended.order.address,
            first = ended.order.range.first,
            end = ended.order.range.end,
            fence = ended.order.fence,
            number = ended.order.number,
            cause,
            age_ms = ended.age.as_millis() as u64,
            "order ended"
        );
    }
}
