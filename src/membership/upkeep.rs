//! What the detector does by itself as time passes, other than probes.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::membership::detector::{MAX_HEALTH, MemberEffect, Membership, RESEED, RETENTION, RETRY};
use crate::membership::member::{MemberState, Slot};

impl Membership {
    /// Goes on after a suspension of this process.
    ///
    /// Guards against a process that was stopped for a minute and declares
    /// the whole fleet dead when it runs again: the answers to its probe came
    /// while it slept, and all its timers have run out. So it forgets the
    /// probe, gives each suspect its remaining time again, and is wary.
    pub(super) fn wake(&mut self, now: Time, gap: Duration, out: &mut Vec<MemberEffect>) {
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

    pub(super) fn end_suspicions(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
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
    pub(super) fn retry_dead(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_retry {
            return;
        }
        self.next_retry = now + self.probe_period * RETRY;
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

    /// Compares tables with all seeds each period while alone, and else with
    /// one now and then, in case the fleet began as two halves that don't know
    /// each other.
    pub(super) fn visit_seed(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_seed || self.seeds.is_empty() || self.left() {
            return;
        }
        let present = u32::try_from(self.present()).unwrap_or(u32::MAX);
        let alone = present <= 1;
        let pause = if alone { 1 } else { RESEED.max(present / 2) };
        let jitter = self.rng.random_range(0.5..1.5);
        self.next_seed = now + (self.probe_period * pause).mul_f64(jitter);
        let count = if alone { self.seeds.len() } else { 1 };
        let visited = self.seeds.sample(&mut self.rng, count);
        out.extend(visited.copied().map(MemberEffect::Sync));
    }
}
