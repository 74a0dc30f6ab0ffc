//! Authentication, admission and placement of requests.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;

use super::claims::ClaimKey;
use super::head::RequestHeaders;
use super::{PermitGuard, Server, Waiter, listen, respond};
use crate::catalogue::{Catalogue, Route, Target};
use crate::clock::Time;
use crate::dispatch::{Admission, Decision, Dispatcher, Placement, PlacementError};
use crate::event;
use crate::gate::RunningGuard;
use crate::http::ResponseBody;
use crate::id::OrganisationId;
use crate::request::{Admitted, Answer, Lifecycle, Received, RefusalCode, RequestId};

/// Retry delay for a caller whose instance has lost its catalogue lease. Another
/// instance may be able to serve the request at once.
const LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request whose API key belongs to an organisation.
pub(crate) struct AuthenticatedRequest {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) headers: RequestHeaders,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) deadline: Time,
    /// Delays a graceful shutdown until the request has ended.
    pub(crate) running: RunningGuard,
}

impl AuthenticatedRequest {
    /// Returns the organisation's route with this name.
    pub(crate) fn route(&self, name: &str) -> Option<&Route> {
        self.catalogue.route(&self.organisation, name)
    }

    /// Returns the key of the request's claim if the caller sent an idempotency
    /// key.
    pub(crate) fn claim_key(&self, digest: Vec<u8>) -> Option<ClaimKey> {
        let key = self.headers.idempotency_key.clone()?;
        Some(ClaimKey {
            organisation: self.organisation.to_string(),
            key,
            digest,
        })
    }

    /// Starts the lifecycle of a request on `route`.
    pub(crate) fn lifecycle(&self, route: &Route) -> Lifecycle<Received> {
        let idempotent = route.idempotent && !self.headers.non_idempotent;
        let keyed = self.headers.idempotency_key.is_some();
        Lifecycle::new(self.id, self.organisation.clone(), idempotent, keyed)
    }
}

/// Removes a request from the dispatcher's queues when dropped. A disconnecting
/// caller can drop the waiting task at any time.
struct CancelOnDrop {
    server: Arc<Server>,
    id: u64,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.server
            .dispatch(|dispatcher, _, _| dispatcher.cancel(self.id));
    }
}

impl Server {
    /// Determines the organisation that sent the request, or returns a refusal.
    pub(crate) fn authenticate(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<AuthenticatedRequest, Box<Response<ResponseBody>>> {
        let headers = RequestHeaders::parse(&head.headers)
            .map_err(|_| Box::new(listen::refuse_unidentified(RefusalCode::InvalidRequest)))?;
        let keyed = headers.idempotency_key.is_some();
        let refuse = |code, retry_after| {
            let answer = Answer::refused_early(code, keyed, retry_after);
            Box::new(respond::error(&answer, "-"))
        };
        let running = self.deps.gate.admit();
        let running = running.ok_or_else(|| refuse(RefusalCode::Draining, Some(Duration::ZERO)))?;
        let now = self.now();
        let catalogue = self.deps.catalogue.get(now);
        let catalogue =
            catalogue.map_err(|_| refuse(RefusalCode::CatalogueLease, Some(LEASE_RETRY_AFTER)))?;
        let api_key = headers.api_key.as_deref();
        let organisation = api_key.and_then(|s| catalogue.organisation(s)).cloned();
        let organisation =
            organisation.ok_or_else(|| refuse(RefusalCode::Unauthenticated, None))?;
        let max_time = self.deps.settings.max_deadline;
        let time = headers.deadline.map_or(max_time, |d| d.min(max_time));
        Ok(AuthenticatedRequest {
            id: self.next_id(),
            organisation,
            headers,
            catalogue,
            deadline: now + time,
            running,
        })
    }

    /// Admits a request within the limits of its route, waiting if necessary.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        lifecycle: Lifecycle<Received>,
        route: &Route,
        tokens: u32,
        deadline: Time,
        used: &Arc<AtomicU32>,
    ) -> Result<Lifecycle<Admitted<PermitGuard>>, Answer> {
        let admission = Admission {
            id: lifecycle.id.sequence,
            route: route.name.as_str().into(),
            limits: route.limits,
            tokens,
            deadline,
        };
        let decision = self.wait(lifecycle.id.sequence, |dispatcher, now, waiter, out| {
            dispatcher.admit(now, admission, waiter, out);
        });
        let decision = tokio::select! {
            biased;
            decision = decision => decision,
            () = self.lease_lost() => {
                let retry_after = Some(LEASE_RETRY_AFTER);
                return Err(lifecycle.refuse(RefusalCode::CatalogueLease, retry_after));
            }
        };
        match decision {
            Some(Decision::Admitted(permit)) => Ok(lifecycle.admit(PermitGuard {
                server: Arc::clone(self),
                permit: Some(permit),
                used: Arc::clone(used),
            })),
            Some(Decision::Denied(retry_after)) => {
                Err(lifecycle.refuse(RefusalCode::LimitReached, Some(retry_after)))
            }
            Some(Decision::Full(retry_after)) => {
                Err(lifecycle.refuse(RefusalCode::QueueFull, Some(retry_after)))
            }
            _ => Err(lifecycle.refuse(RefusalCode::QueueTimeout, None)),
        }
    }

