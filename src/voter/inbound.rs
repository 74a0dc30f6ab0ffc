//! Checks messages from other stores by their run before they reach a replica.

use snafu::ensure;

use super::core::Core;
use super::known_runs::RunStatus;
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
                send(self.reply(&message, self.hello()));
                return Ok(());
            }
            _ => {}
        }
        if !self.check_run(&message, send) {
            return Ok(());
        }
        if self.groups[at].replica.is_querying() && matches!(message.body, Some(Body::Vote(_))) {
            self.groups[at].vote_request = Some(message);
            return Ok(());
        }
        // A vote or acknowledgement counts only once its run is recorded durably.
        if self
            .deferred
            .iter()
            .any(|h| h.from_store == message.from_store)
        {
            self.deferred.push(message);
            return Ok(());
        }
        self.step(at, now, Event::Message(message), send)
    }

    /// Whether a message may be handled now, judged by the run that sent it.
    fn check_run(&mut self, message: &Message, send: &mut dyn FnMut(Message)) -> bool {
        match self.known_runs.classify(message) {
            RunStatus::Current => return true,
            RunStatus::Later if !self.records_run(message.sender()) => return true,
            RunStatus::Later => {
                self.known_runs.insert(message);
                let (store, boot, run) = (message.from_store, message.boot, message.run);
                self.store.write_known_run(store, boot, run);
                self.deferred.push(message.clone());
            }
            RunStatus::Unproven => send(self.reply(message, Body::HelloRequest(HelloRequest {}))),
            RunStatus::Superseded => {
                self.refused += 1;
                let (boot, run) = (message.boot, message.run);
                let body = Body::Superseded(Superseded { boot, run });
                send(self.reply(message, body));
            }
        }
        false
    }

    /// Builds a reply to the run that sent `message`.
    fn reply(&self, message: &Message, body: Body) -> Message {
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

    /// Whether to record the latest run of `peer`. Only those of members are, which bounds
    /// the records, and those of stores that were members when an earlier one was.
    ///
    /// Otherwise, all later messages of such a store would be dropped as unproven. It may
    /// lead a group whose entries, which would make it a member here, are still to come.
    fn records_run(&self, peer: Peer) -> bool {
        self.known_runs.known().contains_key(&peer.store) || self.is_member(peer)
    }

    /// Whether `peer` is a member of any group.
    fn is_member(&self, peer: Peer) -> bool {
        self.groups.iter().any(|g| {
            let members = &g.replica.log().members().1.members;
            let is = |m: &Member| m.peer() == peer || (m.store == 0 && m.id == peer.id);
            members.iter().any(is)
        })
    }
}
