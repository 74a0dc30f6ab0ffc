//! The simulated register: two replicas behind a lossy way of proposals.

use std::time::Duration;

use rand::RngExt;

use super::caller::{Caller, Permit, Sending};
use super::world::{Back, END, Phase, RETENTION, What, World};
use crate::claim::{self, Action, Claim, ClaimLease, ClaimToken, Claims, Granted, Purpose, Reply};
use crate::request::{Admitted, Effect, Event, Lifecycle, RefusalCode};
use crate::voter::StateMachine;

/// An empty replica.
pub(super) fn register(seed: u64) -> Claims {
    let retention = Duration::from_millis(RETENTION);
    // In every third run claims are kept for longer while there is room, and
    // there is little.
    let tight = seed.is_multiple_of(3);
    Claims::new(claim::Bounds {
        retention,
        longest: retention * if tight { 2 } else { 1 },
        share: if tight { 1_500 } else { 1 << 20 },
        ..claim::Bounds::default()
    })
}

impl World {
    pub(super) fn claim(&self, sending: usize, purpose: Purpose) -> Action {
        let Sending { caller, id, .. } = &self.sendings[sending];
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

    pub(super) fn propose(&mut self, action: Action, back: Back) {
        let command = action.into_bytes();
        if self.chance(4) {
            let delay = self.rng.random_range(0..14_000);
            self.push(delay, What::Apply(command.clone(), Back::Nobody));
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, What::Apply(command, back));
        }
    }

    pub(super) fn apply(&mut self, command: &[u8], back: Back) {
        self.index += 1;
        let reply = self.register.apply(self.index, command);
        let other = self.replica.apply(self.index, command);
        assert_eq!(reply, other, "seed {}: replicas differ", self.seed);
        self.observe(back, &reply);
        if self.chance(2) {
            let snapshot = self.register.snapshot();
            assert_eq!(snapshot, self.replica.snapshot(), "seed {}", self.seed);
            self.register = register(self.seed);
            self.register.restore(&snapshot);
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, What::Reply(reply, back));
        }
    }

    /// Notes grants, to tie every "unknown" to the grant that it is about.
    fn observe(&mut self, back: Back, reply: &[u8]) {
        let now = self.now;
        if let Some(Reply::Granted(Granted { token: Some(token) })) = Reply::from_bytes(reply) {
            let sending = token.sequence as usize;
            if self.sendings[sending].granted.is_none() {
                self.sendings[sending].granted = Some(now);
                self.work(sending).granted = now;
            }
        }
        if let Back::Claim(sending) = back {
            self.sendings[sending].about = self.work(sending).granted;
        }
    }

    pub(super) fn reply(&mut self, reply: &[u8], back: Back) {
        let reply = Reply::from_bytes(reply).expect("a reply");
        match (back, reply) {
            (Back::Claim(sending), reply) => self.claimed(sending, reply),
            (Back::Renew(sending), reply) => self.renewed(sending, &reply),
            (Back::Tick(instance), Reply::Ticked(ticked)) => {
                let now = self.local(instance);
                self.instances[instance].ticker.on_reply(now, ticked);
            }
            _ => {}
        }
    }

    fn claimed(&mut self, sending: usize, reply: Reply) {
        // Whether the holder is believed to be down has nothing to do with
        // whether it is.
        let held = matches!(&reply, Reply::InProgress(found) if !found.may_dispatch);
        if held && self.chance(50) {
            let doubt = self.claim(sending, Purpose::HolderDown);
            return self.propose(doubt, Back::Claim(sending));
        }
        let now = self.local(self.sendings[sending].instance);
        if let Some((life, lease)) = self.waiting(sending) {
            self.generate(sending, life.claimed(now, lease, reply));
        }
    }

    /// Renews the claim before the attempt starts, if its lease is short.
    pub(super) fn start(&mut self, sending: usize, event: Event) {
        let now = self.local(self.sendings[sending].instance);
        let Phase::Running(generation) = &self.sendings[sending].phase else {
            return;
        };
        let short = generation
            .pending_lease()
            .is_some_and(|lease| lease.needs_renewal(now));
        if !short {
            return self.step(sending, event);
        }
        let retention = Duration::from_millis(RETENTION);
        let lease = ClaimLease::new(self.sendings[sending].id.into(), now, retention);
        self.sendings[sending].renewing = Some((event, lease));
        self.propose(self.claim(sending, Purpose::Renew), Back::Renew(sending));
        self.push(900, What::Patience(sending));
    }

    fn renewed(&mut self, sending: usize, reply: &Reply) {
        if let Some((Event::Started { attempt, path, .. }, held)) =
            self.sendings[sending].renewing.take()
        {
            let lease = matches!(reply, Reply::Granted(_)).then_some(held);
            let event = Event::Started {
                attempt,
                path,
                lease,
            };
            self.step(sending, event);
        }
    }

    pub(super) fn patience(&mut self, sending: usize) {
        self.renewed(sending, &Reply::Stale(()));
        if let Some((life, lease)) = self.waiting(sending) {
            self.generate(
                sending,
                Err(life.refuse(RefusalCode::ClaimUnavailable, None)),
            );
            self.effect(
                sending,
                Effect::Release {
                    token: lease.token(),
                },
            );
        }
    }

    pub(super) fn waiting(
        &mut self,
        sending: usize,
    ) -> Option<(Lifecycle<Admitted<Permit>>, ClaimLease)> {
        let phase = &mut self.sendings[sending].phase;
        match std::mem::replace(phase, Phase::Over) {
            Phase::Waiting(life, lease) => Some((life, lease)),
            other => {
                *phase = other;
                None
            }
        }
    }

    pub(super) fn poll(&mut self, instance: usize) {
        let now = self.local(instance);
        if let Some(action) = self.instances[instance].ticker.poll(now) {
            self.propose(action, Back::Tick(instance));
        }
        if self.now < 2 * END {
            self.push(100, What::Poll(instance));
        }
    }
}
