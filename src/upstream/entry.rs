//! Registry entry of one upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::clock::Time;
use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::upstream::{Announcement, Load, LoadLevel, Serves, Upstream, UpstreamState};

/// A point in the past that may precede the start of this process's clock.
///
/// Clocks of different processes can't be compared, so messages carry an age.
/// The receiver adds the time elapsed on its own clock. Ages thus accumulate
/// over relays, and a record that is relayed in a cycle still expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PastInstant {
    at: Time,
    age: Duration,
}

impl PastInstant {
    /// Returns the present.
    pub(crate) fn now(now: Time) -> Self {
        Self::aged(now, Duration::ZERO)
    }

    /// Returns the point `age` before the present.
    pub(crate) fn aged(now: Time, age: Duration) -> Self {
        Self { at: now, age }
    }

    /// Returns the elapsed time.
    pub(crate) fn age(self, now: Time) -> Duration {
        now.since(self.at).saturating_add(self.age)
    }
}

/// Position of a record in the total order of one upstream's records. The
/// higher version wins on every instance, so all converge on the same record
/// regardless of the order of arrival.
///
/// Fields are compared in the order of declaration. `state` precedes `sequence`
/// because `leaving` and `gone` are final within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Version {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: UpstreamState,
    pub(crate) sequence: u64,
    /// The registrar received nothing for the expiry time after `sequence`.
    pub(crate) silent: bool,
    /// Instance that tracks the upstream's announcements.
    pub(crate) registrar: InstanceId,
    /// Incarnation of the registrar. After a restart it is no longer the
    /// registrar of earlier records.
    pub(crate) boot: Incarnation,
}

/// Attributes of an upstream that seldom change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Metadata {
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) domain: String,
    pub(crate) pool: String,
    pub(crate) serves: Serves,
}

impl From<&Announcement> for Metadata {
    fn from(a: &Announcement) -> Self {
        Self {
            id: a.id.clone(),
            address: a.address,
            domain: a.domain.clone(),
            pool: a.pool.clone(),
            serves: a.serves.clone(),
        }
    }
}

/// Key of an upstream on the wire and in the registry: the first eight bytes
/// of the SHA-256 digest of its name.
pub(crate) fn upstream_key(id: &UpstreamId) -> u64 {
    first_bytes(&Sha256::digest(id.0.as_bytes()))
}

fn first_bytes(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}

/// A record and its local state.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: Version,
    /// `None` if the upstream is gone or the metadata hasn't arrived yet.
    pub(crate) metadata: Option<Arc<Metadata>>,
    /// Digest of the metadata that belongs to `version`.
    pub(crate) digest: u32,
    /// Last liveness signal, or the time at which the upstream became gone or silent.
    pub(crate) since: PastInstant,
    /// No liveness signal for the expiry time. Only a newer one resets this.
    pub(crate) lapsed: bool,
    /// Highest sequence received, at least that of `version`.
    pub(crate) latest_sequence: u64,
    /// Last load received, and the sequence of its announcement.
    pub(crate) load: Load,
    pub(crate) load_sequence: u64,
    /// Load last reported to the fleet, and when.
    pub(crate) reported: LoadLevel,
    pub(crate) reported_at: Time,
    /// Cached element of the view, cleared on change.
    pub(crate) cached: Option<Arc<Upstream>>,
}

impl Entry {
    /// Whether the upstream accepts requests.
    pub(crate) fn usable(&self) -> bool {
        self.version.state == UpstreamState::Up && !self.retired() && self.metadata.is_some()
    }

    /// Whether the entry only serves to reject older records.
    pub(crate) fn retired(&self) -> bool {
        self.ended() || self.lapsed
    }

    /// Whether the whole fleet considers the upstream terminated.
    pub(crate) fn ended(&self) -> bool {
        self.version.state == UpstreamState::Gone || self.version.silent
    }
}
