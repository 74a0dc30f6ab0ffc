//! Messages by which entry instances synchronise with a controller, and following controllers
//! with the leading one.

use std::io::{Read, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use prost::Message;

use crate::clock::{Time, micros};
use crate::decide::rate::{LimitUpdate, RateLimiter};
use crate::decide::run_history::EngineStart;
use crate::roster::{Announcement, LayerRange, Page, RosterEntry};

/// Requests the changes that the sender lacks, and reports the load of an entry instance, or the
/// sums of the reports that a following controller received.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncRequest {
    /// Id of the sender.
    #[prost(uint64, tag = "1")]
    pub(crate) instance: u64,
    /// Version of the sender's configuration; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// See [`RosterDelta::source`]; that of the sender's roster.
    #[prost(uint64, tag = "3")]
    pub(crate) source: u64,
    /// Revision of the sender's roster at `source`.
    #[prost(uint64, tag = "4")]
    pub(crate) revision: u64,
    /// Load that the sender's requests put on each engine; what changed of it, if
    /// [`FollowerReport::since`] isn't 0.
    #[prost(message, repeated, tag = "5")]
    pub(crate) loads: Vec<Load>,
    /// Address keys of upstreams that the sender suspects to be dead.
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) suspects: Vec<u64>,
    /// Whether the sender's roster contains every live upstream.
    #[prost(bool, tag = "7")]
    pub(crate) complete: bool,
    /// Number of the sender's requests that needed free memory on engines between two reports;
    /// 1 while it is unknown.
    #[prost(uint32, tag = "8")]
    pub(crate) room_requests: u32,
    /// Runs that an engine crash cut off, until the leader acknowledges them.
    #[prost(message, repeated, tag = "9")]
    pub(crate) cut: Vec<CutRecord>,
    /// Requests that the leader suspects of crashing engines, but that ran without harm.
    #[prost(message, repeated, tag = "10")]
    pub(crate) harmless: Vec<HarmlessRecord>,
    /// Checksum of the sender's quarantine; 0 if it is empty.
    #[prost(fixed64, tag = "11")]
    pub(crate) quarantine_checksum: u64,
    /// Latest rate-limit updates that the sender knows, at most one of each upstream.
    #[prost(message, repeated, tag = "12")]
    pub(crate) limits: Vec<LimitRecord>,
    /// Start of the sender's process, in milliseconds since 1970.
    #[prost(uint64, tag = "13")]
    pub(crate) born: u64,
    /// Increases with each request of one process.
    #[prost(uint64, tag = "14")]
    pub(crate) sequence: u64,
    /// Whether the sender can carry requests of other instances: it isn't draining, and lost
    /// no link to an upstream.
    #[prost(bool, tag = "15")]
    pub(crate) carries: bool,
    /// Demand of the sender's requests by rank, at services that rank them.
    #[prost(message, repeated, tag = "16")]
    pub(crate) ranks: Vec<RankDemand>,
    /// Sequence number of the last run in `cut`.
    #[prost(uint64, tag = "17")]
    pub(crate) last_cut: u64,
    /// Set by following controllers only.
    #[prost(message, optional, tag = "18")]
    pub(crate) follower: Option<FollowerReport>,
}

impl SyncRequest {
    /// Revision of the sender's roster in the change log of `source`; 0 if it follows another one.
    pub(crate) fn revision_of(&self, source: u64) -> u64 {
        match self.source == source {
            true => self.revision,
            false => 0,
        }
    }

    /// Whether the sender's roster is the one at `revision` in the change log of `source`, and is
    /// known to it to be as complete.
    pub(crate) fn has_roster(&self, source: u64, revision: u64, complete: bool) -> bool {
        (self.source, self.revision, self.complete) == (source, revision, complete)
    }
}

