//! Upstreams that announced themselves, and how long a record of one lasts.
//!
//! The instance that hears an upstream vouches for it. Other instances keep
//! the record for as long as they hold that instance for alive, so that a
//! silent refresh costs no datagram to the fleet.

mod announcement;
mod dump;
mod entry;
mod load;
mod registry;
mod view;
mod wire;

pub use announcement::{AnnounceError, Announcement, Engine, Load, Serves, Service, UpstreamState};
pub use dump::UpstreamDump;
pub use registry::{AnnounceOutcome, RegistryCounts};
pub use view::{Upstream, UpstreamView};

pub(crate) use announcement::MAX_NAME_LEN;
pub(crate) use entry::PastInstant;
pub(crate) use load::{LoadLevel, short_of};
pub(crate) use registry::{InstanceLiveness, Registry, RegistryEffect};
pub(crate) use wire::{LoadReports, Renewal, UpstreamRecord};

#[cfg(test)]
pub(crate) use registry::MAX_ENTRIES;
