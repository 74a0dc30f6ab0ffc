//! Calls to plain services: one request, one whole answer.
//!
//! The answer is read whole before its first byte goes to the caller, so a cut
//! one can't pass for a whole one and a kept one is the same to the letter.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::sync::mpsc;

use super::admit::Known;
use super::claims::request_digest;
use super::job::{Job, Output, Work};
use super::listen::Received;
use super::{Server, respond};
use crate::catalogue::Target;
use crate::claim::{MAX_STORED_ANSWER, Outcome as Settled, StoredAnswer};
use crate::dispatch::service_model;
use crate::engine::{Connection, Cutoff, EngineError, Stage};
use crate::http::ResponseBody;
use crate::request::{Answer, AttemptError, Event, Frame, Hop, RefusalCode, RequestId};

/// Longest answer of a plain service, in bytes.
const MAX_ANSWER: usize = 8 << 20;

/// Path prefix, its name and the rest.
const SERVICES: &str = "/services/";

/// The caller's key, handed on so that the service can know a repetition.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A whole answer of a service.
#[derive(Debug)]
pub(crate) struct Whole {
    status: StatusCode,
    kind: String,
    body: Bytes,
}

/// Where an attempt leaves the answer for the caller's side.
pub(crate) type Slot = Arc<Mutex<Option<Whole>>>;

/// One call, as it is sent on each attempt.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    method: Method,
    /// Path and query behind the service's name.
    rest: String,
    kind: Option<HeaderValue>,
    key: Option<String>,
    body: Bytes,
    /// Whether it may be made more than once.
    idempotent: bool,
    /// Empty until an attempt was answered.
    slot: Slot,
}

impl Server {
    /// Answers `/services/NAME/...`.
    pub(crate) async fn call(self: Arc<Self>, received: Received) -> Response<ResponseBody> {
        let known = match self.identify(&received.head) {
            Ok(known) => known,
            Err(response) => return *response,
        };
        let id = known.id.to_string();
        match self.begin_call(&known, received).await {
            Err(answer) => {
                self.note(known.id, &answer);
                refuse(&answer, &id)
            }
            Ok((slot, output)) => present(&slot, output, &id).await,
        }
    }

    /// Everything up to the first attempt.
    async fn begin_call(
        self: &Arc<Self>,
        known: &Known,
        received: Received,
    ) -> Result<(Slot, mpsc::Receiver<Output>), Answer> {
        let (name, _) = split(received.head.uri.path());
        let keyed = known.head.key.is_some();
        let route = known.route(name);
        let route = route.filter(|r| matches!(r.target, Target::Service(_)));
        let Some(route) = route else {
            return Err(Answer::refused_early(
                RefusalCode::UnknownRoute,
                keyed,
                None,
            ));
        };
        let used = Arc::new(AtomicU32::new(1));
        let life = known.life(route);
        let life = self.admit(life, route, 1, known.deadline, &used).await?;
        let target = received.head.uri.path_and_query();
        let digest = request_digest(&[
            received.head.method.as_str().as_bytes(),
            target.map_or("", |p| p.as_str()).as_bytes(),
            &received.body,
        ]);
        let key = known.claim_key(digest);
        let life = self.claim(life, key.as_ref(), known.deadline).await?;
        let call = call(known, received, life.idempotent);
        let slot = Arc::clone(&call.slot);
        let job = Job {
            id: known.id,
            organisation: known.organisation.clone(),
            route: route.name.as_str().into(),
            class: route.class,
            model: service_model(name_of(&route.target)),
            pools: route.pools.clone().into(),
            prompt_tokens: 0,
            prefix: None,
            limit: 1,
            idempotent: life.idempotent,
            deadline: known.deadline,
            key,
            used,
            work: Work::Call(call),
            running: self.deps.gate.hold(),
        };
        Ok((slot, self.start(job, life)))
    }
}

/// The caller's side: the answer as it is once the request has ended.
async fn present(
    slot: &Slot,
    mut output: mpsc::Receiver<Output>,
    id: &str,
) -> Response<ResponseBody> {
    while let Some(piece) = output.recv().await {
        match piece {
            Output::Token(_) => {}
            Output::Finish(Answer::Complete { .. }) => break,
            Output::Finish(answer) => return refuse(&answer, id),
        }
    }
    match slot.lock().expect("no holder panics").take() {
        Some(whole) => respond::reply(whole.status, &whole.kind, whole.body, id),
        None => respond::lost(id),
    }
}

