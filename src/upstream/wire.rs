//! Wire format of upstream records.

use std::net::SocketAddr;

use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::upstream::entry::{Metadata, Version};
use crate::upstream::{Engine, Serves, Service, UpstreamState};

/// A record. Without `metadata` the receiver reuses its own if the digest is the
/// same, and requests the metadata otherwise.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UpstreamRecord {
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
    /// State in the lower two bits, [`SILENT`] in the third.
    #[prost(uint32, tag = "4")]
    pub(crate) state: u32,
    #[prost(uint64, tag = "5")]
    pub(crate) registrar: u64,
    #[prost(uint64, tag = "6")]
    pub(crate) boot: u64,
    /// Milliseconds since the last liveness signal or the end of the upstream.
    #[prost(uint32, tag = "7")]
    pub(crate) age: u32,
    #[prost(fixed32, tag = "8")]
    pub(crate) digest: u32,
    #[prost(message, optional, tag = "9")]
    pub(crate) metadata: Option<MetadataRecord>,
}

/// Attributes of an upstream that seldom change.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MetadataRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    domain: String,
    #[prost(string, tag = "4")]
    pool: String,
    #[prost(oneof = "ServesRecord", tags = "5, 6")]
    serves: Option<ServesRecord>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum ServesRecord {
    #[prost(message, tag = "5")]
    Engine(EngineRecord),
    #[prost(message, tag = "6")]
    Service(ServiceRecord),
}

#[derive(Clone, PartialEq, prost::Message)]
struct EngineRecord {
    #[prost(string, tag = "1")]
    model: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint32, tag = "3")]
    first: u32,
    #[prost(uint32, tag = "4")]
    end: u32,
    #[prost(uint32, tag = "5")]
    total: u32,
    #[prost(string, tag = "6")]
    accelerator: String,
    #[prost(uint32, tag = "7")]
    rate: u32,
    #[prost(uint32, tag = "8")]
    slots: u32,
    #[prost(uint32, tag = "9")]
    link: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ServiceRecord {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "2")]
    slots: u32,
}

/// An announcement without changes, forwarded to the registrar.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Renewal {
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
    #[prost(uint32, tag = "4")]
    pub(crate) state: u32,
    #[prost(uint32, tag = "5")]
    pub(crate) running: u32,
    #[prost(uint32, tag = "6")]
    pub(crate) waiting: u32,
}

/// Load reports in columns, about nine bytes per upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LoadReports {
    #[prost(fixed32, repeated, tag = "1")]
    pub(crate) keys: Vec<u32>,
    /// Lowest seven bits of each upstream's incarnation.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) incarnations: Vec<u8>,
    #[prost(uint64, repeated, tag = "3")]
    pub(crate) sequences: Vec<u64>,
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) levels: Vec<u8>,
}

/// Flag in [`UpstreamRecord::state`] of a silent upstream.
const SILENT: u32 = 4;

/// Encodes a state for the wire.
pub(crate) fn state_code(state: UpstreamState) -> u32 {
    match state {
        UpstreamState::Up => 0,
        UpstreamState::Leaving => 1,
        UpstreamState::Gone => 2,
    }
}

/// Decodes a state from the wire.
pub(crate) fn state_from_code(code: u32) -> Option<UpstreamState> {
    match code {
        0 => Some(UpstreamState::Up),
        1 => Some(UpstreamState::Leaving),
        2 => Some(UpstreamState::Gone),
        _ => None,
    }
}

impl UpstreamRecord {
    /// Creates a record without metadata.
    pub(crate) fn new(key: u64, version: &Version, age: u32, digest: u32) -> Self {
        let silent = if version.silent { SILENT } else { 0 };
        Self {
            key,
            incarnation: version.incarnation.0,
            sequence: version.sequence,
            state: state_code(version.state) | silent,
            registrar: version.registrar.0,
            boot: version.boot.0,
            age,
            digest,
            metadata: None,
        }
    }

    /// Returns the version, or `None` if the state is unknown.
    pub(crate) fn version(&self) -> Option<Version> {
        Some(Version {
            incarnation: Incarnation(self.incarnation),
            state: state_from_code(self.state & !SILENT)?,
            sequence: self.sequence,
            silent: self.state & SILENT != 0,
            registrar: InstanceId(self.registrar),
            boot: Incarnation(self.boot),
        })
    }
}

impl From<&Metadata> for MetadataRecord {
    fn from(metadata: &Metadata) -> Self {
        Self {
            id: metadata.id.0.to_string(),
            address: metadata.address.to_string(),
            domain: metadata.domain.clone(),
            pool: metadata.pool.clone(),
            serves: Some((&metadata.serves).into()),
        }
    }
}

impl From<&Serves> for ServesRecord {
    fn from(serves: &Serves) -> Self {
        match serves {
            Serves::Engine(e) => Self::Engine(EngineRecord {
                model: e.model.clone(),
                version: e.version.clone(),
                first: e.first,
                end: e.end,
                total: e.total,
                accelerator: e.accelerator.clone(),
                rate: e.rate,
                slots: e.slots,
                link: e.link,
            }),
            Serves::Service(s) => Self::Service(ServiceRecord {
                name: s.name.clone(),
                slots: s.slots,
            }),
        }
    }
}

impl MetadataRecord {
    /// Converts the record to metadata, or `None` if it is incomplete.
    pub(crate) fn into_metadata(self) -> Option<Metadata> {
        Some(Metadata {
            id: UpstreamId(self.id.into()),
            address: self.address.parse::<SocketAddr>().ok()?,
            domain: self.domain,
            pool: self.pool,
            serves: self.serves?.into(),
        })
    }
}

impl From<ServesRecord> for Serves {
    fn from(record: ServesRecord) -> Self {
        match record {
            ServesRecord::Engine(e) => Self::Engine(Engine {
                model: e.model,
                version: e.version,
                first: e.first,
                end: e.end,
                total: e.total,
                accelerator: e.accelerator,
                rate: e.rate,
                slots: e.slots,
                link: e.link,
            }),
            ServesRecord::Service(s) => Self::Service(Service {
                name: s.name,
                slots: s.slots,
            }),
        }
    }
}
