//! Asks the leading controller over and over for what is new.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use tokio::time::sleep;

use super::Entry;
use crate::decide::view_wait;
use crate::event;
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Request};
use crate::role;
use crate::sync::{FleetLoad, SyncRequest};

/// Longest wait for an answer. A lost packet is sent again after 200 ms.
const ANSWER: Duration = Duration::from_millis(500);

/// Pause before the next controller is asked after a failure.
const PAUSE: Duration = Duration::from_millis(60);

/// Pause before the leader is asked again while it has more to tell, or while
/// an instance that has just started doesn't know all upstreams. Callers wait
/// for what it learns.
const FILLING: Duration = Duration::from_millis(80);

/// Entry instances up to which the pause is that short. With more of them the
/// pause grows too, so that the leader sends no more than to these.
const FILLING_ENTRIES: u32 = 30;

/// Whom to ask: the leader as last heard of, else one after the other.
struct Targets {
    known: Vec<InstanceId>,
    leader: Option<InstanceId>,
    turn: usize,
}

impl Targets {
    fn next(&mut self) -> Option<InstanceId> {
        if self.leader.is_some() {
            return self.leader;
        }
        self.turn += 1;
        let at = self.turn.checked_rem(self.known.len())?;
        Some(self.known[at])
    }

    /// Adds controllers that aren't known yet.
    fn learn(&mut self, more: impl Iterator<Item = InstanceId>) {
        for id in more {
            if !self.known.contains(&id) {
                self.known.push(id);
            }
        }
    }
}

impl Entry {
    /// Keeps the view current for as long as the instance lives.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut targets = Targets {
            known: role::seeds(&self.boot),
            leader: None,
            turn: usize::try_from(self.id.0).unwrap_or(0) % 7,
        };
        let mut failures = 0;
        loop {
            if self.ask(&mut targets).await {
                failures = 0;
                sleep(self.pause()).await;
                continue;
            }
            failures += 1;
            // None of those known answers: the file may name others by now.
            if failures % (targets.known.len().max(1) * 2) == 0 {
                targets.learn(self.reread().into_iter());
            }
            sleep(PAUSE).await;
        }
    }

    /// Pause after an answer.
    fn pause(&self) -> Duration {
        let view = self.view();
        let starting = view_wait::is_starting(self.started, self.now()) && !view.is_complete();
        if !starting && !view.has_more() {
            return self.poll;
        }
        let crowd = view
            .counted_entries()
            .unwrap_or_default()
            .max(FILLING_ENTRIES);
        (FILLING * crowd / FILLING_ENTRIES).min(self.poll)
    }

    fn reread(&self) -> Vec<InstanceId> {
        let boot = self.settings.boot();
        boot.map_or(Vec::new(), |boot| role::seeds(&boot))
    }

    /// Asks one controller. Returns whether the view is confirmed by it.
    async fn ask(&self, targets: &mut Targets) -> bool {
        let Some(target) = targets.next() else {
            return false;
        };
        let sent = self.now();
        let mut question = self.question();
        let last_cut = self.add_run_reports(&mut question);
        question.limits = self.limit_records();
        let request = Request {
            ask: Some(Ask::Sync(question)),
        };
        let answer = self.peers.call(target, request, ANSWER).await;
        match answer.map(|r| r.answer) {
            Ok(Some(Answer::Sync(state))) => {
                targets.learn(state.voters.iter().copied().map(InstanceId));
                targets.leader = Some(target);
                if let Some(work) = &state.work {
                    self.take_in(work, state.entries_known);
                }
                self.acknowledge_runs(&state, last_cut);
                self.learn_limits(sent, &state.limits);
                let before = self.view().version();
                let learnt = self.learn(sent, *state);
                let version = self.view().version();
                if version != before {
                    tracing::info!(
                        event = event::CONFIGURATION_APPLIED.id,
                        version,
                        before,
                        leader = target.0,
                        "configuration in force"
                    );
                }
                if !learnt {
                    targets.leader = None;
                }
                learnt
            }
            Ok(Some(Answer::NotLeader(hint))) => {
                let hint = InstanceId(hint);
                let useful = hint.0 != 0 && hint != target;
                targets.learn(useful.then_some(hint).into_iter());
                targets.leader = useful.then_some(hint);
                false
            }
            _ => {
                targets.leader = None;
                false
            }
        }
    }

    /// Takes in what the other instances have at work. It is a part of it until the
    /// leader has counted them.
    fn take_in(&self, work: &FleetLoad, entries_known: bool) {
        let waiting = self.waiters.load(Ordering::Relaxed);
        let loads = &mut self.shared().loads;
        loads.update(&work.loads, rand::rng().random());
        loads
            .demand
            .update(entries_known.then_some(work.room_requests), waiting as u32);
    }

    fn question(&self) -> SyncRequest {
        let view = self.view();
        let (term, revision) = view.roster();
        let now = self.now();
        let shared = self.shared();
        SyncRequest {
            instance: self.id.0,
            version: view.version(),
            term,
            revision,
            complete: view.is_complete(),
            loads: shared.loads.report(),
            room_requests: shared.loads.demand.local(),
            suspects: shared.health.suspects(now, self.boot.heartbeat),
            ..SyncRequest::default()
        }
    }
}
