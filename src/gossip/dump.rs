//! The fleet as one instance sees it, for the state dump.

use std::net::SocketAddr;

use serde::Serialize;

use crate::id::{Incarnation, InstanceId};
use crate::membership::MemberDump;
use crate::upstream::{RegistryCounts, UpstreamDump};

/// Counts of an instance's datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without IP and UDP headers.
    pub written: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received, without IP and UDP headers.
    pub read: u64,
    /// Datagrams dropped because they are malformed or from another fleet.
    pub bad: u64,
    /// Datagrams dropped because they may have been queued while the process was
    /// suspended.
    pub stale: u64,
    /// Datagrams dropped because the queue was full.
    pub overflow: u64,
    /// Datagrams that the operating system failed to send.
    pub failed: u64,
}

/// The state of the fleet as one instance sees it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetDump {
    /// This instance.
    pub id: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Address at which it receives datagrams.
    pub address: Option<SocketAddr>,
    /// Local health score: zero when healthy, higher after failures that this
    /// instance likely caused.
    pub health: u32,
    /// Number of records received of another process that uses this instance's
    /// id.
    pub conflicts: u64,
    /// Queued broadcasts: of members, upstreams and loads.
    #[serde(rename = "rumours")]
    pub queued: [usize; 3],
    /// Counts of upstreams.
    pub counts: RegistryCounts,
    /// Counts of datagrams.
    pub traffic: TrafficCounts,
    /// All members.
    pub members: Vec<MemberDump>,
    /// All upstreams, retired ones included.
    pub upstreams: Vec<UpstreamDump>,
}
