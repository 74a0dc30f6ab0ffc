//! Direct probes, and indirect ones through helpers in other failure domains.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::clock::Time;
use crate::id::InstanceId;
use crate::membership::detector::{MemberEffect, Membership};
use crate::membership::member::MemberState;

/// Helpers asked to probe a target that doesn't answer directly.
const HELPER_COUNT: usize = 3;

/// Maximum number of concurrent probes on behalf of other instances.
const MAX_RELAYED_PROBES: usize = 64;

/// Timeout of a direct probe as a fraction of the probe period.
const ACK_TIMEOUT_RATIO: f64 = 0.3;

/// The probe in progress.
#[derive(Debug)]
pub(crate) struct Probe {
    target: InstanceId,
    sequence: u64,
    /// When helpers are asked for indirect probes.
    indirect_at: Time,
    /// When the probe fails.
    deadline: Time,
    /// Number of helpers asked, or `None` before `indirect_at`.
    helpers_asked: Option<usize>,
    /// Whether a helper reported that the target didn't answer it either.
    nack_received: bool,
}

/// A probe on behalf of another instance.
#[derive(Debug)]
pub(crate) struct RelayedProbe {
    requester: SocketAddr,
    sequence: u64,
    deadline: Time,
}

/// A message of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeEvent {
    /// Another instance probes `target`.
    Ping { target: InstanceId, sequence: u64 },
    /// A probe was acknowledged.
    Ack { sequence: u64 },
    /// A helper got no answer from the target.
    Nack { sequence: u64 },
    /// Another instance asks this one to probe `target`.
    PingRequest {
        target: InstanceId,
        address: SocketAddr,
        sequence: u64,
    },
}

