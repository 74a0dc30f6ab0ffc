//! Timers of the detector other than those of probes.

use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::membership::detector::{
    DEAD_PROBE_PERIODS, DEAD_RETENTION, MAX_HEALTH, MemberEffect, Membership, SEED_SYNC_PERIODS,
};
use crate::membership::member::{MemberEntry, MemberState};

impl Membership {
    /// Resets timers and drops pending probes after a suspension of this process.
    ///
    /// After a suspension of a minute, all timers have expired, though the
    /// answers may have arrived meanwhile. Without this, the whole fleet would be
    /// declared dead.
    pub(super) fn recover_from_suspension(
        &mut self,
        now: Time,
        gap: Duration,
        out: &mut Vec<MemberEffect>,
    ) {
        // The worst score, which lengthens the timeouts.
        self.health = MAX_HEALTH;
        self.probe = None;
        self.next_probe = now;
        self.relayed_probes.clear();
        self.dead_probe = None;
        // Suspects get their remaining time again.
        for entry in self.entries.values_mut() {
            entry.deadline = entry.deadline.map(|at| at + gap);
        }
        out.extend(self.random_peers(1).into_iter().map(MemberEffect::Sync));
    }

    pub(super) fn expire_suspects(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let expired = |entry: &MemberEntry| entry.deadline.is_some_and(|at| at <= now);
        let ended = self.entries.iter().filter(|(_, e)| expired(e));
        let mut ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        ended.sort_unstable();
        for id in ended {
            self.set_state(now, id, MemberState::Dead, out);
        }
    }

    /// Periodically probes one dead instance, so that the sides of a healed
    /// partition rejoin, and removes instances whose retention has expired.
    pub(super) fn probe_dead(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_dead_probe {
            return;
        }
        self.next_dead_probe = now + self.probe_period * DEAD_PROBE_PERIODS;
        self.remove_expired(now);
        let dead = self
            .entries
            .iter()
            .filter(|(_, e)| e.version.state == MemberState::Dead);
        let mut dead: Vec<_> = dead.map(|(id, e)| (*id, e.member.gossip)).collect();
        dead.sort_unstable_by_key(|(id, _)| *id);
        let Some((target, to)) = dead.choose(&mut self.rng).copied() else {
            return;
        };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        self.dead_probe = Some((sequence, to));
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    fn remove_expired(&mut self, now: Time) {
        let before = self.entries.len();
        let own = self.own;
        self.entries
            .retain(|id, e| *id == own || e.present() || e.since.age(now) < DEAD_RETENTION);
        self.dirty |= self.entries.len() != before;
    }

    /// Syncs with all seeds each period while no other instance is present, and
    /// otherwise with one seed at longer intervals, in case the fleet started as
    /// two halves that don't know each other.
    pub(super) fn sync_with_seeds(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if now < self.next_seed_sync || self.seeds.is_empty() || self.has_left() {
            return;
        }
        let present = u32::try_from(self.present()).unwrap_or(u32::MAX);
        let alone = present <= 1;
        let periods = if alone {
            1
        } else {
            SEED_SYNC_PERIODS.max(present / 2)
        };
        let jitter = self.rng.random_range(0.5..1.5);
        self.next_seed_sync = now + (self.probe_period * periods).mul_f64(jitter);
        let count = if alone { self.seeds.len() } else { 1 };
        let chosen = self.seeds.sample(&mut self.rng, count);
        out.extend(chosen.copied().map(MemberEffect::Sync));
    }
}
