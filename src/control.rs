//! HTTP interface of the control address: operators, announcements of upstreams, health probes,
//! the state dump and metrics. No response is streamed.

mod voters;

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, header};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;

use crate::catalogue::{Change, EntryKey, Expect, Kind, Outcome, digest};
use crate::clock::Clock;
use crate::dump::{self, Dump};
use crate::event;
use crate::gate::Gate;
use crate::gossip::Fleet;
use crate::http::{self, ReceiveError, ReceiveLimits, RequestBody, ResponseBody};
use crate::lease::LeasedCatalogue;
use crate::poll::Poller;
use crate::propose::{NotCommitted, Proposer};
use crate::settings::Settings;
use crate::upstream::{AnnounceOutcome, Announcement};

/// Maximum size of a body, in bytes. Fits a change of a whole catalogue.
const MAX_BODY: usize = 32 << 20;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT: usize = 16 << 10;

/// Timeout for a change to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout for a read to be confirmed by a quorum.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of an upstream's announcements.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of changes in a listing of the history.
const MAX_HISTORY: usize = 1000;

/// Components of the instance that the control interface uses.
pub(crate) struct Control {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) catalogue: Arc<LeasedCatalogue>,
    pub(crate) poller: Poller,
    /// Proposer of the catalogue group.
    pub(crate) proposer: Arc<Proposer>,
    /// Proposers of the claim groups, which have the same voters as the catalogue group.
    pub(crate) claim_proposers: Vec<Arc<Proposer>>,
    pub(crate) fleet: Fleet,
    pub(crate) gate: Arc<Gate>,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) dump: Arc<dyn Fn() -> Dump + Send + Sync>,
}

/// Error response. The message names the remedy.
struct Problem {
    status: StatusCode,
    code: &'static str,
    message: String,
}

type Answer = Result<Response<ResponseBody>, Problem>;

fn problem(status: StatusCode, code: &'static str, message: impl Into<String>) -> Problem {
    Problem {
        status,
        code,
        message: message.into(),
    }
}

/// Serves operators, upstreams and probes until the runtime shuts down.
pub(crate) async fn serve(control: Arc<Control>, listener: TcpListener) {
    let bounds = ReceiveLimits {
        max_head: control.settings.max_head,
        receive_timeout: control.settings.receive_timeout,
        connections: usize::MAX,
    };
    http::accept(listener, bounds, move |request| {
        Arc::clone(&control).answer(request)
    })
    .await;
}

impl Control {
    async fn answer(self: Arc<Self>, request: Request<RequestBody>) -> Response<ResponseBody> {
        self.route(request).await.unwrap_or_else(|problem| {
            let body = serde_json::json!({
                "error": {"code": problem.code, "message": problem.message}
            });
            respond(problem.status, "application/json", body.to_string())
        })
    }

