//! Encoding of datagrams.

use prost::Message;

use crate::auth::{FleetKey, TAG_LEN};
use crate::membership::MemberRecord;
use crate::upstream::{LoadReports, Renewal, UpstreamRecord};

/// Maximum length of a datagram in bytes. It passes common links without
/// fragmentation.
pub(crate) const MAX_DATAGRAM: usize = 1_200;

/// First byte of each packet. It identifies the protocol version, and distinguishes
/// datagrams from frames of another protocol under the same key.
const MAGIC: u8 = 0xb1;

/// Maximum length of a packet in bytes, without the authentication tag and the
/// first byte.
pub(crate) const MAX_PACKET: usize = MAX_DATAGRAM - TAG_LEN - 1;

/// Content of a datagram.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Packet {
    /// Id of the sender.
    #[prost(uint64, tag = "1")]
    pub(crate) from: u64,
    /// Whether the packet is part of an anti-entropy sync.
    #[prost(bool, tag = "2")]
    pub(crate) sync: bool,
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) body: Option<Body>,
    #[prost(message, repeated, tag = "12")]
    pub(crate) members: Vec<MemberRecord>,
    #[prost(message, repeated, tag = "13")]
    pub(crate) upstreams: Vec<UpstreamRecord>,
    #[prost(message, optional, tag = "14")]
    pub(crate) loads: Option<LoadReports>,
}

/// Message of a packet. A packet that only carries records has none.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Body {
    #[prost(message, tag = "3")]
    Ping(Ping),
    #[prost(uint64, tag = "4")]
    Ack(u64),
    #[prost(uint64, tag = "5")]
    Nack(u64),
    #[prost(message, tag = "6")]
    PingRequest(PingRequest),
    #[prost(message, tag = "7")]
    Renewal(Renewal),
    #[prost(message, tag = "8")]
    RootHashes(RootHashes),
    #[prost(message, tag = "9")]
    BucketHashes(BucketHashes),
    #[prost(message, tag = "10")]
    BucketListing(BucketListing),
    #[prost(message, tag = "11")]
    RecordRequest(RecordRequest),
}

/// A probe.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct Ping {
    #[prost(uint64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
}

/// A request to probe another instance.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PingRequest {
    #[prost(uint64, tag = "1")]
    pub(crate) target: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) address: Vec<u8>,
}

/// First step of a sync: one hash over each table.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct RootHashes {
    #[prost(fixed64, tag = "1")]
    pub(crate) members: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) upstreams: u64,
}

/// Second step of a sync: hashes over the buckets of the tables that differ.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BucketHashes {
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) members: Vec<u32>,
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) upstreams: Vec<u32>,
}

/// Third step of a sync: keys and hashes of a bucket that differs.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BucketListing {
    /// Whether the bucket is one of upstreams rather than members.
    #[prost(bool, tag = "1")]
    pub(crate) upstreams: bool,
    #[prost(uint32, tag = "2")]
    pub(crate) bucket: u32,
    #[prost(fixed64, repeated, tag = "3")]
    pub(crate) keys: Vec<u64>,
    #[prost(fixed32, repeated, tag = "4")]
    pub(crate) hashes: Vec<u32>,
}

/// A request for full records.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordRequest {
    #[prost(uint64, repeated, tag = "1")]
    pub(crate) members: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) upstreams: Vec<u64>,
}

/// Encodes and seals a packet.
pub(crate) fn encode(packet: &Packet, key: &FleetKey) -> Vec<u8> {
    let mut body = Vec::with_capacity(packet.encoded_len() + 1);
    body.push(MAGIC);
    packet
        .encode(&mut body)
        .expect("a vector takes any number of bytes");
    key.seal(&body)
}

/// Opens and decodes a datagram. Returns `None` if it is malformed, oversized or
/// from another fleet.
pub(crate) fn decode(datagram: &[u8], key: &FleetKey) -> Option<Packet> {
    if datagram.len() > MAX_DATAGRAM {
        return None;
    }
    let (magic, packet) = key.open(datagram)?.split_first()?;
    if *magic != MAGIC {
        return None;
    }
    Packet::decode(packet).ok()
}
