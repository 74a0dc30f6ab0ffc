//! Announcements of upstreams, and what makes one of them current or stale.

use std::net::SocketAddrV4;
use std::sync::Arc;

use super::LayerRange;
use crate::clock::Time;

/// Description of an upstream, as sent in its heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Announcement {
    pub(crate) id: Arc<str>,
    /// Incarnation of the upstream: the start time of its process where ids are reused, else
    /// 0. A higher one supersedes a lower one of the same id.
    pub(crate) born: u64,
    /// Increases with each heartbeat of one incarnation.
    pub(crate) sequence: u64,
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) domain: String,
    /// Number of requests that it processes at once.
    pub(crate) slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub(crate) leaving: bool,
    /// Kind of its accelerator.
    pub(crate) kind: Option<String>,
    /// Layers that it has loaded.
    pub(crate) layers: Option<LayerRange>,
}

impl Announcement {
    /// Orders the heartbeats of an id: its incarnation and sequence number.
    pub(crate) fn position(&self) -> (u64, u64) {
        (self.born, self.sequence)
    }
}

/// An announcement that [`super::Roster::check`] found newer than the known state.
///
/// Its layers are the known ones if the announcement was sent before the upstream reported them.
/// Everything that an announcement changes takes this type, so that a stale one changes nothing.
#[derive(Debug)]
pub(crate) struct CurrentAnnouncement {
    pub(super) announcement: Announcement,
    /// The entry's replaced layers if the announcement was sent before a report, else none.
    pub(super) replaced: Vec<ReplacedLayers>,
}

impl CurrentAnnouncement {
    pub(crate) fn announcement(&self) -> &Announcement {
        &self.announcement
    }
}

/// Layers that an upstream held before it reported others, until a heartbeat lists those.
///
/// A heartbeat that it sent before may still arrive and list them, or those of them that it kept
/// while it loaded. If that were believed, requests would be sent to layers that it no longer
/// holds, and it would be ordered to load the others again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplacedLayers {
    pub(super) before: Option<LayerRange>,
    pub(super) kept: Option<LayerRange>,
    /// Time until which a heartbeat sent before may arrive.
    pub(super) until: Time,
}

impl ReplacedLayers {
    /// Whether a heartbeat that arrives at `now` with other layers than the reported ones was sent
    /// before the report.
    pub(super) fn predates(&self, now: Time, layers: Option<LayerRange>) -> bool {
        now < self.until && (layers == self.before || layers == self.kept)
    }
}

/// Result of applying an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceOutcome {
    /// A new incarnation of an upstream.
    New,
    /// A heartbeat of a known one.
    Known,
    /// Older than the known state, which stays.
    Stale(StaleReason),
}

/// Result of applying a heartbeat digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefreshOutcome {
    /// A heartbeat of a known upstream.
    Applied,
    /// It differs from the known announcement, so that the full one is needed.
    Unknown,
    /// Older than the known state, which stays.
    Stale(StaleReason),
}

/// Why a heartbeat is older than the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StaleReason {
    /// Its start or sequence number isn't later than the known one.
    Older,
    /// This incarnation has left or was replaced.
    Retired,
    /// Another upstream holds the address.
    Superseded,
}

impl StaleReason {
    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Older => "older",
            Self::Retired => "retired",
            Self::Superseded => "superseded",
        }
    }
}
