//! Datagrams that a node sends, filled with rumours.

use std::net::SocketAddr;

use prost::Message;
use prost::encoding::encoded_len_varint;

use crate::clock::Time;
use crate::gossip::node::{FANOUT, Node, Outgoing};
use crate::gossip::rumour::Put;
use crate::gossip::wire::{Body, MAX_PACKET, Packet};
use crate::id::InstanceId;
use crate::membership::{MemberRecord, MemberState, Source};
use crate::upstream::{LoadReports, UpstreamRecord};

/// Times that a rumour is told by each instance, for each digit of the size of
/// the fleet and one more.
const REPEATS: u32 = 4;

/// The same for a report of load. One that is missed does little harm.
const LOAD_REPEATS: u32 = 1;

/// Bytes of load reports in one datagram. Together with the fixed
/// number of datagrams this bounds what load reports cost, however many
/// upstreams change their load.
const LOAD_BUDGET: usize = 560;

/// Most bytes of one load report: key, incarnation, sequence, level.
const LOAD_ROW: usize = 4 + 1 + 10 + 1;

/// Overhead of a record in a packet: its tag and length.
const RECORD_HEAD: usize = 3;

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
            .extend(target.and_then(|id| self.accusation(now, id)));
        self.fill(now, &mut packet);
        self.fill_loads(&mut packet);
        self.out.push(Outgoing { to, packet });
    }

    /// Sends urgent rumours to a few instances.
    pub(super) fn send_round(&mut self, now: Time) {
        if self.member_rumours.len() + self.upstream_rumours.len() == 0 {
            return;
        }
        for to in self.members.pick(FANOUT) {
            let mut packet = Packet {
                from: self.members.identity().0.0,
                ..Packet::default()
            };
            self.fill(now, &mut packet);
            if packet.members.is_empty() && packet.upstreams.is_empty() {
                return;
            }
            self.out.push(Outgoing { to, packet });
        }
    }

    /// Sends loads that are news to one instance.
    pub(super) fn send_loads(&mut self) {
        if self.load_rumours.len() == 0 {
            return;
        }
        for to in self.members.pick(1) {
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
        source: Source,
        members: Vec<MemberRecord>,
        upstreams: Vec<UpstreamRecord>,
    ) {
        let mut packet = self.record_packet(source);
        let mut room = Room::of(&packet);
        for record in members {
            if !room.take(record.encoded_len()) {
                let full = std::mem::replace(&mut packet, self.record_packet(source));
                self.send_answer(to, full);
                room = Room::of(&packet);
                room.take(record.encoded_len());
            }
            packet.members.push(record);
        }
        for record in upstreams {
            if !room.take(record.encoded_len()) {
                let full = std::mem::replace(&mut packet, self.record_packet(source));
                self.send_answer(to, full);
                room = Room::of(&packet);
                room.take(record.encoded_len());
            }
            packet.upstreams.push(record);
        }
        if !packet.members.is_empty() || !packet.upstreams.is_empty() {
            self.send_answer(to, packet);
        }
    }

    /// Sends an answer; one to a comparison only while there are some left.
    pub(super) fn send_answer(&mut self, to: SocketAddr, packet: Packet) {
        if packet.sync && self.answers == 0 {
            return;
        }
        self.answers -= u32::from(packet.sync);
        self.out.push(Outgoing { to, packet });
    }

    fn record_packet(&self, source: Source) -> Packet {
        Packet {
            from: self.members.identity().0.0,
            sync: source == Source::Sync,
            ..Packet::default()
        }
    }

    /// What this instance holds against `id`, if anything.
    fn accusation(&self, now: Time, id: InstanceId) -> Option<MemberRecord> {
        let accused = self.members.state(id)? != MemberState::Alive;
        accused
            .then(|| self.members.record(now, id, false))
            .flatten()
    }

    fn fill(&mut self, now: Time, packet: &mut Packet) {
        let limit = self.repeats();
        let mut room = Room::of(packet);
        let (members, registry) = (&self.members, &self.registry);
        self.member_rumours.tell(limit, |id| {
            let record = members.record(now, id, false);
            room.put(record, &mut packet.members)
        });
        self.upstream_rumours.tell(limit, |key| {
            let record = registry.record(now, key, false);
            room.put(record, &mut packet.upstreams)
        });
    }

    fn fill_loads(&mut self, packet: &mut Packet) {
        let limit = self.repeats() * LOAD_REPEATS / REPEATS;
        let mut room = MAX_PACKET
            .saturating_sub(packet.encoded_len() + 4 * RECORD_HEAD)
            .min(LOAD_BUDGET);
        let mut loads = LoadReports::default();
        let registry = &self.registry;
        self.load_rumours.tell(limit, |key| {
            let Some((short, incarnation, sequence, level)) = registry.load_report(key) else {
                return Put::Void;
            };
            if room < LOAD_ROW {
                return Put::Full;
            }
            room -= 6 + encoded_len_varint(sequence);
            loads.keys.push(short);
            loads.incarnations.push(incarnation);
            loads.sequences.push(sequence);
            loads.levels.push(level);
            Put::Sent
        });
        packet.loads = (!loads.keys.is_empty()).then_some(loads);
    }

    /// Times that a rumour is told: grows with the logarithm of the fleet.
    fn repeats(&self) -> u32 {
        let size = u32::try_from(self.members.present()).unwrap_or(u32::MAX);
        let digits = size.checked_ilog10().unwrap_or(0) + 1;
        REPEATS * (1 + digits)
    }
}

/// Bytes left in a packet.
struct Room(usize);

impl Room {
    fn of(packet: &Packet) -> Self {
        Self(MAX_PACKET.saturating_sub(packet.encoded_len()))
    }

    fn take(&mut self, len: usize) -> bool {
        let needed = len + RECORD_HEAD;
        let fits = needed <= self.0;
        self.0 -= if fits { needed } else { 0 };
        fits
    }

    fn put<R: Message>(&mut self, record: Option<R>, records: &mut Vec<R>) -> Put {
        let Some(record) = record else {
            return Put::Void;
        };
        if !self.take(record.encoded_len()) {
            return Put::Full;
        }
        records.push(record);
        Put::Sent
    }
}
