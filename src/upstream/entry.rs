//! One upstream as an instance knows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::clock::Time;
use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::upstream::{Announcement, Load, LoadLevel, Serves, Upstream, UpstreamState};

/// A point in the past that may lie before this process's clock began.
///
/// Clocks of two processes can't be compared, so an age crosses the wire. The
/// receiver adds the time that passes on its own clock. Ages therefore add up
/// over relays, and a record that is handed round in a circle still expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PastInstant {
    at: Time,
    age: Duration,
}

impl PastInstant {
    /// The present.
    pub(crate) fn now(now: Time) -> Self {
        Self::aged(now, Duration::ZERO)
    }

    /// `age` before the present.
    pub(crate) fn aged(now: Time, age: Duration) -> Self {
        Self { at: now, age }
    }

    /// Time passed.
    pub(crate) fn age(self, now: Time) -> Duration {
        now.since(self.at).saturating_add(self.age)
    }
}

/// Place of a record in the total order of one upstream's records. The higher
/// one wins wherever they meet, so every instance ends with the same record
/// whatever the order of arrival.
///
/// The order of the fields is the order of comparison. `state` stands before
/// `sequence`: within one incarnation `leaving` and `gone` are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Version {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: UpstreamState,
    pub(crate) sequence: u64,
    /// The registrar heard nothing for the expiry time after `sequence`.
    pub(crate) silent: bool,
    /// Instance that hears the upstream.
    pub(crate) registrar: InstanceId,
    /// Incarnation of the registrar. One that restarted vouches for nothing.
    pub(crate) boot: Incarnation,
}

/// What seldom changes about an upstream.
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

/// Key of an upstream on the wire and in the table: eight bytes of a digest
/// of its name.
pub(crate) fn key_of(id: &UpstreamId) -> u64 {
    first_bytes(&Sha256::digest(id.0.as_bytes()))
}

fn first_bytes(digest: &[u8]) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}

/// A record with its local state.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: Version,
    /// `None` of an upstream that is gone, and until they arrive.
    pub(crate) facts: Option<Arc<Metadata>>,
    /// Digest of the facts that belong to `version`.
    pub(crate) digest: u32,
    /// Last proof of life, or the end of an upstream that is gone or silent.
    pub(crate) since: PastInstant,
    /// No proof of life for the expiry time. Only a newer proof ends this.
    pub(crate) lapsed: bool,
    /// Highest sequence heard, at least that of `version`.
    pub(crate) latest: u64,
    /// Last load heard, and the sequence that it came with.
    pub(crate) load: Load,
    pub(crate) loaded: u64,
    /// Load that the fleet was told last, and when.
    pub(crate) told: LoadLevel,
    pub(crate) told_at: Time,
    /// What the view shows, until something of it changes.
    pub(crate) shown: Option<Arc<Upstream>>,
}

impl Entry {
    /// Whether requests may go there.
    pub(crate) fn usable(&self) -> bool {
        self.version.state == UpstreamState::Up && !self.retired() && self.facts.is_some()
    }

    /// Whether only the order is still of use.
    pub(crate) fn retired(&self) -> bool {
        self.ended() || self.lapsed
    }

    /// Whether the whole fleet holds the upstream for ended.
    pub(crate) fn ended(&self) -> bool {
        self.version.state == UpstreamState::Gone || self.version.silent
    }
}
