//! From a caller's head to an admitted request.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;

use super::claims::ClaimKey;
use super::head::Head;
use super::{Held, Server, Waiter, listen, respond};
use crate::catalogue::{Catalogue, Route, Target};
use crate::clock::Time;
use crate::dispatch::{Admission, Decision, Dispatcher, Placement, PlacementError};
use crate::event;
use crate::gate::Running;
use crate::http::ResponseBody;
use crate::id::OrganisationId;
use crate::request::{Admitted, Answer, Lifecycle, Received, RefusalCode, RequestId};

/// Pause for a caller whose instance has lost its catalogue lease. Another
/// instance may serve it at once.
const LEASE_PAUSE: Duration = Duration::from_secs(1);

/// A request that belongs to an organisation and has a route.
pub(crate) struct Known {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) head: Head,
    pub(crate) catalogue: Arc<Catalogue>,
    pub(crate) deadline: Time,
    /// Counts the request as running for a graceful shutdown.
    pub(crate) running: Running,
}

impl Known {
    /// The route of that name, if the organisation has it.
    pub(crate) fn route(&self, name: &str) -> Option<&Route> {
        self.catalogue.route(&self.organisation, name)
    }

    /// Name of the claim that the request has if it needs one.
    pub(crate) fn claim_key(&self, digest: Vec<u8>) -> Option<ClaimKey> {
        let key = self.head.key.clone()?;
        Some(ClaimKey {
            organisation: self.organisation.to_string(),
            key,
            digest,
        })
    }

    /// Starts the life of a request on `route`.
    pub(crate) fn life(&self, route: &Route) -> Lifecycle<Received> {
        let idempotent = route.idempotent && !self.head.once;
        let keyed = self.head.key.is_some();
        Lifecycle::new(self.id, self.organisation.clone(), idempotent, keyed)
    }
}

/// Leaves the dispatcher's queues when dropped: the caller may go at any time.
struct Leave {
    server: Arc<Server>,
    id: u64,
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.server
            .dispatch(|dispatcher, _, _| dispatcher.cancel(self.id));
    }
}

impl Server {
    /// Finds out whose request it is, or says why it gets no further.
    pub(crate) fn identify(
        &self,
        head: &hyper::http::request::Parts,
    ) -> Result<Known, Box<Response<ResponseBody>>> {
        let head = Head::parse(&head.headers)
            .map_err(|_| Box::new(listen::refuse(RefusalCode::InvalidRequest)))?;
        let keyed = head.key.is_some();
        let refuse = |code, pause| {
            let answer = Answer::refused_early(code, keyed, pause);
            Box::new(respond::refuse(&answer, "-"))
        };
        let running = self.deps.gate.enter();
        let running = running.ok_or_else(|| refuse(RefusalCode::Draining, Some(Duration::ZERO)))?;
        let now = self.now();
        let catalogue = self.deps.catalogue.get(now);
        let catalogue =
            catalogue.map_err(|_| refuse(RefusalCode::CatalogueLease, Some(LEASE_PAUSE)))?;
        let secret = head.secret.as_deref();
        let organisation = secret.and_then(|s| catalogue.organisation(s)).cloned();
        let organisation =
            organisation.ok_or_else(|| refuse(RefusalCode::Unauthenticated, None))?;
        let longest = self.deps.settings.deadline;
        let time = head.deadline.map_or(longest, |d| d.min(longest));
        Ok(Known {
            id: self.next_id(),
            organisation,
            head,
            catalogue,
            deadline: now + time,
            running,
        })
    }

    /// Admits a request by the limits of its route, after a wait if need be.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        life: Lifecycle<Received>,
        route: &Route,
        tokens: u32,
        deadline: Time,
        used: &Arc<AtomicU32>,
    ) -> Result<Lifecycle<Admitted<Held>>, Answer> {
        let admission = Admission {
            id: life.id.sequence,
            route: route.name.as_str().into(),
            limits: route.limits,
            tokens,
            deadline,
        };
        let told = self
            .wait(life.id.sequence, |dispatcher, now, waiter, out| {
                dispatcher.admit(now, admission, waiter, out);
            })
            .await;
        match told {
            Some(Decision::Admitted(permit)) => Ok(life.admit(Held {
                server: Arc::clone(self),
                permit: Some(permit),
                used: Arc::clone(used),
            })),
            Some(Decision::Denied(pause)) => {
                Err(life.refuse(RefusalCode::LimitReached, Some(pause)))
            }
            Some(Decision::Full(pause)) => Err(life.refuse(RefusalCode::QueueFull, Some(pause))),
            _ => Err(life.refuse(RefusalCode::QueueTimeout, None)),
        }
    }

    /// Places a request on a path, after a wait if need be.
    pub(crate) async fn place(
        self: &Arc<Self>,
        placement: Placement,
    ) -> Result<crate::dispatch::Placed, (PlacementError, Duration)> {
        let told = self
            .wait(placement.id, |dispatcher, now, waiter, out| {
                dispatcher.place(now, placement, waiter, out);
            })
            .await;
        match told {
            Some(Decision::Placed(placed)) => Ok(placed),
            Some(Decision::Unplaced(why, pause)) => Err((why, pause)),
            _ => Err((PlacementError::Deadline, Duration::ZERO)),
        }
    }

    async fn wait(
        self: &Arc<Self>,
        id: u64,
        enter: impl FnOnce(
            &mut Dispatcher<Waiter>,
            Time,
            Waiter,
            &mut Vec<crate::dispatch::Notification<Waiter>>,
        ),
    ) -> Option<Decision> {
        let (waiter, told) = oneshot::channel();
        let _leave = Leave {
            server: Arc::clone(self),
            id,
        };
        self.dispatch(|dispatcher, now, out| enter(dispatcher, now, waiter, out));
        told.await.ok()
    }

    /// The models that the caller's organisation may use.
    pub(crate) fn models<B>(&self, request: &Request<B>) -> Response<ResponseBody> {
        let Ok(catalogue) = self.deps.catalogue.get(self.now()) else {
            return listen::refuse(RefusalCode::CatalogueLease);
        };
        let head = Head::parse(request.headers()).unwrap_or_default();
        let secret = head.secret.as_deref();
        let Some(organisation) = secret.and_then(|s| catalogue.organisation(s)) else {
            return listen::refuse(RefusalCode::Unauthenticated);
        };
        let owned = catalogue
            .routes()
            .filter(|r| r.organisation == *organisation && matches!(r.target, Target::Model(_)));
        let data: Vec<_> = owned
            .map(|r| serde_json::json!({"id": r.name, "object": "model", "owned_by": organisation}))
            .collect();
        let body = serde_json::json!({"object": "list", "data": data}).to_string();
        respond::reply(StatusCode::OK, respond::JSON, body, "-")
    }

    /// Logs and counts how a request ended.
    pub(crate) fn note(&self, id: RequestId, answer: &Answer) {
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
