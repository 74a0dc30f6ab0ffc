//! The table of instances and its life over time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId};
use crate::membership::member::{Member, MemberDump, MemberState, MemberVersion, MemberView, Slot};
use crate::membership::probe::{Probe, Relay};
use crate::upstream::{Since, Vouchers};

/// Most instances, dead ones included.
pub(crate) const MAX_MEMBERS: usize = 1_024;

/// How long a dead instance is remembered and retried. Regions lose each other
/// for an hour now and then; six hours outlast that.
pub(crate) const RETENTION: Duration = Duration::from_secs(21_600);

/// Records this close to their end are no longer told of, so that instances
/// which drop them at different times don't hand them back to each other.
const FADE: Duration = Duration::from_secs(60);

/// Periods of suspicion for each power of ten in the size of the fleet.
const SUSPICION: u32 = 3;

/// Worst state of the local health, which stretches all timeouts.
const MAX_HEALTH: u32 = 4;

/// A pause between two ticks after which this process was suspended.
pub(crate) const STALL: Duration = Duration::from_secs(2);

/// Periods between two probes of a dead instance.
const RETRY: u32 = 10;

/// Periods between two exchanges with a seed, while others are alive.
const RESEED: u32 = 30;

/// Settings of the detector.
#[derive(Clone, Debug)]
pub(crate) struct DetectorSettings {
    /// This instance.
    pub(crate) own: Member,
    /// Addresses to join through.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Time between two probes.
    pub(crate) period: Duration,
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
    Request {
        to: SocketAddr,
        target: InstanceId,
        address: SocketAddr,
        sequence: u64,
    },
    /// Tell the fleet of this instance.
    Spread(InstanceId),
    /// Ask the sender for its record of this instance.
    Want(InstanceId),
    /// Send the record of this instance to the sender.
    Reply(InstanceId),
    /// Compare tables with the instance at this address.
    Sync(SocketAddr),
}

/// The failure detector.
pub(crate) struct Membership {
    pub(super) own: InstanceId,
    pub(super) slots: HashMap<InstanceId, Slot>,
    /// Order of probes: each instance once a round, in random order.
    pub(super) round: Vec<InstanceId>,
    pub(super) probe: Option<Probe>,
    pub(super) next_probe: Time,
    pub(super) relays: HashMap<u64, Relay>,
    /// Dead instance that is being retried, by the number of its probe.
    pub(super) retried: Option<(u64, SocketAddr)>,
    pub(super) sequence: u64,
    /// Zero is healthy. Grows when this instance is the likely cause.
    pub(super) health: u32,
    pub(super) period: Duration,
    pub(super) rng: ChaCha8Rng,
    pub(super) dirty: bool,
    seeds: Vec<SocketAddr>,
    last_tick: Option<Time>,
    next_retry: Time,
    next_seed: Time,
    version: u64,
    /// Records of another process that uses this instance's number.
    pub(super) conflicts: u64,
}

