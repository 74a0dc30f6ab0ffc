//! Actions requested by the failure detector and the upstream registry.

use crate::clock::Time;
use crate::gossip::node::{Node, PeerAddress};
use crate::gossip::wire::{Body, Ping, PingRequest, RecordRequest};
use crate::id::InstanceId;
use crate::membership::{MemberEffect, ProbeEvent, RecordSource};
use crate::upstream::RegistryEffect;

impl Node {
    pub(super) fn apply_member_effects(
        &mut self,
        now: Time,
        effects: Vec<MemberEffect>,
        sender: Option<PeerAddress>,
    ) {
        for effect in effects {
            match effect {
                MemberEffect::Ping {
                    to,
                    target,
                    sequence,
                } => {
                    let body = Body::Ping(Ping {
                        target: target.0,
                        sequence,
                    });
                    self.send_probe(now, to, body, Some(target));
                }
                MemberEffect::Ack { to, sequence } => {
                    let target = sender.map(|s| s.id);
                    self.send_probe(now, to, Body::Ack(sequence), target);
                }
                MemberEffect::Nack { to, sequence } => {
                    self.send_probe(now, to, Body::Nack(sequence), None);
                }
                MemberEffect::PingRequest {
                    to,
                    target,
                    address,
                    sequence,
                } => {
                    let request = PingRequest::new(target, address, sequence);
                    self.send_probe(now, to, Body::PingRequest(request), None);
                }
                MemberEffect::Broadcast(id) => self.member_broadcasts.add(id),
                MemberEffect::RequestRecord(id) => {
                    let request = RecordRequest {
                        members: vec![id.0],
                        upstreams: Vec::new(),
                    };
                    self.send_to(sender, Body::RecordRequest(request));
                }
                MemberEffect::SendRecord(id) => {
                    let record = self.members.record(now, id, true);
                    let to = sender.map(|s| s.address);
                    if let (Some(record), Some(to)) = (record, to) {
                        self.send_records(to, RecordSource::Broadcast, vec![record], Vec::new());
                    }
                }
                MemberEffect::Sync(to) => self.start_sync(now, to),
            }
        }
    }

    pub(super) fn apply_registry_effects(
        &mut self,
        effects: Vec<RegistryEffect>,
        sender: Option<PeerAddress>,
    ) {
        let mut missing_metadata = Vec::new();
        for effect in effects {
            match effect {
                RegistryEffect::Broadcast(key) => self.upstream_broadcasts.add(key),
                RegistryEffect::BroadcastLoad(key) => self.load_broadcasts.add(key),
                RegistryEffect::ForwardRenewal(registrar, renewal) => {
                    let to = self.members.address(registrar);
                    let to = to.map(|address| PeerAddress {
                        id: registrar,
                        address,
                    });
                    self.send_to(to, Body::Renewal(renewal));
                }
                RegistryEffect::RequestMetadata(key) => missing_metadata.push(key),
            }
        }
        if missing_metadata.is_empty() {
            return;
        }
        let request = RecordRequest {
            members: Vec::new(),
            upstreams: missing_metadata,
        };
        self.send_to(sender, Body::RecordRequest(request));
    }

    /// Sends a body without broadcasts to an instance, if there is one.
    fn send_to(&mut self, to: Option<PeerAddress>, body: Body) {
        let outgoing = to.map(|to| self.datagram(to.address, body));
        self.out.extend(outgoing);
    }
}

impl From<&Body> for Option<ProbeEvent> {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping(ping) => Some(ProbeEvent::Ping {
                target: InstanceId(ping.target),
                sequence: ping.sequence,
            }),
            Body::Ack(sequence) => Some(ProbeEvent::Ack {
                sequence: *sequence,
            }),
            Body::Nack(sequence) => Some(ProbeEvent::Nack {
                sequence: *sequence,
            }),
            Body::PingRequest(request) => request.event(),
            _ => None,
        }
    }
}