    /// Waits until the catalogue lease has expired. From then on no limit shares are granted
    /// either, so that a request that waits for one would do so until its deadline.
    async fn lease_lost(&self) {
        loop {
            let left = self.deps.catalogue.remaining(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// Places a request on a path, waiting if necessary.
    pub(crate) async fn place(
        self: &Arc<Self>,
        placement: Placement,
    ) -> Result<crate::dispatch::Placed, (PlacementError, Duration)> {
        let decision = self
            .wait(placement.id, |dispatcher, now, waiter, out| {
                dispatcher.place(now, placement, waiter, out);
            })
            .await;
        match decision {
            Some(Decision::Placed(placed)) => Ok(placed),
            Some(Decision::Unplaced(error, retry_after)) => Err((error, retry_after)),
            _ => Err((PlacementError::Deadline, Duration::ZERO)),
        }
    }

    /// Enqueues a request and waits for the decision. Returns `None` if the
    /// dispatcher dropped the waiter.
    async fn wait(
        self: &Arc<Self>,
        id: u64,
        enqueue: impl FnOnce(
            &mut Dispatcher<Waiter>,
            Time,
            Waiter,
            &mut Vec<crate::dispatch::Notification<Waiter>>,
        ),
    ) -> Option<Decision> {
        let (waiter, receiver) = oneshot::channel();
        let _guard = CancelOnDrop {
            server: Arc::clone(self),
            id,
        };
        self.dispatch(|dispatcher, now, out| enqueue(dispatcher, now, waiter, out));
        receiver.await.ok()
    }

    /// Answers `GET /v1/models`: the model routes of the caller's organisation.
    pub(crate) fn models<B>(&self, request: &Request<B>) -> Response<ResponseBody> {
        let Ok(catalogue) = self.deps.catalogue.get(self.now()) else {
            return listen::refuse_unidentified(RefusalCode::CatalogueLease);
        };
        let headers = RequestHeaders::parse(request.headers()).unwrap_or_default();
        let api_key = headers.api_key.as_deref();
        let Some(organisation) = api_key.and_then(|s| catalogue.organisation(s)) else {
            return listen::refuse_unidentified(RefusalCode::Unauthenticated);
        };
        let owned = catalogue
            .routes()
            .filter(|r| r.organisation == *organisation && matches!(r.target, Target::Model(_)));
        let data: Vec<_> = owned
            .map(|r| serde_json::json!({"id": r.name, "object": "model", "owned_by": organisation}))
            .collect();
        let body = serde_json::json!({"object": "list", "data": data}).to_string();
        respond::response(StatusCode::OK, respond::JSON, body, "-")
    }

    /// Logs and counts the final answer to a request.
    pub(crate) fn record_answer(&self, id: RequestId, answer: &Answer) {
        let code = answer.code();
        metrics::counter!("requests_total", "code" => code).increment(1);
        match answer {
            Answer::Complete { .. } | Answer::Stored(_) => {}
            Answer::Refused(_) => {
                tracing::info!(event = event::REQUEST_REFUSED.id, %id, code, "request refused");
            }
            Answer::Failed(_) => {
                tracing::warn!(event = event::REQUEST_FAILED.id, %id, code, "request failed");
            }
        }
    }
}
