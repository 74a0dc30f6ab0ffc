//! One instance's part of the fleet: detector, upstreams and rumours. A state
//! machine without I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::auth::FleetKey;
use crate::clock::Time;
use crate::gossip::broadcast::BroadcastQueue;
use crate::gossip::dump::{FleetDump, TrafficCounts};
use crate::gossip::sync;
use crate::gossip::wire::{Body, Packet, decode, encode};
use crate::id::InstanceId;
use crate::membership::{
    DetectorSettings, Member, MemberEffect, MemberView, Membership, SUSPEND_GAP,
};
use crate::upstream::{AnnounceError, AnnounceOutcome, Announcement, Registry, UpstreamView};

mod effects;
mod receive;
mod send;

/// Instances that get urgent rumours at a time.
const FANOUT: usize = 3;

/// Rounds of urgent rumours in one period.
const ROUNDS_PER_PERIOD: u32 = 5;

/// Datagrams in one period that carry loads alone.
const LOAD_ROUNDS_PER_PERIOD: u32 = 2;

/// Periods between two comparisons of tables.
const SYNC_PERIODS: u32 = 2;

/// Most datagrams that answer comparisons in one round. When a whole fleet
/// starts at once, all come to the seeds; whoever gets no answer asks again.
const MAX_SYNC_REPLIES: u32 = 16;

/// Time between two passes over the upstreams.
const REGISTRY_TICK: Duration = Duration::from_secs(1);

/// Time after a suspension in which datagrams are dropped.
const DATAGRAM_DROP_TIME: Duration = Duration::from_millis(100);

/// Time after a suspension in which announcements are refused.
const ANNOUNCE_REFUSE_TIME: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This instance.
    pub own: Member,
    /// Addresses to join through.
    pub seeds: Vec<SocketAddr>,
    /// Secret of the fleet.
    pub key: FleetKey,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Seed of all random choices.
    pub rng_seed: u64,
}

/// What happens to a node.
#[derive(Clone, Copy, Debug)]
pub enum NodeEvent<'a> {
    /// Time passes.
    Tick,
    /// A datagram came from an address.
    Datagram(SocketAddr, &'a [u8]),
    /// The instance takes no new requests.
    Drain,
    /// The instance leaves.
    Leave,
}

/// A sealed datagram for an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub bytes: Vec<u8>,
}

/// The instance that an event came from.
#[derive(Clone, Copy, Debug)]
struct PeerAddress {
    id: InstanceId,
    address: SocketAddr,
}

/// A packet that is still to be sealed.
struct Outgoing {
    to: SocketAddr,
    packet: Packet,
}

/// The state machine of one instance: no I/O, no clock, no entropy but what
/// comes in. [`crate::Fleet`] runs it over a socket.
pub struct Node {
    pub(super) members: Membership,
    pub(super) registry: Registry,
    member_broadcasts: BroadcastQueue<InstanceId>,
    upstream_broadcasts: BroadcastQueue<u64>,
    load_broadcasts: BroadcastQueue<u64>,
    key: FleetKey,
    traffic: TrafficCounts,
    probe_period: Duration,
    last_tick: Time,
    /// End of the last suspension of this process.
    resumed_at: Option<Time>,
    next_round: Time,
    next_load_round: Time,
    /// Datagrams left to answer comparisons with, until the next round.
    sync_replies_left: u32,
    next_sync: Time,
    next_registry_tick: Time,
    rng: ChaCha8Rng,
    out: Vec<Outgoing>,
}

impl Node {
    /// A node that knows itself alone.
    #[must_use]
    pub fn new(now: Time, settings: NodeSettings) -> Self {
        let NodeSettings {
            own,
            seeds,
            key,
            probe_period,
            rng_seed,
        } = settings;
        let mut rng = ChaCha8Rng::seed_from_u64(rng_seed);
        let registry = Registry::new(own.id, own.incarnation);
        let detector = DetectorSettings {
            own,
            seeds,
            probe_period,
        };
        let detector_rng = ChaCha8Rng::seed_from_u64(rng.random());
        Self {
            members: Membership::new(now, detector, detector_rng),
            registry,
            member_broadcasts: BroadcastQueue::new(),
            upstream_broadcasts: BroadcastQueue::new(),
            load_broadcasts: BroadcastQueue::new(),
            key,
            traffic: TrafficCounts::default(),
            probe_period,
            last_tick: now,
            resumed_at: None,
            next_round: now,
            next_load_round: now,
            sync_replies_left: MAX_SYNC_REPLIES,
            next_sync: now + probe_period,
            next_registry_tick: now,
            rng,
            out: Vec::new(),
        }
    }

    /// Takes an event; datagrams to send are added to `out`. Time is to pass
    /// by [`NodeEvent::Tick`] at least five times a period.
    pub fn step(&mut self, now: Time, event: NodeEvent<'_>, out: &mut Vec<Datagram>) {
        self.detect_suspension(now);
        match event {
            NodeEvent::Tick => self.tick(now),
            NodeEvent::Datagram(from, bytes) => self.receive_datagram(now, from, bytes),
            NodeEvent::Drain => self.update_own(now, Membership::drain),
            NodeEvent::Leave => self.update_own(now, Membership::leave),
        }
        self.seal(out);
    }

