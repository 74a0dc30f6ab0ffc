//! Upstreams in the state dump.

use serde::Serialize;

use crate::clock::{Time, millis};
use crate::id::{Incarnation, InstanceId};
use crate::upstream::entry::Entry;
use crate::upstream::{Load, Registry, UpstreamState};

/// One upstream in a dump, retired or not.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamDump {
    /// Name, or the digest of it when only the order is known.
    pub id: String,
    /// Start of the upstream.
    pub incarnation: Incarnation,
    /// Sequence of the record.
    pub sequence: u64,
    /// Life cycle.
    pub state: UpstreamState,
    /// Whether its registrar heard nothing for the expiry time.
    pub silent: bool,
    /// Whether there was no proof of life here for the expiry time.
    pub lapsed: bool,
    /// Instance responsible for the record.
    #[serde(rename = "voucher")]
    pub registrar: InstanceId,
    /// Milliseconds since the last proof of life.
    pub age: u64,
    /// Work that it had.
    pub load: Load,
}

impl Registry {
    /// All entries, sorted by name.
    pub(crate) fn dump(&self, now: Time) -> Vec<UpstreamDump> {
        let entries = self.entries.iter();
        let mut dumps: Vec<_> = entries.map(|(key, e)| e.dump(now, *key)).collect();
        dumps.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        dumps
    }
}

impl Entry {
    fn dump(&self, now: Time, key: u64) -> UpstreamDump {
        let name = self.facts.as_deref().map(|f| f.id.to_string());
        UpstreamDump {
            id: name.unwrap_or_else(|| format!("{key:016x}")),
            incarnation: self.version.incarnation,
            sequence: self.latest,
            state: self.version.state,
            silent: self.version.silent,
            lapsed: self.lapsed,
            registrar: self.version.registrar,
            age: millis(self.since.age(now)),
            load: self.load,
        }
    }
}