/// What a following controller reports in addition, of the entry instances that it answers.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FollowerReport {
    /// Failure domain of the controller.
    #[prost(string, tag = "1")]
    pub(crate) domain: String,
    /// Number of the instances.
    #[prost(uint32, tag = "2")]
    pub(crate) entries: u32,
    /// Upstreams that some of them suspect to be dead.
    #[prost(message, repeated, tag = "3")]
    pub(crate) suspects: Vec<SuspectCount>,
    /// Some of those that can carry requests of others.
    #[prost(uint64, repeated, tag = "4")]
    pub(crate) carriers: Vec<u64>,
    /// Whether the controller holds all that the leader had to send, and can answer instances.
    #[prost(bool, tag = "5")]
    pub(crate) ready: bool,
    /// Revision of the controller's loads to which those of the request apply; 0 if they are all.
    #[prost(uint64, tag = "6")]
    pub(crate) since: u64,
    /// Revision of the controller's loads after the request.
    #[prost(uint64, tag = "7")]
    pub(crate) revision: u64,
    /// Position of what the controller knows of the load of the others; see [`FleetLoad::source`].
    #[prost(uint64, tag = "8")]
    pub(crate) known_source: u64,
    #[prost(uint64, tag = "9")]
    pub(crate) known_revision: u64,
}

/// Number of instances that suspect an upstream to be dead.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct SuspectCount {
    /// Address key of the upstream.
    #[prost(fixed64, tag = "1")]
    pub(crate) address: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) instances: u32,
}

/// A controller that answers entry instances.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ControllerRecord {
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    /// Its failure domain.
    #[prost(string, tag = "2")]
    pub(crate) domain: String,
}

/// Number of requests to a service by rank, between two reports.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RankDemand {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Requests that asked for room, by rank; missing ranks count as 0, as in the next two.
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) asked: Vec<u32>,
    /// Requests that found no room at once.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) short: Vec<u32>,
    /// Requests that were refused for lack of room.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) refused: Vec<u32>,
}

/// Latest update of an upstream's rate limit.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitRecord {
    /// Address key of the upstream.
    #[prost(fixed64, tag = "1")]
    pub(crate) address: u64,
    /// Id of the upstream.
    #[prost(string, tag = "2")]
    pub(crate) id: String,
    /// Incarnation of the upstream.
    #[prost(uint64, tag = "3")]
    pub(crate) born: u64,
    /// Maximum requests per second from all instances; `None` if the limit was lifted.
    #[prost(double, optional, tag = "4")]
    pub(crate) limit: Option<f64>,
    /// Microseconds since the update.
    #[prost(uint64, tag = "5")]
    pub(crate) age: u64,
}

impl LimitRecord {
    /// Encodes an update, with its age at `now`.
    pub(crate) fn new(now: Time, address: u64, update: &LimitUpdate) -> Self {
        Self {
            address,
            id: update.upstream.id.to_string(),
            born: update.upstream.born,
            limit: update.limit,
            age: micros(now.since(update.at)),
        }
    }

    /// Encodes a subset of a limiter's latest updates for one message. `draw` in [0, 1) selects it.
    pub(crate) fn latest(now: Time, limiter: &RateLimiter, draw: f64) -> Vec<Self> {
        let updates = limiter.message_updates(draw);
        updates
            .map(|(address, update)| Self::new(now, address, update))
            .collect()
    }

    /// Decodes the update, with its age counted back from `now`.
    pub(crate) fn update(&self, now: Time) -> LimitUpdate {
        LimitUpdate {
            upstream: EngineStart {
                id: self.id.as_str().into(),
                born: self.born,
            },
            limit: self.limit.filter(|l| l.is_finite() && *l >= 0.0),
            at: now - Duration::from_micros(self.age),
        }
    }
}

