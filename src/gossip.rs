//! Gossip protocol between instances over UDP: the failure detector's probes,
//! records piggybacked on them, and anti-entropy syncs that repair lost updates.

mod broadcast;
mod driver;
mod dump;
mod fleet;
mod node;
mod report;
mod sync;
mod wire;

pub use dump::{FleetDump, TrafficCounts};
pub use fleet::{Fleet, FleetError, FleetSettings};
pub use node::{Datagram, Node, NodeEvent, NodeSettings};
