//! One instance's part of the fleet: detector, upstreams and rumours. A state
//! machine without I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::gossip::rumour::Rumours;
use crate::gossip::sync;
use crate::gossip::wire::{Body, Packet, Ping, Request, Want};
use crate::id::InstanceId;
use crate::membership::{
    DetectorSettings, Member, MemberEffect, MemberView, Membership, ProbeEvent,
};
use crate::upstream::{
    AnnounceError, AnnounceOutcome, Announcement, Registry, RegistryEffect, UpstreamView,
};

mod receive;
mod send;

/// Instances that get urgent rumours at a time.
const FANOUT: usize = 3;

/// Rounds of urgent rumours in one period.
const ROUNDS: u32 = 5;

/// Periods between two comparisons of tables.
const SYNC: u32 = 5;

/// Time between two passes over the upstreams.
const REGISTRY_TICK: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    /// This instance.
    pub(crate) own: Member,
    /// Addresses to join through.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub(crate) period: Duration,
    /// Seed of all random choices.
    pub(crate) seed: u64,
}

/// What happens to a node.
#[derive(Debug)]
pub(crate) enum Event {
    /// Time passes.
    Tick,
    /// A datagram came.
    Packet(SocketAddr, Box<Packet>),
    /// The instance takes no new requests.
    Drain,
    /// The instance leaves.
    Leave,
}

/// A packet for an address.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Datagram {
    pub(crate) to: SocketAddr,
    pub(crate) packet: Packet,
}

/// The state machine of one instance.
pub(crate) struct Node {
    pub(crate) members: Membership,
    pub(crate) registry: Registry,
    member_rumours: Rumours<InstanceId>,
    upstream_rumours: Rumours<u64>,
    load_rumours: Rumours<u64>,
    period: Duration,
    next_round: Time,
    next_sync: Time,
    next_pass: Time,
    rng: ChaCha8Rng,
}

impl Node {
    /// A node that knows itself alone.
    pub(crate) fn new(now: Time, settings: NodeSettings) -> Self {
        let NodeSettings {
            own,
            seeds,
            period,
            seed,
        } = settings;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let registry = Registry::new(own.id, own.incarnation);
        let detector = DetectorSettings { own, seeds, period };
        let detector_rng = ChaCha8Rng::seed_from_u64(rng.random());
        Self {
            members: Membership::new(now, detector, detector_rng),
            registry,
            member_rumours: Rumours::new(),
            upstream_rumours: Rumours::new(),
            load_rumours: Rumours::new(),
            period,
            next_round: now,
            next_sync: now + period,
            next_pass: now,
            rng,
        }
    }

