//! Heartbeats that a following controller forwards to the leader.
//!
//! 3,000 engines that send a heartbeat every 1.2 s make 2,500 calls a second and a connection
//! each. Received by the leader alone, they take 50 to 80 % of its CPU time and all of its file
//! descriptors. So each controller accepts the heartbeats that reach it and forwards them in
//! batches, mostly as digests of a few bytes.

use std::hash::{Hash, Hasher};

use prost::Message;
use rustc_hash::FxHasher;

use crate::collections::HashSet;
use crate::roster::Announcement;
use crate::sync::{UpstreamRecord, address_key};

/// A batch of forwarded heartbeats.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Heartbeats {
    #[prost(message, repeated, tag = "1")]
    pub(crate) digests: Vec<HeartbeatDigest>,
    /// Those that the leader requested in full.
    #[prost(message, repeated, tag = "2")]
    pub(crate) full: Vec<FullHeartbeat>,
}

/// A heartbeat whose announcement the leader presumably has.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatDigest {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    /// See [`Announcement::born`].
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
    /// See [`Announcement::sequence`].
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
    /// See [`digest`].
    #[prost(fixed64, tag = "4")]
    pub(crate) digest: u64,
}

/// A heartbeat with its full announcement.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FullHeartbeat {
    #[prost(message, optional, tag = "1")]
    pub(crate) upstream: Option<UpstreamRecord>,
    /// See [`Announcement::sequence`].
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
}

/// The leader's reply to [`Heartbeats`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatsReply {
    /// Ids of the upstreams whose full announcement the leader needs, since it has none or a
    /// different one. All other heartbeats have been applied or are stale.
    #[prost(string, repeated, tag = "1")]
    pub(crate) unknown: Vec<String>,
}

impl From<&Announcement> for HeartbeatDigest {
    fn from(announcement: &Announcement) -> Self {
        Self {
            id: announcement.id.to_string(),
            born: announcement.born,
            sequence: announcement.sequence,
            digest: digest(announcement),
        }
    }
}

impl From<&Announcement> for FullHeartbeat {
    fn from(announcement: &Announcement) -> Self {
        Self {
            upstream: Some(announcement.into()),
            sequence: announcement.sequence,
        }
    }
}

impl FullHeartbeat {
    /// Returns the announcement, or `None` if the message is incomplete.
    pub(crate) fn announcement(self) -> Option<Announcement> {
        let upstream = self.upstream?;
        Some(upstream.announcement(self.sequence))
    }
}

/// Hash of an announcement without its sequence number.
///
/// It is the same in all processes of one release. Between releases a difference only makes
/// the leader request full announcements.
pub(crate) fn digest(announcement: &Announcement) -> u64 {
    let Announcement {
        id,
        born,
        sequence: _,
        service,
        address,
        domain,
        slots,
        leaving,
        kind,
        layers,
    } = announcement;
    let mut hasher = FxHasher::default();
    (id, born, service, address_key(*address), domain).hash(&mut hasher);
    (slots, leaving, kind, layers).hash(&mut hasher);
    hasher.finish()
}

/// Queue of heartbeats to forward. `W` is the handle for answering the sender of each.
pub(crate) struct Relay<W> {
    pending: Vec<Pending<W>>,
}

struct Pending<W> {
    announcement: Announcement,
    /// Whether the leader requested it in full.
    full: bool,
    sender: W,
}

impl<W> Default for Relay<W> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
        }
    }
}

impl<W> Relay<W> {
    /// Adds a heartbeat.
    pub(crate) fn push(&mut self, announcement: Announcement, sender: W) {
        self.pending.push(Pending {
            announcement,
            full: false,
            sender,
        });
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the leader requested some heartbeats in full.
    pub(crate) fn has_full(&self) -> bool {
        self.pending.iter().any(|w| w.full)
    }

    /// Returns the batch to send to the leader.
    pub(crate) fn batch(&self) -> Heartbeats {
        let announcements = |full| {
            let pending = self.pending.iter().filter(move |w| w.full == full);
            pending.map(|w| &w.announcement)
        };
        Heartbeats {
            digests: announcements(false).map(HeartbeatDigest::from).collect(),
            full: announcements(true).map(FullHeartbeat::from).collect(),
        }
    }

    /// Applies the leader's reply to the latest batch, which contained the first `count`
    /// heartbeats. Returns the senders whose heartbeats it has; the others go into the next batch
    /// in full.
    pub(crate) fn acknowledge(&mut self, count: usize, reply: &HeartbeatsReply) -> Vec<W> {
        let unknown: HashSet<&str> = reply.unknown.iter().map(String::as_str).collect();
        let later = self.pending.split_off(count.min(self.pending.len()));
        // A heartbeat sent in full is done, even if the leader could not use it.
        let needs_full = |w: &Pending<W>| !w.full && unknown.contains(&*w.announcement.id);
        let (resent, done): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(needs_full);
        let resent = resent.into_iter().map(|w| Pending { full: true, ..w });
        self.pending = resent.chain(later).collect();
        done.into_iter().map(|w| w.sender).collect()
    }

    /// Removes all heartbeats, since no leader accepted them. Returns their senders.
    pub(crate) fn abandon(&mut self) -> Vec<W> {
        self.pending.drain(..).map(|w| w.sender).collect()
    }
}
