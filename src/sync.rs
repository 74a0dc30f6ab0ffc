//! What an entry instance asks the leading controller, and what it is told.

use std::io::{Read, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use prost::Message;

use crate::clock::{Time, micros};
use crate::decide::rate::LimitUpdate;
use crate::decide::run_history::EngineStart;
use crate::roster::{Announcement, Entry, LayerRange};

/// Asks for what the sender misses, and tells what it has at work.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncRequest {
    /// The sender.
    #[prost(uint64, tag = "1")]
    pub(crate) instance: u64,
    /// Version of the configuration that it has.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// Term and revision of the roster that it has.
    #[prost(uint64, tag = "3")]
    pub(crate) term: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) revision: u64,
    /// What it has at work on engines.
    #[prost(message, repeated, tag = "5")]
    pub(crate) loads: Vec<Load>,
    /// Addresses of upstreams that gave it no answer lately.
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) suspects: Vec<u64>,
    /// Whether the roster that it has holds every upstream that lives.
    #[prost(bool, tag = "7")]
    pub(crate) complete: bool,
    /// Requests that asked it for room on engines between two reports; 1 while it
    /// doesn't know.
    #[prost(uint32, tag = "8")]
    pub(crate) room_requests: u32,
    /// Runs that an engine crash cut off and that the leader hasn't acknowledged.
    #[prost(message, repeated, tag = "9")]
    pub(crate) cut: Vec<CutRecord>,
    /// The leader's suspect requests that ran without harm.
    #[prost(message, repeated, tag = "10")]
    pub(crate) harmless: Vec<HarmlessRecord>,
    /// Checksum of the quarantine that the instance has; 0 if it is empty.
    #[prost(fixed64, tag = "11")]
    pub(crate) quarantine_checksum: u64,
    /// The latest limit update that the instance has for each upstream.
    #[prost(message, repeated, tag = "12")]
    pub(crate) limits: Vec<LimitRecord>,
}

/// The latest update of an upstream's rate limit.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitRecord {
    /// See [`address_key`].
    #[prost(fixed64, tag = "1")]
    pub(crate) address: u64,
    #[prost(string, tag = "2")]
    pub(crate) id: String,
    #[prost(uint64, tag = "3")]
    pub(crate) born: u64,
    /// Requests per second across all instances; `None` if the limit was lifted.
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
    /// Id of the engine, and its start.
    #[prost(string, tag = "1")]
    pub(crate) engine: String,
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) fingerprint: Vec<u8>,
    #[prost(string, tag = "4")]
    pub(crate) organisation: String,
    /// Microseconds since the run was cut off.
    #[prost(uint64, tag = "5")]
    pub(crate) age: u64,
}

/// A request that ran without harm to its engine.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HarmlessRecord {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Microseconds since the latest such run.
    #[prost(uint64, tag = "2")]
    pub(crate) age: u64,
}

/// Work on one engine.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Load {
    /// Address of the engine, see [`address_key`].
    #[prost(fixed64, tag = "1")]
    pub(crate) engine: u64,
    /// Memory that the requests are expected to take, in megabytes.
    #[prost(uint32, tag = "2")]
    pub(crate) memory: u32,
    /// Requests that pass through it.
    #[prost(uint32, tag = "3")]
    pub(crate) requests: u32,
    /// Those of them that it received as the first engine.
    #[prost(uint32, tag = "4")]
    pub(crate) entered: u32,
}

/// What the leader knows that the asker misses.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct SyncReply {
    /// Microseconds since a quorum confirmed what follows.
    #[prost(uint64, tag = "1")]
    pub(crate) age: u64,
    /// Version in force; 0 when there is no configuration yet.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// The configuration, packed, if the asker has another version.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub(crate) body: Option<Bytes>,
    #[prost(message, optional, tag = "4")]
    pub(crate) roster: Option<RosterDelta>,
    /// What the other instances have at work; not in each answer.
    #[prost(message, optional, tag = "5")]
    pub(crate) work: Option<FleetLoad>,
    /// Entry instances that asked lately.
    #[prost(uint32, tag = "6")]
    pub(crate) entries: u32,
    /// The voters.
    #[prost(uint64, repeated, tag = "7")]
    pub(crate) voters: Vec<u64>,
    /// Whether each entry instance has had the time to ask this leader, so that
    /// `entries` and the sums of the work are whole.
    #[prost(bool, tag = "8")]
    pub(crate) entries_known: bool,
    /// Term of the leader.
    #[prost(uint64, tag = "9")]
    pub(crate) term: u64,
    /// Fingerprints of suspect requests. The instance reports those that ran without harm.
    #[prost(bytes = "vec", repeated, tag = "10")]
    pub(crate) suspects: Vec<Vec<u8>>,
    /// The quarantine, if the instance's checksum differs.
    #[prost(message, optional, tag = "11")]
    pub(crate) quarantine: Option<QuarantineRecord>,
    /// The latest limit update of each upstream, from all instances.
    #[prost(message, repeated, tag = "12")]
    pub(crate) limits: Vec<LimitRecord>,
}