/// A run that an engine crash cut off shortly after it began.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CutRecord {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub(crate) engine: String,
    /// Incarnation of the engine.
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
    /// Fingerprint of the request.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) fingerprint: Vec<u8>,
    /// Organisation that sent the request.
    #[prost(string, tag = "4")]
    pub(crate) organisation: String,
    /// Microseconds since the run was cut off.
    #[prost(uint64, tag = "5")]
    pub(crate) age: u64,
    /// See [`crate::decide::run_history::CutRun::silent`].
    #[prost(bool, tag = "6")]
    pub(crate) silent: bool,
    /// Model that the request names.
    #[prost(string, tag = "7")]
    pub(crate) model: String,
    /// Ids of the parts of its prompt that other requests may share, in order.
    #[prost(string, repeated, tag = "8")]
    pub(crate) parts: Vec<String>,
}

/// A request, or a part of prompts, that ran without harm to its engine.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HarmlessRecord {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Microseconds since its latest harmless run.
    #[prost(uint64, tag = "2")]
    pub(crate) age: u64,
}

/// Load on one engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Load {
    /// Address key of the engine.
    #[prost(fixed64, tag = "1")]
    pub(crate) engine: u64,
    /// Expected memory use of the requests, in megabytes.
    #[prost(uint32, tag = "2")]
    pub(crate) memory: u32,
    /// Number of requests whose path contains the engine.
    #[prost(uint32, tag = "3")]
    pub(crate) requests: u32,
    /// Number of requests whose path begins at the engine.
    #[prost(uint32, tag = "4")]
    pub(crate) first_hops: u32,
}

impl Load {
    /// Adds the load of other requests on the same engine.
    pub(crate) fn plus(self, other: &Self) -> Self {
        Self {
            engine: self.engine,
            memory: self.memory + other.memory,
            requests: self.requests + other.requests,
            first_hops: self.first_hops + other.first_hops,
        }
    }

    /// Subtracts a part of this load.
    pub(crate) fn minus(self, part: &Self) -> Self {
        Self {
            engine: self.engine,
            memory: self.memory - part.memory,
            requests: self.requests - part.requests,
            first_hops: self.first_hops - part.first_hops,
        }
    }
}

/// Reply to a [`SyncRequest`], with the changes that the instance lacks.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncReply {
    /// Microseconds since a quorum confirmed that the reply is current.
    #[prost(uint64, tag = "1")]
    pub(crate) age: u64,
    /// Version of the configuration in force; 0 if there is none.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Compressed configuration, if the instance has another version.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) body: Option<Bytes>,
    /// Changes of the roster, if the instance's roster is out of date.
    #[prost(message, optional, tag = "4")]
    pub(crate) roster: Option<RosterDelta>,
    /// Load of the other instances; sent only with some replies.
    #[prost(message, optional, tag = "5")]
    pub(crate) work: Option<FleetLoad>,
    /// Number of all entry instances that sent a recent request.
    #[prost(uint32, tag = "6")]
    pub(crate) entries: u32,
    /// Ids of the controllers that are members of the voter group.
    #[prost(uint64, repeated, tag = "7")]
    pub(crate) voters: Vec<u64>,
    /// Whether the leader's term has lasted long enough for every entry instance to send a
    /// request, so that `entries` and the load in `work` are complete.
    #[prost(bool, tag = "8")]
    pub(crate) entries_known: bool,
    /// Term of the leader.
    #[prost(uint64, tag = "9")]
    pub(crate) term: u64,
    /// Fingerprints of requests and parts of prompts suspected of crashing engines. The instance
    /// reports those that ran without harm.
    #[prost(bytes = "vec", repeated, tag = "10")]
    pub(crate) suspects: Vec<Vec<u8>>,
    /// Quarantined requests, if the checksum in the request differs.
    #[prost(message, optional, tag = "11")]
    pub(crate) quarantine: Option<QuarantineRecord>,
    /// Latest rate-limit updates from all instances, at most one of each upstream.
    #[prost(message, repeated, tag = "12")]
    pub(crate) limits: Vec<LimitRecord>,
    /// Ids of entry instances that may carry the instance's requests.
    #[prost(uint64, repeated, tag = "13")]
    pub(crate) proxies: Vec<u64>,
    /// Controllers that entry instances should poll instead of the leader; empty while the leader
    /// answers all of them itself.
    #[prost(message, repeated, tag = "14")]
    pub(crate) controllers: Vec<ControllerRecord>,
    /// Sequence number up to which the leader received the sender's cut runs; `None` if it
    /// received all in the request.
    #[prost(uint64, optional, tag = "15")]
    pub(crate) cut_received: Option<u64>,
}

