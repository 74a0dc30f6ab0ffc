//! Finds out whether this instance itself reaches the upstreams of each service.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::Entry;
use super::attempt::CONNECT_TIMEOUT;
use super::view::{Upstream, of_service};
use crate::clock::{Time, millis};
use crate::decide::reachability::Change;
use crate::decide::silence::Verdict;
use crate::engine::{Connection, EngineError};
use crate::event;
use crate::sync::address_from_key;

/// Interval of checks whether a lost service is reachable again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Number of instances up to which [`CHECK_INTERVAL`] applies. With more of them the interval grows
/// in proportion: if a service fails for all, its upstreams are checked by all.
const CHECK_INSTANCES: u32 = 30;

/// Time for which a checked connection must stay open. A link may accept connections and reset
/// them.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Number of upstreams that are checked at a time.
const CHECKED: usize = 2;

impl Entry {
    /// Connects to an upstream or another instance from this instance's address. An error proves
    /// that nothing was sent.
    pub(super) async fn dial(&self, address: SocketAddrV4) -> Result<Connection, EngineError> {
        Connection::open_from(self.boot.ip, address, CONNECT_TIMEOUT).await
    }

    /// Whether requests to an upstream must go through another instance.
    pub(super) fn must_carry(&self, service: &str, upstream: u64) -> bool {
        self.shared().reachability.must_carry(service, upstream)
    }

    /// Records that a connection of this instance to an upstream failed.
    pub(super) fn record_unreached(self: &Arc<Self>, service: &str, upstream: u64) {
        let entrances = self.view().entrances(service).count();
        let now = self.now();
        let mut shared = self.shared();
        let reachability = &mut shared.reachability;
        let change = reachability.record_failure(now, service, upstream, entrances);
        drop(shared);
        if let Some(Change::Lost { failed }) = change {
            self.begin_loss(service, failed, entrances);
        }
        if change.is_some() {
            let (entry, service) = (Arc::clone(self), service.to_owned());
            tokio::spawn(async move { entry.verify(&service, upstream).await });
        }
    }

    /// Checks in the background whether an upstream that closed a connection takes another: it may
    /// have failed one request, or the link to it is lost.
    pub(super) fn check_link(self: &Arc<Self>, service: &str, upstream: &Upstream) {
        let (entry, service) = (Arc::clone(self), service.to_owned());
        let upstream = upstream.clone();
        tokio::spawn(async move { entry.check(&service, &upstream).await });
    }

    /// Records that an upstream responded on a connection that this instance opened at `opened`.
    pub(super) fn record_reached(&self, service: &str, upstream: u64, opened: Time) {
        let now = self.now();
        let reachability = &mut self.shared().reachability;
        let change = reachability.record_response(now, service, upstream, opened);
        if let Some(Change::Regained { after }) = change {
            tracing::info!(
                event = event::SERVICE_REACHABLE.id,
                service,
                first = %address_from_key(upstream),
                lost_ms = millis(after),
                "the service is reachable again"
            );
            self.report_due.notify_one();
        }
    }

    /// Finds out whether an upstream or only the link to it failed: checks other upstreams, and
    /// lets other instances check this one.
    async fn verify(self: &Arc<Self>, service: &str, upstream: u64) {
        let via = async {
            if self.check_via(service, upstream).await == Some(true) {
                self.record_remote(service, upstream);
            }
        };
        tokio::join!(self.check_others(service, upstream), via);
    }

    /// Records that another instance reaches an upstream that this one doesn't reach.
    fn record_remote(self: &Arc<Self>, service: &str, upstream: u64) {
        let (now, entrances) = (self.now(), self.view().entrances(service).count());
        let mut shared = self.shared();
        let reachability = &mut shared.reachability;
        let change = reachability.record_remote(now, service, upstream, entrances);
        if change.is_some() {
            shared.health.forget(upstream);
        }
        drop(shared);
        if change.is_none() {
            return;
        }
        tracing::warn!(
            event = event::UPSTREAM_REMOTE.id,
            service,
            address = %address_from_key(upstream),
            "only other instances reach the upstream"
        );
        if let Some(Change::Lost { failed }) = change {
            self.begin_loss(service, failed, entrances);
        }
        self.watch(service);
    }

    /// Acts on the loss of a service: forgets what its upstreams seemed to have done, checks the
    /// other services, and watches for the return.
    fn begin_loss(self: &Arc<Self>, service: &str, failed: usize, entrances: usize) {
        tracing::warn!(
            event = event::SERVICE_UNREACHABLE.id,
            service,
            failed,
            entrances,
            "no upstream of the service is reachable"
        );
        let view = self.view();
        let mut shared = self.shared();
        for upstream in view.entrances(service) {
            shared.health.forget(upstream.key);
        }
        drop(shared);
        self.report_due.notify_one();
        let others = view.services.keys().filter(|s| *s != service);
        for other in others {
            let (entry, other) = (Arc::clone(self), other.clone());
            tokio::spawn(async move { entry.check_others(&other, 0).await });
        }
        self.watch(service);
    }

