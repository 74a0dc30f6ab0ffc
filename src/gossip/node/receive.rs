//! Handling of received packets.

use std::net::SocketAddr;

use rand::RngExt;

use crate::clock::Time;
use crate::gossip::node::{Node, PeerAddress};
use crate::gossip::sync::{self, Difference};
use crate::gossip::wire::{
    Body, BucketHashes, BucketListing, Packet, PingRequest, RecordRequest, RootHashes,
};
use crate::id::InstanceId;
use crate::membership::{
    MemberEffect, MemberRecord, MemberState, ProbeEvent, RecordSource, decode_address,
    encode_address,
};
use crate::upstream::{LoadReports, RegistryEffect, UpstreamRecord};

impl Node {
    /// Handles a packet. Records are merged first, so that the ack of a probe that
    /// carries a suspicion carries the refutation.
    pub(super) fn handle_packet(&mut self, now: Time, from: SocketAddr, packet: Packet) {
        let sender = InstanceId(packet.from);
        if sender == self.members.identity().0 {
            return;
        }
        let source = if packet.sync {
            RecordSource::Sync
        } else {
            RecordSource::Broadcast
        };
        let sender = PeerAddress {
            id: sender,
            address: from,
        };
        self.merge_members(now, sender, source, &packet.members);
        self.merge_upstreams(now, sender, source, packet.upstreams);
        if let Some(loads) = packet.loads {
            self.merge_loads(&loads);
        }
        if let Some(body) = packet.body {
            self.on_body(now, sender, source, body);
        }
    }

    fn on_body(&mut self, now: Time, sender: PeerAddress, source: RecordSource, body: Body) {
        let from = sender.address;
        if let Some(event) = Option::<ProbeEvent>::from(&body) {
            return self.on_probe(now, sender, event);
        }
        match body {
            Body::Renewal(renewal) => {
                let mut effects = Vec::new();
                self.registry.renew(now, &renewal, &mut effects);
                self.apply_registry_effects(effects, None);
            }
            Body::RootHashes(roots) => self.on_root_hashes(now, from, &roots),
            Body::BucketHashes(buckets) => self.on_bucket_hashes(now, from, &buckets),
            Body::BucketListing(listing) => self.on_bucket_listing(now, from, &listing),
            Body::RecordRequest(request) => self.on_record_request(now, from, source, &request),
            Body::Ping(_) | Body::Ack(_) | Body::Nack(_) | Body::PingRequest(_) => {}
        }
    }

    /// Handles a message of the failure detector. An unknown sender is asked for its
    /// record; the reply to a suspect or dead one carries that state, for it to refute.
    fn on_probe(&mut self, now: Time, sender: PeerAddress, event: ProbeEvent) {
        let mut effects = Vec::new();
        self.members
            .receive(now, sender.address, event, &mut effects);
        if self.members.state(sender.id).is_none() {
            effects.push(MemberEffect::RequestRecord(sender.id));
        }
        self.apply_member_effects(now, effects, Some(sender));
    }

