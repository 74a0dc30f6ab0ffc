//! Changes to the catalogue and their outcomes.

use serde::{Deserialize, Serialize};

use super::{Entry, EntryKey};

/// Longest id of a change, in bytes.
pub(crate) const MAX_ID: usize = 128;

/// Largest number of operations in one change.
pub(crate) const MAX_OPERATIONS: usize = 10_000;

/// The revision that a change is based on, for optimistic concurrency control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// No check: the last writer wins.
    #[default]
    Any,
    /// The whole catalogue is at this revision.
    Catalogue(u64),
    /// Every entry in the change is at this revision; 0 means that it doesn't
    /// exist.
    Entry(u64),
}

/// One operation of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Operation {
    /// Adds or replaces an entry.
    Put(Entry),
    /// Removes an entry.
    Retire(EntryKey),
}

impl Operation {
    /// Key of the entry that the operation changes.
    #[must_use]
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Retire(key) => key.clone(),
        }
    }
}

/// An atomic change: all of its operations take effect, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Chosen by the operator. A resend with the same id and content gets the
    /// first outcome; the same id with other content is rejected.
    pub id: String,
    /// Detects concurrent changes by other operators.
    #[serde(default)]
    pub expect: Expect,
    /// Never empty.
    pub operations: Vec<Operation>,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "outcome")]
pub enum Outcome {
    /// Accepted. Every instance applies it within the catalogue lease.
    Accepted {
        /// Revision of the catalogue that first contains the change.
        revision: u64,
    },
    /// The expected revision has been superseded. Nothing was changed.
    Conflict {
        /// Current revision of the entry or of the catalogue.
        revision: u64,
        /// The entry that differs, or `None` for the whole catalogue.
        entry: Option<EntryKey>,
    },
    /// The change is malformed or would make the catalogue inconsistent. Nothing
    /// was changed.
    Invalid {
        /// What the operator should correct.
        reason: String,
    },
    /// The id belongs to a different change. Nothing was changed.
    Reused,
}
