//! Replicated state machine of the controllers: the configuration with the highest version,
//! the upstreams that have left, and the quarantined requests.
//!
//! Departures are replicated since an upstream may send nothing more once its departure is
//! acknowledged: a leader elected just after that would otherwise offer it again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::fingerprint::Fingerprint;
use crate::voter::StateMachine;

/// Maximum number of departures that are kept. There are some hundreds a day, so each is
/// evicted long after its upstream sent the last heartbeat.
const MAX_DEPARTED: usize = 4096;

/// Maximum number of quarantined requests, of all organisations and of one. The oldest is
/// evicted first.
const MAX_QUARANTINED: usize = 512;
const MAX_QUARANTINED_PER_ORGANISATION: usize = 64;

/// A command of the replicated log.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    #[prost(oneof = "Change", tags = "1, 2, 3, 4")]
    pub(crate) change: Option<Change>,
}

/// Change made by a command.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Change {
    #[prost(message, tag = "1")]
    Replace(VersionedConfiguration),
    #[prost(message, tag = "2")]
    Depart(Departed),
    #[prost(message, tag = "3")]
    Quarantine(Quarantined),
    /// Lifts the quarantine of the request with this fingerprint.
    #[prost(bytes = "vec", tag = "4")]
    Lift(Vec<u8>),
}

/// A quarantined request or part of prompts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Quarantined {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
    /// Organisation whose requests are refused; empty for a part that is refused for all.
    #[prost(string, tag = "2")]
    pub(crate) organisation: String,
    /// Number of engines that crashed while they ran it.
    #[prost(uint32, tag = "3")]
    pub(crate) engines: u32,
    /// Start and end of the quarantine, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "4")]
    pub(crate) since: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) until: u64,
    /// Id of the part, if the fingerprint is that of a part of prompts; else empty.
    #[prost(string, tag = "6")]
    pub(crate) part: String,
}

/// A configuration as the operator sent it, byte for byte.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct VersionedConfiguration {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) body: Bytes,
}

/// An incarnation of an upstream that receives no more requests.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Departed {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(uint64, tag = "2")]
    pub(crate) born: u64,
}

impl Quarantined {
    /// The fingerprint; `None` if another release wrote one of a different length.
    pub(crate) fn fingerprint(&self) -> Option<Fingerprint> {
        Fingerprint::try_from(&*self.fingerprint).ok()
    }

    /// Contribution to the checksum; depends on the request and `since`, and is not 0.
    fn checksum_part(&self) -> u64 {
        let request = self.fingerprint().map_or(0, |f| f.leading_u64());
        request.wrapping_add(self.since) | 1
    }
}

/// The whole state, as encoded in a snapshot.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct State {
    /// `None` before the first configuration.
    #[prost(message, optional, tag = "1")]
    pub(crate) current: Option<VersionedConfiguration>,
    /// Oldest first.
    #[prost(message, repeated, tag = "2")]
    pub(crate) departed: Vec<Departed>,
    /// Oldest first.
    #[prost(message, repeated, tag = "3")]
    pub(crate) quarantined: Vec<Quarantined>,
}

/// Shared read access to the state of a [`RegisterMachine`].
#[derive(Clone, Default)]
pub(crate) struct Register(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    /// Its version never decreases.
    current: Option<VersionedConfiguration>,
    departed: VecDeque<Departed>,
    /// Number of departures ever applied or restored, for readers to detect new ones.
    departure_count: u64,
    /// Oldest first; each fingerprint once.
    quarantined: Vec<Quarantined>,
    /// Checksum of `quarantined`, independent of its order; 0 while it is empty.
    checksum: u64,
}

/// Applies commands to a [`Register`].
pub(crate) struct RegisterMachine(Register);

impl Register {
    /// Creates an empty register and the state machine that changes it.
    pub(crate) fn new() -> (Self, RegisterMachine) {
        let register = Self::default();
        (register.clone(), RegisterMachine(register))
    }

    /// Returns the configuration with the highest version.
    pub(crate) fn current(&self) -> Option<VersionedConfiguration> {
        self.lock().current.clone()
    }

