//! Datagrams that a node sends, filled with rumours.

use std::net::SocketAddr;

use prost::Message;
use prost::encoding::encoded_len_varint;

use crate::clock::Time;
use crate::gossip::broadcast::WriteOutcome;
use crate::gossip::node::{FANOUT, Node, Outgoing};
use crate::gossip::wire::{Body, MAX_PACKET, Packet};
use crate::id::InstanceId;
use crate::membership::{MemberRecord, MemberState, RecordSource};
use crate::upstream::{Loads, UpstreamRecord};

/// Times that a rumour is told by each instance, for each digit of the size of
/// the fleet and one more.
const TRANSMIT_FACTOR: u32 = 4;

/// The same for a report of load. One that is missed does little harm.
const LOAD_TRANSMIT_FACTOR: u32 = 1;

/// Bytes of load reports in one datagram. Together with the fixed
/// number of datagrams this bounds what load reports cost, however many
/// upstreams change their load.
const MAX_LOAD_BYTES: usize = 560;

/// Most bytes of one load report: key, incarnation, sequence, level.
const LOAD_ROW_BYTES: usize = 4 + 1 + 10 + 1;

/// Overhead of a record in a packet: its tag and length.
const RECORD_OVERHEAD: usize = 3;

impl Node {
    /// A datagram with a body and no rumours.
    pub(super) fn datagram(&self, to: SocketAddr, body: Body) -> Outgoing {
        let packet = Packet {
            from: self.members.identity().0.0,
            body: Some(body),
            ..Packet::default()
        };
        Outgoing { to, packet }
    }

    /// Sends a message of the detector, filled with rumours. A target that is
    /// held for dead or suspect is told so, and can refute in its answer.
    pub(super) fn send_probe(
        &mut self,
        now: Time,
        to: SocketAddr,
        body: Body,
        target: Option<InstanceId>,
    ) {
        let mut packet = self.datagram(to, body).packet;
        packet
            .members
            .extend(target.and_then(|id| self.suspicion_record(now, id)));
        self.fill_records(now, &mut packet);
        self.fill_loads(&mut packet);
        self.out.push(Outgoing { to, packet });
    }

    /// Sends urgent rumours to a few instances.
    pub(super) fn send_broadcasts(&mut self, now: Time) {
        if self.member_broadcasts.len() + self.upstream_broadcasts.len() == 0 {
            return;
        }
        for to in self.members.random_peers(FANOUT) {
            let mut packet = Packet {
                from: self.members.identity().0.0,
                ..Packet::default()
            };
            self.fill_records(now, &mut packet);
            if packet.members.is_empty() && packet.upstreams.is_empty() {
                return;
            }
            self.out.push(Outgoing { to, packet });
        }
    }

    /// Sends loads that are news to one instance.
    pub(super) fn send_load_broadcasts(&mut self) {
        if self.load_broadcasts.len() == 0 {
            return;
        }
        for to in self.members.random_peers(1) {
            let mut packet = Packet {
                from: self.members.identity().0.0,
                ..Packet::default()
            };
            self.fill_loads(&mut packet);
            self.out.push(Outgoing { to, packet });
        }
    }

    /// Sends records that were asked for, in as many datagrams as needed.
    pub(super) fn send_records(
        &mut self,
        to: SocketAddr,
        source: RecordSource,
        members: Vec<MemberRecord>,
        upstreams: Vec<UpstreamRecord>,
    ) {
        let mut packet = self.record_packet(source);
        let mut remaining = RemainingBytes::of(&packet);
        for record in members {
            if !remaining.reserve(record.encoded_len()) {
                let full = std::mem::replace(&mut packet, self.record_packet(source));
                self.send_reply(to, full);
                remaining = RemainingBytes::of(&packet);
                remaining.reserve(record.encoded_len());
            }
            packet.members.push(record);
        }
        for record in upstreams {
            if !remaining.reserve(record.encoded_len()) {
                let full = std::mem::replace(&mut packet, self.record_packet(source));
                self.send_reply(to, full);
                remaining = RemainingBytes::of(&packet);
                remaining.reserve(record.encoded_len());
            }
            packet.upstreams.push(record);
        }
        if !packet.members.is_empty() || !packet.upstreams.is_empty() {
            self.send_reply(to, packet);
        }
    }