    async fn route(&self, request: Request<RequestBody>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path().trim_matches('/');
        let parts: Vec<&str> = path.split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["healthz"]) => Ok(text(StatusCode::OK, "ok\n")),
            (&Method::GET, ["readyz"]) => Ok(self.ready()),
            (&Method::GET, ["metrics"]) => Ok(text(StatusCode::OK, &self.metrics.render())),
            (&Method::POST, ["v1", "upstreams"]) => self.announce(&head, body).await,
            (_, ["v1", rest @ ..]) => {
                self.authorise(&head)?;
                self.route_operator(&head, rest, body).await
            }
            _ => Err(not_found()),
        }
    }

    async fn route_operator(&self, head: &Parts, path: &[&str], body: RequestBody) -> Answer {
        match (&head.method, path) {
            (&Method::GET, ["state"]) => Ok(self.state(head)),
            (&Method::GET, ["catalogue"]) => self.list().await,
            (&Method::GET, ["catalogue", "history"]) => self.history().await,
            (&Method::GET, ["catalogue", kind, name]) => self.get(kind, name).await,
            (&Method::POST, ["catalogue", "changes"]) => self.change(head, body).await,
            (&Method::GET, ["voters"]) => self.voters().await,
            (&Method::PUT, ["voters", id]) => self.change_voter(id, false).await,
            (&Method::DELETE, ["voters", id]) => self.change_voter(id, true).await,
            _ => Err(not_found()),
        }
    }

    fn authorise(&self, head: &Parts) -> Result<(), Problem> {
        let authorised = bearer(head).is_some_and(|key| {
            let given = digest(key);
            bool::from(subtle::ConstantTimeEq::ct_eq(
                given.as_bytes(),
                self.settings.operator_digest.as_bytes(),
            ))
        });
        if authorised {
            return Ok(());
        }
        Err(problem(
            StatusCode::UNAUTHORIZED,
            "operator_key",
            "send the operators' key as Authorization: Bearer",
        ))
    }

    async fn read_body(&self, body: RequestBody, max: usize) -> Result<Bytes, Problem> {
        let body = http::read_body(body, max, self.settings.receive_timeout).await;
        body.map_err(|e| match e {
            ReceiveError::TooLarge => problem(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                format!("the body is longer than {max} bytes; split it"),
            ),
            ReceiveError::Incomplete => problem(
                StatusCode::BAD_REQUEST,
                "cut",
                "the body was cut; send it whole",
            ),
            ReceiveError::Timeout => problem(
                StatusCode::REQUEST_TIMEOUT,
                "too_slow",
                "the body wasn't sent in time; send it faster",
            ),
        })
    }

    fn ready(&self) -> Response<ResponseBody> {
        let reason = self.gate.unready_reason(&self.catalogue, self.clock.now());
        match reason {
            None => text(StatusCode::OK, "ready\n"),
            Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason),
        }
    }

    fn state(&self, head: &Parts) -> Response<ResponseBody> {
        let dump = (self.dump)();
        if head.uri.query() == Some("form=text") {
            return text(StatusCode::OK, &dump::text(&dump));
        }
        json(StatusCode::OK, &dump)
    }

    /// Waits until the local catalogue contains all changes accepted before the call, so that an
    /// operator's reads are linearizable.
    async fn confirm_catalogue(&self) -> Result<(), Problem> {
        if self.poller.refresh(CONFIRM_TIMEOUT).await {
            return Ok(());
        }
        Err(problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_quorum",
            "no quorum of voters confirms the catalogue; ask another instance or see docs/OPERATIONS.md",
        ))
    }

    async fn list(&self) -> Answer {
        self.confirm_catalogue().await?;
        let listing = self.catalogue.latest().list();
        let mut response = json(StatusCode::OK, &listing);
        set_etag(&mut response, listing.revision);
        Ok(response)
    }

    async fn get(&self, kind: &str, name: &str) -> Answer {
        let kind = Kind::parse(kind).ok_or_else(not_found)?;
        self.confirm_catalogue().await?;
        let key = EntryKey {
            kind,
            name: name.to_owned(),
        };
        let catalogue = self.catalogue.latest();
        let record = catalogue.records.get(&key).ok_or_else(not_found)?;
        let mut response = json(StatusCode::OK, record);
        set_etag(&mut response, record.revision);
        Ok(response)
    }

    async fn history(&self) -> Answer {
        self.confirm_catalogue().await?;
        Ok(json(StatusCode::OK, &self.poller.history(MAX_HISTORY)))
    }

    async fn change(&self, head: &Parts, body: RequestBody) -> Answer {
        let body = self.read_body(body, MAX_BODY).await?;
        let mut change: Change = serde_json::from_slice(&body).map_err(|e| {
            problem(
                StatusCode::BAD_REQUEST,
                "malformed",
                format!("the change can't be read: {e}"),
            )
        })?;
        if let Some(revision) = if_match(head)? {
            change.expect = Expect::Catalogue(revision);
        }
        // Reserialised, a resend has the same bytes regardless of its white space.
        let command = serde_json::to_vec(&change).expect("a change is serialisable");
        let committed = self.proposer.propose(command.into(), COMMIT_TIMEOUT).await;
        let outcome: Outcome = match committed {
            Ok(reply) => serde_json::from_slice(&reply).expect("the state machine wrote it"),
            Err(NotCommitted::Refused) => return Err(no_leader()),
            Err(NotCommitted::Unknown) => {
                return Err(problem(
                    StatusCode::GATEWAY_TIMEOUT,
                    "outcome_unknown",
                    "the change may have been accepted; resend it with the same change id",
                ));
            }
        };
        tracing::info!(event = event::CHANGE_DECIDED.id, id = %change.id, ?outcome, "catalogue change decided");
        Ok(json(outcome_status(&outcome), &outcome))
    }

    async fn announce(&self, head: &Parts, body: RequestBody) -> Answer {
        let Ok(catalogue) = self.catalogue.get(self.clock.now()) else {
            return Err(problem(
                StatusCode::SERVICE_UNAVAILABLE,
                "catalogue_lease",
                "this instance can't confirm its catalogue; announce to another one",
            ));
        };
        let pool = bearer(head)
            .and_then(|key| catalogue.pool(key))
            .map(str::to_owned);
        let body = self.read_body(body, MAX_ANNOUNCEMENT).await?;
        let parsed: Result<Announcement, _> = serde_json::from_slice(&body);
        let announcement = parsed.map_err(|e| {
            problem(
                StatusCode::BAD_REQUEST,
                "malformed",
                format!("the announcement can't be read: {e}"),
            )
        })?;
        if pool.as_deref() != Some(announcement.pool.as_str()) {
            tracing::warn!(
                event = event::ANNOUNCE_REFUSED.id,
                upstream = %announcement.id,
                "announcement refused: its credential isn't that of its pool"
            );
            return Err(problem(
                StatusCode::UNAUTHORIZED,
                "pool_credential",
                "send the credential of the announced pool as Authorization: Bearer",
            ));
        }
        match self.fleet.announce(announcement) {
            Ok(AnnounceOutcome::Accepted | AnnounceOutcome::Duplicate) => Ok(json(
                StatusCode::OK,
                &serde_json::json!({"renew": RENEW_INTERVAL.as_millis()}),
            )),
            Ok(AnnounceOutcome::Superseded) => Err(problem(
                StatusCode::CONFLICT,
                "superseded",
                "a later announcement of this upstream is known; start with a higher incarnation",
            )),
            Err(e) => Err(problem(StatusCode::BAD_REQUEST, "malformed", e.to_string())),
        }
    }
}

