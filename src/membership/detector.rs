//! The membership table and the timers of the failure detector.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId};
use crate::membership::member::{
    Member, MemberDump, MemberEntry, MemberState, MemberVersion, MemberView,
};
use crate::membership::probe::{Probe, RelayedProbe};
use crate::upstream::{InstanceLiveness, PastInstant};

/// Maximum number of instances in the table, dead ones included.
pub(crate) const MAX_MEMBERS: usize = 1_024;

/// How long a dead instance is kept and probed. Regions are occasionally
/// partitioned for an hour; six hours outlast that.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(21_600);

/// Dead records this close to the end of their retention are left out of
/// syncs, so that instances which drop them at different times don't send them
/// back to each other.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Probe periods of suspicion for each power of ten in the fleet size.
const SUSPICION_PERIODS: u32 = 3;

/// Worst local health score. The score lengthens the probe and suspicion
/// timeouts.
pub(super) const MAX_HEALTH: u32 = 2;

/// Consecutive failed probes after which this instance counts as isolated.
const ISOLATION_FAILURES: u32 = 5;

/// Minimum gap between two ticks that counts as a suspension of the process.
pub(crate) const SUSPEND_GAP: Duration = Duration::from_secs(2);

/// Probe periods between two probes of dead instances.
pub(super) const DEAD_PROBE_PERIODS: u32 = 10;

/// Minimum probe periods between two syncs with a seed while other instances
/// are present. A large fleet uses half its number of instances instead, so
/// that the load on the seeds doesn't grow with the fleet.
pub(super) const SEED_SYNC_PERIODS: u32 = 5;

/// Settings of the detector.
#[derive(Clone, Debug)]
pub(crate) struct DetectorSettings {
    /// This instance.
    pub(crate) own: Member,
    /// Datagram addresses of instances to join through.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub(crate) probe_period: Duration,
}

/// An action that the failure detector requests from its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberEffect {
    /// Probe `target`.
    Ping {
        to: SocketAddr,
        target: InstanceId,
        sequence: u64,
    },
    /// Acknowledge a probe.
    Ack { to: SocketAddr, sequence: u64 },
    /// Report to the requester that an indirect probe got no answer.
    Nack { to: SocketAddr, sequence: u64 },
    /// Ask a helper to probe `target` on behalf of this instance.
    PingRequest {
        to: SocketAddr,
        target: InstanceId,
        address: SocketAddr,
        sequence: u64,
    },
    /// Broadcast the record of the given instance.
    Broadcast(InstanceId),
    /// Ask the sender for its full record of the given instance.
    RequestRecord(InstanceId),
    /// Send the full record of the given instance to the sender.
    SendRecord(InstanceId),
    /// Start an anti-entropy sync with the instance at the given address.
    Sync(SocketAddr),
}

/// The membership table and failure detector of one instance.
pub(crate) struct Membership {
    pub(super) own: InstanceId,
    pub(super) entries: HashMap<InstanceId, MemberEntry>,
    /// Instances still to be probed in this round. A round probes each instance
    /// once, in random order.
    pub(super) probe_round: Vec<InstanceId>,
    pub(super) probe: Option<Probe>,
    pub(super) next_probe: Time,
    pub(super) relayed_probes: HashMap<u64, RelayedProbe>,
    /// Pending probe of a dead instance: its sequence number and the address.
    pub(super) dead_probe: Option<(u64, SocketAddr)>,
    pub(super) last_sequence: u64,
    /// Local health score. Zero is healthy; it rises when failures are likely
    /// caused by this instance.
    pub(super) health: u32,
    pub(super) consecutive_failures: u32,
    pub(super) probe_period: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) dirty: bool,
    pub(super) seeds: Vec<SocketAddr>,
    last_tick: Option<Time>,
    pub(super) next_dead_probe: Time,
    pub(super) next_seed_sync: Time,
    version: u64,
    /// Records received of another process that uses this instance's id.
    pub(super) conflicts: u64,
}

impl Membership {
    /// A table that contains only this instance.
    pub(crate) fn new(now: Time, settings: DetectorSettings, rng: ChaCha8Rng) -> Self {
        let DetectorSettings {
            own,
            mut seeds,
            probe_period,
        } = settings;
        seeds.retain(|seed| *seed != own.gossip);
        let id = own.id;
        let version = MemberVersion {
            incarnation: own.incarnation,
            revision: 0,
            state: MemberState::Alive,
        };
        let entry = MemberEntry {
            member: Arc::new(own),
            version,
            since: PastInstant::now(now),
            deadline: None,
        };
        Self {
            own: id,
            entries: [(id, entry)].into_iter().collect(),
            probe_round: Vec::new(),
            probe: None,
            next_probe: now,
            relayed_probes: HashMap::default(),
            dead_probe: None,
            last_sequence: 0,
            health: 0,
            consecutive_failures: 0,
            probe_period,
            rng,
            dirty: true,
            seeds,
            last_tick: None,
            next_dead_probe: now + probe_period * DEAD_PROBE_PERIODS,
            next_seed_sync: now,
            version: 0,
            conflicts: 0,
        }
    }

