//! The carrier's side: connects to the upstream that a request names, and passes both on.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::yield_now;
use tokio::time::timeout;

use super::super::body::{self, Body, Truncated};
use super::super::view::{Upstream, of_service};
use super::super::{Entry, head};
use super::message::{CHECK, Envelope, Refusal};
use crate::clock::{Time, millis};
use crate::decide::body_budget::Kind;
use crate::engine::{Connection, Cutoff, UpstreamResponse};
use crate::event;
use crate::gate::RunningGuard;
use crate::http::RequestBody;
use crate::metric;
use crate::platform::headers;
use crate::sync::address_key;
use crate::whole::{BodyBounds, BodyError, Payload, WholeBody};

/// Timeout for receiving the body of a carried request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounds on the number of requests that an instance carries for others. Their bodies are counted
/// like those of its own callers.
pub(in super::super) struct Capacity {
    limit: usize,
    requests: Arc<Semaphore>,
}

impl Capacity {
    /// Allows `limit` requests at a time.
    pub(in super::super) fn new(limit: usize) -> Self {
        Self {
            limit,
            requests: Arc::new(Semaphore::new(limit)),
        }
    }

    /// Number of requests that are carried now.
    pub(in super::super) fn used(&self) -> usize {
        self.limit - self.requests.available_permits()
    }

    /// Takes a place for a request; `None` if there is none.
    fn take_place(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.requests).try_acquire_owned().ok()
    }
}

/// What a carried request holds until its last byte.
struct Holdings {
    _running: RunningGuard,
    _place: OwnedSemaphorePermit,
}

/// A carried request that was verified.
struct Carriage {
    attempt: String,
    envelope: Envelope,
    received: Time,
    head: Parts,
}

impl Entry {
    /// Carries a request of another instance to its upstream.
    pub(in super::super) async fn carry(
        self: Arc<Self>,
        request: Request<RequestBody>,
    ) -> Response<Body> {
        let received = self.now();
        let (mut head, body) = request.into_parts();
        let opened = Envelope::open(&self.key, &head.method, &head.uri, &mut head.headers);
        let envelope = match opened {
            Ok(envelope) => envelope,
            Err(e) => {
                tracing::warn!(event = event::PEER_REFUSED.id, "{e}");
                return refuse(Refusal::Unverified);
            }
        };
        let attempt = head::attempt(&head.headers);
        let carriage = Carriage {
            attempt: attempt.to_owned(),
            envelope,
            received,
            head,
        };
        if carriage.head.uri.path() == CHECK {
            return self.check_for(&carriage.envelope).await;
        }
        match self.pass_on(&carriage, body).await {
            Ok((upstream, holdings)) => {
                let status = upstream.response.status();
                count("carried");
                tracing::info!(
                    event = event::REQUEST_CARRIED.id,
                    attempt = carriage.attempt,
                    sender = carriage.envelope.sender.0,
                    upstream = carriage.envelope.upstream,
                    status = status.as_u16(),
                    took_ms = millis(self.now().since(received)),
                    "carried"
                );
                pass_back(upstream, holdings)
            }
            Err(refusal) => {
                tracing::info!(
                    event = event::CARRIAGE_REFUSED.id,
                    attempt = carriage.attempt,
                    sender = carriage.envelope.sender.0,
                    upstream = carriage.envelope.upstream,
                    reason = refusal.name(),
                    "not carried"
                );
                refuse(refusal)
            }
        }
    }

    /// Checks for another instance whether an upstream accepts a connection.
    async fn check_for(self: &Arc<Self>, envelope: &Envelope) -> Response<Body> {
        let checked = match self.check_target(envelope) {
            // Not recorded: what one instance doesn't reach would be checked by all.
            Ok(_) => self.open(envelope).await.map(drop),
            Err(refusal) => Err(refusal),
        };
        match checked {
            Ok(()) => Response::new(body::full(Bytes::new())),
            Err(refusal) => refuse(refusal),
        }
    }

