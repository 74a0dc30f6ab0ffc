//! The sender's side: sends requests through other instances.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use rand::RngExt;
use tokio::time::timeout;

use super::super::Entry;
use super::super::view::{Upstream, of_service};
use super::message::{CHECK, Envelope, Refusal};
use crate::engine::{Connection, Cutoff, UpstreamResponse, exchange};
use crate::id::InstanceId;
use crate::metric;
use crate::whole::Payload;

/// Maximum number of instances that are asked whether they reach an upstream.
const MAX_CHECKS: usize = 3;

/// Timeout of such a question: the time of two connections.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Outcome: the instance sent nothing in time. The request may run.
const SILENT: &str = "silent";

/// The instance that carries a request, counted until the request ends.
pub(in super::super) struct Via {
    entry: Arc<Entry>,
    pub(in super::super) id: InstanceId,
}

impl Drop for Via {
    fn drop(&mut self) {
        self.entry.shared().proxies.end(self.id);
    }
}

/// How sending a request through another instance ended.
pub(in super::super) enum Carried {
    /// The upstream's response.
    Answered(UpstreamResponse),
    /// The request wasn't sent, or the carrier proved that it wasn't passed on.
    NotSent(Option<Refusal>),
    /// The upstream's connection to the carrier was lost: the request may have run.
    Cut,
    /// The connection to the carrier was lost: the request may have run.
    Lost,
}

impl Entry {
    /// Takes an instance that may carry a request, other than those in `tried`.
    pub(in super::super) fn take_proxy(self: &Arc<Self>, tried: &[InstanceId]) -> Option<Via> {
        let now = self.now();
        let mut shared = self.shared();
        let id = shared.proxies.choose(now, tried, rand::rng().random())?;
        shared.proxies.begin(id);
        drop(shared);
        let entry = Arc::clone(self);
        Some(Via { entry, id })
    }

    /// Address at which an instance accepts requests to carry.
    fn proxy_address(&self, id: InstanceId) -> Option<SocketAddrV4> {
        let ip = Ipv4Addr::from(u32::try_from(id.0).ok()?);
        Some(SocketAddrV4::new(ip, self.boot.ports.0))
    }

    fn envelope(&self, service: &str, upstream: &Upstream) -> Envelope {
        Envelope {
            target: upstream.address,
            upstream: upstream.id.to_string(),
            service: service.to_owned(),
            sender: self.id,
        }
    }

    /// Connects to an instance. An error proves that nothing was sent.
    async fn connect_to(&self, via: &Via) -> Option<Connection> {
        let address = self.proxy_address(via.id)?;
        let opened = self.dial(address).await;
        opened.ok()
    }

    /// Sends a request to an upstream through another instance.
    pub(in super::super) async fn send_via(
        &self,
        via: &Via,
        service: &str,
        upstream: &Upstream,
        mut request: Request<Payload>,
    ) -> Carried {
        let Some(connection) = self.connect_to(via).await else {
            self.exclude_proxy(via, "no_connection");
            return Carried::NotSent(None);
        };
        self.envelope(service, upstream)
            .seal(&self.key, &mut request);
        let cutoff = Cutoff::new(None, Arc::clone(&self.clock));
        let Ok(answer) = connection.send(request, &cutoff).await else {
            self.exclude_proxy(via, "lost");
            return Carried::Lost;
        };
        match Refusal::of_response(answer.response.headers()) {
            None => {
                count("answered");
                Carried::Answered(answer)
            }
            Some(Refusal::Cut) => {
                count(Refusal::Cut.name());
                Carried::Cut
            }
            Some(refusal) => {
                self.exclude_proxy(via, refusal.name());
                Carried::NotSent(Some(refusal))
            }
        }
    }

    /// Whether one of a few other instances reaches an upstream; `None` if none of them can tell.
    pub(in super::super) async fn check_via(
        self: &Arc<Self>,
        service: &str,
        upstream: u64,
    ) -> Option<bool> {
        let view = self.view();
        let mut upstreams = of_service(&view.services, service).iter();
        let upstream = upstreams.find(|u| u.key == upstream)?;
        let (mut asked, mut refused) = (Vec::new(), None);
        while asked.len() < MAX_CHECKS {
            let Some(via) = self.take_proxy(&asked) else {
                break;
            };
            asked.push(via.id);
            let request = Request::get(CHECK).header(HOST, upstream.address.to_string());
            let request = request
                .body(Payload::from(Bytes::new()))
                .expect("a valid head");
            let answer = self.exchange_via(&via, service, upstream, request);
            match timeout(CHECK_TIMEOUT, answer).await {
                Ok(Some(Ok((StatusCode::OK, _)))) => return Some(true),
                Ok(Some(Err(Refusal::NotConnected))) => refused = Some(false),
                _ => {}
            }
        }
        refused
    }

    /// Makes a short call to an upstream through another instance. Returns `None` if its outcome
    /// is unknown.
    pub(in super::super) async fn call_via(
        &self,
        via: &Via,
        service: &str,
        upstream: &Upstream,
        request: Request<Payload>,
    ) -> Option<(StatusCode, Bytes)> {
        let answer = self.exchange_via(via, service, upstream, request).await?;
        answer.ok()
    }

    async fn exchange_via(
        &self,
        via: &Via,
        service: &str,
        upstream: &Upstream,
        mut request: Request<Payload>,
    ) -> Option<Result<(StatusCode, Bytes), Refusal>> {
        self.envelope(service, upstream)
            .seal(&self.key, &mut request);
        let connection = self.connect_to(via).await?;
        let (head, body) = exchange(connection, request).await?;
        match Refusal::of_response(&head.headers) {
            None => Some(Ok((head.status, body))),
            Some(refusal) => Some(Err(refusal)),
        }
    }

    /// Leaves an instance out for a while, since it didn't carry a request; one that was only
    /// [`SILENT`] is asked after others.
    pub(in super::super) fn exclude_proxy(&self, via: &Via, outcome: &'static str) {
        count(outcome);
        let now = self.now();
        let proxies = &mut self.shared().proxies;
        match outcome {
            SILENT => proxies.record_silent(now, via.id),
            _ => proxies.exclude(now, via.id),
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(metric::REQUESTS_VIA.name, "outcome" => outcome).increment(1);
}
