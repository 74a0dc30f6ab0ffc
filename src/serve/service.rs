//! Calls to plain services: one request, one response.
//!
//! The response is buffered completely before its first byte is sent to the
//! caller. A truncated response therefore can't look complete, and a stored one is
//! identical to the original.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::admit::AuthenticatedRequest;
use super::claims::request_digest;
use super::job::{Job, Output, Work};
use super::listen::ReceivedRequest;
use super::{Server, respond};
use crate::catalogue::Target;
use crate::claim::{MAX_STORED_ANSWER, Outcome as ClaimOutcome, StoredAnswer};
use crate::dispatch::service_model;
use crate::engine::{Connection, Cutoff, EngineError, Stage};
use crate::http::ResponseBody;
use crate::request::{Answer, AttemptError, Event, Frame, Hop, RefusalCode, RequestId};
use crate::whole::Payload;

/// Maximum body size of a plain service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Prefix of the paths of plain services; the service's name and its own path follow.
const SERVICES_PREFIX: &str = "/services/";

/// Idempotency key, forwarded so that the service can detect repeated calls.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A complete response of a service.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

/// Slot through which an attempt passes the response to the response writer.
pub(crate) type ResponseSlot = Arc<Mutex<Option<ServiceResponse>>>;

/// A call, sent unchanged on each attempt.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: Method,
    /// Path and query that follow the service's name.
    path_and_query: String,
    content_type: Option<HeaderValue>,
    key: Option<String>,
    body: Bytes,
    /// Whether the call may be made more than once.
    idempotent: bool,
    /// Empty until an attempt receives a response.
    slot: ResponseSlot,
}

impl Server {
    /// Answers `/services/NAME/...`.
    pub(crate) async fn call(self: Arc<Self>, received: ReceivedRequest) -> Response<ResponseBody> {
        let request = match self.authenticate(&received.head) {
            Ok(request) => request,
            Err(response) => return *response,
        };
        let id = request.id.to_string();
        match self.begin_call(&request, received).await {
            Err(answer) => {
                self.record_answer(request.id, &answer);
                respond_with_answer(&answer, &id)
            }
            Ok((slot, output)) => respond_with_output(&slot, output, &id).await,
        }
    }

    /// Admits and claims the request and starts the call.
    async fn begin_call(
        self: &Arc<Self>,
        request: &AuthenticatedRequest,
        received: ReceivedRequest,
    ) -> Result<(ResponseSlot, mpsc::Receiver<Output>), Answer> {
        let (name, _) = split_path(received.head.uri.path());
        let keyed = request.headers.idempotency_key.is_some();
        let route = request.route(name);
        let route = route.filter(|r| matches!(r.target, Target::Service(_)));
        let Some(route) = route else {
            return Err(Answer::refused_early(
                RefusalCode::UnknownRoute,
                keyed,
                None,
            ));
        };
        let used = Arc::new(AtomicU32::new(1));
        let lifecycle = request.lifecycle(route);
        let lifecycle = self
            .admit(lifecycle, route, 1, request.deadline, &used)
            .await?;
        let target = received.head.uri.path_and_query();
        let digest = request_digest(&[
            received.head.method.as_str().as_bytes(),
            target.map_or("", |p| p.as_str()).as_bytes(),
            &received.body,
        ]);
        let key = request.claim_key(digest);
        let lifecycle = self
            .claim(lifecycle, key.as_ref(), request.deadline)
            .await?;
        let call = build_call(request, received, lifecycle.idempotent);
        let slot = Arc::clone(&call.slot);
        let job = Job {
            id: request.id,
            organisation: request.organisation.clone(),
            route: route.name.as_str().into(),
            class: route.class,
            model: service_model(target_name(&route.target)),
            pools: route.pools.clone().into(),
            prompt_tokens: 0,
            prefix: None,
            limit: 1,
            idempotent: lifecycle.idempotent,
            deadline: request.deadline,
            key,
            used,
            work: Work::Call(call),
            running: self.deps.gate.track(),
        };
        Ok((slot, self.start(job, lifecycle)))
    }
}

/// Waits for the request to end and returns the service's response, or an error.
async fn respond_with_output(
    slot: &ResponseSlot,
    mut output: mpsc::Receiver<Output>,
    id: &str,
) -> Response<ResponseBody> {
    while let Some(piece) = output.recv().await {
        match piece {
            Output::Token(_) => {}
            Output::Finish(Answer::Complete { .. }) => break,
            Output::Finish(answer) => return respond_with_answer(&answer, id),
        }
    }
    match slot.lock().expect("no holder panics").take() {
        Some(response) => {
            respond::response(response.status, &response.content_type, response.body, id)
        }
        None => respond::missing_answer(id),
    }
}