    /// Takes an announcement that an upstream made to this instance.
    ///
    /// Guards against one that waited in a connection while this process was
    /// suspended: it would count as heard now, and bring back an upstream
    /// that left meanwhile.
    ///
    /// # Errors
    ///
    /// When the announcement is out of bounds, the table is full, or this
    /// process has just been suspended.
    pub fn announce(
        &mut self,
        now: Time,
        announcement: &Announcement,
        out: &mut Vec<Datagram>,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        self.detect_suspension(now);
        if self.resumed_within(now, ANNOUNCE_REFUSE_TIME) {
            let retry = u64::try_from(ANNOUNCE_REFUSE_TIME.as_millis()).unwrap_or(u64::MAX);
            return Err(AnnounceError::Stalled { retry });
        }
        let mut effects = Vec::new();
        let outcome = self
            .registry
            .announce(now, announcement, &self.members, &mut effects);
        self.apply_registry_effects(effects, None);
        self.seal(out);
        outcome
    }

    /// Upstreams that may be given work.
    pub fn upstreams(&mut self, now: Time) -> Arc<UpstreamView> {
        self.registry.snapshot(now)
    }

    /// The members, if they changed since the last call.
    pub fn changed_members(&mut self) -> Option<MemberView> {
        self.members.changed_view()
    }

    /// Datagrams so far.
    pub(super) fn traffic(&self) -> TrafficCounts {
        self.traffic
    }

    /// The whole state.
    #[must_use]
    pub fn dump(&self, now: Time) -> FleetDump {
        let (id, incarnation) = self.members.identity();
        FleetDump {
            id,
            incarnation,
            address: self.members.address(id),
            health: self.members.health(),
            conflicts: self.members.conflicts(),
            queued: self.queued(),
            counts: self.registry.counts(),
            traffic: self.traffic,
            members: self.members.dump(now),
            upstreams: self.registry.dump(now),
        }
    }

    /// Sends the rumours that wait once more, after leaving.
    pub(super) fn send_remaining(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.send_broadcasts(now);
        self.seal(out);
    }

    /// Rumours that wait: of members, upstreams and loads.
    fn queued(&self) -> [usize; 3] {
        [
            self.member_broadcasts.len(),
            self.upstream_broadcasts.len(),
            self.load_broadcasts.len(),
        ]
    }

    /// Lets time pass first when this process was suspended, so that whatever
    /// came meets expired records and not those of before.
    fn detect_suspension(&mut self, now: Time) {
        if now.since(self.last_tick) < SUSPEND_GAP {
            return;
        }
        self.resumed_at = Some(now);
        self.next_sync = now + DATAGRAM_DROP_TIME;
        self.tick(now);
    }

    fn resumed_within(&self, now: Time, pause: Duration) -> bool {
        self.resumed_at.is_some_and(|at| now.since(at) < pause)
    }

    /// Takes a datagram, unless it may have waited in the socket while this
    /// process was suspended. The ages in it would then be too low, and an
    /// upstream that left an hour ago would come back.
    fn receive_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        if self.resumed_within(now, DATAGRAM_DROP_TIME) {
            self.traffic.stale += 1;
            return;
        }
        self.traffic.received += 1;
        self.traffic.read += bytes.len() as u64;
        match decode(bytes, &self.key) {
            Some(packet) => self.handle_packet(now, from, packet),
            None => self.traffic.bad += 1,
        }
    }

    fn seal(&mut self, out: &mut Vec<Datagram>) {
        for outgoing in self.out.drain(..) {
            let bytes = encode(&outgoing.packet, &self.key);
            self.traffic.sent += 1;
            self.traffic.written += bytes.len() as u64;
            let to = outgoing.to;
            out.push(Datagram { to, bytes });
        }
    }

    /// Expiry goes first, so that after a suspension nothing that has run out
    /// is renewed or told of.
    fn tick(&mut self, now: Time) {
        self.last_tick = now;
        if now >= self.next_registry_tick {
            self.next_registry_tick = now + REGISTRY_TICK;
            let mut effects = Vec::new();
            self.registry.tick(now, &self.members, &mut effects);
            self.apply_registry_effects(effects, None);
        }
        let mut effects = Vec::new();
        self.members.tick(now, &mut effects);
        self.apply_member_effects(now, effects, None);
        if now >= self.next_sync {
            self.next_sync =
                now + (self.probe_period * SYNC_PERIODS).mul_f64(self.rng.random_range(0.75..1.25));
            let peers = self.members.random_peers(1);
            peers.into_iter().for_each(|to| self.start_sync(now, to));
        }
        if now >= self.next_round {
            self.next_round = now + self.probe_period / ROUNDS_PER_PERIOD;
            self.sync_replies_left = MAX_SYNC_REPLIES;
            self.send_broadcasts(now);
        }
        if now >= self.next_load_round {
            self.next_load_round = now + self.probe_period / LOAD_ROUNDS_PER_PERIOD;
            self.send_load_broadcasts();
        }
    }

    fn update_own(
        &mut self,
        now: Time,
        change: impl FnOnce(&mut Membership, &mut Vec<MemberEffect>),
    ) {
        let mut effects = Vec::new();
        change(&mut self.members, &mut effects);
        self.apply_member_effects(now, effects, None);
        self.send_broadcasts(now);
    }

    /// Starts a comparison of tables.
    pub(super) fn start_sync(&mut self, now: Time, to: SocketAddr) {
        let roots = sync::root_hashes(now, &self.members, &self.registry);
        self.out.push(self.datagram(to, Body::RootHashes(roots)));
    }
}
