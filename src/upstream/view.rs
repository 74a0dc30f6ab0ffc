//! Read-only view of the upstreams available to routing.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Time;
use crate::id::{Incarnation, UpstreamId};
use crate::upstream::{Load, Serves};

/// One upstream that accepts new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Upstream {
    /// Name, unique in the fleet.
    pub id: UpstreamId,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// IP address and port at which it accepts work.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Pool to which it belongs.
    pub pool: String,
    /// Type of work.
    pub serves: Serves,
    /// Last known load.
    pub load: Load,
}

/// All upstreams that are alive and not leaving.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    /// Increases with each change.
    pub version: u64,
    /// Time at which this view was built, on the local clock.
    pub built: Time,
    /// The upstreams, sorted by `id`.
    pub upstreams: Vec<Arc<Upstream>>,
}

impl UpstreamView {
    /// Returns the upstream with the given name.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        let found = self.upstreams.binary_search_by(|u| u.id.cmp(id));
        found.ok().map(|i| &self.upstreams[i])
    }
}
