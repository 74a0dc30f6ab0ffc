//! Replication: the leader's appends and commits, the followers' answers.

use bytes::Bytes;

use super::log::Entry;
use super::member::Peer;
use super::message::{Append, AppendAck, Body};
use super::progress::{Progress, ReplicationMode};
use super::{Cause, Effect, Kind, RaftState, Replica};

/// Maximum number of entries in one message.
const BATCH_ENTRIES: usize = 1024;
/// Bytes of commands in one message, exceeded by at most one entry.
const BATCH_BYTES: usize = 256 * 1024;
/// Maximum number of unacknowledged entries sent to one member.
const WINDOW: u64 = 8192;

impl Replica {
    pub(super) fn on_propose(&mut self, commands: Vec<(u64, Bytes)>) {
        let accepts = matches!(&self.state, RaftState::Leader(lead) if lead.transfer.is_none());
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

    /// Does the leader's work after each event: commit, apply, change the
    /// membership and replicate.
    pub(super) fn run_leader(&mut self) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit();
        self.apply();
        self.advance_membership();
        self.replicate_all(false);
        self.continue_transfer();
        self.step_down_if_removed();
    }

    pub(super) fn tick_leader(&mut self) {
        let (now, limit) = (self.now, self.settings.election_timeout);
        let me = self.settings.me;
        let members = self.log.members().1;
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        lead.transfer = lead.transfer.filter(|(_, end)| now < *end);
        let recent = |p: &Progress| now.since(p.last_contact) < limit;
        let quorum = members.quorum(|p| p == me || lead.progress.get(&p).is_some_and(recent));
        // A leader without its quorum would accept proposals that can't commit,
        // and keep its followers from electing a leader.
        if !quorum {
            return self.become_follower(self.term, None);
        }
        let heartbeat_due = now.since(lead.last_heartbeat) >= self.settings.heartbeat_interval;
        if now.since(lead.last_greeting) >= limit {
            lead.last_greeting = now;
            self.greet_contacts();
        }
        if heartbeat_due {
            self.broadcast_heartbeat();
        }
    }

    /// Sends an append to every member, even without entries.
    pub(super) fn broadcast_heartbeat(&mut self) {
        if let RaftState::Leader(lead) = &mut self.state {
            lead.last_heartbeat = self.now;
        }
        self.replicate_all(true);
    }

    fn replicate_all(&mut self, force: bool) {
        let RaftState::Leader(lead) = &self.state else {
            return;
        };
        let peers: Vec<Peer> = lead.progress.keys().copied().collect();
        for peer in peers {
            self.replicate(peer, force);
        }
    }

