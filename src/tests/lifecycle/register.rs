//! The simulated register: two replicas, to which proposals may be lost or
//! duplicated.

use std::time::Duration;

use rand::RngExt;

use super::caller::{Caller, Permit, Submission};
use super::world::{END, Phase, RETENTION, ReplyTo, SimEvent, World};
use crate::claim::{self, Action, Claim, ClaimLease, ClaimToken, Claims, Granted, Purpose, Reply};
use crate::request::{Admitted, Effect, Event, Lifecycle, RefusalCode};
use crate::voter::StateMachine;

/// An empty replica.
pub(super) fn new_register(seed: u64) -> Claims {
    let retention = Duration::from_millis(RETENTION);
    // In every third run, claims are retained for longer while there is space, and
    // space is scarce.
    let tight = seed.is_multiple_of(3);
    Claims::new(claim::Bounds {
        retention,
        max_retention: retention * if tight { 2 } else { 1 },
        quota: if tight { 1_500 } else { 1 << 20 },
        ..claim::Bounds::default()
    })
}

impl World {
    pub(super) fn claim(&self, submission: usize, purpose: Purpose) -> Action {
        let Submission { caller, id, .. } = &self.submissions[submission];
        let Caller {
            organisation, key, ..
        } = &self.callers[*caller];
        Action::Claim(Claim {
            organisation: (*organisation).into(),
            key: key.clone().unwrap_or_default(),
            digest: format!("{caller:032}").into_bytes(),
            token: Some(ClaimToken::from(*id)),
            dispatch_ms: 2_000,
            ttl_ms: 8_000,
            purpose: purpose.into(),
        })
    }

    pub(super) fn propose(&mut self, action: Action, reply_to: ReplyTo) {
        let command = action.into_bytes();
        if self.chance(4) {
            let delay = self.rng.random_range(0..14_000);
            self.push(delay, SimEvent::Apply(command.clone(), ReplyTo::Nobody));
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, SimEvent::Apply(command, reply_to));
        }
    }

    pub(super) fn apply(&mut self, command: &[u8], reply_to: ReplyTo) {
        self.index += 1;
        let reply = self.register.apply(self.index, command);
        let other = self.replica.apply(self.index, command);
        assert_eq!(reply, other, "seed {}: replicas differ", self.seed);
        self.observe(reply_to, &reply);
        if self.chance(2) {
            let snapshot = self.register.snapshot();
            assert_eq!(snapshot, self.replica.snapshot(), "seed {}", self.seed);
            self.register = new_register(self.seed);
            self.register.restore(&snapshot);
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, SimEvent::Reply(reply, reply_to));
        }
    }

    /// Records grants, to relate each "unknown" reply to the grant that it is about.
    fn observe(&mut self, reply_to: ReplyTo, reply: &[u8]) {
        let now = self.now;
        if let Some(Reply::Granted(Granted { token: Some(token) })) = Reply::from_bytes(reply) {
            let submission = token.sequence as usize;
            if self.submissions[submission].granted.is_none() {
                self.submissions[submission].granted = Some(now);
                self.history(submission).granted = now;
            }
        }
        if let ReplyTo::Claim(submission) = reply_to {
            self.submissions[submission].reply_grant = self.history(submission).granted;
        }
    }

    pub(super) fn reply(&mut self, reply: &[u8], reply_to: ReplyTo) {
        let reply = Reply::from_bytes(reply).expect("a reply");
        match (reply_to, reply) {
            (ReplyTo::Claim(submission), reply) => self.claimed(submission, reply),
            (ReplyTo::Renew(submission), reply) => self.renewed(submission, &reply),
            (ReplyTo::Tick(instance), Reply::Ticked(ticked)) => {
                let now = self.local_time(instance);
                self.instances[instance].ticker.on_reply(now, ticked);
            }
            _ => {}
        }
    }

    fn claimed(&mut self, submission: usize, reply: Reply) {
        // Whether the holder is believed to be down is independent of whether it is.
        let held = matches!(&reply, Reply::InProgress(found) if !found.may_dispatch);
        if held && self.chance(50) {
            let doubt = self.claim(submission, Purpose::HolderDown);
            return self.propose(doubt, ReplyTo::Claim(submission));
        }
        let now = self.local_time(self.submissions[submission].instance);
        if let Some((life, lease)) = self.waiting(submission) {
            self.generate(submission, life.claimed(now, lease, reply));
        }
    }

    /// Renews the claim before the attempt starts, if its lease is about to end.
    pub(super) fn start(&mut self, submission: usize, event: Event) {
        let now = self.local_time(self.submissions[submission].instance);
        let Phase::Running(generation) = &self.submissions[submission].phase else {
            return;
        };
        let short = generation
            .pending_lease()
            .is_some_and(|lease| lease.needs_renewal(now));
        if !short {
            return self.step(submission, event);
        }
        let retention = Duration::from_millis(RETENTION);
        let lease = ClaimLease::new(self.submissions[submission].id.into(), now, retention);
        self.submissions[submission].renewing = Some((event, lease));
        self.propose(
            self.claim(submission, Purpose::Renew),
            ReplyTo::Renew(submission),
        );
        self.push(900, SimEvent::ClaimTimeout(submission));
    }

    fn renewed(&mut self, submission: usize, reply: &Reply) {
        if let Some((Event::Started { attempt, path, .. }, held)) =
            self.submissions[submission].renewing.take()
        {
            let lease = matches!(reply, Reply::Granted(_)).then_some(held);
            let event = Event::Started {
                attempt,
                path,
                lease,
            };
            self.step(submission, event);
        }
    }

    pub(super) fn claim_timeout(&mut self, submission: usize) {
        self.renewed(submission, &Reply::Stale(()));
        if let Some((life, lease)) = self.waiting(submission) {
            self.generate(
                submission,
                Err(life.refuse(RefusalCode::ClaimUnavailable, None)),
            );
            self.effect(
                submission,
                Effect::Release {
                    token: lease.token(),
                },
            );
        }
    }

    pub(super) fn waiting(
        &mut self,
        submission: usize,
    ) -> Option<(Lifecycle<Admitted<Permit>>, ClaimLease)> {
        let phase = &mut self.submissions[submission].phase;
        match std::mem::replace(phase, Phase::Ended) {
            Phase::Waiting(life, lease) => Some((life, lease)),
            other => {
                *phase = other;
                None
            }
        }
    }

    pub(super) fn poll(&mut self, instance: usize) {
        let now = self.local_time(instance);
        if let Some(action) = self.instances[instance].ticker.poll(now) {
            self.propose(action, ReplyTo::Tick(instance));
        }
        if self.now < 2 * END {
            self.push(100, SimEvent::Poll(instance));
        }
    }
}
