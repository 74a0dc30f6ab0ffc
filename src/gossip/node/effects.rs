//! What a node does for its detector and its table of upstreams.

use crate::clock::Time;
use crate::gossip::node::{Node, Origin};
use crate::gossip::wire::{Body, Ping, Request, Want};
use crate::id::InstanceId;
use crate::membership::{MemberEffect, ProbeEvent, Source};
use crate::upstream::RegistryEffect;

impl Node {
    pub(super) fn on_members(
        &mut self,
        now: Time,
        effects: Vec<MemberEffect>,
        origin: Option<Origin>,
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
                    let sender = origin.map(|o| o.id);
                    self.send_probe(now, to, Body::Ack(sequence), sender);
                }
                MemberEffect::Nack { to, sequence } => {
                    self.send_probe(now, to, Body::Nack(sequence), None);
                }
                MemberEffect::Request {
                    to,
                    target,
                    address,
                    sequence,
                } => {
                    let request = Request::new(target, address, sequence);
                    self.send_probe(now, to, Body::Request(request), None);
                }
                MemberEffect::Spread(id) => self.member_rumours.add(id),
                MemberEffect::Want(id) => {
                    let want = Want {
                        members: vec![id.0],
                        upstreams: Vec::new(),
                    };
                    self.answer(origin, Body::Want(want));
                }
                MemberEffect::Reply(id) => {
                    let record = self.members.record(now, id, true);
                    let to = origin.map(|o| o.address);
                    if let (Some(record), Some(to)) = (record, to) {
                        self.send_records(to, Source::Rumour, vec![record], Vec::new());
                    }
                }
                MemberEffect::Sync(to) => self.compare(now, to),
            }
        }
    }

    pub(super) fn on_registry(&mut self, effects: Vec<RegistryEffect>, origin: Option<Origin>) {
        let mut wanted = Vec::new();
        for effect in effects {
            match effect {
                RegistryEffect::Broadcast(key) => self.upstream_rumours.add(key),
                RegistryEffect::BroadcastLoad(key) => self.load_rumours.add(key),
                RegistryEffect::ForwardRenewal(registrar, renewal) => {
                    let to = self.members.address(registrar);
                    let to = to.map(|address| Origin {
                        id: registrar,
                        address,
                    });
                    self.answer(to, Body::Renewal(renewal));
                }
                RegistryEffect::RequestMetadata(key) => wanted.push(key),
            }
        }
        if wanted.is_empty() {
            return;
        }
        let want = Want {
            members: Vec::new(),
            upstreams: wanted,
        };
        self.answer(origin, Body::Want(want));
    }

    /// Sends a body without rumours to an instance, if there is one.
    fn answer(&mut self, to: Option<Origin>, body: Body) {
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
            Body::Request(request) => request.event(),
            _ => None,
        }
    }
}
