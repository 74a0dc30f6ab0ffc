//! HTTP API of the controller for operators and upstreams.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{Controller, GROUP, control_address};
use crate::body_memory::BodyShare;
use crate::clock::{millis, wall_millis};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::http::{RequestBody, ResponseBody};
use crate::platform::call::{self, Call};
use crate::platform::{configuration, heartbeat};
use crate::register;
use crate::whole::{BodyBounds, BodyError, WholeBody};

/// Maximum size of a request head.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum time for which a connection may wait for a request head.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a request body. The operator's own limit is 4 MB.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Timeout for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for committing a command. Callers try another instance after a second.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum time for which a call waits for an election. Callers try another instance after a
/// second without an answer, and follow one redirect within that time.
const MAX_LEADER_WAIT: Duration = Duration::from_millis(700);

/// Time after its start in which a controller lets heartbeats wait for a leader. Later, a
/// controller that knows no leader may be cut off, and the upstream should try another one.
const STARTUP_PHASE: Duration = Duration::from_secs(3);

/// Value of `Retry-After`, in seconds.
const RETRY_DELAY: HeaderValue = HeaderValue::from_static("0.3");

/// Answers a request; with 503 while no controller is running.
pub(super) async fn answer(
    controller: Option<Arc<Controller>>,
    request: Request<RequestBody>,
    share: BodyShare,
) -> Response<ResponseBody> {
    match controller {
        Some(controller) => controller.answer(request, share).await,
        None => unavailable("this instance opens its store"),
    }
}

