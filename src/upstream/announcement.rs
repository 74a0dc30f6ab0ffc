//! Announcements that upstreams post, described in `docs/UPSTREAMS.md`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::id::{Incarnation, UpstreamId};

/// Maximum length of a name of an upstream, pool, domain, model and the like, in bytes.
pub(crate) const MAX_NAME_LEN: usize = 64;
/// Maximum number of layers of one model.
const MAX_LAYERS: u32 = 1_024;
/// Maximum rate, in tokens per second.
const MAX_RATE: u32 = 10_000_000;
/// Maximum number of concurrent sequences or calls of one upstream.
const MAX_SLOTS: u32 = 65_536;
/// Maximum bandwidth of a network link, in Mbit/s.
const MAX_LINK: u32 = 10_000_000;
/// Maximum count in a load report.
const MAX_LOAD: u32 = 1_000_000;

/// Lifecycle state of an upstream. Within one incarnation it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts new work.
    Up,
    /// Finishes running work and accepts no new work.
    Leaving,
    /// Has terminated.
    Gone,
}

/// A model engine, which runs a range of layers of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Engine {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// First layer, inclusive. Below `end`.
    pub first: u32,
    /// Last layer, exclusive. At most `total`.
    pub end: u32,
    /// Number of layers of the whole model.
    pub total: u32,
    /// Type of accelerator.
    pub accelerator: String,
    /// Throughput of this range, in tokens per second.
    pub rate: u32,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
    /// Bandwidth of the network link, in Mbit/s.
    pub link: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// Name under which callers address it.
    pub name: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}

/// Type of work that an upstream performs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Serves {
    /// Runs layers of a model.
    Engine(Engine),
    /// Answers calls to a plain service.
    Service(Service),
}

/// Load of an upstream. Both counts are rounded down to a step of a coarse
/// scale if the upstream announces itself to another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Number of running sequences or calls.
    pub running: u32,
    /// Number of waiting sequences or calls.
    pub waiting: u32,
}

/// One announcement that an upstream posts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, unique in the fleet.
    pub id: UpstreamId,
    /// Increases with each start of the upstream.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// IP address and port at which it accepts work.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Pool whose credential it holds.
    pub pool: String,
    /// Lifecycle state.
    pub state: UpstreamState,
    /// Type of work.
    pub serves: Serves,
    /// Current load.
    #[serde(default)]
    pub load: Load,
}

/// Reason for which an announcement is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum AnnounceError {
    /// A name is empty, too long or contains other than printable ASCII.
    #[snafu(display("{field} is not 1 to {MAX_NAME_LEN} printable ASCII characters: shorten it"))]
    Name {
        /// The invalid field.
        field: &'static str,
    },
    /// The layer range isn't valid for the model.
    #[snafu(display(
        "layers {first}..{end} of {total} are no range: announce first < end <= total <= {MAX_LAYERS}"
    ))]
    Layers {
        /// First layer, inclusive.
        first: u32,
        /// Last layer, exclusive.
        end: u32,
        /// Number of layers of the model.
        total: u32,
    },
    /// A number is out of range.
    #[snafu(display("{field} is {value}: announce {min} to {max}"))]
    Number {
        /// The invalid field.
        field: &'static str,
        /// Its value.
        value: u32,
        /// Minimum value.
        min: u32,
        /// Maximum value.
        max: u32,
    },
    /// The registry is full of upstreams that are alive.
    #[snafu(display("{limit} upstreams are known already: retire some, or start another fleet"))]
    Full {
        /// Maximum number of upstreams.
        limit: usize,
    },
    /// Another upstream's name has the same digest.
    #[snafu(display("the digest of this id is taken by upstream {id}: choose another id"))]
    IdCollision {
        /// Upstream with that digest.
        id: UpstreamId,
    },
    /// This process was suspended, so the age of the announcement is unknown.
    #[snafu(display("the instance is catching up: announce again in {retry} ms"))]
    Stalled {
        /// Delay before the next attempt, in milliseconds.
        retry: u64,
    },
}

impl Announcement {
    /// Checks names and ranges.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid field.
    pub fn validate(&self) -> Result<(), AnnounceError> {
        check_name("id", &self.id.0)?;
        check_name("domain", &self.domain)?;
        check_name("pool", &self.pool)?;
        check_range("running", self.load.running, 0, MAX_LOAD)?;
        check_range("waiting", self.load.waiting, 0, MAX_LOAD)?;
        self.serves.validate()
    }
}

impl Serves {
    fn validate(&self) -> Result<(), AnnounceError> {
        match self {
            Serves::Engine(engine) => engine.validate(),
            Serves::Service(service) => service.validate(),
        }
    }
}

impl Engine {
    fn validate(&self) -> Result<(), AnnounceError> {
        let Self {
            first, end, total, ..
        } = *self;
        check_name("model", &self.model)?;
        check_name("version", &self.version)?;
        check_name("accelerator", &self.accelerator)?;
        let valid = first < end && end <= total && total <= MAX_LAYERS;
        ensure!(valid, LayersSnafu { first, end, total });
        check_range("rate", self.rate, 1, MAX_RATE)?;
        check_range("slots", self.slots, 1, MAX_SLOTS)?;
        check_range("link", self.link, 1, MAX_LINK)
    }
}

impl Service {
    fn validate(&self) -> Result<(), AnnounceError> {
        check_name("name", &self.name)?;
        check_range("slots", self.slots, 1, MAX_SLOTS)
    }
}

fn check_name(field: &'static str, text: &str) -> Result<(), AnnounceError> {
    let valid_len = (1..=MAX_NAME_LEN).contains(&text.len());
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    ensure!(valid_len && printable, NameSnafu { field });
    Ok(())
}

fn check_range(field: &'static str, value: u32, min: u32, max: u32) -> Result<(), AnnounceError> {
    let bounds = min..=max;
    ensure!(
        bounds.contains(&value),
        NumberSnafu {
            field,
            value,
            min,
            max
        }
    );
    Ok(())
}