/// All quarantined requests.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuarantineRecord {
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
    /// Remaining milliseconds of the quarantine.
    #[prost(uint64, tag = "2")]
    pub(crate) remaining_ms: u64,
}

/// Work on all engines.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct FleetLoad {
    #[prost(message, repeated, tag = "1")]
    pub(crate) loads: Vec<Load>,
    /// Requests that asked for room between two reports, at all instances.
    #[prost(uint32, tag = "2")]
    pub(crate) room_requests: u32,
}

/// A part of the roster as the leader has it: what changed after a revision.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RosterDelta {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// Revision that the asker has once it took this in.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// Whether the asker then knows every upstream that lives: nothing is left
    /// to be told, and the leader has led long enough to have heard all. Until
    /// then, ones that weren't told may still serve.
    #[prost(bool, tag = "3")]
    pub(crate) complete: bool,
    #[prost(message, repeated, tag = "4")]
    pub(crate) upstreams: Vec<UpstreamRecord>,
    /// Starts that have left, newest last; told until the roster is complete.
    #[prost(message, repeated, tag = "5")]
    pub(crate) departed: Vec<crate::register::Departed>,
    /// Revision after which the changes are told; 0 begins anew.
    #[prost(uint64, tag = "6")]
    pub(crate) since: u64,
    /// Ids that aren't in the roster any more.
    #[prost(string, repeated, tag = "7")]
    pub(crate) removed: Vec<String>,
    /// Whether there is more to be told already.
    #[prost(bool, tag = "8")]
    pub(crate) more: bool,
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
    /// See [`address_key`].
    #[prost(fixed64, tag = "4")]
    pub(crate) address: u64,
    #[prost(string, tag = "5")]
    pub(crate) domain: String,
    #[prost(uint32, tag = "6")]
    pub(crate) slots: u32,
    #[prost(string, optional, tag = "7")]
    pub(crate) kind: Option<String>,
    /// Layers that it holds; both 0 when it holds none.
    #[prost(uint32, tag = "8")]
    pub(crate) first: u32,
    #[prost(uint32, tag = "9")]
    pub(crate) end: u32,
    /// Whether it is to be avoided for its silence.
    #[prost(bool, tag = "10")]
    pub(crate) late: bool,
    /// How many times as long as usual it takes for its work; 0 stands for 1.
    #[prost(float, tag = "11")]
    pub(crate) pace: f32,
    /// Whether several instances found it dead.
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
    /// An upstream that is to be seen with `layers`.
    pub(crate) fn new(entry: &Entry, layers: Option<LayerRange>) -> Self {
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
            ..Self::from(&entry.last)
        }
    }

    /// Layers that it holds.
    pub(crate) fn range(&self) -> Option<LayerRange> {
        (self.first < self.end).then(|| LayerRange::new(self.first, self.end))
    }
}

/// Longest configuration that is unpacked, in bytes.
const MAX_UNPACKED: u64 = 64 << 20;

/// Packs a configuration for the way to the entry instances.
///
/// A thousand routes weigh 400 KB. To 87 instances that would be 35 MB over the
/// leader's link at each change, about as long as a change may take to be in
/// force; packed it is a tenth of it.
pub(crate) fn pack(body: &[u8]) -> Bytes {
    let mut packer = ZlibEncoder::new(Vec::new(), Compression::fast());
    let packed = packer.write_all(body).and_then(|()| packer.finish());
    packed.expect("memory takes all that is written").into()
}

/// Unpacks what [`pack`] made; nothing when it is damaged or too long.
pub(crate) fn unpack(packed: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut unpacker = ZlibDecoder::new(packed).take(MAX_UNPACKED);
    unpacker.read_to_end(&mut body).ok()?;
    Some(body)
}

/// An address as one number: the IP in the upper bits, the port below.
pub(crate) fn address_key(address: SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// The address of a key.
pub(crate) fn address_from_key(key: u64) -> SocketAddrV4 {
    let ip = u32::try_from(key >> 16 & 0xffff_ffff).unwrap_or(0);
    SocketAddrV4::new(ip.into(), (key & 0xffff) as u16)
}