    /// Takes an event; datagrams to send are added to `out`.
    pub(crate) fn step(&mut self, now: Time, event: Event, out: &mut Vec<Datagram>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Packet(from, packet) => self.receive(now, from, *packet, out),
            Event::Drain => self.restate(now, out, Membership::drain),
            Event::Leave => self.restate(now, out, Membership::leave),
        }
    }

    /// Takes an announcement that an upstream made to this instance.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        announcement: &Announcement,
        out: &mut Vec<Datagram>,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        let mut effects = Vec::new();
        let outcome = self
            .registry
            .announce(now, announcement, &self.members, &mut effects);
        self.on_registry(effects, None, out);
        outcome
    }

    /// Sends the rumours that wait once more, after leaving.
    pub(crate) fn farewell(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.send_round(now, out);
    }

    /// Upstreams that may be given work.
    pub(crate) fn upstreams(&mut self, now: Time) -> Arc<UpstreamView> {
        self.registry.snapshot(now)
    }

    /// The members, if they changed since the last call.
    pub(crate) fn changed_members(&mut self) -> Option<MemberView> {
        self.members.changed_view()
    }

    /// Rumours that wait: of members, upstreams and loads.
    pub(crate) fn waiting(&self) -> [usize; 3] {
        [
            self.member_rumours.len(),
            self.upstream_rumours.len(),
            self.load_rumours.len(),
        ]
    }

    /// Expiry goes first, so that after a suspension nothing that has run out
    /// is renewed or told of.
    fn tick(&mut self, now: Time, out: &mut Vec<Datagram>) {
        if now >= self.next_pass {
            self.next_pass = now + REGISTRY_TICK;
            let mut effects = Vec::new();
            self.registry.tick(now, &self.members, &mut effects);
            self.on_registry(effects, None, out);
        }
        let mut effects = Vec::new();
        self.members.tick(now, &mut effects);
        self.on_members(now, effects, None, out);
        if now >= self.next_sync {
            self.next_sync = now + (self.period * SYNC).mul_f64(self.rng.random_range(0.75..1.25));
            let peers = self.members.pick(1);
            peers.into_iter().for_each(|to| self.compare(now, to, out));
        }
        if now >= self.next_round {
            self.next_round = now + self.period / ROUNDS;
            self.send_round(now, out);
        }
    }

    fn restate(
        &mut self,
        now: Time,
        out: &mut Vec<Datagram>,
        change: impl FnOnce(&mut Membership, &mut Vec<MemberEffect>),
    ) {
        let mut effects = Vec::new();
        change(&mut self.members, &mut effects);
        self.on_members(now, effects, None, out);
        self.send_round(now, out);
    }

    fn on_members(
        &mut self,
        now: Time,
        effects: Vec<MemberEffect>,
        reply: Option<SocketAddr>,
        out: &mut Vec<Datagram>,
    ) {
        for effect in effects {
            match effect {
                MemberEffect::Ping {
                    to,
                    target,
                    sequence,
                } => {
                    let target_id = target.0;
                    let ping = Ping {
                        target: target_id,
                        sequence,
                    };
                    self.send_probe(now, to, Body::Ping(ping), Some(target), out);
                }
                MemberEffect::Ack { to, sequence } => {
                    self.send_probe(now, to, Body::Ack(sequence), None, out);
                }
                MemberEffect::Nack { to, sequence } => {
                    self.send_probe(now, to, Body::Nack(sequence), None, out);
                }
                MemberEffect::Request {
                    to,
                    target,
                    address,
                    sequence,
                } => {
                    let request = Request::new(target, address, sequence);
                    self.send_probe(now, to, Body::Request(request), None, out);
                }
                MemberEffect::Spread(id) => self.member_rumours.add(id),
                MemberEffect::Want(id) => {
                    let want = Want {
                        members: vec![id.0],
                        upstreams: Vec::new(),
                    };
                    out.extend(reply.map(|to| self.datagram(to, Body::Want(want))));
                }
                MemberEffect::Sync(to) => self.compare(now, to, out),
            }
        }
    }

    fn on_registry(
        &mut self,
        effects: Vec<RegistryEffect>,
        reply: Option<SocketAddr>,
        out: &mut Vec<Datagram>,
    ) {
        let mut wanted = Vec::new();
        for effect in effects {
            match effect {
                RegistryEffect::Spread(key) => self.upstream_rumours.add(key),
                RegistryEffect::SpreadLoad(key) => self.load_rumours.add(key),
                RegistryEffect::Renew(voucher, renewal) => {
                    let Some(to) = self.members.address(voucher) else {
                        continue;
                    };
                    out.push(self.datagram(to, Body::Renewal(renewal)));
                }
                RegistryEffect::Want(key) => wanted.push(key),
            }
        }
        if wanted.is_empty() {
            return;
        }
        let want = Want {
            members: Vec::new(),
            upstreams: wanted,
        };
        out.extend(reply.map(|to| self.datagram(to, Body::Want(want))));
    }

    /// Starts a comparison of tables.
    fn compare(&mut self, now: Time, to: SocketAddr, out: &mut Vec<Datagram>) {
        let roots = sync::roots(now, &self.members, &self.registry);
        out.push(self.datagram(to, Body::Roots(roots)));
    }
}

impl From<&Body> for Option<ProbeEvent> {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping(ping) => Some(ProbeEvent::Ping {
                target: InstanceId(ping.target),
                sequence: ping.sequence,
            }),
            Body::Ack(sequence) => Some(ProbeEvent::Ack {
                sequence: *sequence,
            }),
            Body::Nack(sequence) => Some(ProbeEvent::Nack {
                sequence: *sequence,
            }),
            Body::Request(request) => request.event(),
            _ => None,
        }
    }
}
