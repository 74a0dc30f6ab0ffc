//! Orders to engines.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::Controller;
use super::board::Placement;
use crate::engine::{Connection, Cutoff};
use crate::event;
use crate::platform::{engine, headers};

/// Longest wait for an engine to take an order.
const ANSWER: Duration = Duration::from_millis(1_500);

impl Controller {
    /// Gives one order and notes what became of it.
    pub(super) async fn place(self: Arc<Self>, order: Placement) {
        let status = timeout(ANSWER, self.send(&order)).await.ok().flatten();
        let taken = matches!(status, Some(StatusCode::OK | StatusCode::ACCEPTED));
        if !taken && status.is_some() {
            self.board().refused(self.now(), &order.engine);
        }
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
    }

    /// The engine's answer, or nothing when it is unknown whether it took the
    /// order.
    async fn send(&self, order: &Placement) -> Option<StatusCode> {
        let connection = Connection::open(order.address.into()).await.ok()?;
        let body = engine::place(order.range, order.fence);
        let request = Request::post(engine::ORDER)
            .header(HOST, order.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .header(headers::EXPECTED, &*order.engine)
            .body(Full::from(Bytes::from(body)))
            .expect("the parts of the head are valid");
        let cutoff = Cutoff::new(None, Arc::clone(&self.clock));
        let answer = connection.send(request, &cutoff).await.ok()?;
        Some(answer.response.status())
    }
}
