//! The state of the fleet as one instance sees it, for the state dump.

use std::net::SocketAddr;

use serde::Serialize;

use crate::id::{Incarnation, InstanceId};
use crate::membership::MemberDump;
use crate::upstream::{RegistryCounts, UpstreamDump};

/// Datagrams that an instance sent and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without headers.
    pub written: u64,
    /// Datagrams taken.
    pub received: u64,
    /// Bytes taken, without headers.
    pub read: u64,
    /// Datagrams dropped: not of this fleet, or malformed.
    pub bad: u64,
    /// Datagrams dropped because they may have waited while the process was
    /// suspended.
    pub stale: u64,
    /// Datagrams dropped because too many waited.
    pub overflow: u64,
    /// Datagrams that the system refused to send.
    pub failed: u64,
}

/// The state of the fleet as one instance sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetDump {
    /// This instance.
    pub id: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Where it takes datagrams.
    pub address: Option<SocketAddr>,
    /// Zero when healthy; higher after failures that are likely its own.
    pub health: u32,
    /// Records of another process that uses this instance's number.
    pub conflicts: u64,
    /// Rumours that wait: of members, upstreams and loads.
    #[serde(rename = "rumours")]
    pub queued: [usize; 3],
    /// Counts of upstreams.
    pub counts: RegistryCounts,
    /// Datagrams.
    pub traffic: TrafficCounts,
    /// All members.
    pub members: Vec<MemberDump>,
    /// All upstreams, retired ones included.
    pub upstreams: Vec<UpstreamDump>,
}
