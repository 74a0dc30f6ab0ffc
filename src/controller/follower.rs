//! State of a following controller: what the leader last sent, and the reports of the entry
//! instances that this controller answers. Does no I/O.
//!
//! A follower answers as the leader would have when it was last confirmed. It answers nobody once
//! that confirmation is too old: it may be cut off, paused, or follow a deposed leader.

use std::time::Duration;

use bytes::Bytes;

use self::evidence::HeldEvidence;
use self::roster_copy::RosterCopy;
use super::limits::LimitUpdates;
use super::page::{PAGE_UPSTREAMS, PageBudget};
use super::reports::{CurrentRequest, Reports};
use crate::clock::{Time, micros, millis};
use crate::id::InstanceId;
use crate::sync::{ControllerRecord, QuarantineRecord, RosterDelta, SyncReply, SyncRequest};

mod evidence;
mod roster_copy;

/// Maximum age of a roster with which a new leader begins. An upstream that joined since is known
/// from its first heartbeat after the election.
const MAX_INHERITED_AGE: Duration = Duration::from_secs(5);

/// Who a follower is.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) instance: u64,
    pub(crate) domain: String,
    /// Start of the process, in milliseconds since 1970.
    pub(crate) born: u64,
    /// Random number that identifies its change log of the roster; see [`RosterDelta::source`].
    pub(crate) source: u64,
}

/// Time after the leader's last reply from which it may have ended, while it is polled often and
/// while it is polled rarely. A few polls, so that one lost packet doesn't count.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(300);
const MAX_IDLE_LEADER_SILENCE: Duration = Duration::from_millis(1_500);

/// What a request to the leader contained, for its reply.
#[derive(Debug)]
pub(crate) struct SentReport {
    leader: InstanceId,
    sent: Time,
    runs: Vec<(u64, u64, u64)>,
    /// Revision of the loads after the request.
    revision: u64,
}

/// A reply of the leader that [`Follower::check`] found usable.
///
/// Everything that a reply changes takes this type, so that one of a deposed leader changes
/// nothing.
#[derive(Debug)]
pub(crate) struct CurrentLeaderReply(SyncReply);

/// Latest state of the leader.
#[derive(Debug, Default)]
struct LeaderCopy {
    /// The leader of `term`, and when it last replied.
    heard: Option<(InstanceId, Time)>,
    term: u64,
    /// A quorum confirmed at this time, or later, that the state was current.
    confirmed: Option<Time>,
    version: u64,
    /// Compressed configuration.
    body: Option<Bytes>,
    entries: u32,
    /// See [`SyncReply::entries_known`].
    counted: bool,
    voters: Vec<u64>,
    suspects: Vec<Vec<u8>>,
    controllers: Vec<ControllerRecord>,
    quarantine: QuarantineRecord,
    /// When `quarantine` was requested: its remaining times count from then.
    quarantine_at: Time,
}

/// What a new leader knows from its time as a follower.
pub(crate) struct Inheritance<'a> {
    /// Reports of the instances that it answered.
    pub(crate) reports: Reports,
    /// Whether the leader before referred instances to its followers.
    pub(crate) delegated: bool,
    pub(crate) roster: &'a RosterCopy,
}

/// State of a following controller.
pub(crate) struct Follower {
    identity: Identity,
    /// Number of the latest request to the leader.
    sequence: u64,
    leader: LeaderCopy,
    roster: RosterCopy,
    page_budget: PageBudget,
    reports: Reports,
    evidence: HeldEvidence,
    limits: LimitUpdates,
}

impl Follower {
    /// Creates a state without anything from a leader.
    pub(crate) fn new(identity: Identity) -> Self {
        Self {
            identity,
            sequence: 0,
            leader: LeaderCopy::default(),
            roster: RosterCopy::default(),
            page_budget: PageBudget::new(),
            reports: Reports::default(),
            evidence: HeldEvidence::default(),
            limits: LimitUpdates::default(),
        }
    }

    /// Returns the next request to the leader, and what [`Self::apply`] needs of it.
    pub(crate) fn request(&mut self, now: Time, leader: InstanceId) -> (SyncRequest, SentReport) {
        self.reports.tick(now);
        self.sequence += 1;
        if self.leader.heard.is_none_or(|(heard, _)| heard != leader) {
            self.reports.set_received(0);
        }
        let (source, revision) = self.roster.position();
        let mut request = SyncRequest {
            instance: self.identity.instance,
            born: self.identity.born,
            sequence: self.sequence,
            version: self.leader.version,
            source,
            revision,
            complete: self.roster.is_complete(),
            quarantine_checksum: self.leader.quarantine.checksum,
            ..SyncRequest::default()
        };
        let ready = self.is_ready();
        self.reports
            .add_sums(&self.identity.domain, ready, &mut request);
        request.limits = self.limits.for_instance(now, self.identity.instance);
        let runs = self.evidence.add_to(now, &mut request);
        let report = SentReport {
            leader,
            sent: now,
            runs,
            revision: request.follower.as_ref().map_or(0, |f| f.revision),
        };
        (request, report)
    }

    /// Checks whether a reply of the leader can be used. Returns `None` if it comes from a deposed
    /// leader or doesn't fit this state.
    pub(crate) fn check(&self, reply: SyncReply) -> Option<CurrentLeaderReply> {
        let deposed = reply.term < self.leader.term || reply.version < self.leader.version;
        let unknown = reply.version > self.leader.version && reply.body.is_none();
        let fits = reply.roster.as_ref().is_none_or(|r| self.roster.fits(r))
            && reply.work.as_ref().is_none_or(|w| self.reports.fits(w));
        (!deposed && !unknown && fits).then_some(CurrentLeaderReply(reply))
    }

