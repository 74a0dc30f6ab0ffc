//! Replication: the leader's appends and commits, the follower's answers.

use bytes::Bytes;

use super::log::Entry;
use super::member::Peer;
use super::message::{Append, AppendAck, Body};
use super::progress::{Flow, Progress};
use super::{Cause, Effect, Kind, Part, Replica};

/// Entries in one message at most.
const BATCH_ENTRIES: usize = 1024;
/// Bytes of commands in one message, exceeded by one entry at most.
const BATCH_BYTES: usize = 256 * 1024;
/// Entries sent ahead of acknowledgements to one member.
const WINDOW: u64 = 8192;

impl Replica {
    pub(super) fn on_propose(&mut self, commands: Vec<(u64, Bytes)>) {
        let accepts = matches!(&self.part, Part::Leader(lead) if lead.transfer.is_none());
        for (ticket, command) in commands {
            if !accepts {
                let hint = self.leader.filter(|&l| l != self.settings.me);
                let hint = hint.map(|l| l.id);
                self.fail(ticket, Cause::NotLeader { hint });
                continue;
            }
            self.append(Kind::Command, command);
            self.tickets.insert(self.log.last_index(), ticket);
        }
    }

    /// Appends an entry of the current term as leader.
    pub(super) fn append(&mut self, kind: Kind, data: Bytes) {
        assert!(self.is_leader(), "only a leader appends");
        self.push(Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            kind: kind as i32,
            data,
        });
    }

    /// A leader's work after every event: commit, apply, change members, send.
    pub(super) fn lead(&mut self) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit();
        self.apply();
        self.settle_members();
        self.replicate_all(false);
        self.hand_over();
        self.retire();
    }

    pub(super) fn tick_leader(&mut self) {
        let (now, limit) = (self.now, self.settings.election_timeout);
        let me = self.settings.me;
        let members = self.log.members().1;
        let Part::Leader(lead) = &mut self.part else {
            return;
        };
        lead.transfer = lead.transfer.filter(|(_, end)| now < *end);
        let recent = |p: &Progress| now.since(p.heard) < limit;
        let quorum = members.quorum(|p| p == me || lead.progress.get(&p).is_some_and(recent));
        // A leader cut off from its quorum would go on accepting proposals
        // that can't commit, and hold its followers on its side of the cut.
        if !quorum {
            return self.follow(self.term, None);
        }
        if now.since(lead.beat) >= self.settings.heartbeat_interval {
            self.beat();
        }
    }

    /// Sends to every member, entries or not.
    pub(super) fn beat(&mut self) {
        if let Part::Leader(lead) = &mut self.part {
            lead.beat = self.now;
        }
        self.replicate_all(true);
    }

    fn replicate_all(&mut self, force: bool) {
        let Part::Leader(lead) = &self.part else {
            return;
        };
        let peers: Vec<Peer> = lead.progress.keys().copied().collect();
        for peer in peers {
            self.replicate(peer, force);
        }
    }

    /// Sends what `peer` lacks; with `force` at least an empty message.
    fn replicate(&mut self, peer: Peer, mut force: bool) {
        let commit = self.commit;
        loop {
            let Part::Leader(lead) = &mut self.part else {
                return;
            };
            let round = lead.round;
            let Some(progress) = lead.progress.get_mut(&peer) else {
                return;
            };
            let waiting = progress.flow == Flow::Probe { waiting: true };
            let snapshot = matches!(progress.flow, Flow::Snapshot { .. });
            if (waiting || snapshot) && !force {
                return;
            }
            if snapshot {
                return self.send_chunk(peer, true);
            }
            let prev_index = progress.next - 1;
            let held = progress.next >= self.log.first_index();
            let Some(prev_term) = self.log.term(prev_index).filter(|_| held) else {
                progress.flow = Flow::Snapshot {
                    index: self.log.snapshot().index,
                    offset: 0,
                    sent: self.now,
                };
                return self.send_chunk(peer, false);
            };
            let open = !waiting && prev_index - progress.matched < WINDOW;
            let count = if open { BATCH_ENTRIES } else { 0 };
            let entries = self.log.slice(progress.next, count, BATCH_BYTES);
            if entries.is_empty() && !force && progress.told >= commit {
                return;
            }
            progress.told = commit;
            match &mut progress.flow {
                Flow::Probe { waiting } => *waiting = true,
                _ => progress.next += entries.len() as u64,
            }
            let append = Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            };
            self.outbox.send(peer, self.term, Body::Append(append));
            force = false;
        }
    }

    pub(super) fn on_append(&mut self, from: Peer, append: Append) {
        assert!(!self.is_leader(), "two leaders in a term");
        self.follow(self.term, Some(from));
        let round = append.round;
        let prev = append.prev_index;
        let last = prev + append.entries.len() as u64;
        if prev < self.log.snapshot().index && last <= self.commit {
            // The leader has every committed entry, so these match.
            return self.ack(from, true, self.commit, 0, round);
        }
        if prev >= self.log.first_index() - 1 && self.log.term(prev) != Some(append.prev_term) {
            let hint = self.hint(prev);
            return self.ack(from, false, prev, hint, round);
        }
        for entry in append.entries {
            let index = entry.index;
            if self.differs(&entry) {
                self.outbox.effects.push(Effect::Diverged { index });
                return;
            }
            self.accept(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.ack(from, true, last, 0, round);
    }

    /// Whether another entry is committed here in the place of `entry`. Some
    /// store has then forgotten what it promised, and the change here is lost.
    fn differs(&self, entry: &Entry) -> bool {
        let known = self.log.term(entry.index);
        entry.index <= self.commit && known.is_some_and(|t| t != entry.term)
    }

    /// Takes one entry of the leader, unless it's already here.
    fn accept(&mut self, entry: Entry) {
        let known = self.log.term(entry.index);
        if entry.index <= self.commit || known == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.push(entry);
    }

    /// Where the leader should try next after a mismatch at `index`.
    fn hint(&self, index: u64) -> u64 {
        if index > self.log.last_index() {
            return self.log.last_index() + 1;
        }
        self.log.term_start(index).max(self.commit + 1).min(index)
    }

    pub(super) fn ack(&mut self, to: Peer, matched: bool, index: u64, hint: u64, round: u64) {
        let ack = AppendAck {
            matched,
            index,
            hint,
            last_index: self.log.last_index(),
            round,
            seen: Vec::new(),
        };
        self.outbox.reply(to, self.term, Body::AppendAck(ack));
    }

    /// Notes that a leader heard of a member, which knows of `round`. Returns
    /// the member's progress.
    pub(super) fn hear(&mut self, from: Peer, round: u64) -> Option<&mut Progress> {
        let Part::Leader(lead) = &mut self.part else {
            return None;
        };
        let progress = lead.progress.get_mut(&from)?;
        progress.heard = self.now;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    pub(super) fn on_append_ack(&mut self, from: Peer, boot: u64, ack: &AppendAck) {
        let last = self.log.last_index();
        self.forget_earlier_runs(&ack.seen);
        let Some(progress) = self.hear(from, ack.round) else {
            return;
        };
        // Synced entries survive a restart. A later boot whose log ends
        // before what was acknowledged runs on an old copy of its folder, and
        // has forgotten votes too. It shows as a refused append.
        // One of an older term has no hint and says nothing of the entries.
        let refused = !ack.matched && ack.hint > 0 && ack.index <= progress.matched;
        if boot > progress.boot && (refused || ack.last_index < progress.matched) {
            progress.rolled = true;
            return;
        }
        if !ack.matched {
            if ack.index <= progress.matched {
                return;
            }
            progress.next = ack.hint.min(ack.index).max(progress.matched + 1);
            progress.flow = Flow::Probe { waiting: false };
            return;
        }
        assert!(ack.index <= last, "member acknowledged what was never sent");
        if ack.index >= progress.matched {
            progress.matched = ack.index;
            progress.boot = progress.boot.max(boot);
        }
        progress.next = progress.next.max(progress.matched + 1);
        progress.flow = match progress.flow {
            Flow::Snapshot { index, .. } if ack.index < index => progress.flow,
            _ => Flow::Stream,
        };
    }

    /// Commits what a quorum has synced.
    fn advance_commit(&mut self) {
        let Part::Leader(lead) = &self.part else {
            return;
        };
        let me = self.settings.me;
        let members = self.log.members().1;
        let reached = members.reached(|p| match p == me {
            true => self.synced,
            false => lead.matched(p),
        });
        // An entry of an earlier term on a majority can still be overwritten
        // by a leader that lacks it; one of this term can't, and covers it.
        let current = self.log.term(reached) == Some(self.term);
        if reached > self.commit && current {
            self.commit = reached;
        }
    }
}