/// All quarantined requests.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuarantineRecord {
    /// Checksum of the whole quarantine.
    #[prost(fixed64, tag = "1")]
    pub(crate) checksum: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) requests: Vec<QuarantinedRecord>,
}

/// A quarantined request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuarantinedRecord {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Time until the quarantine of this request ends, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) remaining_ms: u64,
}

/// Load that other instances put on the engines.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FleetLoad {
    /// All loads; with a `since` other than 0 those that changed, without requests if no others are
    /// left.
    #[prost(message, repeated, tag = "1")]
    pub(crate) loads: Vec<Load>,
    /// Number of requests that needed free memory between two reports, summed over all
    /// instances.
    #[prost(uint32, tag = "2")]
    pub(crate) room_requests: u32,
    /// Sums of the demand by rank of all instances.
    #[prost(message, repeated, tag = "3")]
    pub(crate) ranks: Vec<RankDemand>,
    /// Term of the leader that counts the revisions; 0 in replies to entry instances.
    #[prost(uint64, tag = "4")]
    pub(crate) source: u64,
    /// Revision to which the loads apply; 0 if they are all.
    #[prost(uint64, tag = "5")]
    pub(crate) since: u64,
    /// Revision after them.
    #[prost(uint64, tag = "6")]
    pub(crate) revision: u64,
}

/// Changes of a controller's roster after a revision.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RosterDelta {
    /// Identifies the change log that the revisions refer to: the term of a leader, or a random
    /// number of a following controller.
    #[prost(uint64, tag = "1")]
    pub(crate) source: u64,
    /// Revision that the instance's roster has after the changes.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// Whether the roster then contains every live upstream: no changes are left, and the term
    /// has lasted long enough for a heartbeat of each. If false, unlisted upstreams may be live.
    #[prost(bool, tag = "3")]
    pub(crate) complete: bool,
    #[prost(message, repeated, tag = "4")]
    pub(crate) upstreams: Vec<UpstreamRecord>,
    /// Incarnations that have left, newest last; sent until `complete` is true.
    #[prost(message, repeated, tag = "5")]
    pub(crate) departed: Vec<crate::register::Departed>,
    /// Revision to which the changes apply; 0 if they contain the full roster.
    #[prost(uint64, tag = "6")]
    pub(crate) since: u64,
    /// Ids of upstreams removed from the roster.
    #[prost(string, repeated, tag = "7")]
    pub(crate) removed: Vec<String>,
    /// Whether there are further changes.
    #[prost(bool, tag = "8")]
    pub(crate) more: bool,
    /// Milliseconds after which further changes may be requested.
    #[prost(uint32, tag = "9")]
    pub(crate) pause_ms: u32,
}

impl RosterDelta {
    /// Encodes a page of changes, with the present record of each upstream that isn't removed.
    /// `complete` is false, and no departures are listed.
    pub(crate) fn from_page(
        source: u64,
        page: &Page<'_>,
        record: impl Fn(&str) -> Option<UpstreamRecord>,
    ) -> Self {
        let mut delta = Self {
            source,
            since: page.since,
            revision: page.revision,
            more: page.more,
            ..Self::default()
        };
        for id in &page.ids {
            match record(id) {
                Some(record) => delta.upstreams.push(record),
                None => delta.removed.push(id.to_string()),
            }
        }
        delta
    }
}

