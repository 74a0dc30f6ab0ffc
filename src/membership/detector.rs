//! The table of instances and its life over time.

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
use crate::upstream::{Since, Vouchers};

/// Most instances, dead ones included.
pub(crate) const MAX_MEMBERS: usize = 1_024;

/// How long a dead instance is remembered and retried. Regions lose each other
/// for an hour now and then; six hours outlast that.
pub(crate) const DEAD_RETENTION: Duration = Duration::from_secs(21_600);

/// Records this close to their end are no longer told of, so that instances
/// which drop them at different times don't hand them back to each other.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);

/// Periods of suspicion for each power of ten in the size of the fleet.
const SUSPICION_PERIODS: u32 = 3;

/// Worst state of the local health, which stretches all timeouts.
pub(super) const MAX_HEALTH: u32 = 2;

/// Probes without answer in a row after which this instance is cut off.
const ISOLATION_FAILURES: u32 = 5;

/// A pause between two ticks after which this process was suspended.
pub(crate) const SUSPEND_GAP: Duration = Duration::from_secs(2);

/// Periods between two probes of a dead instance.
pub(super) const DEAD_PROBE_PERIODS: u32 = 10;

/// Least periods between two comparisons with a seed, while others are alive.
/// In a large fleet it is half as many as there are instances, so that the
/// seeds get the same number of them.
pub(super) const SEED_SYNC_PERIODS: u32 = 5;

/// Settings of the detector.
#[derive(Clone, Debug)]
pub(crate) struct DetectorSettings {
    /// This instance.
    pub(crate) own: Member,
    /// Addresses to join through.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub(crate) probe_period: Duration,
}

/// What the owner of the detector must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberEffect {
    /// Probe `target`.
    Ping {
        to: SocketAddr,
        target: InstanceId,
        sequence: u64,
    },
    /// Answer a probe.
    Ack { to: SocketAddr, sequence: u64 },
    /// Answer a request for a probe that got no answer.
    Nack { to: SocketAddr, sequence: u64 },
    /// Ask a helper to probe `target`.
    PingRequest {
        to: SocketAddr,
        target: InstanceId,
        address: SocketAddr,
        sequence: u64,
    },
    /// Tell the fleet of this instance.
    Broadcast(InstanceId),
    /// Ask the sender for its record of this instance.
    RequestRecord(InstanceId),
    /// Send the record of this instance to the sender.
    SendRecord(InstanceId),
    /// Compare tables with the instance at this address.
    Sync(SocketAddr),
}

/// The failure detector.
pub(crate) struct Membership {
    pub(super) own: InstanceId,
    pub(super) entries: HashMap<InstanceId, MemberEntry>,
    /// Order of probes: each instance once a round, in random order.
    pub(super) probe_round: Vec<InstanceId>,
    pub(super) probe: Option<Probe>,
    pub(super) next_probe: Time,
    pub(super) relayed_probes: HashMap<u64, RelayedProbe>,
    /// Dead instance that is being retried, by the number of its probe.
    pub(super) dead_probe: Option<(u64, SocketAddr)>,
    pub(super) last_sequence: u64,
    /// Zero is healthy. Grows when this instance is the likely cause.
    pub(super) health: u32,
    /// Probes in a row that got no answer.
    pub(super) consecutive_failures: u32,
    pub(super) probe_period: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) dirty: bool,
    pub(super) seeds: Vec<SocketAddr>,
    last_tick: Option<Time>,
    pub(super) next_dead_probe: Time,
    pub(super) next_seed_sync: Time,
    version: u64,
    /// Records of another process that uses this instance's number.
    pub(super) conflicts: u64,
}

impl Membership {
    /// A table that knows this instance alone.
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
            since: Since::now(now),
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

    /// Lets time pass. To be called a few times a period, before other events
    /// of the same time.
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

    /// Says that this instance takes no new requests.
    pub(crate) fn drain(&mut self, out: &mut Vec<MemberEffect>) {
        self.update_own(MemberState::Alive, |own| own.draining = true, out);
    }

    /// Says that this instance leaves.
    pub(crate) fn leave(&mut self, out: &mut Vec<MemberEffect>) {
        self.update_own(MemberState::Left, |own| own.draining = true, out);
    }

    /// Whether this instance has left.
    pub(crate) fn has_left(&self) -> bool {
        self.entries[&self.own].version.state == MemberState::Left
    }

    /// Number and incarnation of this instance.
    pub(crate) fn identity(&self) -> (InstanceId, Incarnation) {
        (self.own, self.entries[&self.own].version.incarnation)
    }

    /// What this instance holds `id` for.
    pub(crate) fn state(&self, id: InstanceId) -> Option<MemberState> {
        self.entries.get(&id).map(|entry| entry.version.state)
    }

    /// Where to send datagrams for `id`.
    pub(crate) fn address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.entries.get(&id).map(|entry| entry.member.gossip)
    }

    /// Instances that are alive or suspect, this one included.
    pub(crate) fn present(&self) -> usize {
        self.entries.values().filter(|e| e.present()).count()
    }

    /// Up to `count` other instances that are present, at random.
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

    /// Local health: zero is healthy.
    pub(crate) fn health(&self) -> u32 {
        self.health
    }

    /// Records of another process that uses this instance's number.
    pub(crate) fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// The view if it changed since the last call.
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

    /// All members, sorted by number.
    pub(crate) fn dump(&self, now: Time) -> Vec<MemberDump> {
        let mut dumps: Vec<_> = self.entries.values().map(|e| e.dump(now)).collect();
        dumps.sort_unstable_by_key(|d| d.member.id);
        dumps
    }

    /// Number and hash of each member that is told of.
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

    /// Makes this instance less or more sure of itself.
    pub(super) fn adjust_health(&mut self, worse: bool) {
        self.health = match worse {
            true => (self.health + 1).min(MAX_HEALTH),
            false => self.health.saturating_sub(1),
        };
    }

    /// Marks a member and reports it.
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
        entry.since = Since::now(now);
        entry.deadline = deadline;
        Arc::make_mut(&mut entry.member).state = state;
        self.dirty = true;
        out.push(MemberEffect::Broadcast(id));
    }

    /// Time that a suspect has to refute. It grows with the logarithm of the
    /// fleet, as the time that a rumour takes does.
    pub(super) fn suspicion_timeout(&self) -> Duration {
        let size = f64::from(u32::try_from(self.present()).unwrap_or(u32::MAX));
        let scale = size.log10().max(1.0);
        (self.probe_period * SUSPICION_PERIODS * (1 + self.health)).mul_f64(scale)
    }

    /// Raises the own revision with a change.
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

/// Nobody vouches while this instance is cut off.
///
/// Guards against an instance alone behind a silent partition. It finds out
/// about one other instance a period, which takes minutes in a large fleet;
/// all that time it would give work to upstreams that left.
impl Vouchers for Membership {
    fn alive(&self, id: InstanceId, boot: Incarnation) -> bool {
        let alive = |entry: &MemberEntry| {
            entry.version.state == MemberState::Alive && entry.version.incarnation == boot
        };
        self.consecutive_failures < ISOLATION_FAILURES && self.entries.get(&id).is_some_and(alive)
    }
}