    /// Applies a checked reply to the request that `report` describes.
    pub(crate) fn apply(&mut self, now: Time, report: &SentReport, current: CurrentLeaderReply) {
        let CurrentLeaderReply(reply) = current;
        if reply.term != self.leader.term {
            self.evidence.enter_term();
        }
        self.evidence.acknowledge(&report.runs);
        self.reports.set_received(report.revision);
        self.evidence.retain_suspects(&reply.suspects);
        // Counted back from `sent`, so that an update never replaces a newer one.
        let (sent, instances) = (report.sent, self.leader.entries);
        self.limits.record(now, sent, instances, &reply.limits);
        if let Some(roster) = reply.roster {
            self.roster.merge(roster);
        }
        if let Some(load) = &reply.work {
            self.reports.merge_remote(load);
        }
        self.reports.set_remote_carriers(&reply.proxies);
        let leader = &mut self.leader;
        if let Some(body) = reply.body {
            leader.body = Some(body);
        }
        if let Some(quarantine) = reply.quarantine {
            leader.quarantine = quarantine;
            leader.quarantine_at = report.sent;
        }
        leader.heard = Some((report.leader, now));
        leader.term = reply.term;
        leader.version = reply.version;
        leader.entries = reply.entries;
        leader.counted = reply.entries_known;
        leader.voters = reply.voters;
        leader.suspects = reply.suspects;
        leader.controllers = reply.controllers;
        leader.confirmed = Some(report.sent - Duration::from_micros(reply.age));
    }

    /// Whether this state holds all that the leader had to send.
    fn is_ready(&self) -> bool {
        self.leader.confirmed.is_some() && !self.roster.has_more()
    }

    /// Whether the leader refers entry instances to its followers.
    pub(crate) fn delegated(&self) -> bool {
        !self.leader.controllers.is_empty()
    }

    /// Returns the leader, if it replied lately.
    pub(crate) fn live_leader(&self, now: Time) -> Option<InstanceId> {
        let (leader, heard) = self.leader.heard?;
        let limit = match self.delegated() {
            true => MAX_LEADER_SILENCE,
            false => MAX_IDLE_LEADER_SILENCE,
        };
        (now.since(heard) < limit).then_some(leader)
    }

    /// Whether the leader has more of the roster to send.
    pub(crate) fn has_more(&self) -> bool {
        self.roster.has_more()
    }

    /// Answers a sync request of an entry instance, if the state of the leader was confirmed less
    /// than `max_age` ago and it refers instances to its followers.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        request: SyncRequest,
        max_age: Duration,
    ) -> Option<SyncReply> {
        let age = now.since(self.leader.confirmed?);
        if age >= max_age || !self.delegated() || !self.is_ready() {
            return None;
        }
        let current = self.reports.check(request)?;
        let roster = self.roster_delta(now, current.request());
        let request = current.request();
        let instance = request.instance;
        let version = self.leader.version;
        let body = self.leader.body.as_ref();
        let body = body.filter(|_| request.version != version).cloned();
        let quarantine = (request.quarantine_checksum != self.leader.quarantine.checksum)
            .then(|| self.quarantine(now));
        let cut_received = self.record(now, current);
        Some(SyncReply {
            age: micros(age),
            version,
            body,
            roster,
            work: self.reports.others_load(now, instance),
            entries: self.leader.entries,
            voters: self.leader.voters.clone(),
            entries_known: self.leader.counted,
            term: self.leader.term,
            suspects: self.leader.suspects.clone(),
            quarantine,
            limits: self.limits.for_instance(now, instance),
            proxies: self.reports.proxies(instance),
            controllers: self.leader.controllers.clone(),
            cut_received,
        })
    }

    /// Records what an instance reports. Returns what the leader has of its cut runs.
    fn record(&mut self, now: Time, current: CurrentRequest) -> Option<u64> {
        let request = current.request();
        self.evidence.record(now, request);
        let received = self.evidence.unreceived(request);
        let instances = self.leader.entries;
        self.limits.record(now, now, instances, &request.limits);
        self.reports.record(now, current);
        received
    }

    /// Returns the next page of roster changes that an instance lacks, if it lacks any.
    fn roster_delta(&mut self, now: Time, request: &SyncRequest) -> Option<RosterDelta> {
        let source = self.identity.source;
        let changes = self.roster.changes();
        if request.has_roster(source, changes.revision(), self.roster.is_complete()) {
            return None;
        }
        let page = changes.page(request.revision_of(source), PAGE_UPSTREAMS);
        let pause = self.page_budget.spend(now, page.ids.len());
        Some(RosterDelta {
            pause_ms: millis(pause) as u32,
            ..self.roster.delta(source, &page)
        })
    }

    /// Returns the quarantine, with the remaining times as of `now`.
    fn quarantine(&self, now: Time) -> QuarantineRecord {
        let mut record = self.leader.quarantine.clone();
        let passed = now.since(self.leader.quarantine_at).as_millis() as u64;
        for request in &mut record.requests {
            request.remaining_ms = request.remaining_ms.saturating_sub(passed);
        }
        record
    }

    /// Hands over to the leader that this controller becomes. Returns `None` if it knows nothing, or
    /// if what it knows is too old.
    pub(crate) fn hand_over(&mut self, now: Time) -> Option<Inheritance<'_>> {
        let confirmed = self.leader.confirmed.take()?;
        let mut reports = std::mem::take(&mut self.reports);
        reports.clear_remote();
        let inheritance = Inheritance {
            reports,
            delegated: self.delegated(),
            roster: &self.roster,
        };
        (now.since(confirmed) < MAX_INHERITED_AGE).then_some(inheritance)
    }
}