impl Membership {
    /// A table that knows this instance alone.
    pub(crate) fn new(now: Time, settings: DetectorSettings, rng: ChaCha8Rng) -> Self {
        let DetectorSettings { own, seeds, period } = settings;
        let id = own.id;
        let version = MemberVersion {
            incarnation: own.incarnation,
            revision: 0,
            state: MemberState::Alive,
        };
        let slot = Slot {
            member: Arc::new(own),
            version,
            since: Since::now(now),
            deadline: None,
        };
        Self {
            own: id,
            slots: [(id, slot)].into_iter().collect(),
            round: Vec::new(),
            probe: None,
            next_probe: now,
            relays: HashMap::default(),
            retried: None,
            sequence: 0,
            health: 0,
            period,
            rng,
            dirty: true,
            seeds,
            last_tick: None,
            next_retry: now + period * RETRY,
            next_seed: now,
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
        if gap >= STALL {
            self.wake(now, gap, out);
        }
        self.end_suspicions(now, out);
        self.end_relays(now, out);
        self.drive_probe(now, out);
        self.retry_dead(now, out);
        self.visit_seed(now, out);
    }

    /// Says that this instance takes no new requests.
    pub(crate) fn drain(&mut self, out: &mut Vec<MemberEffect>) {
        self.restate(MemberState::Alive, |own| own.draining = true, out);
    }

    /// Says that this instance leaves.
    pub(crate) fn leave(&mut self, out: &mut Vec<MemberEffect>) {
        self.restate(MemberState::Left, |own| own.draining = true, out);
    }

    /// Whether this instance has left.
    pub(crate) fn left(&self) -> bool {
        self.slots[&self.own].version.state == MemberState::Left
    }

    /// Number and incarnation of this instance.
    pub(crate) fn identity(&self) -> (InstanceId, Incarnation) {
        (self.own, self.slots[&self.own].version.incarnation)
    }

    /// What this instance holds `id` for.
    pub(crate) fn state(&self, id: InstanceId) -> Option<MemberState> {
        self.slots.get(&id).map(|slot| slot.version.state)
    }

    /// Where to send datagrams for `id`.
    pub(crate) fn address(&self, id: InstanceId) -> Option<SocketAddr> {
        self.slots.get(&id).map(|slot| slot.member.gossip)
    }

    /// Instances that are alive or suspect, this one included.
    pub(crate) fn present(&self) -> usize {
        self.slots.values().filter(|s| s.present()).count()
    }

    /// Up to `count` other instances that are present, at random.
    pub(crate) fn pick(&mut self, count: usize) -> Vec<SocketAddr> {
        let own = self.own;
        let others = self
            .slots
            .iter()
            .filter(|(id, s)| **id != own && s.present());
        let mut others: Vec<_> = others.map(|(id, s)| (*id, s.member.gossip)).collect();
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
        let mut members: Vec<_> = self.slots.values().map(|s| Arc::clone(&s.member)).collect();
        members.sort_unstable_by_key(|m| m.id);
        Some(MemberView {
            version: self.version,
            members,
        })
    }

    /// All members, sorted by number.
    pub(crate) fn dump(&self, now: Time) -> Vec<MemberDump> {
        let mut dumps: Vec<_> = self.slots.values().map(|s| s.dump(now)).collect();
        dumps.sort_unstable_by_key(|d| d.member.id);
        dumps
    }

    /// Number and hash of each member that is told of.
    pub(crate) fn hashes(&self, now: Time) -> impl Iterator<Item = (u64, u64)> + '_ {
        use std::hash::{Hash, Hasher};
        let told = move |s: &Slot| s.present() || s.since.age(now) + FADE < RETENTION;
        let slots = self.slots.iter().filter(move |(_, s)| told(s));
        slots.map(|(id, slot)| {
            let mut hasher = rustc_hash::FxHasher::default();
            (id, slot.version).hash(&mut hasher);
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
    pub(super) fn set(
        &mut self,
        now: Time,
        id: InstanceId,
        state: MemberState,
        out: &mut Vec<MemberEffect>,
    ) {
        let deadline = (state == MemberState::Suspect).then(|| now + self.suspicion());
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        slot.version.state = state;
        slot.since = Since::now(now);
        slot.deadline = deadline;
        Arc::make_mut(&mut slot.member).state = state;
        self.dirty = true;
        out.push(MemberEffect::Spread(id));
    }

    /// Time that a suspect has to refute. It grows with the logarithm of the
    /// fleet, as the time that a rumour takes does.
    pub(super) fn suspicion(&self) -> Duration {
        let size = f64::from(u32::try_from(self.present()).unwrap_or(u32::MAX));
        let scale = size.log10().max(1.0);
        (self.period * SUSPICION * (1 + self.health)).mul_f64(scale)
    }

    /// Raises the own revision with a change.
    pub(super) fn restate(
        &mut self,
        state: MemberState,
        change: impl FnOnce(&mut Member),
        out: &mut Vec<MemberEffect>,
    ) {
        let own = self.own;
        let Some(slot) = self.slots.get_mut(&own) else {
            return;
        };
        slot.version.revision += 1;
        slot.version.state = state;
        let member = Arc::make_mut(&mut slot.member);
        member.state = state;
        change(member);
        self.dirty = true;
        out.push(MemberEffect::Spread(own));
    }

    /// Goes on after a suspension of this process.
    ///
    /// Guards against a process that was stopped for a minute and declares
    /// the whole fleet dead when it runs again: the answers to its probe came
    /// while it slept, and all its timers have run out. So it forgets the
    /// probe, gives each suspect its remaining time again, and is wary.
    fn wake(&mut self, now: Time, gap: Duration, out: &mut Vec<MemberEffect>) {
        self.health = MAX_HEALTH;
        self.probe = None;
        self.next_probe = now;
        self.relays.clear();
        self.retried = None;
        for slot in self.slots.values_mut() {
            slot.deadline = slot.deadline.map(|at| at + gap);
        }
        out.extend(self.pick(1).into_iter().map(MemberEffect::Sync));
    }

    fn end_suspicions(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let over = |slot: &Slot| slot.deadline.is_some_and(|at| at <= now);
        let ended = self.slots.iter().filter(|(_, s)| over(s));
        let mut ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        ended.sort_unstable();
        for id in ended {
            self.set(now, id, MemberState::Dead, out);
        }
    }

    /// Probes one dead instance now and then, so that the two sides of a
    /// partition find each other again, and forgets those dead for too long.
    fn retry_dead(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_retry {
            return;
        }
        self.next_retry = now + self.period * RETRY;
        self.forget(now);
        let dead = self
            .slots
            .iter()
            .filter(|(_, s)| s.version.state == MemberState::Dead);
        let mut dead: Vec<_> = dead.map(|(id, s)| (*id, s.member.gossip)).collect();
        dead.sort_unstable_by_key(|(id, _)| *id);
        let Some((target, to)) = dead.choose(&mut self.rng).copied() else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        self.retried = Some((sequence, to));
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    fn forget(&mut self, now: Time) {
        let before = self.slots.len();
        let own = self.own;
        self.slots
            .retain(|id, s| *id == own || s.present() || s.since.age(now) < RETENTION);
        self.dirty |= self.slots.len() != before;
    }

    /// Compares tables with a seed: each period while alone, and else seldom,
    /// in case two halves of the fleet have forgotten each other.
    fn visit_seed(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_seed || self.seeds.is_empty() || self.left() {
            return;
        }
        let pause = if self.present() > 1 { RESEED } else { 1 };
        let jitter = self.rng.random_range(0.5..1.5);
        self.next_seed = now + (self.period * pause).mul_f64(jitter);
        let seed = self.seeds.choose(&mut self.rng).copied();
        let own = self.address(self.own);
        out.extend(seed.filter(|s| Some(*s) != own).map(MemberEffect::Sync));
    }
}

impl Vouchers for Membership {
    fn alive(&self, id: InstanceId, boot: Incarnation) -> bool {
        self.slots.get(&id).is_some_and(|slot| {
            slot.version.state == MemberState::Alive && slot.version.incarnation == boot
        })
    }
}