    /// Sends a request to its upstream; returns the head of the response.
    async fn pass_on(
        self: &Arc<Self>,
        carriage: &Carriage,
        body: RequestBody,
    ) -> Result<(UpstreamResponse, Holdings), Refusal> {
        if self.gate.is_closed() {
            return Err(Refusal::Draining);
        }
        let holdings = Holdings {
            _place: self.capacity.take_place().ok_or(Refusal::Busy)?,
            _running: self.gate.track(),
        };
        let target = self.check_target(&carriage.envelope)?;
        if !self.may_send(&target) {
            return Err(Refusal::Paused);
        }
        let body = Arc::new(self.receive_carried(&carriage.head, body).await?);
        if !self.may_pass() {
            return Err(Refusal::Draining);
        }
        let connection = self.connect(&carriage.envelope).await?;
        let request = self.upstream_request(carriage, Arc::clone(&body))?;
        let opened = self.now();
        let cutoff = Cutoff::new(None, Arc::clone(&self.clock));
        let service = &carriage.envelope.service;
        match connection.send(request, &cutoff).await {
            Ok(answer) => {
                self.record_reached(service, target.key, opened);
                let response = &answer.response;
                self.note_response(opened, &target, response.status(), response.headers());
                Ok((answer, holdings))
            }
            Err(_) => Err(Refusal::Cut),
        }
    }

    /// Checks that the target is an upstream that this instance knows, and reaches as far as it
    /// knows.
    fn check_target(&self, envelope: &Envelope) -> Result<Upstream, Refusal> {
        let view = self.view();
        let key = address_key(envelope.target);
        let mut known = of_service(&view.services, &envelope.service).iter();
        let found = known.find(|u| u.key == key && *u.id == *envelope.upstream);
        let found = found.ok_or(Refusal::UnknownUpstream)?;
        if self.must_carry(&envelope.service, key) {
            return Err(Refusal::Unreachable);
        }
        Ok(found.clone())
    }

    /// Receives the body of a request, whose length must be known.
    async fn receive_carried(
        &self,
        head: &Parts,
        mut body: RequestBody,
    ) -> Result<WholeBody, Refusal> {
        let size = head::number(&head.headers, CONTENT_LENGTH.as_str()).unwrap_or(0);
        let limit = self.view().body_limit();
        if size > limit {
            return Err(Refusal::Busy);
        }
        let share = self.body_memory.share(Kind::Request);
        let read = WholeBody::read(&mut body, BodyBounds::request(size), share);
        match timeout(BODY_TIMEOUT, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::NoMemory)) => Err(Refusal::Busy),
            _ => Err(Refusal::Unverified),
        }
    }

    async fn connect(self: &Arc<Self>, envelope: &Envelope) -> Result<Connection, Refusal> {
        let opened = self.open(envelope).await;
        if opened.is_err() {
            self.record_unreached(&envelope.service, address_key(envelope.target));
        }
        opened
    }

    async fn open(&self, envelope: &Envelope) -> Result<Connection, Refusal> {
        let opened = self.dial(envelope.target).await;
        opened.map_err(|_| Refusal::NotConnected)
    }

    /// Builds the upstream's request, with what is left of its deadline.
    fn upstream_request(
        &self,
        carriage: &Carriage,
        body: Arc<WholeBody>,
    ) -> Result<Request<Payload>, Refusal> {
        let Parts {
            method,
            uri,
            headers: map,
            ..
        } = &carriage.head;
        let mut map = head::end_to_end(map.clone());
        // `Connection` isn't signed and could have named this header.
        map.insert(
            HeaderName::from_static(headers::EXPECTED_UPSTREAM),
            HeaderValue::try_from(&carriage.envelope.upstream).map_err(|_| Refusal::Unverified)?,
        );
        if let Some(deadline) = head::deadline(&map) {
            let left = deadline.saturating_sub(self.now().since(carriage.received));
            if left.is_zero() {
                return Err(Refusal::TooLate);
            }
            let left = millis(left).max(1).into();
            map.insert(HeaderName::from_static(headers::DEADLINE), left);
        }
        let mut request = Request::new(Payload::from(body));
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri.clone();
        *request.headers_mut() = map;
        Ok(request)
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(metric::CARRIED_REQUESTS.name, "outcome" => outcome).increment(1);
}

fn refuse(refusal: Refusal) -> Response<Body> {
    count(refusal.name());
    refusal.response()
}

/// Passes the upstream's response on as it arrives. If it is cut off, so is the response to the
/// sender.
fn pass_back(upstream: UpstreamResponse, holdings: Holdings) -> Response<Body> {
    let mut upstream = upstream;
    let status = upstream.response.status();
    let map = std::mem::take(upstream.response.headers_mut());
    let frames = stream::unfold(
        (upstream, holdings),
        |(mut upstream, holdings)| async move {
            let frame = upstream.response.body_mut().frame().await?;
            if frame.is_err() {
                // Lets the head go out first: without it, the sender would take this instance for
                // lost.
                yield_now().await;
            }
            Some((frame.map_err(|_| Truncated), (upstream, holdings)))
        },
    );
    let mut response = Response::new(body::from_stream(frames));
    *response.status_mut() = status;
    *response.headers_mut() = head::to_caller(map);
    response
}
