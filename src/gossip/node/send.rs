//! Packets that a node sends, filled with queued broadcasts.

use std::net::SocketAddr;

use prost::Message;
use prost::encoding::encoded_len_varint;

use crate::clock::Time;
use crate::gossip::broadcast::WriteOutcome;
use crate::gossip::node::{FANOUT, Node, Outgoing};
use crate::gossip::wire::{Body, MAX_PACKET, Packet};
use crate::id::InstanceId;
use crate::membership::{MemberRecord, MemberState, RecordSource};
use crate::upstream::{LoadReports, UpstreamRecord};

/// Each instance sends a record this many times for each decimal digit of the
/// fleet size, and for one digit more.
const TRANSMIT_FACTOR: u32 = 4;

/// The same for a load report. A lost one does little harm.
const LOAD_TRANSMIT_FACTOR: u32 = 1;

/// Maximum bytes of load reports in one datagram. As the number of datagrams is
/// fixed, this bounds the cost of load reports, however many upstreams change
/// their load.
const MAX_LOAD_BYTES: usize = 560;

/// Maximum bytes of one load report: key, incarnation, sequence, level.
const LOAD_ROW_BYTES: usize = 4 + 1 + 10 + 1;

/// Bytes that a record in a packet takes for its tag and length.
const RECORD_OVERHEAD: usize = 3;

impl Node {
    /// A packet with a body and no broadcasts.
    pub(super) fn datagram(&self, to: SocketAddr, body: Body) -> Outgoing {
        let packet = Packet {
            from: self.members.identity().0.0,
            body: Some(body),
            ..Packet::default()
        };
        Outgoing { to, packet }
    }

    /// Sends a message of the failure detector, filled with queued broadcasts. It
    /// also carries the record of a target that isn't alive, which the target can
    /// refute in its reply.
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

    /// Sends queued broadcasts of members and upstreams to [`FANOUT`] instances.
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

    /// Sends queued load reports to one instance.
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

    /// Sends requested records, in as many datagrams as needed.
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

    /// Sends a reply. One in a sync counts against `sync_replies_left`, and is
    /// dropped if none are left.
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

    /// The record of `id`, if it isn't alive.
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
        let mut loads = LoadReports::default();
        let registry = &self.registry;
        self.load_broadcasts.transmit(limit, |key| {
            let Some((short, incarnation, sequence, level)) = registry.load_report(key) else {
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

    /// Number of times to send a record: grows with the logarithm of the fleet size.
    fn transmit_limit(&self) -> u32 {
        let size = u32::try_from(self.members.present()).unwrap_or(u32::MAX);
        let digits = size.checked_ilog10().unwrap_or(0) + 1;
        TRANSMIT_FACTOR * (1 + digits)
    }
}

/// Bytes left in a packet for records.
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
