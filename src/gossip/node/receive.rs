//! Datagrams that a node gets.

use std::net::SocketAddr;

use rand::RngExt;

use crate::clock::Time;
use crate::gossip::node::{Node, Origin};
use crate::gossip::sync::{self, Difference};
use crate::gossip::wire::{Body, Buckets, Listing, Packet, Request, Roots, Want};
use crate::id::InstanceId;
use crate::membership::{
    MemberEffect, MemberRecord, MemberState, ProbeEvent, Source, decode_address, encode_address,
};
use crate::upstream::{LoadReports, RegistryEffect, UpstreamRecord};

impl Node {
    /// Takes a packet. Records go first, so that an answer to a probe that
    /// came with an accusation carries the refutation.
    pub(super) fn receive(&mut self, now: Time, from: SocketAddr, packet: Packet) {
        let sender = InstanceId(packet.from);
        if sender == self.members.identity().0 {
            return;
        }
        let source = if packet.sync {
            Source::Sync
        } else {
            Source::Rumour
        };
        let origin = Origin {
            id: sender,
            address: from,
        };
        self.merge_members(now, origin, source, &packet.members);
        self.merge_upstreams(now, origin, source, packet.upstreams);
        if let Some(loads) = packet.loads {
            self.merge_loads(&loads);
        }
        if let Some(body) = packet.body {
            self.on_body(now, origin, source, body);
        }
    }

    fn on_body(&mut self, now: Time, origin: Origin, source: Source, body: Body) {
        let from = origin.address;
        if let Some(event) = Option::<ProbeEvent>::from(&body) {
            return self.on_probe(now, origin, event);
        }
        match body {
            Body::Renewal(renewal) => {
                let mut effects = Vec::new();
                self.registry.renew(now, &renewal, &mut effects);
                self.on_registry(effects, None);
            }
            Body::Roots(roots) => self.on_roots(now, from, &roots),
            Body::Buckets(buckets) => self.on_buckets(now, from, &buckets),
            Body::Listing(listing) => self.on_listing(now, from, &listing),
            Body::Want(want) => self.on_want(now, from, source, &want),
            Body::Ping(_) | Body::Ack(_) | Body::Nack(_) | Body::Request(_) => {}
        }
    }

    /// Takes a message of the detector. A sender that is unknown here, or held
    /// for dead or suspect, hears of it.
    fn on_probe(&mut self, now: Time, origin: Origin, event: ProbeEvent) {
        let mut effects = Vec::new();
        self.members
            .receive(now, origin.address, event, &mut effects);
        if self.members.state(origin.id).is_none() {
            effects.push(MemberEffect::Want(origin.id));
        }
        self.on_members(now, effects, Some(origin));
    }

    fn merge_members(
        &mut self,
        now: Time,
        origin: Origin,
        source: Source,
        records: &[MemberRecord],
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.members.merge(now, record, &mut effects);
        }
        if source == Source::Sync {
            effects.retain(|effect| self.urgent(effect));
        }
        self.on_members(now, effects, Some(origin));
    }

    /// Whether an effect of a comparison is more than learning what others
    /// know. A suspect has to hear of it in time to refute.
    fn urgent(&self, effect: &MemberEffect) -> bool {
        let MemberEffect::Spread(id) = effect else {
            return true;
        };
        let own = self.members.identity().0;
        *id == own || self.members.state(*id) == Some(MemberState::Suspect)
    }

    fn merge_upstreams(
        &mut self,
        now: Time,
        origin: Origin,
        source: Source,
        records: Vec<UpstreamRecord>,
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.registry.receive(now, record, &mut effects);
        }
        if source == Source::Sync {
            effects.retain(|e| !matches!(e, RegistryEffect::Broadcast(_)));
        }
        self.on_registry(effects, Some(origin));
    }

    fn merge_loads(&mut self, loads: &LoadReports) {
        let mut effects = Vec::new();
        self.registry.receive_loads(loads, &mut effects);
        self.on_registry(effects, None);
    }

    fn on_roots(&mut self, now: Time, from: SocketAddr, roots: &Roots) {
        if self.answers == 0 {
            return;
        }
        let buckets = sync::buckets(now, roots, &self.members, &self.registry);
        if let Some(buckets) = buckets {
            let mut answer = self.datagram(from, Body::Buckets(buckets));
            answer.packet.sync = true;
            self.send_answer(from, answer.packet);
        }
    }

    /// Goes into the buckets that differ, and compares again soon.
    fn on_buckets(&mut self, now: Time, from: SocketAddr, buckets: &Buckets) {
        let offset = self.rng.random_range(0..1_024);
        let listings = sync::listings(now, buckets, offset, &self.members, &self.registry);
        if !listings.is_empty() {
            self.next_sync = self.next_sync.min(now + self.probe_period / 2);
        }
        for listing in listings {
            self.out.push(self.datagram(from, Body::Listing(listing)));
        }
    }

    fn on_listing(&mut self, now: Time, from: SocketAddr, listing: &Listing) {
        if listing.upstreams {
            let difference = sync::difference(listing, self.registry.hashes(now));
            self.send_difference_upstreams(now, from, difference);
        } else {
            let difference = sync::difference(listing, self.members.hashes(now));
            self.send_difference_members(now, from, difference);
        }
    }

    fn send_difference_upstreams(&mut self, now: Time, from: SocketAddr, difference: Difference) {
        let missing = difference.missing.iter().map(|key| (*key, true));
        let changed = difference.changed.iter().map(|key| (*key, false));
        let records = missing.chain(changed);
        let records = records.filter_map(|(key, full)| self.registry.record(now, key, full));
        self.send_records(from, Source::Sync, Vec::new(), records.collect());
        if difference.wanted.is_empty() {
            return;
        }
        let want = Want {
            members: Vec::new(),
            upstreams: difference.wanted,
        };
        self.ask(from, want);
    }

    fn send_difference_members(&mut self, now: Time, from: SocketAddr, difference: Difference) {
        let keys = difference.missing.iter().chain(&difference.changed);
        let records = keys.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        self.send_records(from, Source::Sync, records.collect(), Vec::new());
        if difference.wanted.is_empty() {
            return;
        }
        let want = Want {
            members: difference.wanted,
            upstreams: Vec::new(),
        };
        self.ask(from, want);
    }

    /// Asks for records that a comparison found to differ.
    fn ask(&mut self, to: SocketAddr, want: Want) {
        let mut outgoing = self.datagram(to, Body::Want(want));
        outgoing.packet.sync = true;
        self.out.push(outgoing);
    }

    /// Sends what was asked for, as news or as part of a comparison, whichever
    /// the request was.
    ///
    /// Guards against two instances that both lack the facts of an upstream
    /// and ask each other for them without end: a record that can't answer the
    /// request isn't sent.
    fn on_want(&mut self, now: Time, from: SocketAddr, source: Source, want: &Want) {
        let members = want.members.iter();
        let members = members.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        let upstreams = want.upstreams.iter();
        let upstreams = upstreams
            .filter(|key| self.registry.is_complete(**key))
            .filter_map(|key| self.registry.record(now, *key, true));
        self.send_records(from, source, members.collect(), upstreams.collect());
    }
}

impl Request {
    pub(super) fn new(target: InstanceId, address: SocketAddr, sequence: u64) -> Self {
        Self {
            target: target.0,
            sequence,
            address: encode_address(address),
        }
    }

    pub(super) fn event(&self) -> Option<ProbeEvent> {
        Some(ProbeEvent::Request {
            target: InstanceId(self.target),
            address: decode_address(&self.address)?,
            sequence: self.sequence,
        })
    }
}
