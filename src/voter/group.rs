//! One group on this store: its replica, state machine and pending requests.

use bytes::Bytes;

use super::responder::Responder;
use super::{ChangeError, GroupStatus, ProposeError, ReadError, StateMachine};
use crate::collections::HashMap;
use crate::id::InstanceId;
use crate::replica::{Cause, Entry, Kind, Message, Persist, Replica};
use crate::store::{Store, StoreError};

/// A request without an outcome yet.
pub(super) enum Pending {
    Propose(Responder<Vec<u8>, ProposeError>),
    Read(Responder<u64, ReadError>),
    Change(Responder<(), ChangeError>),
}

pub(super) struct Group {
    pub(super) number: u32,
    pub(super) replica: Replica,
    pub(super) machine: Box<dyn StateMachine>,
    /// Requests by ticket.
    pending: HashMap<u64, Pending>,
    /// Proposals of the current batch.
    pub(super) proposals: Vec<(u64, Bytes)>,
    /// Number of the latest unsynced write.
    pub(super) written: Option<u64>,
    /// Latest request for a vote that arrived during the peer query. Handled after it: otherwise,
    /// the first campaign after a restart of all voters would fail, since some still query.
    pub(super) vote_request: Option<Message>,
    /// Approximate bytes of the entries applied since the snapshot.
    applied_bytes: usize,
}

/// Approximate bytes of an entry besides its command.
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
            vote_request: None,
            applied_bytes: 0,
        }
    }

    pub(super) fn add_pending(&mut self, ticket: u64, pending: Pending) {
        self.pending.insert(ticket, pending);
    }

    pub(super) fn write(&mut self, persist: &Persist, store: &mut Store) -> Result<(), StoreError> {
        self.written = Some(persist.seq);
        store.write(self.number, persist)
    }

    pub(super) fn apply(&mut self, entry: &Entry, ticket: Option<u64>) {
        self.applied_bytes += entry.data.len() + ENTRY_BYTES;
        let reply = match entry.kind() {
            Kind::Command => self.machine.apply(entry.index, &entry.data),
            Kind::Noop | Kind::Members => Vec::new(),
        };
        let pending = ticket.and_then(|t| self.pending.remove(&t));
        match pending {
            Some(Pending::Propose(responder)) => responder.send(Ok(reply)),
            Some(Pending::Change(responder)) => responder.send(Ok(())),
            Some(Pending::Read(_)) => unreachable!("reads have no entry"),
            None => {}
        }
    }

    /// Whether a snapshot is due: after `count` entries, and not before these are
    /// as large as the last snapshot. Otherwise a large state with small commands
    /// would use up the disk's throughput for snapshots.
    pub(super) fn needs_snapshot(&self, count: u64) -> bool {
        let snapshot = self.replica.log().snapshot();
        let applied = self.replica.applied();
        applied >= snapshot.index + count && self.applied_bytes >= snapshot.data.len()
    }

    /// Takes a snapshot of the state machine.
    pub(super) fn snapshot(&mut self) -> Bytes {
        self.applied_bytes = 0;
        self.machine.snapshot().into()
    }

    pub(super) fn readable(&mut self, ticket: u64, index: u64) {
        if let Some(Pending::Read(responder)) = self.pending.remove(&ticket) {
            responder.send(Ok(index));
        }
    }

    pub(super) fn fail(&mut self, ticket: u64, cause: Cause) {
        match self.pending.remove(&ticket) {
            Some(Pending::Propose(responder)) => responder.send(Err(cause.into())),
            Some(Pending::Read(responder)) => responder.send(Err(cause.into())),
            Some(Pending::Change(responder)) => responder.send(Err(cause.into())),
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
            leader_live: replica.has_live_leader(),
            last: log.last_index(),
            commit: replica.commit(),
            applied: replica.applied(),
            snapshot: log.snapshot().index,
            members: log.members().1.members.clone(),
            non_members: replica.non_members().collect(),
            refused,
            confirmed: replica.confirmed(),
            silences: replica.silences(),
            known_members: replica.latest_members().instances,
            founding_refused: replica.founding_refused(),
        }
    }
}
