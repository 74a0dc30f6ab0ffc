//! Handling of announcements, received directly or forwarded by another instance.

use std::sync::Arc;

use crate::clock::Time;
use crate::upstream::entry::{Entry, Metadata, PastInstant, Version, upstream_key};
use crate::upstream::registry::{
    AnnounceOutcome, InstanceLiveness, LOAD_REPORT_INTERVAL, LOAD_SETTLE_TIME, Registry,
    RegistryEffect,
};
use crate::upstream::wire::{Renewal, state_code, state_from_code};
use crate::upstream::{AnnounceError, Announcement, Load, LoadLevel, UpstreamState};

impl Registry {
    /// Handles an announcement that the upstream sent to this instance.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        a: &Announcement,
        liveness: &impl InstanceLiveness,
        out: &mut Vec<RegistryEffect>,
    ) -> Result<AnnounceOutcome, AnnounceError> {
        a.validate()?;
        let key = upstream_key(&a.id);
        let metadata = Metadata::from(a);
        let Some(entry) = self.entries.get_mut(&key) else {
            self.make_room(now, &a.id)?;
            self.register(now, key, a, metadata, out);
            return Ok(AnnounceOutcome::Accepted);
        };
        if let Some(known) = &entry.metadata
            && known.id != a.id
        {
            return Err(AnnounceError::IdCollision {
                id: known.id.clone(),
            });
        }
        let outcome = entry.classify(a);
        if outcome != AnnounceOutcome::Accepted {
            return Ok(outcome);
        }
        if !entry.is_renewal(a, &metadata) || !self.has_live_registrar(key, liveness) {
            self.register(now, key, a, metadata, out);
            return Ok(AnnounceOutcome::Accepted);
        }
        self.apply_renewal(now, key, a, out);
        Ok(AnnounceOutcome::Accepted)
    }

    /// Handles a renewal forwarded by another instance.
    pub(crate) fn renew(&mut self, now: Time, renewal: &Renewal, out: &mut Vec<RegistryEffect>) {
        let (id, boot) = (self.id, self.boot);
        let Some(entry) = self.entries.get_mut(&renewal.key) else {
            return;
        };
        let Version {
            incarnation, state, ..
        } = entry.version;
        let own = (entry.version.registrar, entry.version.boot) == (id, boot);
        let same =
            incarnation.0 == renewal.incarnation && state_from_code(renewal.state) == Some(state);
        if !own || !same || renewal.sequence <= entry.latest_sequence {
            return;
        }
        entry.latest_sequence = renewal.sequence;
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
        self.update_load(now, renewal.key, load, out);
    }

    /// Makes this instance the registrar of the upstream.
    fn register(
        &mut self,
        now: Time,
        key: u64,
        a: &Announcement,
        metadata: Metadata,
        out: &mut Vec<RegistryEffect>,
    ) {
        let gone = a.state == UpstreamState::Gone;
        let digest = if gone { 0 } else { metadata.digest() };
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
            metadata: (!gone).then(|| Arc::new(metadata)),
            digest,
            since: PastInstant::now(now),
            lapsed: false,
            latest_sequence: a.sequence,
            load: old.map_or(Load::default(), |e| e.load),
            load_sequence: 0,
            reported: old.map_or(LoadLevel::default(), |e| e.reported),
            reported_at: old.map_or(now, |e| e.reported_at),
            cached: None,
        };
        self.insert(key, entry);
        out.push(RegistryEffect::Broadcast(key));
        self.update_load(now, key, a.load, out);
    }

    /// Handles an announcement without changes.
    fn apply_renewal(
        &mut self,
        now: Time,
        key: u64,
        a: &Announcement,
        out: &mut Vec<RegistryEffect>,
    ) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.latest_sequence = a.sequence;
        entry.since = PastInstant::now(now);
        let registrar = entry.version.registrar;
        if registrar == self.id {
            self.update_load(now, key, a.load, out);
            return;
        }
        entry.load_sequence = a.sequence;
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

    /// Stores a load as the registrar and reports it if it changed sufficiently.
    fn update_load(&mut self, now: Time, key: u64, load: Load, out: &mut Vec<RegistryEffect>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.load_sequence = entry.latest_sequence;
        self.dirty |= entry.set_load(load);
        let level = LoadLevel::from(load);
        let elapsed = now.since(entry.reported_at);
        let waiting_differs = level.waiting_differs(entry.reported);
        let report = match level.distance(entry.reported) {
            0 => false,
            1 if !waiting_differs => elapsed >= LOAD_SETTLE_TIME,
            _ => waiting_differs || elapsed >= LOAD_REPORT_INTERVAL,
        };
        if report {
            entry.reported = level;
            entry.reported_at = now;
            out.push(RegistryEffect::BroadcastLoad(key));
        }
    }

    /// Whether the registrar of this entry is this instance or another that is alive.
    fn has_live_registrar(&self, key: u64, liveness: &impl InstanceLiveness) -> bool {
        self.entries.get(&key).is_some_and(|entry| {
            let registrar = (entry.version.registrar, entry.version.boot);
            registrar == (self.id, self.boot) || liveness.is_alive(registrar.0, registrar.1)
        })
    }
}

impl Entry {
    /// Compares an announcement with this entry.
    fn classify(&self, a: &Announcement) -> AnnounceOutcome {
        let known = (self.version.incarnation, self.version.state);
        if (a.incarnation, a.state) < known {
            return AnnounceOutcome::Superseded;
        }
        if (a.incarnation, a.state) == known && a.sequence <= self.latest_sequence {
            return AnnounceOutcome::Duplicate;
        }
        AnnounceOutcome::Accepted
    }

    /// Whether an accepted announcement only renews this entry.
    fn is_renewal(&self, a: &Announcement, metadata: &Metadata) -> bool {
        let known = (self.version.incarnation, self.version.state);
        let same = (a.incarnation, a.state) == known && !self.retired();
        same && self.metadata.as_deref() == Some(metadata)
    }
}
