//! The replicated machine of the controllers: the configuration with the
//! highest version, and the starts of upstreams that have left.
//!
//! Departures are kept here since an upstream that was told "acknowledged" may
//! say nothing more: a leader that took over a moment later would otherwise
//! hand it out again.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use prost::{Message, Oneof};

use crate::fingerprint::Fingerprint;
use crate::voter::StateMachine;

/// Departures that are kept. A day brings some hundreds; each is forgotten
/// long after its upstream has stopped calling.
const MOST_DEPARTED: usize = 4096;

/// Maximum number of quarantined requests, of all organisations and of one. The oldest is
/// evicted first.
const MOST_QUARANTINED: usize = 512;
const MOST_QUARANTINED_PER_ORGANISATION: usize = 64;

/// A command of the replicated log.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    #[prost(oneof = "Change", tags = "1, 2, 3, 4")]
    pub(crate) change: Option<Change>,
}

/// What a command changes.
#[derive(Clone, PartialEq, Oneof)]
pub(crate) enum Change {
    #[prost(message, tag = "1")]
    Replace(Versioned),
    #[prost(message, tag = "2")]
    Depart(Departed),
    #[prost(message, tag = "3")]
    Quarantine(Quarantined),
    /// Lifts the quarantine of the request with this fingerprint.
    #[prost(bytes = "vec", tag = "4")]
    Lift(Vec<u8>),
}

/// A quarantined request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Quarantined {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) fingerprint: Vec<u8>,
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
}

/// A configuration as the operator sent it, byte for byte.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Versioned {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) body: Bytes,
}

/// A start of an upstream that gets no more work.
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

    /// Contribution to the checksum; depends on the request and the start, and isn't 0.
    fn checksum_part(&self) -> u64 {
        let request = self.fingerprint().map_or(0, |f| f.leading_u64());
        request.wrapping_add(self.since) | 1
    }
}

/// The whole state, as a snapshot holds it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct State {
    /// `None` before the first configuration.
    #[prost(message, optional, tag = "1")]
    pub(crate) current: Option<Versioned>,
    /// Oldest first.
    #[prost(message, repeated, tag = "2")]
    pub(crate) departed: Vec<Departed>,
    /// Oldest first.
    #[prost(message, repeated, tag = "3")]
    pub(crate) quarantined: Vec<Quarantined>,
}

/// The state behind the machine, for readers.
#[derive(Clone, Default)]
pub(crate) struct Register(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    /// Its version only grows.
    current: Option<Versioned>,
    departed: VecDeque<Departed>,
    /// Departures ever applied or restored here; tells readers of new ones.
    count: u64,
    /// Oldest first; each fingerprint once.
    quarantined: Vec<Quarantined>,
    /// Checksum of `quarantined`, independent of its order; 0 while it is empty.
    checksum: u64,
}

/// Applies commands to a [`Register`].
pub(crate) struct RegisterMachine(Register);

impl Register {
    /// An empty register and the machine that changes it.
    pub(crate) fn new() -> (Self, RegisterMachine) {
        let register = Self::default();
        (register.clone(), RegisterMachine(register))
    }

    /// The configuration with the highest version.
    pub(crate) fn current(&self) -> Option<Versioned> {
        self.lock().current.clone()
    }

    /// Version of the configuration; 0 before the first.
    pub(crate) fn version(&self) -> u64 {
        self.lock().current.as_ref().map_or(0, |c| c.version)
    }

    /// The latest departures, at most `most`, newest last.
    pub(crate) fn latest_departed(&self, most: usize) -> Vec<Departed> {
        let departed = &self.lock().departed;
        let skip = departed.len().saturating_sub(most);
        departed.iter().skip(skip).cloned().collect()
    }

    /// Departures after the first `seen`, and how many there are by now.
    pub(crate) fn departed_after(&self, seen: u64) -> (Vec<Departed>, u64) {
        let inner = self.lock();
        let new = usize::try_from(inner.count - seen.min(inner.count)).unwrap_or(usize::MAX);
        let skip = inner.departed.len().saturating_sub(new);
        let list = inner.departed.iter().skip(skip).cloned().collect();
        (list, inner.count)
    }

    /// The quarantined requests, oldest first.
    pub(crate) fn quarantined(&self) -> Vec<Quarantined> {
        self.lock().quarantined.clone()
    }

    /// Checksum of the quarantined requests; 0 while there are none.
    pub(crate) fn quarantine_checksum(&self) -> u64 {
        self.lock().checksum
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Takes a configuration if none so new is held. The first content of a
    /// version stays: two operators may send different ones.
    fn replace(&mut self, new: Versioned) {
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
        self.count += 1;
        if self.departed.len() > MOST_DEPARTED {
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
            >= MOST_QUARANTINED_PER_ORGANISATION
            && let Some(oldest) = self.quarantined.iter().position(of_same)
        {
            self.quarantined.remove(oldest);
        }
        if self.quarantined.len() >= MOST_QUARANTINED {
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
    /// Replies with the version that is held afterwards, as eight bytes.
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let mut inner = self.0.lock();
        match Command::decode(command).map(|c| c.change) {
            Ok(Some(Change::Replace(new))) => inner.replace(new),
            Ok(Some(Change::Depart(start))) => inner.depart(start),
            Ok(Some(Change::Quarantine(new))) => inner.quarantine(new),
            Ok(Some(Change::Lift(fingerprint))) => inner.lift(&fingerprint),
            // Of a later release. All stores skip it alike.
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
        let state = State::decode(snapshot).expect("a snapshot is what this machine wrote");
        let mut inner = self.0.lock();
        inner.current = state.current;
        // Readers see all of them as new, which at worst tells them twice.
        inner.count += state.departed.len() as u64;
        inner.departed = state.departed.into();
        inner.quarantined = state.quarantined;
        inner.update_checksum();
    }
}

/// The command that replaces the configuration.
pub(crate) fn replace(version: u64, body: Bytes) -> Bytes {
    encode(Change::Replace(Versioned { version, body }))
}

/// The command that notes a departure.
pub(crate) fn depart(id: &str, born: u64) -> Bytes {
    let id = id.to_owned();
    encode(Change::Depart(Departed { id, born }))
}

/// The command that quarantines a request.
pub(crate) fn quarantine(new: Quarantined) -> Bytes {
    encode(Change::Quarantine(new))
}

/// The command that lifts the quarantine of a request.
pub(crate) fn lift(fingerprint: &Fingerprint) -> Bytes {
    encode(Change::Lift(fingerprint.bytes()))
}

fn encode(change: Change) -> Bytes {
    let command = Command {
        change: Some(change),
    };
    command.encode_to_vec().into()
}
