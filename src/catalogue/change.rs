//! A change of the catalogue and what became of it.

use serde::{Deserialize, Serialize};

use super::{Entry, EntryKey};

/// Longest change id, in bytes.
pub(crate) const MAX_ID: usize = 128;

/// Most operations in one change.
pub(crate) const MAX_OPERATIONS: usize = 10_000;

/// What the operator believes to be in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expect {
    /// Nothing: the last writer wins.
    #[default]
    Any,
    /// The whole catalogue is at this revision.
    Catalogue(u64),
    /// Each entry named is at this revision; 0 says that it doesn't exist.
    Entry(u64),
}

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Operation {
    /// Adds or replaces an entry.
    Put(Entry),
    /// Removes an entry.
    Retire(EntryKey),
}

impl Operation {
    /// The entry that the operation is about.
    #[must_use]
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Put(entry) => entry.key(),
            Self::Retire(key) => key.clone(),
        }
    }
}

/// A change: all of its operations take effect, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Chosen by the operator. A resend with the same id and content gets the
    /// first outcome; the same id with other content is refused.
    pub id: String,
    /// Guard against racing operators.
    #[serde(default)]
    pub expect: Expect,
    /// Never empty.
    pub operations: Vec<Operation>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "outcome")]
pub enum Outcome {
    /// Accepted; in force everywhere within the catalogue lease.
    Accepted {
        /// Revision of the catalogue that holds the change.
        revision: u64,
    },
    /// Another change came first. Nothing was changed.
    Conflict {
        /// Revision now in force of what was expected.
        revision: u64,
        /// The entry that differs, or `None` for the whole catalogue.
        entry: Option<EntryKey>,
    },
    /// The change contradicts the catalogue. Nothing was changed.
    Invalid {
        /// What to mend.
        reason: String,
    },
    /// The id was used for another change. Nothing was changed.
    Reused,
}
