//! Orders to engines.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::http::request::Builder;
use hyper::{Request, StatusCode};
use tokio::time::{sleep, timeout};

use super::Controller;
use super::board::Placement;
use crate::engine::{Connection, Cutoff};
use crate::event;
use crate::platform::{engine, headers};

/// Longest wait for an engine to take an order.
const ANSWER: Duration = Duration::from_millis(1_500);

/// Period of asking an engine whether it has carried out an order. Its next
/// heartbeat may be more than a second away, while a short load takes 0.2 s.
const LOOK: Duration = Duration::from_millis(300);

/// Longest report that is read, in bytes.
const MAX_REPORT: usize = 64 << 10;

impl Controller {
    /// Gives one order, notes what became of it, and looks until it is carried
    /// out.
    pub(super) async fn place(self: Arc<Self>, order: Placement) {
        let body = Bytes::from(engine::place(order.range, order.fence));
        let request = Request::post(engine::ORDER)
            .header(CONTENT_TYPE, "application/json")
            .header(headers::EXPECTED, &*order.engine);
        let sent = self.ask(order.address, request, body);
        let answer = timeout(ANSWER, sent).await.ok().flatten();
        let status = answer.map(|a| a.0);
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
        if taken {
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
            let request = Request::get(engine::REPORT).header(headers::EXPECTED, &*order.engine);
            let report = self.ask(order.address, request, Bytes::new());
            let Ok(Some((StatusCode::OK, report))) = timeout(ANSWER, report).await else {
                continue;
            };
            if engine::reported_layers(&report) == Some(order.range) {
                self.board().carried_out(order);
            }
        }
    }

    /// An engine's answer, or nothing when it is unknown what became of the
    /// call.
    async fn ask(
        &self,
        address: SocketAddrV4,
        request: Builder,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let connection = Connection::open(address.into()).await.ok()?;
        let request = request
            .header(HOST, address.to_string())
            .body(Full::from(body))
            .expect("the parts of the head are valid");
        let cutoff = Cutoff::new(None, Arc::clone(&self.clock));
        let answer = connection.send(request, &cutoff).await.ok()?;
        let status = answer.response.status();
        let body = answer.into_body(MAX_REPORT).await?;
        Some((status, body))
    }
}
