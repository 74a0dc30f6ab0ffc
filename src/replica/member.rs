//! Who votes, who only listens.

use std::collections::BTreeSet;

use serde::Serialize;

/// One data folder of one instance: what votes and acknowledges.
///
/// A wiped folder gets another store id, and so is another peer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, prost::Message)]
pub struct Peer {
    /// Number of the instance.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Random number of the data folder, zero while it is unknown.
    #[prost(uint64, tag = "2")]
    pub store: u64,
}

/// Part of a member in elections and commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Role {
    /// Counts for elections and commits.
    Voter = 0,
    /// Receives the log, is promoted once it has caught up.
    Learner = 1,
    /// Has lost synced entries. Never votes again under this store id.
    Barred = 2,
}

/// One member of a group.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, prost::Message)]
pub struct Member {
    /// Number of the instance.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Its store, zero for a founder whose store isn't recorded yet.
    #[prost(uint64, tag = "2")]
    pub store: u64,
    /// Its part.
    #[prost(enumeration = "Role", tag = "3")]
    pub role: i32,
}

impl Member {
    /// A voter.
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
    /// The members before anything was elected: known by instance only.
    pub(crate) fn initial(ids: impl IntoIterator<Item = u64>) -> Self {
        let ids: BTreeSet<u64> = ids.into_iter().collect();
        let members = ids
            .into_iter()
            .map(|id| Member::voter(Peer { id, store: 0 }))
            .collect();
        Self { members }
    }

    /// Whether the stores of the founders aren't recorded yet.
    pub(crate) fn is_founding(&self) -> bool {
        self.members.iter().any(|m| m.store == 0)
    }

    /// Part of `peer`, if it is a member.
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

    /// Whether the peers for which `has` holds can decide.
    ///
    /// Founders decide only together. With a mere majority, a founder wiped
    /// while the group forms could help to elect two first leaders whose
    /// membership lists name different stores, and the majorities of the two
    /// lists need not meet. Any store that holds a first entry refuses to
    /// found again, so there is one list unless a majority was wiped.
    pub(crate) fn quorum(&self, has: impl Fn(Peer) -> bool) -> bool {
        let total = self.voters().count();
        let yes = self.voters().filter(|&p| has(p)).count();
        if self.is_founding() {
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

    /// The membership with `peer` in the part `role`.
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

/// An operator's order to change the members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Add a store. It listens until it has caught up, then votes. When the
    /// same instance has another store among the members, that one leaves
    /// just before.
    Add(Peer),
    /// Remove a store.
    Remove(Peer),
}
