//! Admits requests.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use tokio::time::timeout;

use super::Entry;
use super::attempt::Run;
use super::body::Body;
use super::call::Call;
use super::head;
use super::respond::{self, ErrorKind, error_response};
use super::select::PLAIN_WORK;
use super::view::View;
use crate::clock::Time;
use crate::configuration::{Model, RouteMatch, RoutingTable};
use crate::decide::body_budget::Kind;
use crate::decide::path::Work;
use crate::decide::refusal::{Reason, Unsent};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::gate::RunningGuard;
use crate::http::{RequestBody, ResponseBody};
use crate::platform::{headers, prompt};
use crate::whole::{BodyBounds, BodyError, WholeBody};

/// Deadline of a request that sets none, if its route's timeout allows it.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Maximum time for receiving a request body, which may also take no longer than its deadline.
const RECEIVE_TIMEOUT: Duration = DEFAULT_DEADLINE;

/// Response to the load balancer's readiness check.
pub(super) fn readiness(ready: bool) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::new())));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// A request that was received in full.
struct Received {
    /// When its head was complete. Its deadline counts from there.
    began: Time,
    /// Time that the client allows.
    requested: Duration,
    head: Parts,
    body: WholeBody,
}

/// A request with the configuration in which its route was found.
struct Admitted {
    table: Arc<RoutingTable>,
    call: Call,
}

impl Entry {
    /// Answers a request. While draining, the connection is closed after the response: if it
    /// were kept open, the next request could arrive just as the process ends.
    pub(super) async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> Response<Body> {
        let entry = Arc::clone(&self);
        let running = self.gate.track();
        let mut response = self.respond(request, running).await;
        if entry.gate.is_closed() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<RequestBody>,
        running: RunningGuard,
    ) -> Response<Body> {
        let began = self.now();
        let (head, body) = request.into_parts();
        let unsent = Unsent::on_arrival();
        let requested = head::deadline(&head.headers).unwrap_or(DEFAULT_DEADLINE);
        let body = match self.receive(&unsent, &head, body, requested).await {
            Ok(body) => body,
            Err(response) => return *response,
        };
        if !self.may_pass() {
            return reject(&unsent, &head, Reason::Draining, &self.view());
        }
        let left = requested.saturating_sub(self.now().since(began));
        self.wait_until(left, View::is_confirmed).await;
        // The lookup comes after the body was read, since the configuration may have changed
        // meanwhile.
        let view = self.view();
        let received = Received {
            began,
            requested,
            head,
            body,
        };
        match self.admit(&unsent, &view, received) {
            Ok(admitted) => {
                let Admitted { table, call } = admitted;
                let run = Run::new(self, table, call, unsent);
                run.answer(running).await
            }
            Err(response) => *response,
        }
    }

    /// Receives the body of a request, or returns the response that refuses it.
    async fn receive(
        &self,
        unsent: &Unsent,
        head: &Parts,
        mut body: RequestBody,
        requested: Duration,
    ) -> Result<WholeBody, Box<Response<Body>>> {
        let bounds = BodyBounds::request(self.view().body_limit());
        let share = self.body_memory.share(Kind::Request);
        let read = WholeBody::read(&mut body, bounds, share);
        let response = match timeout(requested.min(RECEIVE_TIMEOUT), read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyError::TooLong)) => {
                error_response(ErrorKind::LongBody, "the body is too large")
            }
            Ok(Err(BodyError::NoMemory)) => reject(unsent, head, Reason::NoMemory, &self.view()),
            Ok(Err(BodyError::Cut)) => {
                error_response(ErrorKind::BadRequest, "the body was cut off")
            }
            Err(_) => reject(unsent, head, Reason::SlowBody, &self.view()),
        };
        Err(Box::new(response))
    }

    /// Looks up the route and organisation of a request, or returns the response that refuses
    /// it.
    fn admit(
        &self,
        unsent: &Unsent,
        view: &View,
        received: Received,
    ) -> Result<Admitted, Box<Response<Body>>> {
        let head = &received.head;
        let attempt = head::attempt(&head.headers);
        let refused = |reason: Reason| Box::new(reject(unsent, head, reason, view));
        let Some(table) = view.table.clone() else {
            return Err(refused(Reason::NoConfiguration));
        };
        let confirmed = view.is_confirmed(self.now());
        let host = head::text(&head.headers, HOST.as_str());
        let host = host.or(head.uri.host()).unwrap_or("");
        let key = head::text(&head.headers, headers::CREDENTIAL);
        let found = table.find_route(host, head.uri.path(), key);
        // Without a lease the configuration may be out of date: routes or keys may have been
        // added or removed.
        if !confirmed && !found.is_some_and(|f| f.public) {
            return Err(refused(Reason::NoConfiguration));
        }
        let Some(found) = found else {
            log_refusal(attempt, "unknown_route", view.version());
            return Err(Box::new(error_response(
                ErrorKind::UnknownRoute,
                "there is no such route",
            )));
        };
        if !found.public && found.organisation.is_none() {
            log_refusal(attempt, "unknown_key", view.version());
            let reason = "the key is missing or unknown";
            return Err(Box::new(error_response(ErrorKind::UnknownKey, reason)));
        }
        let organisation = found.organisation.map(|o| o.name.as_str());
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let fingerprint = Fingerprint::of(organisation, host, target, received.body.segments());
        let call = self.call(&table, found, fingerprint, received);
        Ok(Admitted { table, call })
    }

    fn call(
        &self,
        table: &RoutingTable,
        found: RouteMatch<'_>,
        fingerprint: Fingerprint,
        received: Received,
    ) -> Call {
        let Received {
            began,
            requested,
            head,
            body,
        } = received;
        let attempt = head::attempt(&head.headers).to_owned();
        let route = found.route;
        let service = route.target(rand::rng().random()).service.clone();
        let model = table.service(&service).and_then(|s| s.model.as_ref());
        let work = model.map_or(PLAIN_WORK, |m| estimate_work(m, &head));
        let time_limit = requested.min(route.timeout);
        let organisation = found.organisation.map(|o| o.name.as_str());
        tracing::debug!(attempt, route = route.name, service, "admitted");
        Call {
            attempt,
            fingerprint,
            prompt: prompt::decode(&head.headers).into(),
            organisation: organisation.unwrap_or_default().into(),
            rank: table.rank(&service, route, found.organisation),
            route: route.clone(),
            service,
            method: head.method,
            uri: head.uri,
            headers: head::to_upstream(head.headers, organisation),
            body: Arc::new(body),
            work,
            began,
            time_limit,
        }
    }
}

/// Rejects a request before its first attempt, as decided with `view`.
fn reject(unsent: &Unsent, head: &Parts, reason: Reason, view: &View) -> Response<Body> {
    let attempt = head::attempt(&head.headers);
    log_refusal(attempt, reason.code(), view.version());
    respond::reject(unsent.reject(reason), 0.0)
}

/// Estimates the work of a request. The client's hint of the response length is right at the
/// median, while the maximum length is far off.
fn estimate_work(model: &Model, head: &Parts) -> Work {
    let (prompt, most) =
        head::tokens(&head.headers).unwrap_or((model.usual_prompt, model.usual_answer));
    let guess: Option<f64> = head::number(&head.headers, headers::LENGTH_HINT);
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
