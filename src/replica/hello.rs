//! Hellos: how a store announces itself, and how one outside of the membership finds it.

use std::collections::BTreeSet;

use super::Replica;
use super::member::Peer;
use super::message::{Body, ForwardHello, Hello, KnownMembers};

/// Number of election timeouts for which a non-member is listed after its latest
/// hello. It sends the next hello within two.
const NON_MEMBER_TIMEOUTS: u32 = 6;

impl Replica {
    /// Instances of the latest membership that this store knows, its own or one that it
    /// was told of.
    pub(crate) fn latest_members(&self) -> KnownMembers {
        let (index, members) = self.log.members();
        if index <= self.known_members.index {
            return self.known_members.clone();
        }
        KnownMembers {
            index,
            instances: members.members.iter().map(|m| m.id).collect(),
        }
    }

    /// Non-members that sent a recent hello. Empty while the stores of all members
    /// aren't known: during bootstrap, and on a store that waits to be added.
    pub(crate) fn non_members(&self) -> impl Iterator<Item = Peer> + '_ {
        let members = self.log.members().1;
        let limit = NON_MEMBER_TIMEOUTS * self.settings.election_timeout;
        self.hello_senders
            .values()
            .filter(move |(_, at)| self.now.since(*at) < limit)
            .map(|(peer, _)| *peer)
            .filter(|&p| members.is_founded() && members.role(p).is_none())
    }

    /// Sends a hello to all contacts and members. A store does so even if its own
    /// log lists it as a member, since the entry that added it may have been
    /// overwritten on the other stores.
    pub(super) fn send_hellos(&mut self) {
        self.send_hellos_except(&BTreeSet::new());
    }

    /// Sends a hello to all contacts and members except the instances in `skipped`.
    pub(super) fn send_hellos_except(&mut self, skipped: &BTreeSet<u64>) {
        for &id in self.known_instances().difference(skipped) {
            self.send_hello(id);
        }
    }

    fn send_hello(&mut self, id: u64) {
        let hello = Body::Hello(Hello::default());
        self.outbox.send(Peer { id, store: 0 }, self.term, hello);
    }

    /// Sends a hello to the contacts that this leader has no store of.
    ///
    /// An instance that was added after the settings had named other seeds may know none
    /// but these, which may know no member either. It answers with a hello of its own.
    pub(super) fn greet_contacts(&mut self) {
        let members = self.log.members().1.members.iter().map(|m| m.id);
        let waiting = self.non_members().map(|p| p.id);
        let known = members.chain(waiting).chain([self.settings.me.id]);
        let known: BTreeSet<u64> = known.collect();
        let mut contacts = self.settings.contacts.clone();
        contacts.retain(|id| !known.contains(id));
        for id in contacts {
            self.send_hello(id);
        }
    }

    /// Ids of all other instances that are contacts, have a member, had one in the
    /// membership that this store was told of, or sent it a hello.
    fn known_instances(&self) -> BTreeSet<u64> {
        let members = &self.log.members().1.members;
        let members = members.iter().map(|m| m.id);
        let told = self.known_members.instances.iter().copied();
        let contacts = self.settings.contacts.iter().copied();
        let known = contacts.chain(members).chain(told);
        let mut ids: BTreeSet<u64> = known.chain(self.hello_senders.keys().copied()).collect();
        ids.remove(&self.settings.me.id);
        ids
    }

    /// Records the sender of a hello, answers it, and forwards a non-member's
    /// hello to the leader.
    ///
    /// A store that restarts with an empty disk knows only its configured contacts.
    /// Without forwarding, it would never be added if the leader isn't one of them,
    /// and the next failure could cost the quorum.
    pub(super) fn on_hello(&mut self, from: Peer, run: u64) {
        self.hello_senders.insert(from.id, (from, self.now));
        self.send_hello_ack(from, run);
        let member = self.log.members().1.role(from).is_some();
        if !member {
            self.send_known_members(from);
        }
        let leader = self.leader.filter(|l| *l != self.settings.me && *l != from);
        if let Some(leader) = leader.filter(|_| !member) {
            let peer = Some(from);
            let hello = Body::ForwardHello(ForwardHello { peer });
            self.outbox.send(leader, self.term, hello);
        }
    }

    /// Tells a non-member which instances to send its hellos to.
    ///
    /// The contacts in its settings may be replaced by instances that aren't members
    /// either. With them alone, it would never be added.
    fn send_known_members(&mut self, to: Peer) {
        let known = self.latest_members();
        if known.index > 0 {
            self.outbox.send(to, self.term, Body::KnownMembers(known));
        }
    }

    /// Remembers the latest membership, durably, and sends a hello to its instances.
    pub(super) fn on_known_members(&mut self, known: KnownMembers) {
        let member = self.log.members().1.role(self.settings.me).is_some();
        if member || known.index <= self.latest_members().index {
            return;
        }
        self.known_members = known;
        self.known_members_dirty = true;
        self.send_hellos();
    }

    pub(super) fn on_forward_hello(&mut self, hello: ForwardHello) {
        if let Some(peer) = hello.peer {
            self.hello_senders.insert(peer.id, (peer, self.now));
        }
    }
}
