//! Polls a controller for changes.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::{sleep, timeout};

use super::targets::Targets;
use super::view::{CurrentReply, View, of_service};
use super::{Entry, Shared};
use crate::clock::Time;
use crate::decide::admission::RankCounts;
use crate::decide::view_wait;
use crate::event;
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Request};
use crate::role;
use crate::sync::{RankDemand, SyncReply, SyncRequest};

/// Timeout for a controller's response. A lost packet is retransmitted after 200 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before the next controller is polled after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Pause between polls while a newly started instance doesn't know all upstreams. Requests wait for
/// the result.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(80);

/// Number of entry instances up to which [`CATCH_UP_PAUSE`] applies. With more of them the pause
/// grows in proportion, so that the leader's total rate stays the same.
const CATCH_UP_ENTRIES: u32 = 30;

impl Entry {
    /// Keeps the view up to date for the lifetime of the instance.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut targets = Targets::new(self.id, &self.boot.domain, role::seeds(&self.boot));
        let mut failures = 0;
        for sequence in 1.. {
            if self.poll_controller(&mut targets, sequence).await {
                failures = 0;
                let _ = timeout(self.pause(), self.report_due.notified()).await;
                continue;
            }
            failures += 1;
            // No known controller responds; the settings file may list others by now.
            if failures % (targets.count().max(1) * 2) == 0 {
                targets.add(self.reread_seeds().into_iter());
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Pause after a successful poll.
    fn pause(&self) -> Duration {
        let view = self.view();
        if let Some(pause) = view.more_after() {
            return pause.min(self.poll_interval);
        }
        if !view_wait::is_starting(self.started, self.now()) || view.is_complete() {
            return self.poll_interval;
        }
        let instances = view
            .counted_entries()
            .unwrap_or_default()
            .max(CATCH_UP_ENTRIES);
        (CATCH_UP_PAUSE * instances / CATCH_UP_ENTRIES).min(self.poll_interval)
    }

    fn reread_seeds(&self) -> Vec<InstanceId> {
        let boot = self.settings.boot();
        boot.map_or(Vec::new(), |boot| role::seeds(&boot))
    }

    /// Polls one controller. Returns whether it confirmed the view.
    async fn poll_controller(&self, targets: &mut Targets, sequence: u64) -> bool {
        let sent = self.now();
        let Some(target) = targets.next(sent) else {
            return false;
        };
        let mut sync = self.sync_request(sequence);
        let last_cut = self.add_run_reports(&mut sync);
        sync.limits = self.limit_records();
        let request = Request {
            ask: Some(Ask::Sync(Box::new(sync))),
        };
        let answer = self.peers.call(target, request, ANSWER_TIMEOUT).await;
        match answer.map(|r| r.answer) {
            Ok(Some(Answer::Sync(reply))) => {
                // Contacts are useful even from a deposed leader.
                targets.add(reply.voters.iter().copied().map(InstanceId));
                let Some(current) = self.check_reply(target, *reply) else {
                    targets.fail(self.now(), target, None);
                    return false;
                };
                targets.succeed(self.now(), target, &current.reply().controllers);
                self.apply_reply(target, sent, last_cut, current);
                true
            }
            Ok(Some(Answer::NotLeader(hint))) => {
                let leader = (hint != 0).then_some(InstanceId(hint));
                targets.fail(self.now(), target, leader);
                false
            }
            _ => {
                targets.fail(self.now(), target, None);
                false
            }
        }
    }

    /// Returns a response if it can be used.
    fn check_reply(&self, leader: InstanceId, reply: SyncReply) -> Option<CurrentReply> {
        let view = self.view();
        let (term, version) = (reply.term, reply.version);
        let current = view.check(reply);
        if current.is_none() {
            tracing::info!(
                event = event::SYNC_REJECTED.id,
                leader = leader.0,
                term,
                version,
                known_term = view.term(),
                known_version = view.version(),
                "response of a controller rejected"
            );
        }
        current
    }

    /// Applies a leader's response to a request that was sent at `sent` and reported the cut runs
    /// up to `last_cut`.
    fn apply_reply(&self, leader: InstanceId, sent: Time, last_cut: u64, current: CurrentReply) {
        self.apply_load(&current);
        self.acknowledge_runs(&current, last_cut);
        self.apply_leader_limits(sent, &current);
        let proxies = current.reply().proxies.iter().copied().map(InstanceId);
        let others = proxies.filter(|id| *id != self.id);
        self.shared().proxies.update(others);
        let before = self.view().version();
        self.update_view(sent, current);
        let version = self.view().version();
        if version != before {
            tracing::info!(
                event = event::CONFIGURATION_APPLIED.id,
                version,
                before,
                leader = leader.0,
                "configuration applied"
            );
        }
    }

    /// Applies the load of the other instances, if the leader sent it. It is only a part of their
    /// load until the leader has counted them.
    fn apply_load(&self, current: &CurrentReply) {
        let reply = current.reply();
        let Some(load) = &reply.work else { return };
        let waiting = self.waiters.len();
        let mut shared = self.shared();
        let loads = &mut shared.loads;
        loads.update(&load.loads, rand::rng().random());
        loads.demand.update(
            reply.entries_known.then_some(load.room_requests),
            waiting as u32,
        );
        // Partial sums would understate how many urgent requests are short of room.
        if reply.entries_known {
            let decode = |d: &RankDemand| (d.service.clone(), RankCounts::from(d));
            let ranks: Vec<_> = load.ranks.iter().map(decode).collect();
            shared.admission.update(self.now(), &ranks);
        }
    }

    /// Upstreams that this instance suspects to be dead, without those of services of which it may
    /// reach none.
    fn witnessed(&self, view: &View, shared: &Shared, now: Time) -> Vec<u64> {
        let mut suspects = shared.health.suspects(now, self.boot.heartbeat);
        let doubtful = view.services.keys();
        for service in doubtful.filter(|s| shared.reachability.is_doubtful(s)) {
            let upstreams = of_service(&view.services, service);
            suspects.retain(|s| upstreams.iter().all(|u| u.key != *s));
        }
        suspects
    }

    fn sync_request(&self, sequence: u64) -> SyncRequest {
        let view = self.view();
        let (source, revision) = view.roster();
        let now = self.now();
        let mut shared = self.shared();
        let counts = shared.admission.report(now);
        let ranks = counts
            .iter()
            .map(|(service, counts)| counts.demand(service));
        SyncRequest {
            instance: self.id.0,
            born: self.born,
            sequence,
            version: view.version(),
            source,
            revision,
            complete: view.is_complete(),
            loads: shared.loads.report(),
            room_requests: shared.loads.demand.local(),
            suspects: self.witnessed(&view, &shared, now),
            carries: !self.gate.is_closed() && shared.reachability.is_whole(),
            ranks: ranks.collect(),
            ..SyncRequest::default()
        }
    }
}
