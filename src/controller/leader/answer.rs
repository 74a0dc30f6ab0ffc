//! Answers of the leader to entry instances and followers.

use std::time::Duration;

use super::LeaderState;
use crate::clock::{Time, micros, millis};
use crate::controller::page::PAGE_UPSTREAMS;
use crate::controller::reports::CurrentRequest;
use crate::fingerprint::Fingerprint;
use crate::register::{Register, VersionedConfiguration};
use crate::sync::{ControllerRecord, RosterDelta, SyncReply, SyncRequest, UpstreamRecord};

/// Time after which every entry instance has sent a sync request to a new leader: an
/// instance that knows no leader asks the controllers in turn, a few per second.
const ENTRIES_KNOWN_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of departures sent to an entry instance: those of the last minutes.
const MAX_DEPARTED: usize = 64;

impl LeaderState {
    /// See [`Reports::check`].
    pub(crate) fn check_sync(&self, request: SyncRequest) -> Option<CurrentRequest> {
        self.reports.check(request)
    }

    /// Answers a sync request of an entry instance. `age` is the time since a quorum
    /// confirmed the register.
    pub(crate) fn sync(
        &mut self,
        now: Time,
        current: CurrentRequest,
        age: Duration,
        configuration: Option<VersionedConfiguration>,
        register: &Register,
    ) -> SyncReply {
        let request = current.request();
        let current_version = configuration.as_ref().map_or(0, |c| c.version);
        let other_version = configuration.filter(|c| c.version != request.version);
        let revision = self.roster.changes().revision();
        let up_to_date = request.has_roster(self.term, revision, self.is_complete(now));
        let roster = (!up_to_date).then(|| self.roster_delta(now, request, register));
        let instance = request.instance;
        let follows = request.follower.is_some();
        self.record_sync(now, current);
        let work = match follows {
            true => self.reports.others_changes(now, instance, self.term),
            false => self.reports.others_load(now, instance),
        };
        SyncReply {
            age: micros(age),
            version: current_version,
            body: other_version.map(|c| c.body),
            roster,
            work,
            entries: self.reports.len() as u32,
            voters: Vec::new(),
            entries_known: self.entries_known(now),
            term: self.term,
            suspects: self.crashes.suspects().map(Fingerprint::bytes).collect(),
            quarantine: None,
            limits: self.limits.for_instance(now, instance),
            proxies: self.reports.proxies(instance),
            controllers: self.delegates(now),
            cut_received: None,
        }
    }

    /// Returns the followers that answer entry instances; none while the leader answers all itself.
    pub(super) fn delegates(&mut self, now: Time) -> Vec<ControllerRecord> {
        // Until all instances are counted, a new leader does as the one before.
        if self.entries_known(now) {
            self.delegates = self.reports.len() > self.direct;
        }
        if !self.delegates {
            return Vec::new();
        }
        let followers = self.reports.followers().into_iter();
        let record = |(id, domain): (u64, &str)| ControllerRecord {
            id,
            domain: domain.to_owned(),
        };
        followers.map(record).collect()
    }

    /// Whether every entry instance has reported in this term, directly or to a follower.
    pub(super) fn entries_known(&self, now: Time) -> bool {
        now.since(self.term_start) >= ENTRIES_KNOWN_AFTER
    }

    /// Records what an instance reports.
    pub(super) fn record_sync(&mut self, now: Time, current: CurrentRequest) {
        self.crashes.record(now, &current);
        let instances = self.reports.len() as u32;
        let limits = &current.request().limits;
        self.limits.record(now, now, instances, limits);
        self.reports.record(now, current);
    }

    /// Returns the next page of roster changes that the sender of `request` lacks.
    pub(super) fn roster_delta(
        &mut self,
        now: Time,
        request: &SyncRequest,
        register: &Register,
    ) -> RosterDelta {
        let known = request.revision_of(self.term);
        let page = self.roster.changes().page(known, PAGE_UPSTREAMS);
        let pause = self.page_budget.spend(now, page.ids.len());
        let record = |id: &str| {
            let entry = self.roster.get(id)?;
            Some(UpstreamRecord::new(
                entry,
                self.retained_layers(&entry.announcement),
            ))
        };
        let complete = !page.more && self.is_complete(now);
        let departed = if complete { 0 } else { MAX_DEPARTED };
        RosterDelta {
            complete,
            pause_ms: millis(pause) as u32,
            departed: register.latest_departed(departed),
            ..RosterDelta::from_page(self.term, &page, record)
        }
    }
}
