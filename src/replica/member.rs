//! Members of a group and their roles.

use std::collections::BTreeSet;

use serde::Serialize;

/// One data directory of one instance, the unit that votes and acknowledges.
///
/// A wiped directory gets another store id, so it is another peer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, prost::Message)]
pub struct Peer {
    /// Number of the instance.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Random id of the data directory, zero while it is unknown.
    #[prost(uint64, tag = "2")]
    pub store: u64,
}

/// Role of a member in elections and commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Counts for elections and commits.
    Voter = 0,
    /// Receives the log and is promoted once it has caught up.
    Learner = 1,
    /// Lost synced entries. Never votes again under this store id.
    Barred = 2,
}

/// One member of a group.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, prost::Message)]
pub struct Member {
    /// Number of the instance.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Id of its store, zero for an initial voter whose store isn't recorded yet.
    #[prost(uint64, tag = "2")]
    pub store: u64,
    /// Its [`Role`].
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
}

impl Member {
    /// Returns `peer` as a voter.
    #[must_use]
    pub fn voter(peer: Peer) -> Self {
        Self {
            id: peer.id,
            store: peer.store,
            role: Role::Voter as i32,
        }
    }

    /// The member as a peer.
    #[must_use]
    pub fn peer(&self) -> Peer {
        Peer {
            id: self.id,
            store: self.store,
        }
    }
}

/// All members of a group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Membership {
    /// Members in order of their peer, each once.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Member>,
}

impl Membership {
    /// The membership before the first election, known by instance only.
    pub(crate) fn initial(ids: impl IntoIterator<Item = u64>) -> Self {
        let ids: BTreeSet<u64> = ids.into_iter().collect();
        let members = ids
            .into_iter()
            .map(|id| Member::voter(Peer { id, store: 0 }))
            .collect();
        Self { members }
    }

    /// Whether the stores of the initial voters aren't recorded yet.
    pub(crate) fn is_bootstrapping(&self) -> bool {
        self.members.iter().any(|m| m.store == 0)
    }

    /// Whether the group was founded and the stores of all members are known.
    pub(crate) fn is_founded(&self) -> bool {
        !self.members.is_empty() && !self.is_bootstrapping()
    }

    /// Instances that found the group, in ascending order; empty if it was founded, or
    /// isn't known.
    pub(crate) fn founders(&self) -> Vec<u64> {
        if !self.is_bootstrapping() {
            return Vec::new();
        }
        self.members.iter().map(|m| m.id).collect()
    }

    /// Role of `peer`, if it is a member.
    pub(crate) fn role(&self, peer: Peer) -> Option<Role> {
        let member = self.members.iter().find(|m| m.peer() == peer)?;
        Some(member.role())
    }

    /// Whether `peer` counts for elections and commits.
    pub(crate) fn is_voter(&self, peer: Peer) -> bool {
        self.role(peer) == Some(Role::Voter)
    }

    /// The peers that vote.
    pub(crate) fn voters(&self) -> impl Iterator<Item = Peer> + '_ {
        self.members
            .iter()
            .filter(|m| m.role() == Role::Voter)
            .map(Member::peer)
    }

    /// Whether the peers for which `has` holds form a quorum: a majority of the
    /// voters, or all initial voters during bootstrap.
    pub(crate) fn quorum(&self, has: impl Fn(Peer) -> bool) -> bool {
        let total = self.voters().count();
        let yes = self.voters().filter(|&p| has(p)).count();
        // With a majority, a voter wiped during bootstrap could help to elect
        // two first leaders whose memberships name different stores, and
        // majorities of the two need not intersect. A store that holds a first
        // entry refuses to bootstrap again. That the stores without one aren't
        // just wiped or new is checked with their votes.
        if self.is_bootstrapping() {
            return total > 0 && yes == total;
        }
        yes > total / 2
    }

    /// Highest value that a majority of voters has reached.
    pub(crate) fn reached(&self, value: impl Fn(Peer) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or(0)
    }

    /// The membership with `peer` in `role`.
    pub(crate) fn with(&self, peer: Peer, role: Role) -> Self {
        let mut next = self.without(peer);
        next.members.push(Member {
            id: peer.id,
            store: peer.store,
            role: role as i32,
        });
        next.members.sort_by_key(Member::peer);
        next
    }

    /// The membership without `peer`.
    pub(crate) fn without(&self, peer: Peer) -> Self {
        let members = self
            .members
            .iter()
            .filter(|m| m.peer() != peer)
            .copied()
            .collect();
        Self { members }
    }
}

/// A membership change of a group, requested by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a store as a learner, which is promoted to voter once it has caught
    /// up. If the same instance has another store among the members, that one is
    /// removed just before the promotion.
    Add(Peer),
    /// Removes a store.
    Remove(Peer),
}
