//! One group on this store: its replica, its machine, and who waits.

use bytes::Bytes;

use super::answer::Answer;
use super::{ChangeError, GroupStatus, ProposeError, ReadError, StateMachine};
use crate::collections::HashMap;
use crate::id::InstanceId;
use crate::replica::{Cause, Entry, Kind, Persist, Replica};
use crate::store::{Store, StoreError};

/// A request that waits for its outcome.
pub(super) enum Pending {
    Propose(Answer<Vec<u8>, ProposeError>),
    Read(Answer<u64, ReadError>),
    Change(Answer<(), ChangeError>),
}

pub(super) struct Group {
    pub(super) number: u32,
    pub(super) replica: Replica,
    pub(super) machine: Box<dyn StateMachine>,
    /// Requests by ticket.
    pending: HashMap<u64, Pending>,
    /// Proposals of the current batch.
    pub(super) proposals: Vec<(u64, Bytes)>,
    /// Number of the latest write that awaits a sync.
    pub(super) written: Option<u64>,
    /// Bytes of the entries applied since the snapshot, about.
    grown: usize,
}

/// Bytes of an entry besides its command, about.
const ENTRY_BYTES: usize = 32;

impl Group {
    pub(super) fn new(number: u32, replica: Replica, machine: Box<dyn StateMachine>) -> Self {
        Self {
            number,
            replica,
            machine,
            pending: HashMap::default(),
            proposals: Vec::new(),
            written: None,
            grown: 0,
        }
    }

    pub(super) fn wait(&mut self, ticket: u64, pending: Pending) {
        self.pending.insert(ticket, pending);
    }

    pub(super) fn write(&mut self, persist: &Persist, store: &mut Store) -> Result<(), StoreError> {
        self.written = Some(persist.seq);
        store.write(self.number, persist)
    }

    pub(super) fn apply(&mut self, entry: &Entry, ticket: Option<u64>) {
        self.grown += entry.data.len() + ENTRY_BYTES;
        let reply = match entry.kind() {
            Kind::Command => self.machine.apply(entry.index, &entry.data),
            Kind::Noop | Kind::Members => Vec::new(),
        };
        let pending = ticket.and_then(|t| self.pending.remove(&t));
        match pending {
            Some(Pending::Propose(answer)) => answer.send(Ok(reply)),
            Some(Pending::Change(answer)) => answer.send(Ok(())),
            Some(Pending::Read(_)) => unreachable!("reads have no entry"),
            None => {}
        }
    }

    /// Whether a snapshot is due: after `count` entries, and not before the
    /// entries weigh as much as the snapshot. A big state with small commands
    /// would otherwise spend the disk on snapshots.
    pub(super) fn wants_snapshot(&self, count: u64) -> bool {
        let snapshot = self.replica.log().snapshot();
        let applied = self.replica.applied();
        applied >= snapshot.index + count && self.grown >= snapshot.data.len()
    }

    /// The machine's state, to be kept as snapshot.
    pub(super) fn snapshot(&mut self) -> Bytes {
        self.grown = 0;
        self.machine.snapshot().into()
    }

    pub(super) fn readable(&mut self, ticket: u64, index: u64) {
        if let Some(Pending::Read(answer)) = self.pending.remove(&ticket) {
            answer.send(Ok(index));
        }
    }

    pub(super) fn fail(&mut self, ticket: u64, cause: Cause) {
        match self.pending.remove(&ticket) {
            Some(Pending::Propose(answer)) => answer.send(Err(cause.into())),
            Some(Pending::Read(answer)) => answer.send(Err(cause.into())),
            Some(Pending::Change(answer)) => answer.send(Err(cause.into())),
            None => {}
        }
    }

    pub(super) fn status(&self, boot: u64, refused: u64) -> GroupStatus {
        let replica = &self.replica;
        let log = replica.log();
        GroupStatus {
            group: self.number,
            me: replica.me(),
            boot,
            term: replica.term(),
            leader: replica.leader().map(|l| InstanceId(l.id)),
            leads: replica.is_leader(),
            last: log.last_index(),
            commit: replica.commit(),
            applied: replica.applied(),
            snapshot: log.snapshot().index,
            members: log.members().1.members.clone(),
            strangers: replica.strangers().collect(),
            refused,
            confirmed: replica.confirmed(),
            silences: replica.silences(),
        }
    }
}