impl Controller {
    async fn answer(
        self: Arc<Self>,
        request: Request<RequestBody>,
        share: BodyShare,
    ) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let Some(decoded) = Call::decode(head.method.as_str(), path) else {
            return failure(StatusCode::NOT_FOUND, "there is no such call");
        };
        let (body, _share) = match receive(body, share).await {
            Ok(whole) => whole.join(),
            Err(response) => return response,
        };
        if self.shutting_down.load(Ordering::Relaxed) {
            return unavailable("this instance ends");
        }
        let is_change = matches!(
            decoded,
            Call::Replace | Call::Deregister(_) | Call::LiftQuarantine(_)
        );
        if is_change {
            self.await_live_leader().await;
        }
        match decoded {
            Call::Replace => self.replace(path, body).await,
            Call::Fetch => self.fetch().await,
            Call::Heartbeat(id) => self.heartbeat(path, id, &body).await,
            Call::Deregister(id) => self.leave(path, id).await,
            Call::ListQuarantined => self.list().await,
            Call::LiftQuarantine(fingerprint) => self.lift(path, fingerprint).await,
        }
    }

    /// Replaces the configuration. Acknowledges it once a majority has it on disk.
    async fn replace(&self, path: &str, body: Bytes) -> Response<ResponseBody> {
        let checked = configuration::decode(&body)
            .and_then(|c| c.check().map(|()| c.version).map_err(|e| e.to_string()));
        let version = match checked {
            Ok(version) => version,
            Err(reason) => {
                tracing::warn!(
                    event = event::CONFIGURATION_REFUSED.id,
                    reason,
                    "configuration refused"
                );
                return failure(StatusCode::BAD_REQUEST, &reason);
            }
        };
        // Committed configurations are never reverted, so this is true on any controller.
        if self.register.version() >= version {
            return empty(StatusCode::OK);
        }
        let began = self.now();
        let outcome = self.commit(register::replace(version, body), path).await;
        let held = self.register.version();
        let took = millis(self.now().since(began));
        let status = outcome.as_ref().err().map_or(200, |r| r.status().as_u16());
        tracing::info!(
            event = event::CONFIGURATION_DECIDED.id,
            version,
            held,
            status,
            took_ms = took,
            "configuration decided"
        );
        outcome.map_or_else(|response| response, |()| empty(StatusCode::OK))
    }

    /// Returns the latest configuration, or 503 if no quorum confirms which one that is.
    async fn fetch(&self) -> Response<ResponseBody> {
        if !self.has_latest().await {
            return unavailable("no quorum confirms the configuration");
        }
        match self.register.current() {
            Some(current) => json(StatusCode::OK, current.body.into()),
            None => unavailable("there is no configuration yet"),
        }
    }

    async fn heartbeat(&self, path: &str, id: &str, body: &[u8]) -> Response<ResponseBody> {
        let Some(announcement) = heartbeat::decode(id, body) else {
            return failure(StatusCode::BAD_REQUEST, "this names no usable upstream");
        };
        if announcement.leaving {
            return self.depart(path, id, announcement.born).await;
        }
        self.await_leader().await;
        if !self.handle_announcement(announcement).await {
            return self.redirect(path);
        }
        json(
            StatusCode::OK,
            call::heartbeat_response(self.control).into(),
        )
    }

    async fn leave(&self, path: &str, id: &str) -> Response<ResponseBody> {
        let born = {
            let Some(state) = self.state_if_leading() else {
                return self.redirect(path);
            };
            state.upstream(id).map(|e| e.announcement.born)
        };
        // If this leader has no heartbeat of the upstream, all incarnations up to now have left;
        // a later one has a later start time.
        self.depart(path, id, born.unwrap_or_else(wall_millis))
            .await
    }

    /// Commits that an incarnation receives no more requests, then acknowledges.
    async fn depart(&self, path: &str, id: &str, born: u64) -> Response<ResponseBody> {
        let known = match self.state_if_leading() {
            Some(state) => state.has_left(id, born),
            None => return self.redirect(path),
        };
        if !known {
            if let Err(response) = self.commit(register::depart(id, born), path).await {
                return response;
            }
            tracing::info!(
                event = event::UPSTREAM_LEFT.id,
                upstream = id,
                born,
                "upstream left"
            );
        }
        json(
            StatusCode::OK,
            call::heartbeat_response(self.control).into(),
        )
    }

    /// Lists the quarantined requests, or returns 503 if no quorum confirms which they are: a
    /// follower may not have applied an acknowledged lift yet.
    async fn list(&self) -> Response<ResponseBody> {
        if !self.has_latest().await {
            return unavailable("no quorum confirms the quarantine");
        }
        json(StatusCode::OK, self.list_quarantined().into())
    }

    /// Whether a quorum confirms in time that all that was committed before is applied here.
    async fn has_latest(&self) -> bool {
        matches!(timeout(COMMIT_TIMEOUT, self.confirm_read()).await, Ok(true))
    }

    /// Lifts the quarantine of a request.
    async fn lift(&self, path: &str, fingerprint: &str) -> Response<ResponseBody> {
        let Some(fingerprint) = Fingerprint::parse(fingerprint) else {
            return failure(StatusCode::BAD_REQUEST, "this is no fingerprint");
        };
        if let Err(response) = self.commit(register::lift(&fingerprint), path).await {
            return response;
        }
        if let Some(mut state) = self.state_if_leading() {
            state.forget_crashes(&fingerprint);
        }
        tracing::info!(
            event = event::QUARANTINE_LIFTED.id,
            %fingerprint,
            cause = "operator",
            "quarantine lifted"
        );
        empty(StatusCode::OK)
    }

    /// Commits a command.
    ///
    /// # Errors
    ///
    /// The response to send if it is not known to be committed.
    async fn commit(&self, command: Bytes, path: &str) -> Result<(), Response<ResponseBody>> {
        if self.leader_info().term.is_none() {
            return Err(self.redirect(path));
        }
        let (reply, answer) = oneshot::channel();
        let done = move |outcome: Result<Vec<u8>, _>| {
            let _ = reply.send(outcome.is_ok());
        };
        self.voter.propose(GROUP, command, Box::new(done));
        match timeout(COMMIT_TIMEOUT, answer).await {
            Ok(Ok(true)) => Ok(()),
            // It may still be committed. The caller sends it again.
            _ => Err(unavailable("not committed by a majority in time")),
        }
    }

    /// Waits for a running election before a heartbeat is handled.
    ///
    /// After a restart of all controllers, upstreams that are turned away retry up to a heartbeat
    /// period later. Until then the new leader knows no complete pipeline: the layers were complete
    /// only 0.7 s after the election.
    async fn await_leader(&self) {
        if self.now().since(self.started) >= STARTUP_PHASE {
            return;
        }
        self.await_leader_that(|c| c.known_leader().is_some()).await;
    }

    /// Waits for an election before a change is handled. If it were redirected to a dead leader,
    /// its sender would come back only after a pause that grows with each failure.
    async fn await_live_leader(&self) {
        let is_followed = |c: &Self| c.follower().live_leader(c.now()).is_some();
        self.await_leader_that(|c| c.leader_info().live || is_followed(c))
            .await;
    }

    /// Waits until the leader fulfils a condition, for at most [`MAX_LEADER_WAIT`].
    async fn await_leader_that(&self, condition: impl Fn(&Self) -> bool) {
        let mut changes = self.voter.leader_changes();
        let fulfilled = async { while !condition(self) && changes.changed().await.is_ok() {} };
        let _ = timeout(MAX_LEADER_WAIT, fulfilled).await;
    }

    /// Redirects the caller to the leader.
    fn redirect(&self, path: &str) -> Response<ResponseBody> {
        let leader = self.known_leader();
        let control = leader.and_then(|l| control_address(l, self.control.port()));
        let Some(control) = control.filter(|c| *c != self.control) else {
            return unavailable("no leader is known; try another instance");
        };
        let mut response = empty(StatusCode::TEMPORARY_REDIRECT);
        let location = call::redirect_location(control, path);
        let location =
            HeaderValue::try_from(location).expect("a received path is a valid header value");
        response.headers_mut().insert(LOCATION, location);
        response
    }
}

/// Receives the body of a call.
///
/// # Errors
///
/// The response if it isn't received.
async fn receive(
    mut body: RequestBody,
    share: BodyShare,
) -> Result<WholeBody, Response<ResponseBody>> {
    let read = WholeBody::read(&mut body, BodyBounds::request(MAX_BODY_BYTES), share);
    match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(BodyError::TooLong)) => Err(failure(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large",
        )),
        Ok(Err(BodyError::NoMemory)) => Err(unavailable("other bodies use up the memory")),
        Ok(Err(BodyError::Cut)) | Err(_) => Err(failure(
            StatusCode::BAD_REQUEST,
            "the body can't be read in full",
        )),
    }
}

fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::new())));
    *response.status_mut() = status;
    response
}

fn json(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn failure(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    json(status, call::error_body(reason).into())
}

fn unavailable(reason: &str) -> Response<ResponseBody> {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, RETRY_DELAY);
    response
}
