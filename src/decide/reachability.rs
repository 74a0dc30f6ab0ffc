//! Tells whether this instance itself reaches the upstreams of a service.
//!
//! Failure pattern: an instance loses its links to all upstreams of a service, while callers,
//! controllers and other instances still reach it, and the upstreams serve everyone else. Each
//! connection fails as if its upstream were dead. What tells the two apart is that no other
//! upstream responds either: upstreams rarely die together.
//!
//! A service counts as unreachable once connections to [`MIN_FAILED`] of its upstreams failed and
//! none has responded since. It is reachable again once an upstream responds on a connection that
//! was opened later. Streams on older connections prove nothing: they may go on while new
//! connections are refused.

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
    /// No upstream of the service is reachable; connections to this number of them failed.
    Lost { failed: usize },
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
    /// When the service was found unreachable, until an upstream responds.
    lost_at: Option<Time>,
}

/// Reachability of each service.
#[derive(Debug, Default)]
pub(crate) struct Reachability(HashMap<String, Evidence>);

impl Reachability {
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
        if !self.0.contains_key(service) {
            self.0.insert(service.to_owned(), Evidence::default());
        }
        let evidence = self.0.get_mut(service)?;
        if evidence.lost_at.is_none() && now.since(evidence.last_failure) >= RETENTION {
            evidence.failed.clear();
        }
        if evidence.failed.is_empty() {
            evidence.since = now;
        }
        evidence.failed.insert(upstream);
        evidence.last_failure = now;
        let failed = evidence.failed.len();
        if evidence.lost_at.is_some() || failed < MIN_FAILED.min(entrances.max(1)) {
            return None;
        }
        evidence.lost_at = Some(now);
        Some(Change::Lost { failed })
    }

    /// Records that an upstream responded on a connection that was opened at `opened`.
    pub(crate) fn record_response(
        &mut self,
        now: Time,
        service: &str,
        opened: Time,
    ) -> Option<Change> {
        if !self.0.contains_key(service) {
            self.0.insert(service.to_owned(), Evidence::default());
        }
        let evidence = self.0.get_mut(service)?;
        if !evidence.failed.is_empty() && opened <= evidence.since {
            return None;
        }
        evidence.failed.clear();
        let lost_at = evidence.lost_at.take()?;
        Some(Change::Regained {
            after: now.since(lost_at),
        })
    }
}
