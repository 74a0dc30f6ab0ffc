//! The upstreams that may be given work, as routing sees them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Time;
use crate::id::{Incarnation, UpstreamId};
use crate::upstream::{Load, Serves};

/// One upstream that may be given work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Upstream {
    /// Name, unique in the fleet.
    pub id: UpstreamId,
    /// Start of the upstream that this is.
    pub incarnation: Incarnation,
    /// Where it takes work.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Pool that it belongs to.
    pub pool: String,
    /// What it does.
    pub serves: Serves,
    /// Work that it had when it was last heard of.
    pub load: Load,
}

/// All upstreams that are alive and not leaving, in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct UpstreamView {
    /// Grows with each change.
    pub version: u64,
    /// When this view was made, on the local clock.
    pub built: Time,
    /// The upstreams, sorted by `id`.
    pub upstreams: Vec<Arc<Upstream>>,
}

impl UpstreamView {
    /// The upstream of that name.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Arc<Upstream>> {
        let found = self.upstreams.binary_search_by(|u| u.id.cmp(id));
        found.ok().map(|i| &self.upstreams[i])
    }
}
