//! Datagrams and their encoding.

use prost::Message;

use crate::auth::{FleetKey, TAG_LEN};
use crate::membership::MemberRecord;
use crate::upstream::{Loads, Renewal, UpstreamRecord};

/// Longest datagram in bytes. It passes every common link in one piece.
pub(crate) const MAX_DATAGRAM: usize = 1_200;

/// First byte of each datagram. It keeps a frame of another protocol under
/// the same key from being taken for a datagram, and names the version.
const MAGIC: u8 = 0xb1;

/// Longest packet in bytes, before the tag and the first byte.
pub(crate) const MAX_PACKET: usize = MAX_DATAGRAM - TAG_LEN - 1;

/// One datagram's content.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Packet {
    /// Sender.
    #[prost(uint64, tag = "1")]
    pub(crate) from: u64,
    /// Whether the records answer a comparison of tables.
    #[prost(bool, tag = "2")]
    pub(crate) sync: bool,
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) body: Option<Body>,
    #[prost(message, repeated, tag = "12")]
    pub(crate) members: Vec<MemberRecord>,
    #[prost(message, repeated, tag = "13")]
    pub(crate) upstreams: Vec<UpstreamRecord>,
    #[prost(message, optional, tag = "14")]
    pub(crate) loads: Option<Loads>,
}

/// What a datagram is for. One that only carries records has no body.
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

/// First step of a comparison: one hash over each table.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct RootHashes {
    #[prost(fixed64, tag = "1")]
    pub(crate) members: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) upstreams: u64,
}

/// Second step: a hash over each bucket of the tables that differ.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BucketHashes {
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) members: Vec<u32>,
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) upstreams: Vec<u32>,
}

/// Third step: keys and hashes in one bucket that differs.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct BucketListing {
    /// Whether it is a bucket of upstreams, not of members.
    #[prost(bool, tag = "1")]
    pub(crate) upstreams: bool,
    #[prost(uint32, tag = "2")]
    pub(crate) bucket: u32,
    #[prost(fixed64, repeated, tag = "3")]
    pub(crate) keys: Vec<u64>,
    #[prost(fixed32, repeated, tag = "4")]
    pub(crate) hashes: Vec<u32>,
}

/// A request for records.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RecordRequest {
    #[prost(uint64, repeated, tag = "1")]
    pub(crate) members: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) upstreams: Vec<u64>,
}

/// The sealed datagram of a packet.
pub(crate) fn encode(packet: &Packet, key: &FleetKey) -> Vec<u8> {
    let mut body = Vec::with_capacity(packet.encoded_len() + 1);
    body.push(MAGIC);
    packet
        .encode(&mut body)
        .expect("a vector takes any number of bytes");
    key.seal(&body)
}

/// The packet of a datagram, or `None` when it isn't of this fleet.
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