impl Membership {
    /// Handles a message from the instance at `from`.
    pub(crate) fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        event: ProbeEvent,
        out: &mut Vec<MemberEffect>,
    ) {
        match event {
            ProbeEvent::Ping { target, sequence } => self.on_ping(from, target, sequence, out),
            ProbeEvent::Ack { sequence } => self.on_ack(now, sequence, out),
            ProbeEvent::Nack { sequence } => self.on_nack(sequence),
            ProbeEvent::PingRequest {
                target,
                address,
                sequence,
            } => self.on_ping_request(now, from, target, address, sequence, out),
        }
    }

    /// Advances the probe in progress, and starts the next one when due.
    pub(super) fn advance_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        if let Some(probe) = &self.probe {
            if now >= probe.deadline {
                self.fail_probe(now, out);
            } else if now >= probe.indirect_at && probe.helpers_asked.is_none() {
                self.request_indirect_probes(out);
            }
        }
        if self.probe.is_none() && now >= self.next_probe && !self.has_left() {
            self.start_probe(now, out);
        }
    }

    /// Sends a nack for each relayed probe that timed out.
    pub(super) fn expire_relayed_probes(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let ended = self
            .relayed_probes
            .extract_if(|_, relay| relay.deadline <= now);
        let nacks = ended.map(|(_, relay)| MemberEffect::Nack {
            to: relay.requester,
            sequence: relay.sequence,
        });
        out.extend(nacks);
    }

    fn start_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        self.next_probe = now + self.probe_period;
        let Some((target, to)) = self.next_target() else {
            return;
        };
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let timeout_scale = 1 + self.health;
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: now + self.ack_timeout() * timeout_scale,
            deadline: now + self.probe_period * timeout_scale,
            helpers_asked: None,
            nack_received: false,
        });
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    /// The next instance of the round. A round contains each instance once in
    /// random order, so that none waits longer than two rounds for a probe.
    fn next_target(&mut self) -> Option<(InstanceId, SocketAddr)> {
        if self.probe_round.is_empty() {
            let own = self.own;
            let present = self
                .entries
                .iter()
                .filter(|(id, e)| **id != own && e.present());
            self.probe_round = present.map(|(id, _)| *id).collect();
            self.probe_round.sort_unstable();
            self.probe_round.shuffle(&mut self.rng);
        }
        while let Some(id) = self.probe_round.pop() {
            let entry = self.entries.get(&id).filter(|e| e.present());
            if let Some(entry) = entry {
                return Some((id, entry.member.gossip));
            }
        }
        None
    }

    fn request_indirect_probes(&mut self, out: &mut Vec<MemberEffect>) {
        let Some((target, sequence)) = self.probe.as_ref().map(|p| (p.target, p.sequence)) else {
            return;
        };
        let Some(address) = self.address(target) else {
            return;
        };
        let helpers = self.pick_helpers(target);
        if let Some(probe) = &mut self.probe {
            probe.helpers_asked = Some(helpers.len());
        }
        let requests = helpers.into_iter().map(|to| MemberEffect::PingRequest {
            to,
            target,
            address,
            sequence,
        });
        out.extend(requests);
    }

    /// Random helpers, spread over as many failure domains as possible, so that
    /// a switch which drops the datagrams of one domain doesn't affect them all.
    fn pick_helpers(&mut self, target: InstanceId) -> Vec<SocketAddr> {
        let own = self.own;
        let alive = |id: InstanceId| self.state(id) == Some(MemberState::Alive);
        let others = self.entries.keys().copied();
        let mut others: Vec<_> = others
            .filter(|id| *id != own && *id != target && alive(*id))
            .collect();
        others.sort_unstable();
        others.shuffle(&mut self.rng);
        let mut chosen: Vec<InstanceId> = Vec::new();
        let domain = |id: &InstanceId| self.entries[id].member.domain.as_str();
        for id in &others {
            if chosen.len() < HELPER_COUNT && chosen.iter().all(|c| domain(c) != domain(id)) {
                chosen.push(*id);
            }
        }
        let spare = others.iter().filter(|id| !chosen.contains(id));
        let spare: Vec<_> = spare.take(HELPER_COUNT - chosen.len()).copied().collect();
        chosen.extend(spare);
        chosen
            .iter()
            .map(|id| self.entries[id].member.gossip)
            .collect()
    }

    /// Ends an unanswered probe. If helpers were asked and none sent a nack, the
    /// fault may be local.
    fn fail_probe(&mut self, now: Time, out: &mut Vec<MemberEffect>) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        self.consecutive_failures += 1;
        if probe.helpers_asked.is_some_and(|count| count > 0) && !probe.nack_received {
            self.adjust_health(true);
        }
        if self.state(probe.target) == Some(MemberState::Alive) {
            self.set_state(now, probe.target, MemberState::Suspect, out);
        }
    }

    /// Acknowledges a probe, unless it is meant for an instance that had this
    /// address before.
    fn on_ping(
        &mut self,
        from: SocketAddr,
        target: InstanceId,
        sequence: u64,
        out: &mut Vec<MemberEffect>,
    ) {
        if target == self.own && !self.has_left() {
            out.push(MemberEffect::Ack { to: from, sequence });
        }
    }

    fn on_ack(&mut self, now: Time, sequence: u64, out: &mut Vec<MemberEffect>) {
        if let Some(relay) = self.relayed_probes.remove(&sequence) {
            out.push(MemberEffect::Ack {
                to: relay.requester,
                sequence: relay.sequence,
            });
            return;
        }
        if let Some((_, to)) = self.dead_probe.take_if(|(pending, _)| *pending == sequence) {
            out.push(MemberEffect::Sync(to));
            return;
        }
        let current = self.probe.take_if(|p| p.sequence == sequence);
        if current.is_some() {
            self.consecutive_failures = 0;
        }
        if current.is_some_and(|p| now < p.deadline) {
            self.adjust_health(false);
        }
    }

    fn on_nack(&mut self, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.nack_received = true;
        }
    }

    fn on_ping_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        target: InstanceId,
        to: SocketAddr,
        requested_sequence: u64,
        out: &mut Vec<MemberEffect>,
    ) {
        if self.relayed_probes.len() >= MAX_RELAYED_PROBES || self.has_left() {
            return;
        }
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let relay = RelayedProbe {
            requester: from,
            sequence: requested_sequence,
            deadline: now + self.ack_timeout(),
        };
        self.relayed_probes.insert(sequence, relay);
        out.push(MemberEffect::Ping {
            to,
            target,
            sequence,
        });
    }

    fn ack_timeout(&self) -> Duration {
        self.probe_period.mul_f64(ACK_TIMEOUT_RATIO)
    }
}
