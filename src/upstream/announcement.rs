//! What an upstream says about itself, as `docs/UPSTREAMS.md` describes it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::id::{Incarnation, UpstreamId};

/// Longest name of an upstream, pool, domain, model and the like, in bytes.
pub(crate) const MAX_NAME_LEN: usize = 64;
/// Most layers of one model.
const MAX_LAYERS: u32 = 1_024;
/// Highest rate, in tokens a second.
const MAX_RATE: u32 = 10_000_000;
/// Most concurrent sequences or calls of one upstream.
const MAX_SLOTS: u32 = 65_536;
/// Fastest network link, in Mbit/s.
const MAX_LINK: u32 = 10_000_000;
/// Highest count in a load report.
const MAX_LOAD: u32 = 1_000_000;

/// Life cycle of an upstream. Within one incarnation it only goes forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes new work.
    Up,
    /// Finishes running work and takes no new work.
    Leaving,
    /// Has ended.
    Gone,
}

/// A range of layers of a model.
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
    /// Layers of the whole model.
    pub total: u32,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Tokens a second through this range.
    pub rate: u32,
    /// Concurrent sequences.
    pub slots: u32,
    /// Network link in Mbit/s.
    pub link: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Service {
    /// Name under which callers reach it.
    pub name: String,
    /// Concurrent calls.
    pub slots: u32,
}

/// What an upstream does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Serves {
    /// Runs layers of a model.
    Engine(Engine),
    /// Answers calls of a plain service.
    Service(Service),
}

/// Work at an upstream. Of an upstream that announces itself to another
/// instance both counts are rounded to the nearest step of a coarse scale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Sequences or calls that run.
    pub running: u32,
    /// Sequences or calls that wait.
    pub waiting: u32,
}

/// One announcement, as an upstream posts it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, unique in the fleet.
    pub id: UpstreamId,
    /// Grows with each start of the upstream.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Where it takes work, by IP number.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Pool whose credential it holds.
    pub pool: String,
    /// Life cycle.
    pub state: UpstreamState,
    /// What it does.
    pub serves: Serves,
    /// Work that it has.
    #[serde(default)]
    pub load: Load,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum AnnounceError {
    /// A name is empty, too long or holds other than printable ASCII.
    #[snafu(display("{field} is not 1 to {MAX_NAME_LEN} printable ASCII characters: shorten it"))]
    Name {
        /// Field that is wrong.
        field: &'static str,
    },
    /// The layer range isn't within the model.
    #[snafu(display(
        "layers {first}..{end} of {total} are no range: announce first < end <= total <= {MAX_LAYERS}"
    ))]
    Layers {
        /// First layer.
        first: u32,
        /// End layer.
        end: u32,
        /// Layers of the model.
        total: u32,
    },
    /// A number is out of its bounds.
    #[snafu(display("{field} is {value}: announce {least} to {most}"))]
    Number {
        /// Field that is wrong.
        field: &'static str,
        /// Its value.
        value: u32,
        /// Least value.
        least: u32,
        /// Highest value.
        most: u32,
    },
    /// The table is full of upstreams that are alive.
    #[snafu(display("{limit} upstreams are known already: retire some, or start another fleet"))]
    Full {
        /// Most upstreams.
        limit: usize,
    },
    /// Another name has the same digest.
    #[snafu(display("the digest of this id is taken by upstream {id}: choose another id"))]
    Taken {
        /// Upstream that has it.
        id: UpstreamId,
    },
    /// This instance was suspended and can't tell how old the announcement is.
    #[snafu(display("the instance is catching up: announce again in {retry} ms"))]
    Stalled {
        /// Milliseconds to the next try.
        retry: u64,
    },
}

impl Announcement {
    /// Checks all bounds.
    ///
    /// # Errors
    ///
    /// Names the first field that is out of bounds.
    pub fn validate(&self) -> Result<(), AnnounceError> {
        name("id", &self.id.0)?;
        name("domain", &self.domain)?;
        name("pool", &self.pool)?;
        number("running", self.load.running, 0, MAX_LOAD)?;
        number("waiting", self.load.waiting, 0, MAX_LOAD)?;
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
        name("model", &self.model)?;
        name("version", &self.version)?;
        name("accelerator", &self.accelerator)?;
        let within = first < end && end <= total && total <= MAX_LAYERS;
        ensure!(within, LayersSnafu { first, end, total });
        number("rate", self.rate, 1, MAX_RATE)?;
        number("slots", self.slots, 1, MAX_SLOTS)?;
        number("link", self.link, 1, MAX_LINK)
    }
}

impl Service {
    fn validate(&self) -> Result<(), AnnounceError> {
        name("name", &self.name)?;
        number("slots", self.slots, 1, MAX_SLOTS)
    }
}

fn name(field: &'static str, text: &str) -> Result<(), AnnounceError> {
    let sized = (1..=MAX_NAME_LEN).contains(&text.len());
    let printable = text.bytes().all(|b| b.is_ascii_graphic());
    ensure!(sized && printable, NameSnafu { field });
    Ok(())
}

fn number(field: &'static str, value: u32, least: u32, most: u32) -> Result<(), AnnounceError> {
    let bounds = least..=most;
    ensure!(
        bounds.contains(&value),
        NumberSnafu {
            field,
            value,
            least,
            most
        }
    );
    Ok(())
}