fn outcome_status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. } => StatusCode::OK,
        Outcome::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        Outcome::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Outcome::Reused => StatusCode::CONFLICT,
    }
}

fn no_leader() -> Problem {
    problem(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_leader",
        "no voter leads; nothing was changed; try again in a few seconds",
    )
}

fn not_found() -> Problem {
    problem(
        StatusCode::NOT_FOUND,
        "not_found",
        "nothing is here; see docs/CONFIGURATION.md for the paths",
    )
}

/// Parses the catalogue revision that the operator expects, if given.
fn if_match(head: &Parts) -> Result<Option<u64>, Problem> {
    let Some(value) = head.headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let revision = value
        .to_str()
        .ok()
        .and_then(|v| v.trim_matches('"').parse().ok());
    let malformed = || {
        problem(
            StatusCode::BAD_REQUEST,
            "malformed",
            "If-Match isn't a revision; send the ETag of the catalogue",
        )
    };
    revision.map(Some).ok_or_else(malformed)
}

fn bearer(head: &Parts) -> Option<&str> {
    let value = head.headers.get(header::AUTHORIZATION)?;
    value.to_str().ok()?.strip_prefix("Bearer ")
}

fn set_etag(response: &mut Response<ResponseBody>, revision: u64) {
    let value = format!("\"{revision}\"");
    let value = value.parse().expect("digits and quotes are a valid header");
    response.headers_mut().insert(header::ETAG, value);
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_string(body).expect("responses are serialisable");
    respond(status, "application/json", body)
}

fn text(status: StatusCode, body: &str) -> Response<ResponseBody> {
    respond(status, "text/plain; charset=utf-8", body.to_owned())
}

fn respond(status: StatusCode, content_type: &'static str, body: String) -> Response<ResponseBody> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .body(ResponseBody::from(body))
        .expect("status and header are valid")
}
