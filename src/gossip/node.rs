//! The gossip state machine of one instance: failure detector, upstreams and
//! broadcasts, without I/O.

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

/// Instances that a broadcast round sends to.
const FANOUT: usize = 3;

/// Broadcast rounds of members and upstreams per probe period.
const ROUNDS_PER_PERIOD: u32 = 5;

/// Broadcast rounds of loads per probe period, of one datagram each.
const LOAD_ROUNDS_PER_PERIOD: u32 = 2;

/// Mean time between two anti-entropy syncs, in probe periods.
const SYNC_PERIODS: u32 = 2;

/// Maximum number of sync replies per broadcast round. When a whole fleet starts
/// at once, all instances sync with the seeds; those that get no reply retry.
const MAX_SYNC_REPLIES: u32 = 16;

/// Time between two ticks of the upstream registry.
const REGISTRY_TICK: Duration = Duration::from_secs(1);

/// Time after a suspension during which datagrams are dropped.
const DATAGRAM_DROP_TIME: Duration = Duration::from_millis(100);

/// Time after a suspension during which announcements are refused.
const ANNOUNCE_REFUSE_TIME: Duration = Duration::from_secs(1);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// This instance.
    pub own: Member,
    /// Datagram addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates the fleet's datagrams.
    pub key: FleetKey,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Seed of all random choices.
    pub rng_seed: u64,
}

/// An event that a node handles.
#[derive(Clone, Copy, Debug)]
pub enum NodeEvent<'a> {
    /// Time has passed.
    Tick,
    /// A datagram was received from this address.
    Datagram(SocketAddr, &'a [u8]),
    /// The instance starts to drain: it takes no new requests.
    Drain,
    /// The instance leaves the fleet.
    Leave,
}

/// A sealed datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub bytes: Vec<u8>,
}

/// An instance and its datagram address.
#[derive(Clone, Copy, Debug)]
struct PeerAddress {
    id: InstanceId,
    address: SocketAddr,
}

/// A packet to seal and send.
struct Outgoing {
    to: SocketAddr,
    packet: Packet,
}

/// The gossip state machine of one instance. It does no I/O, and takes time and
/// the seed of randomness as input. [`crate::Fleet`] runs it over a socket.
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
    /// When the last suspension of this process was detected.
    resumed_at: Option<Time>,
    next_round: Time,
    next_load_round: Time,
    /// Sync replies that may still be sent before the next broadcast round.
    sync_replies_left: u32,
    next_sync: Time,
    next_registry_tick: Time,
    rng: ChaCha8Rng,
    out: Vec<Outgoing>,
}

impl Node {
    /// Creates a node that knows only itself.
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

    /// Handles an event, and adds datagrams to send to `out`. [`NodeEvent::Tick`]
    /// must come at least five times per probe period.
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

    /// Handles an announcement that an upstream made to this instance.
    ///
    /// Announcements are refused just after a suspension of this process. One that
    /// was buffered in a connection meanwhile would count as new, and bring back an
    /// upstream that has left.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is out of bounds, the table is full, or
    /// this process has just been suspended.
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

    /// Upstreams that can be given work.
    pub fn upstreams(&mut self, now: Time) -> Arc<UpstreamView> {
        self.registry.snapshot(now)
    }

    /// The member view, if it changed since the last call.
    pub fn changed_members(&mut self) -> Option<MemberView> {
        self.members.changed_view()
    }

    /// Counts of datagrams so far.
    pub(super) fn traffic(&self) -> TrafficCounts {
        self.traffic
    }

    /// The state for the state dump.
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

    /// Sends one more round of queued broadcasts, after leaving.
    pub(super) fn send_remaining(&mut self, now: Time, out: &mut Vec<Datagram>) {
        self.send_broadcasts(now);
        self.seal(out);
    }

    /// Numbers of queued broadcasts: of members, upstreams and loads.
    fn queued(&self) -> [usize; 3] {
        [
            self.member_broadcasts.len(),
            self.upstream_broadcasts.len(),
            self.load_broadcasts.len(),
        ]
    }

    /// Ticks first if this process was suspended, so that records which expired
    /// meanwhile are gone before the event is handled.
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

    /// Handles a datagram, unless it may have been buffered in the socket while
    /// this process was suspended. The ages in it would then be too low, and an
    /// upstream that left an hour ago could come back.
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

    /// The registry ticks first, so that after a suspension no expired record is
    /// renewed or broadcast.
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

    /// Starts an anti-entropy sync with the instance at `to`.
    pub(super) fn start_sync(&mut self, now: Time, to: SocketAddr) {
        let roots = sync::root_hashes(now, &self.members, &self.registry);
        self.out.push(self.datagram(to, Body::RootHashes(roots)));
    }
}
