//! Catalogue entries.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::OrganisationId;

/// Priority class. Variants are ordered from the highest priority to the lowest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Requests whose user waits for the answer.
    Interactive,
    /// Ordinary requests.
    #[default]
    Standard,
    /// Requests that may wait behind all others, but are never starved.
    Bulk,
}

/// Fleet-wide limits of one route. Zero means that nothing is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second.
    pub requests: u32,
    /// Tokens per second, of prompt and answer together.
    pub tokens: u32,
    /// Requests that run concurrently.
    pub concurrent: u32,
    /// Requests that wait in the queue.
    pub queued: u32,
}

/// Destination of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// A model, whose layers are distributed over engines.
    Model(String),
    /// A plain service.
    Service(String),
}

/// An organisation and the digests of its API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name.
    pub name: OrganisationId,
    /// SHA-256 of each key, in lower-case hexadecimal digits.
    pub keys: Vec<String>,
}

/// A set of upstreams that share one credential.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// SHA-256 of the credential, in lower-case hexadecimal digits.
    pub credential: String,
}

/// Access of one organisation to a model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// The only organisation that may use the route.
    pub organisation: OrganisationId,
    /// Destination of the requests.
    pub target: Target,
    /// Priority class of the requests.
    #[serde(default)]
    pub class: Class,
    /// Pools whose upstreams may serve the route. Never empty.
    pub pools: Vec<String>,
    /// Whether a request may run more than once. On an idempotent route, a caller
    /// can mark a request as non-idempotent; the reverse isn't possible.
    #[serde(default)]
    pub idempotent: bool,
    /// Fleet-wide limits.
    pub limits: Limits,
}

/// One entry of the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum Entry {
    /// An organisation with its keys.
    Organisation(Organisation),
    /// A pool with its credential.
    Pool(Pool),
    /// A route.
    Route(Route),
}

/// Kind of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// See [`Organisation`].
    Organisation,
    /// See [`Pool`].
    Pool,
    /// See [`Route`].
    Route,
}

impl Kind {
    /// Parses the form that [`fmt::Display`] writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "organisation" => Some(Self::Organisation),
            "pool" => Some(Self::Pool),
            "route" => Some(Self::Route),
            _ => None,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Organisation => "organisation",
            Self::Pool => "pool",
            Self::Route => "route",
        })
    }
}

/// Identifies an entry. Names are unique within a kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: String,
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl Entry {
    /// Kind and name of this entry.
    #[must_use]
    pub fn key(&self) -> EntryKey {
        let (kind, name) = match self {
            Self::Organisation(o) => (Kind::Organisation, o.name.0.to_string()),
            Self::Pool(p) => (Kind::Pool, p.name.clone()),
            Self::Route(r) => (Kind::Route, r.name.clone()),
        };
        EntryKey { kind, name }
    }
}