    /// Sends the entries that `peer` lacks, or with `force` at least an empty append.
    fn replicate(&mut self, peer: Peer, mut force: bool) {
        let commit = self.commit;
        loop {
            let RaftState::Leader(lead) = &mut self.state else {
                return;
            };
            let round = lead.round;
            let Some(progress) = lead.progress.get_mut(&peer) else {
                return;
            };
            let waiting = progress.mode == ReplicationMode::Probe { waiting: true };
            let snapshot = matches!(progress.mode, ReplicationMode::Snapshot { .. });
            if (waiting || snapshot) && !force {
                return;
            }
            if snapshot {
                return self.send_chunk(peer, true);
            }
            let prev_index = progress.next - 1;
            let held = progress.next >= self.log.first_index();
            let Some(prev_term) = self.log.term(prev_index).filter(|_| held) else {
                progress.mode = ReplicationMode::Snapshot {
                    index: self.log.snapshot().index,
                    offset: 0,
                    sent: self.now,
                };
                return self.send_chunk(peer, false);
            };
            let open = !waiting && prev_index - progress.matched < WINDOW;
            let count = if open { BATCH_ENTRIES } else { 0 };
            let entries = self.log.slice(progress.next, count, BATCH_BYTES);
            if entries.is_empty() && !force && progress.commit_sent >= commit {
                return;
            }
            progress.commit_sent = commit;
            match &mut progress.mode {
                ReplicationMode::Probe { waiting } => *waiting = true,
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
        self.become_follower(self.term, Some(from));
        let round = append.round;
        let prev = append.prev_index;
        let last = prev + append.entries.len() as u64;
        if prev < self.log.snapshot().index && last <= self.commit {
            // The leader holds every committed entry, so these match.
            return self.ack(from, true, self.commit, 0, round);
        }
        if prev >= self.log.first_index() - 1 && self.log.term(prev) != Some(append.prev_term) {
            let hint = self.hint(prev);
            return self.ack(from, false, prev, hint, round);
        }
        for entry in append.entries {
            let index = entry.index;
            if self.conflicts_with_committed(&entry) {
                self.outbox.effects.push(Effect::Diverged { index });
                return;
            }
            self.accept_entry(entry);
        }
        self.commit = self.commit.max(append.commit.min(last));
        self.ack(from, true, last, 0, round);
    }

    /// Whether a different entry is committed here at the index of `entry`. Then
    /// some store lost votes or acknowledgements, and the committed change is
    /// lost.
    fn conflicts_with_committed(&self, entry: &Entry) -> bool {
        let known = self.log.term(entry.index);
        entry.index <= self.commit && known.is_some_and(|t| t != entry.term)
    }

    /// Appends one entry of the leader unless the log already holds it.
    fn accept_entry(&mut self, entry: Entry) {
        let known = self.log.term(entry.index);
        if entry.index <= self.commit || known == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.push(entry);
    }

    /// Index that the leader should try next after a mismatch at `index`.
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

    /// Records that a member answered the leader with `round`. Returns the
    /// member's progress.
    pub(super) fn record_contact(&mut self, from: Peer, round: u64) -> Option<&mut Progress> {
        let RaftState::Leader(lead) = &mut self.state else {
            return None;
        };
        let progress = lead.progress.get_mut(&from)?;
        progress.last_contact = self.now;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    pub(super) fn on_append_ack(&mut self, from: Peer, boot: u64, ack: &AppendAck) {
        let last = self.log.last_index();
        self.record_seen_runs(&ack.seen);
        let Some(progress) = self.record_contact(from, ack.round) else {
            return;
        };
        // Synced entries survive a restart. A later boot whose log ends before the
        // acknowledged index runs on an old copy of its directory, and has lost
        // votes too. A mismatch at an acknowledged index shows the same, but for
        // rejections of an older term: these have no hint and don't refer to entries.
        let refused = !ack.matched && ack.hint > 0 && ack.index <= progress.matched;
        if boot > progress.boot && (refused || ack.last_index < progress.matched) {
            progress.rolled_back = true;
            return;
        }
        if !ack.matched {
            if ack.index <= progress.matched {
                return;
            }
            progress.next = ack.hint.min(ack.index).max(progress.matched + 1);
            progress.mode = ReplicationMode::Probe { waiting: false };
            return;
        }
        assert!(
            ack.index <= last,
            "member acknowledged an entry that was never sent"
        );
        if ack.index >= progress.matched {
            progress.matched = ack.index;
            progress.boot = progress.boot.max(boot);
        }
        progress.next = progress.next.max(progress.matched + 1);
        progress.mode = match progress.mode {
            ReplicationMode::Snapshot { index, .. } if ack.index < index => progress.mode,
            _ => ReplicationMode::Pipeline,
        };
    }

    /// Commits the entries that a quorum has synced.
    fn advance_commit(&mut self) {
        let RaftState::Leader(lead) = &self.state else {
            return;
        };
        let me = self.settings.me;
        let members = self.log.members().1;
        let reached = members.reached(|p| match p == me {
            true => self.synced,
            false => lead.matched(p),
        });
        // An entry of an earlier term on a majority can still be overwritten by a
        // leader that lacks it. An entry of this term can't, and commits all before.
        let current = self.log.term(reached) == Some(self.term);
        if reached > self.commit && current {
            self.commit = reached;
        }
    }
}
