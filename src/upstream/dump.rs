//! Upstreams in the state dump.

use serde::Serialize;

use crate::clock::{Time, millis};
use crate::id::{Incarnation, InstanceId};
use crate::upstream::entry::Entry;
use crate::upstream::{Load, Registry, UpstreamState};

/// One upstream in a state dump, retired or not.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamDump {
    /// Name, or its digest while the name is unknown.
    pub id: String,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Highest known sequence.
    pub sequence: u64,
    /// Lifecycle state.
    pub state: UpstreamState,
    /// Whether the registrar received no announcement for the expiry time.
    pub silent: bool,
    /// Whether this instance had no liveness signal for the expiry time.
    pub lapsed: bool,
    /// Instance responsible for the record.
    #[serde(rename = "voucher")]
    pub registrar: InstanceId,
    /// Milliseconds since the last liveness signal.
    pub age: u64,
    /// Last known load.
    pub load: Load,
}

impl Registry {
    /// Returns all entries, sorted by name.
    pub(crate) fn dump(&self, now: Time) -> Vec<UpstreamDump> {
        let entries = self.entries.iter();
        let mut dumps: Vec<_> = entries.map(|(key, e)| e.dump(now, *key)).collect();
        dumps.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        dumps
    }
}

impl Entry {
    fn dump(&self, now: Time, key: u64) -> UpstreamDump {
        let name = self.metadata.as_deref().map(|f| f.id.to_string());
        UpstreamDump {
            id: name.unwrap_or_else(|| format!("{key:016x}")),
            incarnation: self.version.incarnation,
            sequence: self.latest_sequence,
            state: self.version.state,
            silent: self.version.silent,
            lapsed: self.lapsed,
            registrar: self.version.registrar,
            age: millis(self.since.age(now)),
            load: self.load,
        }
    }
}