    /// Checks the upstreams of a service that this instance doesn't reach, until it reaches them.
    fn watch(self: &Arc<Self>, service: &str) {
        if !self.shared().watched.insert(service.to_owned()) {
            return;
        }
        let (entry, service) = (Arc::clone(self), service.to_owned());
        tokio::spawn(async move {
            while entry.must_watch(&service) {
                let instances = entry.view().active_entries().max(CHECK_INSTANCES);
                sleep(CHECK_INTERVAL * instances / CHECK_INSTANCES).await;
                entry.check_unreached(&service).await;
            }
        });
    }

    /// Whether some upstream of a service isn't reached; if none, the service is no longer
    /// watched. Forgets upstreams that no longer exist.
    fn must_watch(&self, service: &str) -> bool {
        let view = self.view();
        let upstreams = of_service(&view.services, service);
        let exists = |key| upstreams.iter().any(|u| u.key == key);
        let mut shared = self.shared();
        shared.reachability.retain_remote(service, exists);
        let must = shared.reachability.has_unreached(service);
        if !must {
            shared.watched.remove(service);
        }
        must
    }

    /// Checks some upstreams of a service that this instance doesn't reach.
    async fn check_unreached(self: &Arc<Self>, service: &str) {
        let view = self.view();
        let unreached = view.entrances(service);
        let unreached = unreached.filter(|u| self.must_carry(service, u.key));
        self.check_some(service, unreached.collect()).await;
    }

    /// Checks some upstreams of a service other than `except`. Returns whether one was reached, or
    /// `None` if there are none.
    pub(super) async fn check_others(self: &Arc<Self>, service: &str, except: u64) -> Option<bool> {
        let view = self.view();
        let others = view.entrances(service).filter(|u| u.key != except);
        let others = self.prefer_sound(others.collect());
        self.check_some(service, others).await
    }

    /// Leaves out upstreams that seem dead, unless all do.
    fn prefer_sound<'a>(&self, mut upstreams: Vec<&'a Upstream>) -> Vec<&'a Upstream> {
        let now = self.now();
        let health = &self.shared().health;
        let is_sound = |u: &&Upstream| !u.late && !health.is_excluded(now, u.key);
        if upstreams.iter().any(is_sound) {
            upstreams.retain(is_sound);
        }
        upstreams
    }

    /// Checks a random few of some upstreams. Returns whether one was reached, or `None` if there
    /// are none.
    async fn check_some(self: &Arc<Self>, service: &str, of: Vec<&Upstream>) -> Option<bool> {
        let chosen = of.sample(&mut rand::rng(), CHECKED);
        let reached = join_all(chosen.map(|u| self.check(service, u))).await;
        (!reached.is_empty()).then(|| reached.contains(&true))
    }

    /// Checks whether an upstream accepts a connection, and records the result.
    async fn check(self: &Arc<Self>, service: &str, upstream: &Upstream) -> bool {
        let opened = self.dial(upstream.address).await;
        let at = self.now();
        let is_silent = matches!(opened, Err(EngineError::ConnectTimeout));
        let reached = match opened {
            Ok(connection) => connection.stays_open(SETTLE_TIME).await,
            Err(_) => false,
        };
        if reached {
            self.record_reached(service, upstream.key, at);
            return true;
        }
        match self.must_carry(service, upstream.key) {
            true => {}
            false if is_silent => {
                self.record_silent(service, upstream.key);
            }
            false => self.shared().health.record_unresponsive(at, upstream.key),
        }
        self.record_unreached(service, upstream.key);
        false
    }

    /// Records that an upstream sent nothing in time: no answer, nothing to its neighbour, or no
    /// sign of a connection. Returns what that tells about it.
    pub(super) fn record_silent(&self, service: &str, upstream: u64) -> Verdict {
        let known = of_service(&self.view().services, service).len();
        let now = self.now();
        let mut shared = self.shared();
        let verdict = shared.health.record_silent(now, service, upstream, known);
        drop(shared);
        if let Verdict::Shared {
            silent,
            began: true,
        } = verdict
        {
            tracing::warn!(
                event = event::SILENCE_SHARED.id,
                service,
                silent,
                known,
                "many upstreams are silent at once; none is excluded for it"
            );
        }
        verdict
    }
}
