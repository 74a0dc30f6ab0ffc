//! Catalogue entries.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::OrganisationId;

/// Class of work. The order of the variants is the order of priority.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A person waits for the answer.
    Interactive,
    /// Ordinary work.
    #[default]
    Standard,
    /// Work that may wait behind all other work, yet is never starved.
    Bulk,
}

/// Fleet-wide limits of one route. Zero means that nothing is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests a second.
    pub requests: u32,
    /// Tokens a second, prompt and answer together.
    pub tokens: u32,
    /// Requests that run at the same time.
    pub concurrent: u32,
    /// Requests that wait for a place.
    pub queued: u32,
}

/// What a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// A model, held by engines in layer ranges.
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

/// The right of one organisation to send work to a model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// The owner. No other organisation uses this route.
    pub organisation: OrganisationId,
    /// What the route leads to.
    pub target: Target,
    /// Class of work.
    #[serde(default)]
    pub class: Class,
    /// Pools whose upstreams may serve the route. Never empty.
    pub pools: Vec<String>,
    /// Whether a request may run more than once. A caller can mark a single
    /// request as non-idempotent on an idempotent route, never the reverse.
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

/// Identifies an entry: names are unique within a kind.
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
