//! Requests as they arrive, and the answers that are made here.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;

use super::Entry;
use super::attempt::{Call, Run};
use super::body::{self, Body};
use super::head;
use super::select::PLAIN;
use super::view::View;
use crate::configuration::{Limits, Model, RouteMatch, RoutingTable};
use crate::decide::path::Work;
use crate::decide::refusal::{self, Reason};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::gate::Running;
use crate::http::{self, ReceiveError, ResponseBody};
use crate::metric;
use crate::platform::{call, headers};

/// Longest time to receive a body.
const RECEIVE: Duration = Duration::from_secs(5);

/// Time that a request without a deadline gets, if its route allows it.
const DEADLINE: Duration = Duration::from_secs(60);

/// Answers to the balancer.
pub(super) fn readiness(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::new())));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// A request that was looked up.
struct Admitted {
    table: Arc<RoutingTable>,
    call: Call,
}

impl Entry {
    /// Answers a request. While draining, the connection is closed behind the
    /// answer: a caller that keeps it open might send its next request at the
    /// very moment at which the process ends.
    pub(super) async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let entry = Arc::clone(&self);
        let running = self.gate.hold();
        let mut response = self.respond(request, running).await;
        if entry.gate.closed() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        running: Running,
    ) -> Response<Body> {
        let (head, body) = request.into_parts();
        let view = self.view();
        let limit = view.table.as_ref().map(|t| t.configuration.limits.body);
        let limit = limit.filter(|&l| l > 0);
        let limit = limit.unwrap_or(Limits::default().body);
        let body = match http::read_body(body, limit, RECEIVE).await {
            Ok(body) => body,
            Err(ReceiveError::TooLarge) => {
                return failure(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Err(ReceiveError::Timeout) => {
                return failure(StatusCode::REQUEST_TIMEOUT, "the body came too slowly");
            }
            Err(ReceiveError::Incomplete) => {
                return failure(StatusCode::BAD_REQUEST, "the body was cut off");
            }
        };
        let left = head::deadline(&head.headers).unwrap_or(DEADLINE);
        self.hold(left, View::is_confirmed).await;
        // Looked up after the body was read: a long body may have outlasted a
        // change.
        let view = self.view();
        match self.admit(&view, head, body) {
            Ok(admitted) => {
                let Admitted { table, call } = admitted;
                let run = Run::new(self, table, call);
                run.answer(running).await
            }
            Err(response) => *response,
        }
    }

    /// Looks a request up, or gives the answer that refuses it.
    fn admit(
        &self,
        view: &View,
        head: Parts,
        body: Bytes,
    ) -> Result<Admitted, Box<Response<Body>>> {
        let attempt = head::text(&head.headers, headers::ATTEMPT)
            .unwrap_or("-")
            .to_owned();
        let refused = |reason: Reason| {
            log_refusal(&attempt, reason.code(), view.version());
            Box::new(refuse(reason, 0.0))
        };
        let Some(table) = view.table.clone() else {
            return Err(refused(Reason::NoConfiguration));
        };
        let confirmed = view.is_confirmed(self.now());
        let host = head::text(&head.headers, HOST.as_str());
        let host = host.or(head.uri.host()).unwrap_or("");
        let key = head::text(&head.headers, headers::KEY);
        let found = table.find_route(host, head.uri.path(), key);
        // Without a lease what is known may be out of date: a route or key
        // may be there, or be gone, that this instance doesn't know of.
        if !confirmed && !found.is_some_and(|f| f.public) {
            return Err(refused(Reason::NoConfiguration));
        }
        let Some(found) = found else {
            log_refusal(&attempt, "unknown_route", view.version());
            return Err(Box::new(failure(
                StatusCode::NOT_FOUND,
                "there is no such route",
            )));
        };
        if !found.public && found.organisation.is_none() {
            log_refusal(&attempt, "unknown_key", view.version());
            let reason = "the key is missing or unknown";
            return Err(Box::new(failure(StatusCode::UNAUTHORIZED, reason)));
        }
        let organisation = found.organisation.map(|o| o.name.as_str());
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let fingerprint = Fingerprint::of(organisation, host, target, &body);
        let call = self.call(&table, found, &attempt, fingerprint, head, body);
        Ok(Admitted { table, call })
    }

    fn call(
        &self,
        table: &RoutingTable,
        found: RouteMatch<'_>,
        attempt: &str,
        fingerprint: Fingerprint,
        head: Parts,
        body: Bytes,
    ) -> Call {
        let route = found.route;
        let service = route.target(rand::rng().random()).service.clone();
        let model = table.service(&service).and_then(|s| s.model.as_ref());
        let work = model.map_or(PLAIN, |m| work(m, &head));
        let given = head::deadline(&head.headers).unwrap_or(DEADLINE);
        let time = given.min(route.timeout);
        let organisation = found.organisation.map(|o| o.name.as_str());
        tracing::debug!(attempt, route = route.name, service, "admitted");
        Call {
            attempt: attempt.to_owned(),
            fingerprint,
            organisation: organisation.unwrap_or_default().into(),
            route: route.clone(),
            service,
            method: head.method,
            uri: head.uri,
            headers: head::to_upstream(head.headers, organisation),
            body,
            work,
            began: self.now(),
            time,
        }
    }
}

/// What a request asks of the engines. The client's guess at the length of
/// the answer is right at the median, and the most that it may be is far off.
fn work(model: &Model, head: &Parts) -> Work {
    let (prompt, most) =
        head::tokens(&head.headers).unwrap_or((model.usual_prompt, model.usual_answer));
    let guess: Option<f64> = head::number(&head.headers, headers::LENGTH);
    Work {
        prompt,
        answer: guess
            .unwrap_or(model.usual_answer)
            .clamp(1.0, most.max(1.0)),
        token_mb: model.token_mb,
        crossing_ms: model.crossing_ms,
        may_cross: false,
        caller_domain: 0,
        headroom: 0.0,
        obeys_quota: false,
    }
}

fn log_refusal(attempt: &str, code: &'static str, version: u64) {
    tracing::info!(
        event = event::REQUEST_REFUSED.id,
        attempt,
        code,
        version,
        "refused"
    );
}

/// Says that a request did not run and never will, and when to come back.
pub(super) fn refuse(reason: Reason, refused: f64) -> Response<Body> {
    metrics::counter!(metric::REFUSALS.name, "reason" => reason.code()).increment(1);
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, reason.code());
    let after = refusal::retry_after(reason, refused, rand::rng().random());
    let after = HeaderValue::try_from(format!("{:.2}", after.as_secs_f64()));
    let name = HeaderName::from_static(headers::RETRY_AFTER);
    response
        .headers_mut()
        .insert(name, after.expect("digits and a dot"));
    response
}

/// Response body for a quarantined request.
pub(super) fn quarantined(fingerprint: &Fingerprint) -> Body {
    body::whole(call::quarantined(&fingerprint.to_string()).into())
}

/// An answer of this instance's own.
pub(super) fn failure(status: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(body::whole(call::failure(reason).into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
