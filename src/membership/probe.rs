//! Probes: direct, then through helpers in other failure domains.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::clock::Time;
use crate::id::InstanceId;
use crate::membership::detector::{MemberEffect, Membership};
use crate::membership::member::MemberState;

/// Helpers asked when a direct probe gets no answer.
const HELPERS: usize = 3;

/// Most probes that an instance makes for others at a time.
const MAX_RELAYS: usize = 64;

/// Part of the period in which a probe is answered.
const PATIENCE: f64 = 0.3;

/// A probe that this instance waits for.
#[derive(Debug)]
pub(crate) struct Probe {
    target: InstanceId,
    sequence: u64,
    /// When helpers are asked.
    ask_at: Time,
    /// When the probe fails.
    end_at: Time,
    /// Helpers asked, or `None` before that.
    asked: Option<usize>,
    /// Whether a helper answered, be it in vain.
    helped: bool,
}

/// A probe made for another instance.
#[derive(Debug)]
pub(crate) struct Relay {
    origin: SocketAddr,
    sequence: u64,
    end_at: Time,
}

/// A message of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeEvent {
    /// Another instance probes `target`.
    Ping { target: InstanceId, sequence: u64 },
    /// A probe was answered.
    Ack { sequence: u64 },
    /// A helper got no answer.
    Nack { sequence: u64 },
    /// Another instance asks for a probe.
    Request {
        target: InstanceId,
        address: SocketAddr,
        sequence: u64,
    },
}

impl Membership {
    /// Takes a message from the instance at `from`.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        event: ProbeEvent,
        out: &mut Vec<MemberEffect>,
    ) {
        match event {
            ProbeEvent::Ping { target, sequence } => self.answer(from, target, sequence, out),
            ProbeEvent::Ack { sequence } => self.acked(now, sequence, out),
            ProbeEvent::Nack { sequence } => self.nacked(sequence),
            ProbeEvent::Request {
                target,
                address,
                sequence,
            } => self.relay(now, from, target, address, sequence, out),
        }
    }

    /// Moves the current probe on, and starts the next one.
    pub(super) fn drive_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if let Some(probe) = &self.probe {
            if now >= probe.end_at {
                self.fail_probe(now, out);
            } else if now >= probe.ask_at && probe.asked.is_none() {
                self.ask_helpers(out);
            }
        }
        if self.probe.is_none() && now >= self.next_probe && !self.left() {
            self.start_probe(now, out);
        }
    }

    /// Reports helpers' probes that got no answer.
    pub(super) fn end_relays(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let ended = self.relays.extract_if(|_, relay| relay.end_at <= now);
        let nacks = ended.map(|(_, relay)| MemberEffect::Nack {
            to: relay.origin,
            sequence: relay.sequence,
        });
        out.extend(nacks);
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        self.next_probe = now + self.probe_period;
        let Some((target, to)) = self.next_target() else {
            return;
        };
        self.sequence += 1;
        let sequence = self.sequence;
        let stretch = 1 + self.health;
        self.probe = Some(Probe {
            target,
            sequence,
            ask_at: now + self.patience() * stretch,
            end_at: now + self.probe_period * stretch,
            asked: None,
            helped: false,
        });
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    /// The next instance of the round. A round holds each instance once in
    /// random order, so that none waits longer than two rounds for a probe.
    fn next_target(&mut self) -> Option<(InstanceId, SocketAddr)> {
        if self.round.is_empty() {
            let own = self.own;
            let present = self
                .slots
                .iter()
                .filter(|(id, s)| **id != own && s.present());
            self.round = present.map(|(id, _)| *id).collect();
            self.round.sort_unstable();
            self.round.shuffle(&mut self.rng);
        }
        while let Some(id) = self.round.pop() {
            let slot = self.slots.get(&id).filter(|s| s.present());
            if let Some(slot) = slot {
                return Some((id, slot.member.gossip));
            }
        }
        None
    }

    fn ask_helpers(&mut self, out: &mut Vec<MemberEffect>) {
        let Some((target, sequence)) = self.probe.as_ref().map(|p| (p.target, p.sequence)) else {
            return;
        };
        let Some(address) = self.address(target) else {
            return;
        };
        let helpers = self.helpers(target);
        if let Some(probe) = &mut self.probe {
            probe.asked = Some(helpers.len());
        }
        let requests = helpers.into_iter().map(|to| MemberEffect::Request {
            to,
            target,
            address,
            sequence,
        });
        out.extend(requests);
    }

    /// Helpers at random, of as many failure domains as there are. A switch
    /// that drops datagrams of one domain then doesn't silence them all.
    fn helpers(&mut self, target: InstanceId) -> Vec<SocketAddr> {
        let own = self.own;
        let alive = |id: InstanceId| self.state(id) == Some(MemberState::Alive);
        let others = self.slots.keys().copied();
        let mut others: Vec<_> = others
            .filter(|id| *id != own && *id != target && alive(*id))
            .collect();
        others.sort_unstable();
        others.shuffle(&mut self.rng);
        let mut chosen: Vec<InstanceId> = Vec::new();
        let domain = |id: &InstanceId| self.slots[id].member.domain.as_str();
        for id in &others {
            if chosen.len() < HELPERS && chosen.iter().all(|c| domain(c) != domain(id)) {
                chosen.push(*id);
            }
        }
        let spare = others.iter().filter(|id| !chosen.contains(id));
        let spare: Vec<_> = spare.take(HELPERS - chosen.len()).copied().collect();
        chosen.extend(spare);
        chosen
            .iter()
            .map(|id| self.slots[id].member.gossip)
            .collect()
    }

    /// Ends a probe without answer. When no helper answered either, the fault
    /// may lie on this side.
    fn fail_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.failures += 1;
        if probe.asked.is_some_and(|asked| asked > 0) && !probe.helped {
            self.adjust_health(true);
        }
        if self.state(probe.target) == Some(MemberState::Alive) {
            self.set(now, probe.target, MemberState::Suspect, out);
        }
    }

    /// Answers a probe, if it is meant for this instance and not for one that
    /// had the address before.
    fn answer(
        &mut self,
        from: SocketAddr,
        target: InstanceId,
        sequence: u64,
        out: &mut Vec<MemberEffect>,
    ) {
        if target == self.own && !self.left() {
            out.push(MemberEffect::Ack { to: from, sequence });
        }
    }

    fn acked(&mut self, now: Time, sequence: u64, out: &mut Vec<MemberEffect>) {
        if let Some(relay) = self.relays.remove(&sequence) {
            out.push(MemberEffect::Ack {
                to: relay.origin,
                sequence: relay.sequence,
            });
            return;
        }
        if let Some((_, to)) = self.retried.take_if(|(number, _)| *number == sequence) {
            out.push(MemberEffect::Sync(to));
            return;
        }
        let current = self.probe.take_if(|p| p.sequence == sequence);
        if current.is_some() {
            self.failures = 0;
        }
        if current.is_some_and(|p| now < p.end_at) {
            self.adjust_health(false);
        }
    }

    fn nacked(&mut self, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.helped = true;
        }
    }

    fn relay(
        &mut self,
        now: Time,
        from: SocketAddr,
        target: InstanceId,
        to: SocketAddr,
        number: u64,
        out: &mut Vec<MemberEffect>,
    ) {
        if self.relays.len() >= MAX_RELAYS || self.left() {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let relay = Relay {
            origin: from,
            sequence: number,
            end_at: now + self.patience(),
        };
        self.relays.insert(sequence, relay);
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    fn patience(&self) -> Duration {
        self.probe_period.mul_f64(PATIENCE)
    }
}
