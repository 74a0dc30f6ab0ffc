//! One instance as the others see it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Time;
use crate::id::{Incarnation, InstanceId};
use crate::upstream::Since;

/// What an instance holds another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// A probe failed, and it has time to refute.
    Suspect,
    /// It didn't refute. It is retried at a slow rate.
    Dead,
    /// It left by itself and isn't retried.
    Left,
}

/// What an instance says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Number of the instance.
    pub id: InstanceId,
    /// Start of the process that this is.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: String,
    /// Where it takes connections of other instances (TCP).
    pub peer: SocketAddr,
    /// Where it takes datagrams (UDP).
    pub gossip: SocketAddr,
    /// Where it takes orders and announcements (HTTP).
    pub control: SocketAddr,
    /// Whether it votes on the catalogue.
    pub voter: bool,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// What this instance holds it for.
    pub state: MemberState,
}

/// All instances that are known, this one included.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Grows with each change.
    pub version: u64,
    /// The instances, sorted by `id`.
    pub members: Vec<Arc<Member>>,
}

impl MemberView {
    /// The instance of that number.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Arc<Member>> {
        let found = self.members.binary_search_by(|m| m.id.cmp(&id));
        found.ok().map(|i| &self.members[i])
    }

    /// Whether that start of the instance is alive or only suspect.
    #[must_use]
    pub fn alive(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        self.get(id)
            .is_some_and(|m| m.incarnation == incarnation && m.state < MemberState::Dead)
    }

    /// Instances that are alive or only suspect.
    pub fn present(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(|m| m.state < MemberState::Dead)
    }
}

/// One member in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The member.
    #[serde(flatten)]
    pub member: Arc<Member>,
    /// Times that it refuted a suspicion or told of a change.
    pub revision: u64,
    /// Milliseconds since its state changed.
    pub since: u64,
}

/// Place of a record in the total order of one instance's records. The higher
/// one wins wherever they meet. Only the instance itself raises the first two,
/// so that a rumour which comes late neither kills nor revives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct MemberVersion {
    pub(crate) incarnation: Incarnation,
    /// Raised to refute a suspicion and to tell of a change.
    pub(crate) revision: u64,
    pub(crate) state: MemberState,
}

/// A member with its local state.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    /// Its `state` is that of `version`.
    pub(crate) member: Arc<Member>,
    pub(crate) version: MemberVersion,
    /// Last change of state.
    pub(crate) since: Since,
    /// When a suspect is dead. Set exactly while the state is `Suspect`.
    pub(crate) deadline: Option<Time>,
}

impl MemberEntry {
    /// Whether it may still answer.
    pub(crate) fn present(&self) -> bool {
        self.version.state < MemberState::Dead
    }

    pub(crate) fn dump(&self, now: Time) -> MemberDump {
        MemberDump {
            member: Arc::clone(&self.member),
            revision: self.version.revision,
            since: u64::try_from(self.since.age(now).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
