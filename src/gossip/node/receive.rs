//! Datagrams that a node gets.

use std::net::SocketAddr;

use rand::RngExt;

use crate::clock::Time;
use crate::gossip::node::{Datagram, Node};
use crate::gossip::sync::{self, Difference};
use crate::gossip::wire::{Body, Buckets, Listing, Packet, Request, Roots, Want};
use crate::id::InstanceId;
use crate::membership::{
    MemberEffect, MemberRecord, ProbeEvent, Source, decode_address, encode_address,
};
use crate::upstream::{Loads, RegistryEffect, UpstreamRecord};

impl Node {
    /// Takes a packet. Records go first, so that an answer to a probe that
    /// came with an accusation carries the refutation.
    pub(super) fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        packet: Packet,
        out: &mut Vec<Datagram>,
    ) {
        let sender = InstanceId(packet.from);
        if sender == self.members.identity().0 {
            return;
        }
        let source = if packet.sync {
            Source::Sync
        } else {
            Source::Rumour
        };
        self.merge_members(now, from, source, &packet.members, out);
        self.merge_upstreams(now, from, source, packet.upstreams, out);
        if let Some(loads) = packet.loads {
            self.merge_loads(&loads, out);
        }
        if let Some(body) = packet.body {
            self.on_body(now, from, sender, body, out);
        }
    }

    fn on_body(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: InstanceId,
        body: Body,
        out: &mut Vec<Datagram>,
    ) {
        if let Some(event) = Option::<ProbeEvent>::from(&body) {
            return self.on_probe(now, from, sender, event, out);
        }
        match body {
            Body::Renewal(renewal) => {
                let mut effects = Vec::new();
                self.registry.renew(now, &renewal, &mut effects);
                self.on_registry(effects, None, out);
            }
            Body::Roots(roots) => self.on_roots(now, from, &roots, out),
            Body::Buckets(buckets) => self.on_buckets(now, from, &buckets, out),
            Body::Listing(listing) => self.on_listing(now, from, &listing, out),
            Body::Want(want) => self.on_want(now, from, &want, out),
            Body::Ping(_) | Body::Ack(_) | Body::Nack(_) | Body::Request(_) => {}
        }
    }

    /// Takes a message of the detector. A sender that is unknown here, or held
    /// for dead or suspect, hears of it.
    fn on_probe(
        &mut self,
        now: Time,
        from: SocketAddr,
        sender: InstanceId,
        event: ProbeEvent,
        out: &mut Vec<Datagram>,
    ) {
        let mut effects = Vec::new();
        self.members.receive(now, from, event, &mut effects);
        if self.members.state(sender).is_none() {
            effects.push(MemberEffect::Want(sender));
        }
        self.on_members(now, effects, Some(from), out);
        let accusation = self.accusation(now, sender);
        let answer = out.last_mut().filter(|datagram| datagram.to == from);
        if let (Some(record), Some(answer)) = (accusation, answer)
            && matches!(event, ProbeEvent::Ping { .. })
        {
            answer.packet.members.insert(0, record);
        }
    }

    fn merge_members(
        &mut self,
        now: Time,
        from: SocketAddr,
        source: Source,
        records: &[MemberRecord],
        out: &mut Vec<Datagram>,
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.members.merge(now, record, &mut effects);
        }
        let own = self.members.identity().0;
        if source == Source::Sync {
            effects.retain(|e| !matches!(e, MemberEffect::Spread(id) if *id != own));
        }
        self.on_members(now, effects, Some(from), out);
    }

    fn merge_upstreams(
        &mut self,
        now: Time,
        from: SocketAddr,
        source: Source,
        records: Vec<UpstreamRecord>,
        out: &mut Vec<Datagram>,
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.registry.receive(now, record, &mut effects);
        }
        if source == Source::Sync {
            effects.retain(|e| !matches!(e, RegistryEffect::Spread(_)));
        }
        self.on_registry(effects, Some(from), out);
    }

    fn merge_loads(&mut self, loads: &Loads, out: &mut Vec<Datagram>) {
        let mut effects = Vec::new();
        self.registry.receive_loads(loads, &mut effects);
        self.on_registry(effects, None, out);
    }

    fn on_roots(&mut self, now: Time, from: SocketAddr, roots: &Roots, out: &mut Vec<Datagram>) {
        let buckets = sync::buckets(now, roots, &self.members, &self.registry);
        out.extend(buckets.map(|b| self.datagram(from, Body::Buckets(b))));
    }

    /// Goes into the buckets that differ, and compares again soon.
    fn on_buckets(
        &mut self,
        now: Time,
        from: SocketAddr,
        buckets: &Buckets,
        out: &mut Vec<Datagram>,
    ) {
        let offset = self.rng.random_range(0..1_024);
        let listings = sync::listings(now, buckets, offset, &self.members, &self.registry);
        if !listings.is_empty() {
            self.next_sync = self.next_sync.min(now + self.period / 2);
        }
        for listing in listings {
            out.push(self.datagram(from, Body::Listing(listing)));
        }
    }

    fn on_listing(
        &mut self,
        now: Time,
        from: SocketAddr,
        listing: &Listing,
        out: &mut Vec<Datagram>,
    ) {
        if listing.upstreams {
            let difference = sync::difference(listing, self.registry.hashes(now));
            self.send_difference_upstreams(now, from, difference, out);
        } else {
            let difference = sync::difference(listing, self.members.hashes(now));
            self.send_difference_members(now, from, difference, out);
        }
    }

    fn send_difference_upstreams(
        &mut self,
        now: Time,
        from: SocketAddr,
        difference: Difference,
        out: &mut Vec<Datagram>,
    ) {
        let missing = difference.missing.iter().map(|key| (*key, true));
        let changed = difference.changed.iter().map(|key| (*key, false));
        let records = missing.chain(changed);
        let records = records.filter_map(|(key, full)| self.registry.record(now, key, full));
        self.send_records(from, Vec::new(), records.collect(), out);
        if difference.wanted.is_empty() {
            return;
        }
        let want = Want {
            members: Vec::new(),
            upstreams: difference.wanted,
        };
        out.push(self.datagram(from, Body::Want(want)));
    }

    fn send_difference_members(
        &mut self,
        now: Time,
        from: SocketAddr,
        difference: Difference,
        out: &mut Vec<Datagram>,
    ) {
        let keys = difference.missing.iter().chain(&difference.changed);
        let records = keys.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        self.send_records(from, records.collect(), Vec::new(), out);
        if difference.wanted.is_empty() {
            return;
        }
        let want = Want {
            members: difference.wanted,
            upstreams: Vec::new(),
        };
        out.push(self.datagram(from, Body::Want(want)));
    }

    fn on_want(&mut self, now: Time, from: SocketAddr, want: &Want, out: &mut Vec<Datagram>) {
        let members = want.members.iter();
        let members = members.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        let upstreams = want.upstreams.iter();
        let upstreams = upstreams.filter_map(|key| self.registry.record(now, *key, true));
        self.send_records(from, members.collect(), upstreams.collect(), out);
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
