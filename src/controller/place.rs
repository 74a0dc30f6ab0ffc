//! Orders to engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, StatusCode};
use tokio::time::sleep;

use super::Controller;
use super::board::Placement;
use crate::engine::call;
use crate::event;
use crate::metric;
use crate::platform::engine;

/// Longest wait for an engine to take an order. One that runs answers within
/// milliseconds, a lost packet is sent again after 200 ms.
const ANSWER: Duration = Duration::from_millis(600);

/// Period of asking an engine whether it has carried out an order. Its next
/// heartbeat may be more than a second away, while a short load takes 0.2 s.
const LOOK: Duration = Duration::from_millis(300);

impl Controller {
    /// Gives one order, notes what became of it, and looks until it is carried
    /// out.
    pub(super) async fn place(self: Arc<Self>, order: Placement) {
        let body = Bytes::from(engine::place(order.range, order.fence));
        let request = Request::post(engine::ORDER);
        let answer = call(order.address.into(), &order.engine, request, body, ANSWER).await;
        let status = answer.map(|a| a.0);
        let taken = engine::is_taken(status);
        match status {
            Some(_) if taken => {}
            Some(_) => self.board().refused(self.now(), &order.engine),
            None => self.board().unanswered(self.now(), &order.engine),
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
        if taken || status.is_none() {
            self.look(&order).await;
        }
    }

    /// Asks an engine until it reports what it was ordered to hold.
    async fn look(&self, order: &Placement) {
        loop {
            sleep(LOOK).await;
            if !self.board().is_pending(order) {
                return;
            }
            let (address, request) = (order.address.into(), Request::get(engine::REPORT));
            let report = call(address, &order.engine, request, Bytes::new(), ANSWER).await;
            let Some((StatusCode::OK, report)) = report else {
                continue;
            };
            if engine::reported_layers(&report) == Some(order.range) {
                self.board().carried_out(order);
            }
        }
    }
}