/// Makes the call in one attempt and reports it as a generation of a single token,
/// so that the same state machine handles both.
pub(crate) async fn run_attempt(
    call: Call,
    id: RequestId,
    attempt: u32,
    path: Vec<Stage>,
    events: mpsc::Sender<Event>,
    cutoff: Cutoff,
) {
    let Some(stage) = path.first() else { return };
    let failed = |cause| Event::Failed {
        attempt,
        cause,
        suspect: Some(stage.upstream.clone()),
    };
    let result = match Connection::open(stage.address).await {
        Err(_) => Err(failed(AttemptError::Refused)),
        Ok(connection) => {
            let request = call.request(&stage.address.to_string(), &id.to_string());
            match exchange(connection, request, &cutoff).await {
                // A service that answers 503 may have run the call nevertheless.
                // An idempotent call is retried on another upstream; otherwise the
                // caller gets this response.
                Ok(response)
                    if response.status == StatusCode::SERVICE_UNAVAILABLE && call.idempotent =>
                {
                    let not_run = false;
                    Err(Event::Busy { attempt, not_run })
                }
                Ok(response) => Ok(response),
                Err(EngineError::Connect | EngineError::ConnectTimeout) => {
                    Err(failed(AttemptError::Refused))
                }
                Err(_) => Err(failed(AttemptError::ConnectionLost)),
            }
        }
    };
    match result {
        Err(event) => {
            let _ = events.send(event).await;
        }
        Ok(response) => {
            *call.slot.lock().expect("no holder panics") = Some(response);
            let _ = events.send(token_event(id, attempt, stage)).await;
            let _ = events.send(done_event(id, attempt)).await;
        }
    }
}

fn token_event(id: RequestId, attempt: u32, stage: &Stage) -> Event {
    Event::Frame {
        conn_attempt: attempt,
        frame: Frame {
            request: id.to_string(),
            attempt,
            index: 0,
            text: String::new(),
            passed: vec![Hop {
                upstream: stage.upstream.clone(),
                first: stage.first,
                end: stage.end,
            }],
        },
    }
}

fn done_event(id: RequestId, attempt: u32) -> Event {
    Event::Done {
        conn_attempt: attempt,
        request: id.to_string(),
        attempt,
        count: 1,
    }
}

fn target_name(target: &Target) -> &str {
    match target {
        Target::Service(name) | Target::Model(name) => name,
    }
}

fn respond_with_answer(answer: &Answer, id: &str) -> Response<ResponseBody> {
    let Answer::Stored(stored) = answer else {
        return respond::error(answer, id);
    };
    let status = u16::try_from(stored.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let body = Bytes::from(stored.body.clone());
    respond::response(
        status.unwrap_or(StatusCode::OK),
        &stored.content_type,
        body,
        id,
    )
}

impl Call {
    /// Outcome to store with the claim of the call.
    pub(crate) fn claim_outcome(&self) -> ClaimOutcome {
        match &*self.slot.lock().expect("no holder panics") {
            Some(response) if response.body.len() <= MAX_STORED_ANSWER => {
                ClaimOutcome::Stored(StoredAnswer {
                    status: u32::from(response.status.as_u16()),
                    content_type: response.content_type.clone(),
                    body: response.body.to_vec(),
                })
            }
            _ => ClaimOutcome::NotStored(()),
        }
    }
}

/// Splits a path into the service's name and the remaining path, which starts with
/// a slash.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn build_call(request: &AuthenticatedRequest, received: ReceivedRequest, idempotent: bool) -> Call {
    let uri = &received.head.uri;
    let (_, path) = split_path(uri.path());
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Call {
        slot: ResponseSlot::default(),
        idempotent,
        path_and_query: format!("{path}{query}"),
        content_type: received.head.headers.get(CONTENT_TYPE).cloned(),
        key: request.headers.idempotency_key.clone(),
        method: received.head.method,
        body: received.body,
    }
}

impl Call {
    fn request(&self, host: &str, id: &str) -> Request<Payload> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path_and_query)
            .header(HOST, host)
            .header(respond::REQUEST_ID, id);
        if let Some(content_type) = &self.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &self.key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        builder
            .body(Payload::from(self.body.clone()))
            .expect("the parts came from a valid request")
    }
}

async fn exchange(
    connection: Connection,
    request: Request<Payload>,
    cutoff: &Cutoff,
) -> Result<ServiceResponse, EngineError> {
    let mut response = connection.send(request, cutoff).await?;
    let status = response.response.status();
    let content_type = response.response.headers().get(CONTENT_TYPE);
    let content_type = content_type
        .and_then(|k| k.to_str().ok())
        .unwrap_or("application/octet-stream");
    let content_type = content_type.to_owned();
    let body = Limited::new(response.response.body_mut(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|_| EngineError::ConnectionLost)?.to_bytes();
    Ok(ServiceResponse {
        status,
        content_type,
        body,
    })
}
