//! Calls of the operator and of upstreams.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::{Controller, GROUP, control_address};
use crate::clock::{millis, wall_millis};
use crate::event;
use crate::fingerprint::Fingerprint;
use crate::http::{self, Reply};
use crate::platform::call::{self, Call};
use crate::platform::{configuration, heartbeat};
use crate::register;

/// Longest head of a call, in bytes.
pub(super) const MAX_HEAD: usize = 16 << 10;

/// Longest time for which a connection may wait for a head.
pub(super) const IDLE: Duration = Duration::from_secs(15);

/// Longest body of a call, in bytes. The operator's limit for bodies is 4 MB.
const MAX_BODY: usize = 8 << 20;

/// Longest time to receive a body.
const RECEIVE: Duration = Duration::from_secs(5);

/// Longest time to commit a command. Callers move on after a second.
const COMMIT: Duration = Duration::from_millis(900);

/// Longest wait of a heartbeat for an election. Upstreams move on after a
/// second without an answer, and follow one redirect within it.
const LEADER_WAIT: Duration = Duration::from_millis(700);

/// Period of looking whether there is a leader.
const LEADER_LOOK: Duration = Duration::from_millis(20);

/// Time after its start in which a controller lets heartbeats wait. Later on one
/// that knows no leader may be cut off, and the upstream finds a better one.
const STARTING: Duration = Duration::from_secs(3);

/// Seconds after which a caller may try again.
const RETRY: HeaderValue = HeaderValue::from_static("0.3");

/// Answers one call, if a controller runs.
pub(super) async fn answer(
    controller: Option<Arc<Controller>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    match controller {
        Some(controller) => controller.answer(request).await,
        None => unavailable("this instance opens its store"),
    }
}