    /// Returns the version of the configuration; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.lock().current.as_ref().map_or(0, |c| c.version)
    }

    /// Returns at most `limit` of the latest departures, newest last.
    pub(crate) fn latest_departed(&self, limit: usize) -> Vec<Departed> {
        let departed = &self.lock().departed;
        let skip = departed.len().saturating_sub(limit);
        departed.iter().skip(skip).cloned().collect()
    }

    /// Returns the departures after the first `seen`, and the number of all so far.
    pub(crate) fn departed_after(&self, seen: u64) -> (Vec<Departed>, u64) {
        let inner = self.lock();
        let new = usize::try_from(inner.departure_count - seen.min(inner.departure_count))
            .unwrap_or(usize::MAX);
        let skip = inner.departed.len().saturating_sub(new);
        let list = inner.departed.iter().skip(skip).cloned().collect();
        (list, inner.departure_count)
    }

    /// Returns the quarantined requests, oldest first.
    pub(crate) fn quarantined(&self) -> Vec<Quarantined> {
        self.lock().quarantined.clone()
    }

    /// Returns the checksum of the quarantined requests; 0 if there are none.
    pub(crate) fn quarantine_checksum(&self) -> u64 {
        self.lock().checksum
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Replaces the configuration if the new one has a higher version. The first content of a
    /// version is kept: two operators may send different ones.
    fn replace(&mut self, new: VersionedConfiguration) {
        let held = self.current.as_ref().map(|c| c.version);
        if held.is_none_or(|v| v < new.version) {
            self.current = Some(new);
        }
    }

    fn depart(&mut self, start: Departed) {
        if self.departed.contains(&start) {
            return;
        }
        self.departed.push_back(start);
        self.departure_count += 1;
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }
}

impl Inner {
    /// Adds a request. At the limit of its organisation, evicts the organisation's oldest.
    fn quarantine(&mut self, new: Quarantined) {
        self.lift(&new.fingerprint);
        let of_same = |q: &Quarantined| q.organisation == new.organisation;
        if self.quarantined.iter().filter(|q| of_same(q)).count()
            >= MAX_QUARANTINED_PER_ORGANISATION
            && let Some(oldest) = self.quarantined.iter().position(of_same)
        {
            self.quarantined.remove(oldest);
        }
        if self.quarantined.len() >= MAX_QUARANTINED {
            self.quarantined.remove(0);
        }
        self.quarantined.push(new);
        self.update_checksum();
    }

    fn lift(&mut self, fingerprint: &[u8]) {
        self.quarantined.retain(|q| q.fingerprint != fingerprint);
        self.update_checksum();
    }

    fn update_checksum(&mut self) {
        let parts = self.quarantined.iter().map(Quarantined::checksum_part);
        self.checksum = parts.fold(0, u64::wrapping_add);
    }
}

impl StateMachine for RegisterMachine {
    /// Returns the version of the resulting configuration, as eight bytes.
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let mut inner = self.0.lock();
        match Command::decode(command).map(|c| c.change) {
            Ok(Some(Change::Replace(new))) => inner.replace(new),
            Ok(Some(Change::Depart(start))) => inner.depart(start),
            Ok(Some(Change::Quarantine(new))) => inner.quarantine(new),
            Ok(Some(Change::Lift(fingerprint))) => inner.lift(&fingerprint),
            // Written by a later release. All stores skip it alike.
            Ok(None) | Err(_) => {}
        }
        let version = inner.current.as_ref().map_or(0, |c| c.version);
        version.to_be_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        let inner = self.0.lock();
        let state = State {
            current: inner.current.clone(),
            departed: inner.departed.iter().cloned().collect(),
            quarantined: inner.quarantined.clone(),
        };
        state.encode_to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let state =
            State::decode(snapshot).expect("the snapshot was written by this state machine");
        let mut inner = self.0.lock();
        inner.current = state.current;
        // Readers see all departures as new; applying one twice is harmless.
        inner.departure_count += state.departed.len() as u64;
        inner.departed = state.departed.into();
        inner.quarantined = state.quarantined;
        inner.update_checksum();
    }
}

/// Encodes the command that replaces the configuration.
pub(crate) fn replace(version: u64, body: Bytes) -> Bytes {
    encode(Change::Replace(VersionedConfiguration { version, body }))
}

/// Encodes the command that records a departure.
pub(crate) fn depart(id: &str, born: u64) -> Bytes {
    let id = id.to_owned();
    encode(Change::Depart(Departed { id, born }))
}

/// Encodes the command that quarantines a request.
pub(crate) fn quarantine(new: Quarantined) -> Bytes {
    encode(Change::Quarantine(new))
}

/// Encodes the command that lifts the quarantine of a request.
pub(crate) fn lift(fingerprint: &Fingerprint) -> Bytes {
    encode(Change::Lift(fingerprint.bytes()))
}

fn encode(change: Change) -> Bytes {
    let command = Command {
        change: Some(change),
    };
    command.encode_to_vec().into()
}
