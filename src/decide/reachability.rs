//! Tells which upstreams this instance itself reaches.
//!
//! Failure pattern: an instance loses its links to all or some upstreams of a service, while
//! callers, controllers and other instances still reach it, and the upstreams serve everyone else.
//! Each connection fails as if its upstream were dead. Two things tell this apart: another instance
//! reaches the upstream, or no other upstream responds either, since upstreams rarely die together.
//!
//! An upstream that others reach and this instance doesn't is *remote*, until it responds on a
//! connection of this instance. A service is *lost* once all of its upstreams are remote, or
//! connections to [`MIN_FAILED`] of them failed and none has responded since, until one responds. Only connections opened later
//! count: streams on older ones may go on while new ones are refused.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::{HashMap, HashSet};

/// Number of upstreams that must have failed in a row, if the service has as many. One alone may
/// have died.
const MIN_FAILED: usize = 2;

/// Time after which a failure no longer counts. Rare requests may find several dead upstreams one
/// after the other.
const RETENTION: Duration = Duration::from_secs(3);

/// A change of whether a service is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// A connection to this upstream failed for the first time since one responded.
    Doubtful,
    /// No upstream of the service is reachable; connections to this number of them failed.
    Lost { failed: usize },
    /// Other instances reach this upstream, and the service isn't found unreachable by this.
    Remote,
    /// An upstream responded after this time.
    Regained { after: Duration },
}

/// Evidence on one service.
#[derive(Debug, Default)]
struct Evidence {
    /// Upstreams to which connections failed since the latest response. Not empty while
    /// `lost_at` is set.
    failed: HashSet<u64>,
    last_failure: Time,
    /// When the first of `failed` was found.
    since: Time,
    /// Upstreams that other instances reach and this one doesn't.
    remote: HashSet<u64>,
    /// When the service was found unreachable, until an upstream responds.
    lost_at: Option<Time>,
}

/// Reachability of each service.
#[derive(Debug, Default)]
pub(crate) struct Reachability(HashMap<String, Evidence>);

impl Reachability {
    /// Whether no upstream of a service is reachable.
    pub(crate) fn is_lost(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(|e| e.lost_at.is_some())
    }

    /// Whether requests to an upstream must go through another instance.
    pub(crate) fn must_carry(&self, service: &str, upstream: u64) -> bool {
        let evidence = self.0.get(service);
        evidence.is_some_and(|e| e.lost_at.is_some() || e.remote.contains(&upstream))
    }

    /// Whether a service is lost or has remote upstreams.
    pub(crate) fn has_unreached(&self, service: &str) -> bool {
        let evidence = self.0.get(service);
        evidence.is_some_and(|e| e.lost_at.is_some() || !e.remote.is_empty())
    }

    /// Whether no service is lost and no upstream is remote.
    pub(crate) fn is_whole(&self) -> bool {
        let mut all = self.0.keys();
        all.all(|service| !self.has_unreached(service))
    }

    /// Whether a connection failed since the latest response of an upstream of the service. What
    /// failed may then be this instance's links, so it is no witness against an upstream.
    pub(crate) fn is_doubtful(&self, service: &str) -> bool {
        self.0.get(service).is_some_and(|e| !e.failed.is_empty())
    }

    /// Services of which no upstream is reachable.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self.0.iter().filter(|(_, e)| e.lost_at.is_some());
        lost.map(|(service, _)| service.as_str())
    }

    /// Records that a connection to an upstream failed. `entrances` is the number of upstreams of
    /// the service at which a request can begin.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        service: &str,
        upstream: u64,
        entrances: usize,
    ) -> Option<Change> {
        let evidence = self.evidence(service);
        if evidence.lost_at.is_none() && now.since(evidence.last_failure) >= RETENTION {
            evidence.failed.clear();
        }
        // It is known to be out of reach, and tells nothing about the others.
        if evidence.remote.contains(&upstream) {
            return None;
        }
        if evidence.failed.is_empty() {
            evidence.since = now;
        }
        let is_new = evidence.failed.insert(upstream);
        evidence.last_failure = now;
        let failed = evidence.failed.len();
        if evidence.lost_at.is_some() {
            return None;
        }
        if failed < MIN_FAILED.min(entrances.max(1)) {
            return is_new.then_some(Change::Doubtful);
        }
        evidence.lost_at = Some(now);
        Some(Change::Lost { failed })
    }

    /// Records that an upstream responded on a connection that was opened at `opened`.
    pub(crate) fn record_response(
        &mut self,
        now: Time,
        service: &str,
        upstream: u64,
        opened: Time,
    ) -> Option<Change> {
        let evidence = self.evidence(service);
        if !evidence.failed.is_empty() && opened <= evidence.since {
            return None;
        }
        evidence.failed.clear();
        evidence.remote.remove(&upstream);
        let lost_at = evidence.lost_at.take()?;
        Some(Change::Regained {
            after: now.since(lost_at),
        })
    }

    /// Records that another instance reaches an upstream to which a connection failed. The service
    /// is lost if all of its `entrances` are remote.
    pub(crate) fn record_remote(
        &mut self,
        now: Time,
        service: &str,
        upstream: u64,
        entrances: usize,
    ) -> Option<Change> {
        let evidence = self.0.get_mut(service)?;
        if !evidence.remote.insert(upstream) {
            return None;
        }
        let failed = evidence.remote.len();
        if evidence.lost_at.is_some() || failed < entrances {
            return Some(Change::Remote);
        }
        evidence.lost_at = Some(now);
        Some(Change::Lost { failed })
    }

    /// Forgets the remote upstreams of a service that `exists` rejects.
    pub(crate) fn retain_remote(&mut self, service: &str, exists: impl Fn(u64) -> bool) {
        if let Some(evidence) = self.0.get_mut(service) {
            evidence.remote.retain(|u| exists(*u));
        }
    }

    fn evidence(&mut self, service: &str) -> &mut Evidence {
        // Without an allocation for a service that is known.
        if !self.0.contains_key(service) {
            self.0.insert(service.to_owned(), Evidence::default());
        }
        self.0.get_mut(service).expect("it was inserted")
    }
}