    fn merge_members(
        &mut self,
        now: Time,
        sender: PeerAddress,
        source: RecordSource,
        records: &[MemberRecord],
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.members.merge(now, record, &mut effects);
        }
        if source == RecordSource::Sync {
            effects.retain(|effect| self.must_apply(effect));
        }
        self.apply_member_effects(now, effects, Some(sender));
    }

    /// Whether an effect of a sync must still be carried out. Broadcasts of records
    /// learnt in a sync are dropped, except of this instance's own record and of
    /// suspicions, which must reach the suspect in time to refute.
    fn must_apply(&self, effect: &MemberEffect) -> bool {
        let MemberEffect::Broadcast(id) = effect else {
            return true;
        };
        let own = self.members.identity().0;
        *id == own || self.members.state(*id) == Some(MemberState::Suspect)
    }

    fn merge_upstreams(
        &mut self,
        now: Time,
        sender: PeerAddress,
        source: RecordSource,
        records: Vec<UpstreamRecord>,
    ) {
        let mut effects = Vec::new();
        for record in records {
            self.registry.receive(now, record, &mut effects);
        }
        if source == RecordSource::Sync {
            effects.retain(|e| !matches!(e, RegistryEffect::Broadcast(_)));
        }
        self.apply_registry_effects(effects, Some(sender));
    }

    fn merge_loads(&mut self, loads: &LoadReports) {
        let mut effects = Vec::new();
        self.registry.receive_loads(loads, &mut effects);
        self.apply_registry_effects(effects, None);
    }

    fn on_root_hashes(&mut self, now: Time, from: SocketAddr, roots: &RootHashes) {
        if self.sync_replies_left == 0 {
            return;
        }
        let buckets = sync::differing_buckets(now, roots, &self.members, &self.registry);
        if let Some(buckets) = buckets {
            let mut reply = self.datagram(from, Body::BucketHashes(buckets));
            reply.packet.sync = true;
            self.send_reply(from, reply.packet);
        }
    }

    /// Sends listings of the buckets that differ, and schedules another sync soon.
    fn on_bucket_hashes(&mut self, now: Time, from: SocketAddr, buckets: &BucketHashes) {
        let offset = self.rng.random_range(0..1_024);
        let listings = sync::listings(now, buckets, offset, &self.members, &self.registry);
        if !listings.is_empty() {
            self.next_sync = self.next_sync.min(now + self.probe_period / 2);
        }
        for listing in listings {
            self.out
                .push(self.datagram(from, Body::BucketListing(listing)));
        }
    }

    fn on_bucket_listing(&mut self, now: Time, from: SocketAddr, listing: &BucketListing) {
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
        self.send_records(from, RecordSource::Sync, Vec::new(), records.collect());
        if difference.wanted.is_empty() {
            return;
        }
        let request = RecordRequest {
            members: Vec::new(),
            upstreams: difference.wanted,
        };
        self.request_records(from, request);
    }

    fn send_difference_members(&mut self, now: Time, from: SocketAddr, difference: Difference) {
        let keys = difference.missing.iter().chain(&difference.changed);
        let records = keys.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        self.send_records(from, RecordSource::Sync, records.collect(), Vec::new());
        if difference.wanted.is_empty() {
            return;
        }
        let request = RecordRequest {
            members: difference.wanted,
            upstreams: Vec::new(),
        };
        self.request_records(from, request);
    }

    /// Requests records that differ according to a sync.
    fn request_records(&mut self, to: SocketAddr, request: RecordRequest) {
        let mut outgoing = self.datagram(to, Body::RecordRequest(request));
        outgoing.packet.sync = true;
        self.out.push(outgoing);
    }

    /// Sends the requested records, as broadcasts or as part of a sync, like the
    /// request.
    ///
    /// Incomplete upstream records are left out: two instances that both lack the
    /// metadata of an upstream would otherwise request them from each other forever.
    fn on_record_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        source: RecordSource,
        request: &RecordRequest,
    ) {
        let members = request.members.iter();
        let members = members.filter_map(|id| self.members.record(now, InstanceId(*id), true));
        let upstreams = request.upstreams.iter();
        let upstreams = upstreams
            .filter(|key| self.registry.is_complete(**key))
            .filter_map(|key| self.registry.record(now, *key, true));
        self.send_records(from, source, members.collect(), upstreams.collect());
    }
}

impl PingRequest {
    pub(super) fn new(target: InstanceId, address: SocketAddr, sequence: u64) -> Self {
        Self {
            target: target.0,
            sequence,
            address: encode_address(address),
        }
    }

    pub(super) fn event(&self) -> Option<ProbeEvent> {
        Some(ProbeEvent::PingRequest {
            target: InstanceId(self.target),
            address: decode_address(&self.address)?,
            sequence: self.sequence,
        })
    }
}
