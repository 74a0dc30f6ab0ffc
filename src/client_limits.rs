//! Limits on what clients make an instance hold, as parts of its memory and file descriptors.
//!
//! Memory: a quarter is for bodies ([`BodyMemory`](crate::body_memory::BodyMemory)), half for
//! connections of clients and of instances whose requests are carried, [`CONNECTION_BYTES`] each, and
//! a quarter for the rest of the process. Descriptors:
//! [`FILES`] are for files, [`OTHER_SOCKETS`] for connections that don't grow with the clients, two
//! for each carried request, and three for each connection of a client, whose request may run at two
//! upstreams at the same time. A controller calls no upstream for a client; half of what its clients
//! leave is for the connections of other instances.

use crate::error::{Error, Result};
use crate::http::RECEIVE_BUFFER;
use crate::platform::boot::Boot;
use crate::role::RoleSettings;

/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY: u64 = 256 << 20;

/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Maximum length of a request head in bytes: the operator's limit of 16 KiB for headers, and 8 KiB
/// for the request line.
pub(crate) const MAX_HEAD: usize = 24 << 10;

/// Maximum memory of a connection, in bytes: its receive buffer as Linux reserves it, a head, and as
/// much of a body that isn't counted yet.
const CONNECTION_BYTES: u64 = 2 * (RECEIVE_BUFFER + MAX_HEAD) as u64;

/// Descriptors that the platform reserves for files.
const FILES: usize = 200;

/// Sockets that don't grow with the clients: listeners, connections to controllers, checks of
/// readiness and readers of metrics.
const OTHER_SOCKETS: usize = 64;

/// Descriptors of a connection of a client, and of a carried request.
const PER_CONNECTION: usize = 3;
const PER_CARRIED: usize = 2;

/// Fraction of the sockets that the connections of clients leave, which those of other instances to a
/// controller may take. The rest is for its own connections to instances and engines.
const PEERS: usize = 2;

/// Maximum number of requests that an instance carries for others at a time.
const MAX_CARRIED: usize = 512;

/// Fractions of the sockets and of the memory for connections that carried requests may take.
const CARRIED_SOCKETS: usize = 7;
const CARRIED_MEMORY: usize = 4;

/// Minimum memory for bodies, in bytes: half of it holds a body of the default limit.
const MIN_BODY_MEMORY: usize = 8 << 20;

/// Memory and descriptors of a process, and what its settings say of their use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Resources {
    /// Memory in bytes, if it is limited.
    pub(crate) memory: Option<u64>,
    /// Number of file descriptors, if it is limited.
    pub(crate) descriptors: Option<usize>,
    /// Maximum number of connections of clients, if it is set.
    pub(crate) connections: Option<usize>,
    /// Memory for bodies in bytes, if it is set.
    pub(crate) bodies: Option<usize>,
}

/// Limits on what clients make an instance hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// Memory for bodies, in bytes.
    pub(crate) bodies: usize,
    /// Number of connections.
    pub(crate) connections: usize,
    /// Number of requests that are carried for other instances.
    pub(crate) carried: usize,
    /// Number of connections that other instances make to a controller.
    pub(crate) peers: usize,
}

impl ClientLimits {
    /// Divides the resources of a process of the platform.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all settings that exceed them.
    pub(crate) fn of_role(boot: &Boot, settings: &RoleSettings) -> Result<Self> {
        Self::new(&Resources {
            memory: boot.memory,
            descriptors: boot.descriptors,
            connections: settings.connections,
            bodies: settings.body_memory,
        })
    }

    /// Divides the resources.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all settings that exceed them.
    pub(crate) fn new(resources: &Resources) -> Result<Self> {
        let memory = resources.memory.unwrap_or(DEFAULT_MEMORY);
        let most = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        let sockets = resources.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = sockets.saturating_sub(FILES + OTHER_SOCKETS);
        let by_memory = most(memory / 2 / CONNECTION_BYTES);
        let carried = MAX_CARRIED
            .min(sockets / CARRIED_SOCKETS)
            .min(by_memory / CARRIED_MEMORY);
        let by_sockets = (sockets - PER_CARRIED * carried) / PER_CONNECTION;
        let connections = by_sockets.min(by_memory - carried);
        let limits = Self {
            bodies: resources.bodies.unwrap_or(most(memory / 4)),
            connections: resources.connections.unwrap_or(connections),
            carried,
            peers: ((sockets - connections) / PEERS).max(1),
        };
        let mut faults = Vec::new();
        if !(1..=connections).contains(&limits.connections) {
            faults.push(format!(
                "--max-connections isn't between 1 and {connections}, which memory and descriptors \
                 allow; set it lower or give the machine more"
            ));
        }
        if !(MIN_BODY_MEMORY..=most(memory / 4)).contains(&limits.bodies) {
            faults.push(format!(
                "--body-memory-mb isn't between {} and {}, a quarter of the memory; set it to a \
                 value between them or give the machine more memory",
                MIN_BODY_MEMORY >> 20,
                (memory / 4) >> 20
            ));
        }
        if faults.is_empty() {
            Ok(limits)
        } else {
            Err(Error::Settings { faults })
        }
    }
}
