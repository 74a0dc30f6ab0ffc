//! Transfer of a snapshot in pieces to a member whose next entry is gone.

use bytes::Bytes;

use super::log::Snapshot;
use super::member::Peer;
use super::message::{Body, Chunk, ChunkAck};
use super::progress::Flow;
use super::{Part, Replica};

/// Bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 256 * 1024;

/// A snapshot that arrives.
#[derive(Debug)]
pub(super) struct Incoming {
    /// The leader that sends it. Another one's bytes may differ.
    from: Peer,
    index: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Sends the next piece, or only asks how far `peer` is.
    pub(super) fn send_chunk(&mut self, peer: Peer, ask: bool) {
        let snapshot = self.log.snapshot();
        let Part::Leader(lead) = &mut self.part else {
            return;
        };
        let round = lead.round;
        let Some(progress) = lead.progress.get_mut(&peer) else {
            return;
        };
        let Flow::Snapshot {
            index,
            offset,
            sent,
        } = progress.flow
        else {
            return;
        };
        let offset = if index == snapshot.index { offset } else { 0 };
        progress.flow = Flow::Snapshot {
            index: snapshot.index,
            offset,
            sent: if ask { sent } else { self.now },
        };
        progress.next = snapshot.index + 1;
        let data = &snapshot.data;
        let from = usize::try_from(offset).map_or(data.len(), |at| at.min(data.len()));
        let size = if ask { 0 } else { CHUNK_BYTES };
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
        self.follow(self.term, Some(from));
        if chunk.index <= self.commit {
            self.incoming = None;
            return self.ack(from, true, self.commit, 0, chunk.round);
        }
        let fits = |i: &Incoming| i.from == from && i.index == chunk.index;
        let mut incoming = self.incoming.take().filter(fits).unwrap_or(Incoming {
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

    /// Replaces log and state by a complete snapshot.
    fn install(&mut self, from: Peer, chunk: &Chunk, data: Vec<u8>) {
        let snapshot = Snapshot {
            index: chunk.index,
            term: chunk.last_term,
            members: chunk.members.clone().unwrap_or_default(),
            data: Bytes::from(data),
        };
        let agrees = self.log.term(snapshot.index) == Some(snapshot.term);
        self.log.restore(snapshot);
        // What is durable: all that stays, or only what was committed here.
        let last = if agrees {
            self.log.last_index()
        } else {
            self.commit
        };
        self.commit = chunk.index;
        self.synced = self.synced.min(last);
        for (_, at) in &mut self.writes {
            *at = (*at).min(last);
        }
        self.snapshot_dirty = true;
        self.ack(from, true, chunk.index, 0, chunk.round);
    }

    pub(super) fn on_chunk_ack(&mut self, from: Peer, ack: ChunkAck) {
        let (now, patience) = (self.now, 2 * self.settings.heartbeat_interval);
        let Some(progress) = self.hear(from, ack.round) else {
            return;
        };
        let Flow::Snapshot {
            index,
            offset,
            sent,
        } = progress.flow
        else {
            return;
        };
        // A piece on its way is only sent again when it seems lost.
        let lost = now.since(sent) >= patience;
        if index != ack.index || (offset == ack.offset && !lost) {
            return;
        }
        progress.flow = Flow::Snapshot {
            index,
            offset: ack.offset,
            sent: now,
        };
        self.send_chunk(from, false);
    }
}
