//! Merging of records received from other instances.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::id::InstanceId;
use crate::membership::detector::{DEAD_RETENTION, MAX_MEMBERS, MemberEffect, Membership};
use crate::membership::member::{Member, MemberEntry, MemberState, MemberVersion};
use crate::membership::wire::MemberRecord;
use crate::upstream::PastInstant;

/// How a record was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// By broadcast; it is broadcast further.
    Broadcast,
    /// By an anti-entropy sync, which reaches all instances without broadcasts.
    Sync,
}

impl Membership {
    /// Merges a received record.
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
        match self.entries.get(&id).map(|entry| entry.version) {
            None => self.insert_new(now, version, record, since, out),
            Some(known) if version > known => self.update(now, id, version, record, since, out),
            Some(_) => {}
        }
    }

    /// The record of `id`, always with `info` if `full`.
    pub(crate) fn record(&self, now: Time, id: InstanceId, full: bool) -> Option<MemberRecord> {
        let entry = self.entries.get(&id)?;
        let final_state = !entry.present();
        let age = if final_state {
            entry.since.age(now)
        } else {
            Duration::ZERO
        };
        let age = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let mut record = MemberRecord::new(id, entry.version, age);
        if full || entry.version.state == MemberState::Alive {
            record.info = Some((&*entry.member).into());
        }
        Some(record)
    }

    /// Overrides a record about this instance that it didn't publish itself, such
    /// as a suspicion.
    ///
    /// After a lost datagram or a partition, others could keep a live instance
    /// as dead; only a higher revision of its own outranks that record
    /// everywhere. A sender with an outdated, already refuted record gets the
    /// current one at once.
    fn refute(&mut self, version: MemberVersion, out: &mut Vec<MemberEffect>) {
        let own = self.entries[&self.own].version;
        if version.incarnation > own.incarnation {
            self.conflicts += 1;
            return;
        }
        let not_alive = version.state != MemberState::Alive;
        if self.has_left() || (version <= own && !not_alive) {
            return;
        }
        if version > own {
            if let Some(entry) = self.entries.get_mut(&self.own) {
                entry.version.revision = version.revision;
            }
            self.update_own(MemberState::Alive, |_| (), out);
        }
        if not_alive {
            out.push(MemberEffect::SendRecord(self.own));
        }
        if not_alive && version > own {
            self.adjust_health(true);
        }
    }

    /// Adds an unknown instance.
    fn insert_new(
        &mut self,
        now: Time,
        version: MemberVersion,
        record: &MemberRecord,
        since: PastInstant,
        out: &mut Vec<MemberEffect>,
    ) {
        let id = InstanceId(record.id);
        let ended = version.state >= MemberState::Dead && since.age(now) >= DEAD_RETENTION;
        if ended || id.0 == 0 || !self.make_room(now) {
            return;
        }
        let Some(member) = record.member() else {
            out.push(MemberEffect::RequestRecord(id));
            return;
        };
        self.insert(now, version, member, since);
        self.insert_into_round(id);
        out.push(MemberEffect::Broadcast(id));
    }

    /// Replaces the known record by a newer one.
    ///
    /// A received `Dead` only makes a present instance suspect: otherwise, when
    /// a partition heals, each side would take over the other's verdict that
    /// its own members are dead. A live instance refutes; a dead one is
    /// declared dead when the local timer expires.
    fn update(
        &mut self,
        now: Time,
        id: InstanceId,
        mut version: MemberVersion,
        record: &MemberRecord,
        since: PastInstant,
        out: &mut Vec<MemberEffect>,
    ) {
        let entry = &self.entries[&id];
        let (known, present) = (entry.version, entry.present());
        if version.state == MemberState::Dead && present {
            version.state = MemberState::Suspect;
        }
        if version <= known {
            return;
        }
        let restarted = known.incarnation != version.incarnation;
        let member = match record.member() {
            Some(member) => member,
            None if restarted || !present => return out.push(MemberEffect::RequestRecord(id)),
            None => Member::clone(&entry.member),
        };
        self.insert(now, version, member, since);
        if !present {
            self.insert_into_round(id);
        }
        out.push(MemberEffect::Broadcast(id));
    }

    fn insert(
        &mut self,
        now: Time,
        version: MemberVersion,
        mut member: Member,
        since: PastInstant,
    ) {
        member.state = version.state;
        let suspected = version.state == MemberState::Suspect;
        let deadline = suspected.then(|| now + self.suspicion_timeout());
        let entry = MemberEntry {
            version,
            since: if suspected {
                PastInstant::now(now)
            } else {
                since
            },
            deadline,
            member: Arc::new(member),
        };
        self.entries.insert(entry.member.id, entry);
        self.dirty = true;
    }

    /// Inserts a new instance at a random position of the current probe round.
    fn insert_into_round(&mut self, id: InstanceId) {
        use rand::RngExt;
        let position = self.rng.random_range(0..=self.probe_round.len());
        self.probe_round.insert(position, id);
    }

    /// Whether another instance fits. A full table evicts the instance that has
    /// been dead or left for the longest time.
    fn make_room(&mut self, now: Time) -> bool {
        if self.entries.len() < MAX_MEMBERS {
            return true;
        }
        let ended = self.entries.iter().filter(|(_, e)| !e.present());
        let oldest = ended.max_by_key(|(id, e)| (e.since.age(now), **id));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        self.entries.remove(&id);
        true
    }
}