impl Controller {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Reply> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let Some(decoded) = Call::decode(head.method.as_str(), path) else {
            return failure(StatusCode::NOT_FOUND, "there is no such call");
        };
        let Ok(body) = http::receive(body, MAX_BODY, RECEIVE).await else {
            return failure(StatusCode::BAD_REQUEST, "the body can't be read in full");
        };
        if self.shutting_down.load(Ordering::Relaxed) {
            return unavailable("this instance ends");
        }
        match decoded {
            Call::Replace => self.replace(path, body).await,
            Call::Fetch => self.fetch().await,
            Call::Heartbeat(id) => self.heartbeat(path, id, &body).await,
            Call::Leave(id) => self.leave(path, id).await,
            Call::ListQuarantined => json(StatusCode::OK, self.list_quarantined().into()),
            Call::Lift(fingerprint) => self.lift(path, fingerprint).await,
        }
    }

    /// Takes a configuration; acknowledges it once a majority has it on disk.
    async fn replace(&self, path: &str, body: Bytes) -> Response<Reply> {
        let checked = configuration::decode(&body)
            .and_then(|c| c.check().map(|()| c.version).map_err(|e| e.to_string()));
        let version = match checked {
            Ok(version) => version,
            Err(reason) => {
                tracing::warn!(event = event::CONFIGURATION_REFUSED.id, reason, "refused");
                return failure(StatusCode::BAD_REQUEST, &reason);
            }
        };
        // What is committed stays, so this holds whoever leads by now.
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
        outcome.map_or_else(|refusal| refusal, |()| empty(StatusCode::OK))
    }

    /// Answers with the newest configuration, or with 503 when no quorum can
    /// tell which it is.
    async fn fetch(&self) -> Response<Reply> {
        if !matches!(timeout(COMMIT, self.confirm_read()).await, Ok(true)) {
            return unavailable("no quorum confirms the configuration");
        }
        match self.register.current() {
            Some(current) => json(StatusCode::OK, current.body.into()),
            None => unavailable("there is no configuration yet"),
        }
    }

    async fn heartbeat(&self, path: &str, id: &str, body: &[u8]) -> Response<Reply> {
        let Some(news) = heartbeat::decode(id, body) else {
            return failure(StatusCode::BAD_REQUEST, "this names no usable upstream");
        };
        if news.leaving {
            return self.depart(path, id, news.born).await;
        }
        self.await_leader().await;
        if !self.handle_announcement(news).await {
            return self.redirect(path);
        }
        json(StatusCode::OK, call::next_heartbeat(self.control).into())
    }

    async fn leave(&self, path: &str, id: &str) -> Response<Reply> {
        let born = {
            let Some(state) = self.state_if_leading() else {
                return self.redirect(path);
            };
            state.upstream(id).map(|e| e.last.born)
        };
        // An upstream that this leader hasn't heard has left in every start
        // before now; a later start is born later.
        self.depart(path, id, born.unwrap_or_else(wall_millis))
            .await
    }

    /// Notes on the log that a start gets no more work, then acknowledges.
    async fn depart(&self, path: &str, id: &str, born: u64) -> Response<Reply> {
        let known = match self.state_if_leading() {
            Some(state) => state.has_left(id, born),
            None => return self.redirect(path),
        };
        if !known {
            if let Err(refusal) = self.commit(register::depart(id, born), path).await {
                return refusal;
            }
            tracing::info!(event = event::UPSTREAM_LEFT.id, upstream = id, born, "left");
        }
        json(StatusCode::OK, call::next_heartbeat(self.control).into())
    }

    /// Lifts the quarantine of a request.
    async fn lift(&self, path: &str, fingerprint: &str) -> Response<Reply> {
        let Some(fingerprint) = Fingerprint::parse(fingerprint) else {
            return failure(StatusCode::BAD_REQUEST, "this is no fingerprint");
        };
        if let Err(refusal) = self.commit(register::lift(&fingerprint), path).await {
            return refusal;
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

    /// Commits a command, or gives the answer to send instead.
    async fn commit(&self, command: Bytes, path: &str) -> Result<(), Response<Reply>> {
        if self.leader_info().term.is_none() {
            return Err(self.redirect(path));
        }
        let (reply, answer) = oneshot::channel();
        let done = move |outcome: Result<Vec<u8>, _>| {
            let _ = reply.send(outcome.is_ok());
        };
        self.voter.propose(GROUP, command, Box::new(done));
        match timeout(COMMIT, answer).await {
            Ok(Ok(true)) => Ok(()),
            // It may still be committed: the caller sends it again.
            _ => Err(unavailable("not committed by a majority in time")),
        }
    }

    /// Lets a heartbeat wait for an election that is under way.
    ///
    /// After a restart of all, upstreams that are turned away come back up to a
    /// heartbeat period later, and the new leader knows no whole pipeline until
    /// then: the layers were complete 0.7 s after the election.
    async fn await_leader(&self) {
        let began = self.now();
        if began.since(self.started) >= STARTING {
            return;
        }
        while self.leader_info().leader.is_none() && self.now().since(began) < LEADER_WAIT {
            sleep(LEADER_LOOK).await;
        }
    }

    /// Sends the caller to the leader.
    fn redirect(&self, path: &str) -> Response<Reply> {
        let leader = self.leader_info().leader;
        let control = leader.and_then(|l| control_address(l, self.control.port()));
        let Some(control) = control.filter(|c| *c != self.control) else {
            return unavailable("no leader is known; try another instance");
        };
        let mut response = empty(StatusCode::TEMPORARY_REDIRECT);
        let location = call::elsewhere(control, path);
        let location = HeaderValue::try_from(location).expect("a path that was received");
        response.headers_mut().insert(LOCATION, location);
        response
    }
}

fn empty(status: StatusCode) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Some(Bytes::new())));
    *response.status_mut() = status;
    response
}

fn json(status: StatusCode, body: Reply) -> Response<Reply> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn failure(status: StatusCode, reason: &str) -> Response<Reply> {
    json(status, call::failure(reason).into())
}

fn unavailable(reason: &str) -> Response<Reply> {
    let mut response = failure(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, RETRY);
    response
}
