//! Admitted requests, and what all attempts for one share.

use std::sync::Arc;
use std::time::Duration;

use hyper::{HeaderMap, Method, Uri};

use super::Entry;
use crate::clock::Time;
use crate::configuration::{Model, Route, RoutingTable};
use crate::decide::path::Work;
use crate::decide::rank::Rank;
use crate::fingerprint::Fingerprint;
use crate::prompt::Prompt;
use crate::whole::WholeBody;

/// An admitted request and its route.
pub(super) struct Call {
    /// Attempt id from the client.
    pub(super) attempt: String,
    pub(super) fingerprint: Fingerprint,
    pub(super) prompt: Arc<Prompt>,
    /// Name of the caller's organisation; empty on a route without API keys.
    pub(super) organisation: Arc<str>,
    /// `None` if its service doesn't rank requests.
    pub(super) rank: Option<Rank>,
    pub(super) route: Route,
    pub(super) service: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers for upstreams, without those that differ between attempts.
    pub(super) headers: HeaderMap,
    /// Counted until the call ends.
    pub(super) body: Arc<WholeBody>,
    pub(super) work: Work,
    pub(super) began: Time,
    /// Time from `began` by which the response must be complete.
    pub(super) time_limit: Duration,
}

impl Call {
    /// Time left until the deadline.
    pub(super) fn left(&self, now: Time) -> Duration {
        self.time_limit.saturating_sub(now.since(self.began))
    }

    /// Time since the deadline; zero before it.
    pub(super) fn overdue(&self, now: Time) -> Duration {
        now.since(self.began).saturating_sub(self.time_limit)
    }
}

/// What all attempts for a request share.
#[derive(Clone)]
pub(super) struct Context {
    pub(super) entry: Arc<Entry>,
    pub(super) table: Arc<RoutingTable>,
    pub(super) call: Arc<Call>,
}

impl Context {
    /// The model that serves the request, if its service has one.
    pub(super) fn model(&self) -> Option<&Model> {
        self.table.service(&self.call.service)?.model.as_ref()
    }

    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.call.left(self.entry.now())
    }
}
