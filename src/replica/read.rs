//! Linearizable reads without log entries (read index).
//!
//! The leader records its commit index, then confirms with a quorum that its
//! term is still current: no later leader had committed anything when the read
//! began. Reads that arrive during a round share the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use super::member::Peer;
use super::message::{Body, Read, ReadAck};
use super::outbox::Outbox;
use super::{Cause, Effect, RaftState, Replica};
use crate::clock::Time;

/// Origin of a read, local or a follower.
#[derive(Clone, Copy, Debug)]
enum ReadOrigin {
    Local(u64),
    Remote(Peer, u64),
}

/// Reads of one replica.
#[derive(Debug)]
pub(super) struct Reads {
    /// Number of the next request to a leader. Starts at a random value, so that
    /// an answer to an earlier run of this process matches no request.
    next: u64,
    queued: Vec<ReadOrigin>,
    /// Round, commit index and readers of the leader's current read round.
    round: Option<(u64, u64, Vec<ReadOrigin>)>,
    /// Number, sending time and tickets of a follower's current request.
    forwarded: Option<(u64, Time, Vec<u64>)>,
    /// Tickets that wait until an index is applied, and since when.
    waiting: BTreeMap<u64, Vec<(u64, Time)>>,
}

impl Reads {
    pub(super) fn new(run: u64) -> Self {
        Self {
            next: run,
            queued: Vec::new(),
            round: None,
            forwarded: None,
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn queue_local(&mut self, ticket: u64) {
        self.queued.push(ReadOrigin::Local(ticket));
    }

    pub(super) fn queue_remote(&mut self, from: Peer, ticket: u64) {
        self.queued.push(ReadOrigin::Remote(from, ticket));
    }

    pub(super) fn on_ack(&mut self, ack: ReadAck) {
        if let Some((_, at, tickets)) = self.forwarded.take_if(|(n, _, _)| *n == ack.ticket) {
            let tickets = tickets.into_iter().map(|t| (t, at));
            self.waiting.entry(ack.index).or_default().extend(tickets);
        }
    }

    /// Removes and returns the tickets that have waited for `limit` or longer.
    fn expired(&mut self, now: Time, limit: Duration) -> Vec<u64> {
        let late = |at: Time| now.since(at) >= limit;
        let forwarded = self.forwarded.take_if(|(_, at, _)| late(*at));
        let mut expired = forwarded.map_or_else(Vec::new, |(_, _, tickets)| tickets);
        self.waiting.retain(|_, tickets| {
            let removed = tickets.extract_if(.., |(_, at)| late(*at));
            expired.extend(removed.map(|(t, _)| t));
            !tickets.is_empty()
        });
        expired
    }

    /// Fails the reads that wait for a leader which steps down.
    pub(super) fn fail_all(&mut self, outbox: &mut Outbox) {
        let running = self.round.take().map(|(_, _, readers)| readers);
        let readers = running.into_iter().flatten().chain(self.queued.drain(..));
        for reader in readers {
            fail(reader, None, outbox);
        }
    }
}

/// Fails a local read. A follower's read expires there.
fn fail(reader: ReadOrigin, hint: Option<u64>, outbox: &mut Outbox) {
    if let ReadOrigin::Local(ticket) = reader {
        let cause = Cause::NotLeader { hint };
        outbox.effects.push(Effect::Failed { ticket, cause });
    }
}

impl Replica {
    /// Starts and finishes read rounds.
    pub(super) fn serve_reads(&mut self) {
        match self.is_leader() {
            true => self.start_read_round(),
            false => self.forward_reads(),
        }
        self.finish_reads();
    }

    fn start_read_round(&mut self) {
        self.confirm_reads();
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        // Before the first entry of its term is committed a leader may not
        // know the latest commit index.
        let ready = self.commit >= lead.first;
        if self.reads.queued.is_empty() || self.reads.round.is_some() || !ready {
            return;
        }
        lead.round += 1;
        let readers = std::mem::take(&mut self.reads.queued);
        self.reads.round = Some((lead.round, self.commit, readers));
        self.broadcast_heartbeat();
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let RaftState::Leader(lead) = &self.state else {
            return;
        };
        let me = self.settings.me;
        let members = self.log.members().1;
        let confirmed = |round: u64| {
            members.quorum(|p| {
                let progress = lead.progress.get(&p);
                p == me || progress.is_some_and(|g| !g.rolled_back && g.round >= round)
            })
        };
        let done = self.reads.round.take_if(|(round, _, _)| confirmed(*round));
        let Some((_, index, readers)) = done else {
            return;
        };
        for reader in readers {
            match reader {
                ReadOrigin::Local(ticket) => {
                    let waiting = self.reads.waiting.entry(index).or_default();
                    waiting.push((ticket, self.now));
                }
                ReadOrigin::Remote(peer, ticket) => {
                    let ack = Body::ReadAck(ReadAck { ticket, index });
                    self.outbox.send(peer, self.term, ack);
                }
            }
        }
    }

    /// Forwards a follower's reads to the leader.
    fn forward_reads(&mut self) {
        if self.reads.queued.is_empty() || self.reads.forwarded.is_some() {
            return;
        }
        let readers = std::mem::take(&mut self.reads.queued);
        let Some(leader) = self.leader else {
            for reader in readers {
                fail(reader, None, &mut self.outbox);
            }
            return;
        };
        let local = |r| match r {
            ReadOrigin::Local(ticket) => Some(ticket),
            ReadOrigin::Remote(..) => None,
        };
        let tickets: Vec<u64> = readers.into_iter().filter_map(local).collect();
        if tickets.is_empty() {
            return;
        }
        let ticket = self.reads.next;
        self.reads.next = ticket.wrapping_add(1);
        self.reads.forwarded = Some((ticket, self.now, tickets));
        self.outbox
            .send(leader, self.term, Body::Read(Read { ticket }));
    }

    /// Fails reads that weren't confirmed and applied within an election timeout.
    pub(super) fn expire_reads(&mut self) {
        let expired = self.reads.expired(self.now, self.settings.election_timeout);
        let hint = self.leader.map(|l| l.id);
        for ticket in expired {
            self.fail(ticket, Cause::NotLeader { hint });
        }
    }

    fn finish_reads(&mut self) {
        while let Some(first) = self.reads.waiting.first_entry()
            && *first.key() <= self.applied
        {
            let index = *first.key();
            for (ticket, _) in first.remove() {
                let effect = Effect::Readable { ticket, index };
                self.outbox.effects.push(effect);
            }
        }
    }
}
