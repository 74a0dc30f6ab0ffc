//! Records of instances, and the view of all members.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::clock::Time;
use crate::id::{Incarnation, InstanceId};
use crate::upstream::PastInstant;

/// State of an instance in the view of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Failed a probe, and has time to refute.
    Suspect,
    /// Didn't refute in time. It is still probed, at a low rate.
    Dead,
    /// Left voluntarily, and isn't probed any more.
    Left,
}

/// The data an instance publishes about itself, and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process; a restart has a higher one.
    pub incarnation: Incarnation,
    /// Failure domain.
    pub domain: String,
    /// TCP address for connections from other instances.
    pub peer: SocketAddr,
    /// UDP address for datagrams.
    pub gossip: SocketAddr,
    /// HTTP address of its control interface, which also takes announcements.
    pub control: SocketAddr,
    /// Whether it is a voter of the catalogue.
    pub voter: bool,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Its state in this instance's view.
    pub state: MemberState,
}

/// Snapshot of all known instances, this one included.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Increases with each change.
    pub version: u64,
    /// Members sorted by `id`.
    pub members: Vec<Arc<Member>>,
}

impl MemberView {
    /// The member with this id.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Arc<Member>> {
        let found = self.members.binary_search_by(|m| m.id.cmp(&id));
        found.ok().map(|i| &self.members[i])
    }

    /// Whether this incarnation of the instance is alive or suspect.
    #[must_use]
    pub fn alive(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        self.get(id)
            .is_some_and(|m| m.incarnation == incarnation && m.state < MemberState::Dead)
    }

    /// Members that are alive or suspect.
    pub fn present(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(|m| m.state < MemberState::Dead)
    }
}

/// A member in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The member.
    #[serde(flatten)]
    pub member: Arc<Member>,
    /// Times that it refuted a suspicion or published a change.
    pub revision: u64,
    /// Milliseconds since its state changed.
    pub since: u64,
}

/// Version of a record in the total order of one instance's records; the higher
/// one wins in a merge. Only the instance itself raises the first two fields, so
/// a delayed record can't change its state back to dead or to alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct MemberVersion {
    pub(crate) incarnation: Incarnation,
    /// Raised to refute a suspicion and to publish a change.
    pub(crate) revision: u64,
    pub(crate) state: MemberState,
}

/// A member with the local bookkeeping about it.
#[derive(Clone, Debug)]
pub(crate) struct MemberEntry {
    /// Invariant: its `state` equals that of `version`.
    pub(crate) member: Arc<Member>,
    pub(crate) version: MemberVersion,
    /// Time of the last change of state.
    pub(crate) since: PastInstant,
    /// When a suspect is declared dead. Set exactly while the state is `Suspect`.
    pub(crate) deadline: Option<Time>,
}

impl MemberEntry {
    /// Whether the member is alive or suspect.
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
