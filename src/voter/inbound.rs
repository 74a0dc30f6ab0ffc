//! Messages from other stores, judged before they reach a replica.

use snafu::ensure;

use super::core::Core;
use super::sighting::Verdict;
use crate::clock::Time;
use crate::replica::{Body, Event, Hello, HelloRequest, Member, Message, Peer, Superseded};
use crate::store::{StoreError, SupersededSnafu};

impl Core {
    pub(super) fn deliver(
        &mut self,
        now: Time,
        message: Message,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        let Some(at) = self.position(message.group) else {
            return Ok(());
        };
        if message.from_store == self.me.store {
            return Ok(());
        }
        match message.body {
            Some(Body::Superseded(refused)) => {
                let ours = (refused.boot, refused.run) == (self.boot, self.config.run);
                ensure!(!ours || message.to_store != self.me.store, SupersededSnafu);
                return Ok(());
            }
            Some(Body::HelloRequest(_)) => {
                send(self.answer(&message, self.hello()));
                return Ok(());
            }
            _ => {}
        }
        if !self.sight(&message, send) {
            return Ok(());
        }
        // A vote or acknowledgement counts only once we'd remember its run.
        if self.held.iter().any(|h| h.from_store == message.from_store) {
            self.held.push(message);
            return Ok(());
        }
        self.step(at, now, Event::Message(message), send)
    }

    /// Whether a message may be handled now, by the run that sent it.
    fn sight(&mut self, message: &Message, send: &mut dyn FnMut(Message)) -> bool {
        match self.sightings.judge(message) {
            Verdict::Current => return true,
            Verdict::Later if !self.is_member(message.sender()) => return true,
            Verdict::Later => {
                self.sightings.insert(message);
                let (store, boot, run) = (message.from_store, message.boot, message.run);
                self.store.write_sighting(store, boot, run);
                self.held.push(message.clone());
            }
            Verdict::Unproven => send(self.answer(message, Body::HelloRequest(HelloRequest {}))),
            Verdict::Superseded => {
                self.refused += 1;
                let (boot, run) = (message.boot, message.run);
                let body = Body::Superseded(Superseded { boot, run });
                send(self.answer(message, body));
            }
        }
        false
    }

    /// A message back to the run that sent `message`.
    fn answer(&self, message: &Message, body: Body) -> Message {
        Message {
            group: message.group,
            from: self.me.id,
            from_store: self.me.store,
            to: message.from,
            to_store: message.from_store,
            boot: self.boot,
            run: self.config.run,
            term: 0,
            body: Some(body),
        }
    }

    fn hello(&self) -> Body {
        let runs = self.runs.clone();
        Body::Hello(Hello { runs })
    }

    /// Whether `peer` is a member of any group. Bounds what is remembered.
    fn is_member(&self, peer: Peer) -> bool {
        self.groups.iter().any(|g| {
            let members = &g.replica.log().members().1.members;
            let is = |m: &Member| m.peer() == peer || (m.store == 0 && m.id == peer.id);
            members.iter().any(is)
        })
    }
}
