//! Records that other instances tell of.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::id::InstanceId;
use crate::membership::detector::{MAX_MEMBERS, MemberEffect, Membership, RETENTION};
use crate::membership::member::{Member, MemberState, MemberVersion, Slot};
use crate::membership::wire::MemberRecord;
use crate::upstream::PastInstant;

/// How a record came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// As news, to be told on.
    Rumour,
    /// From a comparison of tables, which reaches all by itself.
    Sync,
}

impl Membership {
    /// Merges a record.
    pub(crate) fn merge(&mut self, now: Time, record: &MemberRecord, out: &mut Vec<MemberEffect>) {
        let Some(version) = record.version() else {
            return;
        };
        let id = InstanceId(record.id);
        if id == self.own {
            self.refute(version, out);
            return;
        }
        let since = PastInstant::aged(now, Duration::from_millis(record.age.into()));
        match self.slots.get(&id).map(|slot| slot.version) {
            None => self.learn(now, version, record, since, out),
            Some(known) if version > known => self.update(now, id, version, record, since, out),
            Some(_) => {}
        }
    }

    /// The record of `id`, with everything if `full`.
    pub(crate) fn record(&self, now: Time, id: InstanceId, full: bool) -> Option<MemberRecord> {
        let slot = self.slots.get(&id)?;
        let final_state = !slot.present();
        let age = if final_state {
            slot.since.age(now)
        } else {
            Duration::ZERO
        };
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let mut record = MemberRecord::new(id, slot.version, age);
        if full || slot.version.state == MemberState::Alive {
            record.info = Some((&*slot.member).into());
        }
        Some(record)
    }

    /// Answers a record about this instance that isn't its own word.
    ///
    /// Guards against an instance that is alive and stays dead for the others
    /// after a lost datagram or a partition: only a higher revision of its own
    /// outranks the accusation everywhere. One who holds an accusation that
    /// was refuted before gets the refutation at once.
    fn refute(&mut self, version: MemberVersion, out: &mut Vec<MemberEffect>) {
        let own = self.slots[&self.own].version;
        if version.incarnation > own.incarnation {
            self.conflicts += 1;
            return;
        }
        let accused = version.state != MemberState::Alive;
        if self.left() || (version <= own && !accused) {
            return;
        }
        if version > own {
            if let Some(slot) = self.slots.get_mut(&self.own) {
                slot.version.revision = version.revision;
            }
            self.restate(MemberState::Alive, |_| (), out);
        }
        if accused {
            out.push(MemberEffect::Reply(self.own));
        }
        if accused && version > own {
            self.adjust_health(true);
        }
    }

    /// Adds an instance that was unknown.
    fn learn(
        &mut self,
        now: Time,
        version: MemberVersion,
        record: &MemberRecord,
        since: PastInstant,
        out: &mut Vec<MemberEffect>,
    ) {
        let id = InstanceId(record.id);
        let ended = version.state >= MemberState::Dead && since.age(now) >= RETENTION;
        if ended || id.0 == 0 || !self.has_room(now) {
            return;
        }
        let Some(member) = record.member() else {
            out.push(MemberEffect::Want(id));
            return;
        };
        self.put(now, version, member, since);
        self.enter_round(id);
        out.push(MemberEffect::Spread(id));
    }

    /// Takes a record above the one known.
    ///
    /// Guards against one side of a partition that kills the other when they
    /// meet: word of a death makes an instance that is present here suspect
    /// at most. If it lives, it refutes; if not, the own timer decides.
    fn update(
        &mut self,
        now: Time,
        id: InstanceId,
        mut version: MemberVersion,
        record: &MemberRecord,
        since: PastInstant,
        out: &mut Vec<MemberEffect>,
    ) {
        let slot = &self.slots[&id];
        let (known, present) = (slot.version, slot.present());
        if version.state == MemberState::Dead && present {
            version.state = MemberState::Suspect;
        }
        if version <= known {
            return;
        }
        let stale = known.incarnation != version.incarnation;
        let member = match record.member() {
            Some(member) => member,
            None if stale || !present => return out.push(MemberEffect::Want(id)),
            None => Member::clone(&slot.member),
        };
        self.put(now, version, member, since);
        if !present {
            self.enter_round(id);
        }
        out.push(MemberEffect::Spread(id));
    }

    fn put(&mut self, now: Time, version: MemberVersion, mut member: Member, since: PastInstant) {
        member.state = version.state;
        let suspected = version.state == MemberState::Suspect;
        let deadline = suspected.then(|| now + self.suspicion());
        let slot = Slot {
            version,
            since: if suspected {
                PastInstant::now(now)
            } else {
                since
            },
            deadline,
            member: Arc::new(member),
        };
        self.slots.insert(slot.member.id, slot);
        self.dirty = true;
    }

    /// Puts a newcomer at a random place of the current round.
    fn enter_round(&mut self, id: InstanceId) {
        use rand::RngExt;
        let place = self.rng.random_range(0..=self.round.len());
        self.round.insert(place, id);
    }

    /// Whether another instance fits, after the one that ended first made room
    /// if need be.
    fn has_room(&mut self, now: Time) -> bool {
        if self.slots.len() < MAX_MEMBERS {
            return true;
        }
        let ended = self.slots.iter().filter(|(_, s)| !s.present());
        let oldest = ended.max_by_key(|(id, s)| (s.since.age(now), **id));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        self.slots.remove(&id);
        true
    }
}
