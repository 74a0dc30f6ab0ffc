//! Datagrams between instances: the failure detector's probes, rumours that
//! ride on them, and comparisons of tables that mend what was lost.

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