    /// Runs the timers. Must be called several times per period, and before
    /// other events of the same time.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let gap = self
            .last_tick
            .map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap >= SUSPEND_GAP {
            self.recover_from_suspension(now, gap, out);
        }
        self.expire_suspects(now, out);
        self.expire_relayed_probes(now, out);
        self.advance_probe(now, out);
        self.probe_dead(now, out);
        self.sync_with_seeds(now, out);
    }

    /// Announces that this instance takes no new requests.
    pub(crate) fn drain(&mut self, out: &mut Vec<MemberEffect>) {
        self.update_own(MemberState::Alive, |own| own.draining = true, out);
    }

    /// Announces that this instance leaves.
    pub(crate) fn leave(&mut self, out: &mut Vec<MemberEffect>) {
        self.update_own(MemberState::Left, |own| own.draining = true, out);
    }

    pub(crate) fn has_left(&self) -> bool {
        self.entries[&self.own].version.state == MemberState::Left
    }

    /// Id and incarnation of this instance.
    pub(crate) fn identity(&self) -> (InstanceId, Incarnation) {
        (self.own, self.entries[&self.own].version.incarnation)
    }

    /// State of `id` in this instance's view.
    pub(crate) fn state(&self, id: InstanceId) -> Option<MemberState> {
        self.entries.get(&id).map(|entry| entry.version.state)
    }

    /// Datagram address of `id`.
    pub(crate) fn address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.entries.get(&id).map(|entry| entry.member.gossip)
    }

    /// Number of alive or suspect instances, this one included.
    pub(crate) fn present(&self) -> usize {
        self.entries.values().filter(|e| e.present()).count()
    }

    /// Datagram addresses of up to `count` randomly chosen other instances that
    /// are alive or suspect.
    pub(crate) fn random_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let own = self.own;
        let others = self
            .entries
            .iter()
            .filter(|(id, e)| **id != own && e.present());
        let mut others: Vec<_> = others.map(|(id, e)| (*id, e.member.gossip)).collect();
        others.sort_unstable_by_key(|(id, _)| *id);
        let chosen = others.sample(&mut self.rng, count);
        chosen.map(|(_, address)| *address).collect()
    }

    /// Local health score; zero is healthy.
    pub(crate) fn health(&self) -> u32 {
        self.health
    }

    /// Number of records received of another process that uses this instance's
    /// id.
    pub(crate) fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// The member view, if it changed since the last call.
    pub(crate) fn changed_view(&mut self) -> Option<MemberView> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        self.version += 1;
        let mut members: Vec<_> = self
            .entries
            .values()
            .map(|e| Arc::clone(&e.member))
            .collect();
        members.sort_unstable_by_key(|m| m.id);
        Some(MemberView {
            version: self.version,
            members,
        })
    }

    /// All members, sorted by id.
    pub(crate) fn dump(&self, now: Time) -> Vec<MemberDump> {
        let mut dumps: Vec<_> = self.entries.values().map(|e| e.dump(now)).collect();
        dumps.sort_unstable_by_key(|d| d.member.id);
        dumps
    }

    /// Id and record hash of each member that takes part in syncs.
    pub(crate) fn hashes(&self, now: Time) -> impl Iterator<Item = (u64, u64)> + '_ {
        use std::hash::{Hash, Hasher};
        let shared = move |e: &MemberEntry| {
            e.present() || e.since.age(now) + RETENTION_MARGIN < DEAD_RETENTION
        };
        let entries = self.entries.iter().filter(move |(_, e)| shared(e));
        entries.map(|(id, entry)| {
            let mut hasher = rustc_hash::FxHasher::default();
            (id, entry.version).hash(&mut hasher);
            (id.0, hasher.finish())
        })
    }

    /// Raises or lowers the local health score by one step.
    pub(super) fn adjust_health(&mut self, worse: bool) {
        self.health = match worse {
            true => (self.health + 1).min(MAX_HEALTH),
            false => self.health.saturating_sub(1),
        };
    }

    /// Changes the state of a member and broadcasts it.
    pub(super) fn set_state(
        &mut self,
        now: Time,
        id: InstanceId,
        state: MemberState,
        out: &mut Vec<MemberEffect>,
    ) {
        let deadline = (state == MemberState::Suspect).then(|| now + self.suspicion_timeout());
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        entry.version.state = state;
        entry.since = PastInstant::now(now);
        entry.deadline = deadline;
        Arc::make_mut(&mut entry.member).state = state;
        self.dirty = true;
        out.push(MemberEffect::Broadcast(id));
    }

    /// Time that a suspect has to refute. It grows with the logarithm of the
    /// fleet size, as does the time that a broadcast takes to spread.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let size = f64::from(u32::try_from(self.present()).unwrap_or(u32::MAX));
        let scale = size.log10().max(1.0);
        (self.probe_period * SUSPICION_PERIODS * (1 + self.health)).mul_f64(scale)
    }

    /// Changes this instance's own record under a new revision and broadcasts
    /// it.
    pub(super) fn update_own(
        &mut self,
        state: MemberState,
        change: impl FnOnce(&mut Member),
        out: &mut Vec<MemberEffect>,
    ) {
        let own = self.own;
        let Some(entry) = self.entries.get_mut(&own) else {
            return;
        };
        entry.version.revision += 1;
        entry.version.state = state;
        let member = Arc::make_mut(&mut entry.member);
        member.state = state;
        change(member);
        self.dirty = true;
        out.push(MemberEffect::Broadcast(own));
    }
}

/// No instance counts as alive while this one is isolated.
///
/// An instance that is alone behind a partition detects one other instance as
/// failed per period, which takes minutes in a large fleet. Until then it would
/// send requests to upstreams that have left.
impl InstanceLiveness for Membership {
    fn is_alive(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        let alive = |entry: &MemberEntry| {
            entry.version.state == MemberState::Alive && entry.version.incarnation == incarnation
        };
        self.consecutive_failures < ISOLATION_FAILURES && self.entries.get(&id).is_some_and(alive)
    }
}
