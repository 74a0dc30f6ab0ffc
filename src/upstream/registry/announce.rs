//! Announcements that upstreams make, here or to another instance.

use std::sync::Arc;

use crate::clock::Time;
use crate::upstream::entry::{Entry, Metadata, PastInstant, Version, key_of};
use crate::upstream::registry::{
    AnnounceOutcome, InstanceLiveness, LOAD_PERIOD, LOAD_SETTLE, Registry, RegistryEffect,
};
use crate::upstream::wire::{Renewal, state_code, state_of};
use crate::upstream::{AnnounceError, Announcement, Load, LoadLevel, UpstreamState};

impl Registry {
    /// Takes an announcement that the upstream itself made to this instance.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        a: &Announcement,
        liveness: &impl InstanceLiveness,
        out: &mut Vec<RegistryEffect>,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        a.validate()?;
        let key = key_of(&a.id);
        let facts = Metadata::from(a);
        let Some(entry) = self.entries.get_mut(&key) else {
            self.make_room(now, &a.id)?;
            self.vouch(now, key, a, facts, out);
            return Ok(AnnounceOutcome::Accepted);
        };
        if let Some(known) = &entry.facts
            && known.id != a.id
        {
            return Err(AnnounceError::Taken {
                id: known.id.clone(),
            });
        }
        let outcome = entry.judge(a);
        if outcome != AnnounceOutcome::Accepted {
            return Ok(outcome);
        }
        if !entry.repeats(a, &facts) || !self.has_voucher(key, liveness) {
            self.vouch(now, key, a, facts, out);
            return Ok(AnnounceOutcome::Accepted);
        }
        self.renewed(now, key, a, out);
        Ok(AnnounceOutcome::Accepted)
    }

    /// Takes proof of life that another instance heard and passed on.
    pub(crate) fn renew(&mut self, now: Time, renewal: &Renewal, out: &mut Vec<RegistryEffect>) {
        let (id, boot) = (self.id, self.boot);
        let Some(entry) = self.entries.get_mut(&renewal.key) else {
            return;
        };
        let Version {
            incarnation, state, ..
        } = entry.version;
        let own = (entry.version.registrar, entry.version.boot) == (id, boot);
        let same = incarnation.0 == renewal.incarnation && state_of(renewal.state) == Some(state);
        if !own || !same || renewal.sequence <= entry.latest {
            return;
        }
        entry.latest = renewal.sequence;
        entry.since = PastInstant::now(now);
        self.dirty |= std::mem::take(&mut entry.lapsed);
        if entry.version.silent {
            entry.version.silent = false;
            entry.version.sequence = renewal.sequence;
            self.dirty = true;
            out.push(RegistryEffect::Broadcast(renewal.key));
        }
        let load = Load {
            running: renewal.running,
            waiting: renewal.waiting,
        };
        self.loaded(now, renewal.key, load, out);
    }

    /// Makes this instance the registrar.
    fn vouch(
        &mut self,
        now: Time,
        key: u64,
        a: &Announcement,
        facts: Metadata,
        out: &mut Vec<RegistryEffect>,
    ) {
        let gone = a.state == UpstreamState::Gone;
        let digest = if gone { 0 } else { facts.digest() };
        let old = self.entries.get(&key);
        let entry = Entry {
            version: Version {
                incarnation: a.incarnation,
                state: a.state,
                sequence: a.sequence,
                silent: false,
                registrar: self.id,
                boot: self.boot,
            },
            facts: (!gone).then(|| Arc::new(facts)),
            digest,
            since: PastInstant::now(now),
            lapsed: false,
            latest: a.sequence,
            load: old.map_or(Load::default(), |e| e.load),
            loaded: 0,
            told: old.map_or(LoadLevel::default(), |e| e.told),
            told_at: old.map_or(now, |e| e.told_at),
            shown: None,
        };
        self.insert(key, entry);
        out.push(RegistryEffect::Broadcast(key));
        self.loaded(now, key, a.load, out);
    }

    /// Takes an announcement without news.
    fn renewed(&mut self, now: Time, key: u64, a: &Announcement, out: &mut Vec<RegistryEffect>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.latest = a.sequence;
        entry.since = PastInstant::now(now);
        let registrar = entry.version.registrar;
        if registrar == self.id {
            self.loaded(now, key, a.load, out);
            return;
        }
        entry.loaded = a.sequence;
        self.dirty |= entry.set_load(a.load);
        let renewal = Renewal {
            key,
            incarnation: a.incarnation.0,
            sequence: a.sequence,
            state: state_code(a.state),
            running: a.load.running,
            waiting: a.load.waiting,
        };
        out.push(RegistryEffect::ForwardRenewal(registrar, renewal));
    }

    /// Notes a load as the registrar, and reports it when it changed enough.
    fn loaded(&mut self, now: Time, key: u64, load: Load, out: &mut Vec<RegistryEffect>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.loaded = entry.latest;
        self.dirty |= entry.set_load(load);
        let level = LoadLevel::from(load);
        let quiet = now.since(entry.told_at);
        let crosses = level.crosses(entry.told);
        let report = match level.distance(entry.told) {
            0 => false,
            1 if !crosses => quiet >= LOAD_SETTLE,
            _ => crosses || quiet >= LOAD_PERIOD,
        };
        if report {
            entry.told = level;
            entry.told_at = now;
            out.push(RegistryEffect::BroadcastLoad(key));
        }
    }

    /// Whether the registrar of this entry is this instance or one alive.
    fn has_voucher(&self, key: u64, liveness: &impl InstanceLiveness) -> bool {
        self.entries.get(&key).is_some_and(|entry| {
            let vouched = (entry.version.registrar, entry.version.boot);
            vouched == (self.id, self.boot) || liveness.is_alive(vouched.0, vouched.1)
        })
    }
}

impl Entry {
    /// What an announcement is, compared with this entry.
    fn judge(&self, a: &Announcement) -> AnnounceOutcome {
        let known = (self.version.incarnation, self.version.state);
        if (a.incarnation, a.state) < known {
            return AnnounceOutcome::Superseded;
        }
        if (a.incarnation, a.state) == known && a.sequence <= self.latest {
            return AnnounceOutcome::Duplicate;
        }
        AnnounceOutcome::Accepted
    }

    /// Whether an accepted announcement is proof of life and nothing else.
    fn repeats(&self, a: &Announcement, facts: &Metadata) -> bool {
        let known = (self.version.incarnation, self.version.state);
        let same = (a.incarnation, a.state) == known && !self.retired();
        same && self.facts.as_deref() == Some(facts)
    }
}
