//! Upstreams that announced themselves, and the lifetime of their records.
//!
//! The registrar of an upstream is the instance that tracks its announcements.
//! Other instances keep the record for as long as they consider the registrar
//! alive, so an announcement without changes needs no gossip to the fleet.

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
pub(crate) use load::{LoadLevel, short_key};
pub(crate) use registry::{InstanceLiveness, Registry, RegistryEffect};
pub(crate) use wire::{LoadReports, Renewal, UpstreamRecord};

#[cfg(test)]
pub(crate) use registry::MAX_ENTRIES;
