//! Heartbeats that a following controller passes on to the leading one.
//!
//! Load pattern: each of 3,000 engines calls every 1.2 s. Taken by the leader alone
//! they are 2,500 calls a second and a connection for each engine: 50 to 80 % of its
//! processor and all of its descriptors. Each controller takes those that reach it,
//! and tells the leader of many at once, mostly by a few bytes that prove life.

use std::hash::{Hash, Hasher};

use prost::Message;
use rustc_hash::FxHasher;

use crate::collections::HashSet;
use crate::roster::Announcement;
use crate::sync::{UpstreamRecord, address_from_key, address_key};

/// Heartbeats of some upstreams.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Heartbeats {
    #[prost(message, repeated, tag = "1")]
    pub(crate) digests: Vec<HeartbeatDigest>,
    /// Those that the leader asked for in full.
    #[prost(message, repeated, tag = "2")]
    pub(crate) full: Vec<FullHeartbeat>,
}

/// Proof of life of an upstream about which nothing is new.
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

/// An announcement in full.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FullHeartbeat {
    #[prost(message, optional, tag = "1")]
    pub(crate) upstream: Option<UpstreamRecord>,
    /// See [`Announcement::sequence`].
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
}

/// What the leader made of [`Heartbeats`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatsReply {
    /// Ids whose announcement the leader needs in full: of upstreams that it
    /// doesn't know, or knows otherwise. All others are taken in.
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
    /// The announcement; none where a part is missing.
    pub(crate) fn announcement(self) -> Option<Announcement> {
        let upstream = self.upstream?;
        Some(Announcement {
            layers: upstream.range(),
            id: upstream.id.as_str().into(),
            born: upstream.born,
            sequence: self.sequence,
            service: upstream.service,
            address: address_from_key(upstream.address),
            domain: upstream.domain,
            slots: upstream.slots,
            leaving: false,
            kind: upstream.kind,
        })
    }
}

/// A number for all that an announcement says but its sequence. The same in all
/// processes of one release; between others it only makes the leader ask for more.
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

/// Heartbeats that wait to be passed on; the answers to their senders are `W`.
pub(crate) struct Relay<W> {
    waiting: Vec<Waiting<W>>,
}

struct Waiting<W> {
    announcement: Announcement,
    /// Whether the leader wants it in full.
    full: bool,
    sender: W,
}

impl<W> Default for Relay<W> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
        }
    }
}

impl<W> Relay<W> {
    /// Takes in a heartbeat.
    pub(crate) fn take(&mut self, announcement: Announcement, sender: W) {
        self.waiting.push(Waiting {
            announcement,
            full: false,
            sender,
        });
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the leader has asked for some in full.
    pub(crate) fn is_asked(&self) -> bool {
        self.waiting.iter().any(|w| w.full)
    }

    /// What the leader is to be told.
    pub(crate) fn batch(&self) -> Heartbeats {
        let of = |full| {
            let waiting = self.waiting.iter().filter(move |w| w.full == full);
            waiting.map(|w| &w.announcement)
        };
        Heartbeats {
            digests: of(false).map(HeartbeatDigest::from).collect(),
            full: of(true).map(FullHeartbeat::from).collect(),
        }
    }

    /// Takes in the leader's answer to the latest batch, which held the first
    /// `count`; returns those whose heartbeats it has. The others go into the next
    /// batch in full.
    pub(crate) fn taken(&mut self, count: usize, taken: &HeartbeatsReply) -> Vec<W> {
        let unknown: HashSet<&str> = taken.unknown.iter().map(String::as_str).collect();
        let later = self.waiting.split_off(count.min(self.waiting.len()));
        // What was told in full is done with, also where it came to nothing.
        let again = |w: &Waiting<W>| !w.full && unknown.contains(&*w.announcement.id);
        let (again, done): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(again);
        let again = again.into_iter().map(|w| Waiting { full: true, ..w });
        self.waiting = again.chain(later).collect();
        done.into_iter().map(|w| w.sender).collect()
    }

    /// Drops all that waits, since no leader took it; returns its senders.
    pub(crate) fn give_up(&mut self) -> Vec<W> {
        self.waiting.drain(..).map(|w| w.sender).collect()
    }
}
