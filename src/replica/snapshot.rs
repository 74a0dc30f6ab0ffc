//! Chunked transfer of a snapshot to a member whose next entry was compacted.

use bytes::Bytes;

use super::log::Snapshot;
use super::member::Peer;
use super::message::{Body, Chunk, ChunkAck};
use super::progress::ReplicationMode;
use super::{RaftState, Replica};

/// Maximum number of snapshot bytes in one message.
const CHUNK_BYTES: usize = 256 * 1024;

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Leader that sends it. Another leader's bytes may differ.
    from: Peer,
    index: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Sends the next chunk, or with `probe` an empty one that asks for the offset.
    pub(super) fn send_chunk(&mut self, peer: Peer, probe: bool) {
        let snapshot = self.log.snapshot();
        let RaftState::Leader(lead) = &mut self.state else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get_mut(&peer) else {
            return;
        };
        let ReplicationMode::Snapshot {
            index,
            offset,
            sent,
        } = progress.mode
        else {
            return;
        };
        let offset = if index == snapshot.index { offset } else { 0 };
        progress.mode = ReplicationMode::Snapshot {
            index: snapshot.index,
            offset,
            sent: if probe { sent } else { self.now },
        };
        progress.next = snapshot.index + 1;
        let data = &snapshot.data;
        let from = usize::try_from(offset).map_or(data.len(), |at| at.min(data.len()));
        let size = if probe { 0 } else { CHUNK_BYTES };
        let to = data.len().min(from + size);
        let chunk = Chunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: Some(snapshot.members.clone()),
            offset,
            total: data.len() as u64,
            data: data.slice(from..to),
            round,
        };
        self.outbox.send(peer, self.term, Body::Chunk(chunk));
    }

    pub(super) fn on_chunk(&mut self, from: Peer, chunk: Chunk) {
        assert!(!self.is_leader(), "two leaders in a term");
        self.become_follower(self.term, Some(from));
        if chunk.index <= self.commit {
            self.incoming = None;
            return self.ack(from, true, self.commit, 0, chunk.round);
        }
        let fits = |i: &IncomingSnapshot| i.from == from && i.index == chunk.index;
        let mut incoming = self
            .incoming
            .take()
            .filter(fits)
            .unwrap_or(IncomingSnapshot {
                from,
                index: chunk.index,
                data: Vec::new(),
            });
        if incoming.data.len() as u64 == chunk.offset {
            incoming.data.extend_from_slice(&chunk.data);
        }
        if incoming.data.len() as u64 == chunk.total {
            return self.install(from, &chunk, incoming.data);
        }
        let ack = ChunkAck {
            index: chunk.index,
            offset: incoming.data.len() as u64,
            round: chunk.round,
        };
        self.incoming = Some(incoming);
        self.outbox.reply(from, self.term, Body::ChunkAck(ack));
    }

    /// Replaces the log by a complete snapshot.
    fn install(&mut self, from: Peer, chunk: &Chunk, data: Vec<u8>) {
        let snapshot = Snapshot {
            index: chunk.index,
            term: chunk.last_term,
            members: chunk.members.clone().unwrap_or_default(),
            data: Bytes::from(data),
        };
        let agrees = self.log.term(snapshot.index) == Some(snapshot.term);
        self.log.restore(snapshot);
        // Durable up to here: the retained log if it matches, else the commit index.
        let last = if agrees {
            self.log.last_index()
        } else {
            self.commit
        };
        self.commit = chunk.index;
        self.synced = self.synced.min(last);
        for (_, at) in &mut self.unsynced_writes {
            *at = (*at).min(last);
        }
        self.snapshot_dirty = true;
        self.ack(from, true, chunk.index, 0, chunk.round);
    }

    pub(super) fn on_chunk_ack(&mut self, from: Peer, ack: ChunkAck) {
        let (now, resend_after) = (self.now, 2 * self.settings.heartbeat_interval);
        let Some(progress) = self.record_contact(from, ack.round) else {
            return;
        };
        let ReplicationMode::Snapshot {
            index,
            offset,
            sent,
        } = progress.mode
        else {
            return;
        };
        // A chunk in flight is resent only when it is probably lost.
        let lost = now.since(sent) >= resend_after;
        if index != ack.index || (offset == ack.offset && !lost) {
            return;
        }
        progress.mode = ReplicationMode::Snapshot {
            index,
            offset: ack.offset,
            sent: now,
        };
        self.send_chunk(from, false);
    }
}