/// One upstream.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct UpstreamRecord {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
    #[prost(string, tag = "3")]
    pub(crate) service: String,
    /// Address key of the upstream.
    #[prost(fixed64, tag = "4")]
    pub(crate) address: u64,
    #[prost(string, tag = "5")]
    pub(crate) domain: String,
    #[prost(uint32, tag = "6")]
    pub(crate) slots: u32,
    #[prost(string, optional, tag = "7")]
    pub(crate) kind: Option<String>,
    /// First layer for which it accepts requests.
    #[prost(uint32, tag = "8")]
    pub(crate) first: u32,
    /// End of these layers, exclusive; 0 if it accepts requests for none.
    #[prost(uint32, tag = "9")]
    pub(crate) end: u32,
    /// Whether its heartbeats are late, so that it should be avoided.
    #[prost(bool, tag = "10")]
    pub(crate) late: bool,
    /// Processing time relative to the usual one; 0 stands for 1.
    #[prost(float, tag = "11")]
    pub(crate) pace: f32,
    /// Whether several instances suspect it to be dead.
    #[prost(bool, tag = "12")]
    pub(crate) suspected: bool,
}

impl From<&Announcement> for UpstreamRecord {
    fn from(announcement: &Announcement) -> Self {
        let layers = announcement.layers;
        let (first, end) = layers.map_or((0, 0), |l| (l.first, l.end));
        Self {
            id: announcement.id.to_string(),
            born: announcement.born,
            service: announcement.service.clone(),
            address: address_key(announcement.address),
            domain: announcement.domain.clone(),
            slots: announcement.slots,
            kind: announcement.kind.clone(),
            first,
            end,
            late: false,
            pace: 0.0,
            suspected: false,
        }
    }
}

impl UpstreamRecord {
    /// Encodes an upstream, with `layers` in place of the layers that it holds.
    pub(crate) fn new(entry: &RosterEntry, layers: Option<LayerRange>) -> Self {
        let (first, end) = layers.map_or((0, 0), |l| (l.first, l.end));
        Self {
            first,
            end,
            late: entry.late,
            suspected: entry.suspected,
            pace: if entry.pace > 1.0 {
                entry.pace as f32
            } else {
                0.0
            },
            ..Self::from(&entry.announcement)
        }
    }

    /// Returns the announcement that it describes, as that of its heartbeat `sequence`.
    pub(crate) fn announcement(&self, sequence: u64) -> Announcement {
        Announcement {
            id: self.id.as_str().into(),
            born: self.born,
            sequence,
            service: self.service.clone(),
            address: address_from_key(self.address),
            domain: self.domain.clone(),
            slots: self.slots,
            leaving: false,
            kind: self.kind.clone(),
            layers: self.range(),
        }
    }

    /// Returns its layers.
    pub(crate) fn range(&self) -> Option<LayerRange> {
        (self.first < self.end).then(|| LayerRange::new(self.first, self.end))
    }
}

/// Maximum size of a decompressed configuration, in bytes.
const MAX_UNPACKED: u64 = 64 << 20;

/// Compresses a configuration for the entry instances.
///
/// A thousand routes take 400 KB. For 87 instances, each change would send 35 MB over the
/// leader's link, which takes about as long as a change may take to come into force. Compressed,
/// it is a tenth of that.
pub(crate) fn pack(body: &[u8]) -> Bytes {
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = packer.write_all(body).and_then(|()| packer.finish());
    packed.expect("writing to memory does not fail").into()
}

/// Decompresses the output of [`pack`], up to [`MAX_UNPACKED`]. Returns `None` if it is damaged.
pub(crate) fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut unpacker = ZlibDecoder::new(packed).take(MAX_UNPACKED);
    unpacker.read_to_end(&mut body).ok()?;
    Some(body)
}

/// Encodes an address as a number: the IP in the upper bits, the port in the lower 16.
pub(crate) fn address_key(address: SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Decodes the result of [`address_key`].
pub(crate) fn address_from_key(key: u64) -> SocketAddrV4 {
    let ip = u32::try_from(key >> 16 & 0xffff_ffff).unwrap_or(0);
    SocketAddrV4::new(ip.into(), (key & 0xffff) as u16)
}
