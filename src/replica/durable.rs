//! Persistence of the replica's state and application of committed entries.

use bytes::Bytes;

use super::Replica;
use super::log::Entry;
use super::message::Message;
use super::outbox::{Effect, HardState, Persist};

impl Replica {
    pub(super) fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote,
            commit: self.commit,
        }
    }

    pub(super) fn on_persisted(&mut self, seq: u64) {
        while let Some(&(number, last)) = self.unsynced_writes.front()
            && number <= seq
        {
            self.unsynced_writes.pop_front();
            self.synced = last;
        }
        for message in self.outbox.release(seq) {
            self.release(message);
        }
    }

    /// Sends a reply whose state is durable, or handles it here if it is this
    /// store's own.
    fn release(&mut self, message: Message) {
        let me = self.settings.me;
        let own = message.to == me.id && message.to_store == me.store;
        match own {
            true => self.on_message(message),
            false => self.outbox.effects.push(Effect::Send(message)),
        }
    }

    /// Removes entries that conflict with the leader's.
    pub(super) fn truncate(&mut self, index: u64) {
        assert!(index > self.commit, "committed entry overwritten");
        self.log.truncate(index);
        self.synced = self.synced.min(index - 1);
        for (_, last) in &mut self.unsynced_writes {
            *last = (*last).min(index - 1);
        }
    }

    pub(super) fn push(&mut self, entry: Entry) {
        let index = entry.index;
        self.first_unsaved = Some(self.first_unsaved.map_or(index, |at| at.min(index)));
        self.log.push(entry);
    }

    /// Passes committed entries to the state machine.
    pub(super) fn apply(&mut self) {
        let end = self.commit.min(self.synced);
        let snapshot = self.log.snapshot();
        if snapshot.index > self.applied {
            // The entries it replaces are gone, so it must be synced first.
            if end < snapshot.index {
                return;
            }
            self.applied = snapshot.index;
            let effect = Effect::Restore(snapshot.clone());
            self.outbox.effects.push(effect);
        }
        while self.applied < end {
            self.applied += 1;
            let entry = self.log.get(self.applied);
            let entry = entry.expect("committed entry is in the log").clone();
            let ticket = self.tickets.remove(&self.applied);
            self.outbox.effects.push(Effect::Apply { entry, ticket });
        }
    }

    pub(super) fn on_compact(&mut self, index: u64, data: Bytes) {
        assert!(index <= self.applied, "snapshot past the applied index");
        if index <= self.log.snapshot().index {
            return;
        }
        self.log
            .compact(index, data, self.settings.retained_entries);
        self.snapshot_dirty = true;
    }

    /// Issues a write of the state changed in this step, and queues replies
    /// behind it.
    pub(super) fn save(&mut self) {
        if self.hard_state_dirty
            || self.snapshot_dirty
            || self.known_members_dirty
            || self.first_unsaved.is_some()
        {
            let seq = self.outbox.next_seq();
            let snapshot = self.log.snapshot();
            let first = self
                .first_unsaved
                .take()
                .map(|at| at.max(snapshot.index + 1));
            let entries =
                first.map_or_else(Vec::new, |at| self.log.slice(at, usize::MAX, usize::MAX));
            let persist = Persist {
                seq,
                hard: self.hard_state(),
                snapshot: self.snapshot_dirty.then(|| snapshot.clone()),
                entries,
                known_members: self.known_members_dirty.then(|| self.known_members.clone()),
            };
            self.hard_state_dirty = false;
            self.known_members_dirty = false;
            self.snapshot_dirty = false;
            self.unsynced_writes.push_back((seq, self.log.last_index()));
            self.outbox.effects.push(Effect::Persist(persist));
        }
        for message in self.outbox.defer_replies() {
            self.release(message);
        }
    }
}
