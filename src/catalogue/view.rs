//! An immutable catalogue, indexed for look-ups on the request path.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Entry, EntryKey, Kind, Route};
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// An entry and the revision that last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision of the change that added or replaced the entry.
    pub revision: u64,
    /// The entry.
    pub entry: Arc<Entry>,
}

/// A listing of the whole catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the catalogue.
    pub revision: u64,
    /// All entries, sorted by kind and name.
    pub records: Vec<Record>,
}

/// An immutable catalogue at one revision.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// Revision of the last accepted change; 0 before the first.
    pub revision: u64,
    /// All entries.
    pub records: BTreeMap<EntryKey, Record>,
    /// Organisation by key digest.
    keys: HashMap<String, OrganisationId>,
    /// Pool by credential digest.
    credentials: HashMap<String, String>,
}

impl Catalogue {
    /// Indexes `records` at `revision`.
    #[must_use]
    pub fn new(revision: u64, records: BTreeMap<EntryKey, Record>) -> Self {
        let mut keys = HashMap::default();
        let mut credentials = HashMap::default();
        for record in records.values() {
            match record.entry.as_ref() {
                Entry::Organisation(o) => {
                    keys.extend(o.keys.iter().map(|k| (k.clone(), o.name.clone())));
                }
                Entry::Pool(p) => {
                    credentials.insert(p.credential.clone(), p.name.clone());
                }
                Entry::Route(_) => {}
            }
        }
        Self {
            revision,
            records,
            keys,
            credentials,
        }
    }

    /// Looks up the organisation that owns the API key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&OrganisationId> {
        self.keys.get(&digest(key))
    }

    /// Looks up the pool that the credential belongs to.
    #[must_use]
    pub fn pool(&self, credential: &str) -> Option<&str> {
        self.credentials
            .get(&digest(credential))
            .map(String::as_str)
    }

    /// Looks up a route of `organisation` by name.
    ///
    /// A route of another organisation is treated as missing, so that a caller
    /// can't find out which names exist.
    #[must_use]
    pub fn route(&self, organisation: &OrganisationId, name: &str) -> Option<&Route> {
        let key = EntryKey {
            kind: Kind::Route,
            name: name.to_owned(),
        };
        match self.records.get(&key)?.entry.as_ref() {
            Entry::Route(route) if route.organisation == *organisation => Some(route),
            _ => None,
        }
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.records
            .values()
            .filter_map(|r| match r.entry.as_ref() {
                Entry::Route(route) => Some(route),
                _ => None,
            })
    }

    /// Lists all entries.
    #[must_use]
    pub fn list(&self) -> Listing {
        Listing {
            revision: self.revision,
            records: self.records.values().cloned().collect(),
        }
    }
}

/// SHA-256 of a secret in lower-case hexadecimal digits, as entries store it.
pub(crate) fn digest(secret: &str) -> String {
    Sha256::digest(secret.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}