    /// Sends an answer; one to a comparison only while there are some left.
    pub(super) fn send_reply(&mut self, to: SocketAddr, packet: Packet) {
        if packet.sync && self.sync_replies_left == 0 {
            return;
        }
        self.sync_replies_left -= u32::from(packet.sync);
        self.out.push(Outgoing { to, packet });
    }

    fn record_packet(&self, source: RecordSource) -> Packet {
        Packet {
            from: self.members.identity().0.0,
            sync: source == RecordSource::Sync,
            ..Packet::default()
        }
    }

    /// What this instance holds against `id`, if anything.
    fn suspicion_record(&self, now: Time, id: InstanceId) -> Option<MemberRecord> {
        let not_alive = self.members.state(id)? != MemberState::Alive;
        not_alive
            .then(|| self.members.record(now, id, false))
            .flatten()
    }

    fn fill_records(&mut self, now: Time, packet: &mut Packet) {
        let limit = self.transmit_limit();
        let mut remaining = RemainingBytes::of(packet);
        let (members, registry) = (&self.members, &self.registry);
        self.member_broadcasts.transmit(limit, |id| {
            let record = members.record(now, id, false);
            remaining.write(record, &mut packet.members)
        });
        self.upstream_broadcasts.transmit(limit, |key| {
            let record = registry.record(now, key, false);
            remaining.write(record, &mut packet.upstreams)
        });
    }

    fn fill_loads(&mut self, packet: &mut Packet) {
        let limit = self.transmit_limit() * LOAD_TRANSMIT_FACTOR / TRANSMIT_FACTOR;
        let mut remaining = MAX_PACKET
            .saturating_sub(packet.encoded_len() + 4 * RECORD_OVERHEAD)
            .min(MAX_LOAD_BYTES);
        let mut loads = Loads::default();
        let registry = &self.registry;
        self.load_broadcasts.transmit(limit, |key| {
            let Some((short, incarnation, sequence, level)) = registry.load_row(key) else {
                return WriteOutcome::Obsolete;
            };
            if remaining < LOAD_ROW_BYTES {
                return WriteOutcome::Full;
            }
            remaining -= 6 + encoded_len_varint(sequence);
            loads.keys.push(short);
            loads.incarnations.push(incarnation);
            loads.sequences.push(sequence);
            loads.levels.push(level);
            WriteOutcome::Sent
        });
        packet.loads = (!loads.keys.is_empty()).then_some(loads);
    }

    /// Times that a rumour is told: grows with the logarithm of the fleet.
    fn transmit_limit(&self) -> u32 {
        let size = u32::try_from(self.members.present()).unwrap_or(u32::MAX);
        let digits = size.checked_ilog10().unwrap_or(0) + 1;
        TRANSMIT_FACTOR * (1 + digits)
    }
}

/// Bytes left in a packet.
struct RemainingBytes(usize);

impl RemainingBytes {
    fn of(packet: &Packet) -> Self {
        Self(MAX_PACKET.saturating_sub(packet.encoded_len()))
    }

    fn reserve(&mut self, len: usize) -> bool {
        let needed = len + RECORD_OVERHEAD;
        let fits = needed <= self.0;
        self.0 -= if fits { needed } else { 0 };
        fits
    }

    fn write<R: Message>(&mut self, record: Option<R>, records: &mut Vec<R>) -> WriteOutcome {
        let Some(record) = record else {
            return WriteOutcome::Obsolete;
        };
        if !self.reserve(record.encoded_len()) {
            return WriteOutcome::Full;
        }
        records.push(record);
        WriteOutcome::Sent
    }
}