/// Makes the call on one attempt and reports it like a generation of a single
/// token, so that the same state machine guards both.
pub(crate) async fn read(
    call: Call,
    id: RequestId,
    attempt: u32,
    path: Vec<Stage>,
    events: mpsc::Sender<Event>,
    cutoff: Cutoff,
) {
    let Some(stage) = path.first() else { return };
    let broken = |cause| Event::Failed {
        attempt,
        cause,
        suspect: Some(stage.upstream.clone()),
    };
    let whole = match Connection::open(stage.address).await {
        Err(_) => Err(broken(AttemptError::Refused)),
        Ok(connection) => {
            let request = call.request(&stage.address.to_string(), &id.to_string());
            match exchange(connection, request, &cutoff).await {
                // A service that says so may have done its work all the same.
                // An idempotent call is tried elsewhere; else its answer is
                // the answer.
                Ok(whole) if whole.status == StatusCode::SERVICE_UNAVAILABLE && call.idempotent => {
                    let not_run = false;
                    Err(Event::Busy { attempt, not_run })
                }
                Ok(whole) => Ok(whole),
                Err(EngineError::Connect) => Err(broken(AttemptError::Refused)),
                Err(_) => Err(broken(AttemptError::ConnectionLost)),
            }
        }
    };
    match whole {
        Err(event) => {
            let _ = events.send(event).await;
        }
        Ok(whole) => {
            *call.slot.lock().expect("no holder panics") = Some(whole);
            let _ = events.send(token(id, attempt, stage)).await;
            let _ = events.send(end(id, attempt)).await;
        }
    }
}

fn token(id: RequestId, attempt: u32, stage: &Stage) -> Event {
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

fn end(id: RequestId, attempt: u32) -> Event {
    Event::Done {
        conn_attempt: attempt,
        request: id.to_string(),
        attempt,
        count: 1,
    }
}

fn name_of(target: &Target) -> &str {
    match target {
        Target::Service(name) | Target::Model(name) => name,
    }
}

fn refuse(answer: &Answer, id: &str) -> Response<ResponseBody> {
    let Answer::Stored(kept) = answer else {
        return respond::refuse(answer, id);
    };
    let status = u16::try_from(kept.status).ok();
    let status = status.and_then(|s| StatusCode::from_u16(s).ok());
    let body = Bytes::from(kept.body.clone());
    respond::reply(
        status.unwrap_or(StatusCode::OK),
        &kept.content_type,
        body,
        id,
    )
}

impl Call {
    /// The outcome to keep with the call's claim.
    pub(crate) fn kept(&self) -> Settled {
        match &*self.slot.lock().expect("no holder panics") {
            Some(whole) if whole.body.len() <= MAX_STORED_ANSWER => Settled::Stored(StoredAnswer {
                status: u32::from(whole.status.as_u16()),
                content_type: whole.kind.clone(),
                body: whole.body.to_vec(),
            }),
            _ => Settled::NotStored(()),
        }
    }
}

/// The service's name and the rest of the path, which begins with a slash.
fn split(path: &str) -> (&str, &str) {
    let path = path.strip_prefix(SERVICES).unwrap_or_default();
    match path.find('/') {
        Some(at) => path.split_at(at),
        None => (path, "/"),
    }
}

fn call(known: &Known, received: Received, idempotent: bool) -> Call {
    let uri = &received.head.uri;
    let (_, rest) = split(uri.path());
    let query = uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    Call {
        slot: Slot::default(),
        idempotent,
        rest: format!("{rest}{query}"),
        kind: received.head.headers.get(CONTENT_TYPE).cloned(),
        key: known.head.key.clone(),
        method: received.head.method,
        body: received.body,
    }
}

impl Call {
    fn request(&self, host: &str, id: &str) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.rest)
            .header(HOST, host)
            .header(respond::REQUEST_ID, id);
        if let Some(kind) = &self.kind {
            builder = builder.header(CONTENT_TYPE, kind);
        }
        if let Some(key) = &self.key {
            builder = builder.header(IDEMPOTENCY_KEY, key);
        }
        builder
            .body(Full::from(self.body.clone()))
            .expect("the parts came from a valid request")
    }
}

async fn exchange(
    connection: Connection,
    request: Request<Full<Bytes>>,
    cutoff: &Cutoff,
) -> Result<Whole, EngineError> {
    let mut answer = connection.send(request, cutoff).await?;
    let status = answer.response.status();
    let kind = answer.response.headers().get(CONTENT_TYPE);
    let kind = kind
        .and_then(|k| k.to_str().ok())
        .unwrap_or("application/octet-stream");
    let kind = kind.to_owned();
    let body = Limited::new(answer.response.body_mut(), MAX_ANSWER)
        .collect()
        .await;
    let body = body.map_err(|_| EngineError::Cut)?.to_bytes();
    Ok(Whole { status, kind, body })
}
