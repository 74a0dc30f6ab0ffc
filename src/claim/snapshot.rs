//! The register as a replicated state machine, and its snapshot format.
//!
//! A snapshot is a [`SnapshotHeader`] followed by a [`SavedClaim`] for each claim,
//! all length-delimited. Claims are encoded one by one, as a message of all claims
//! would take several times their memory.

use prost::Message;

use crate::claim::machine::Claims;
use crate::claim::message::{ClaimToken, Command, Outcome, Reply, StoredAnswer};
use crate::claim::record::{ClaimId, DIGEST_LEN, Pending, Record, State, UNAGED};
use crate::collections::HashMap;
use crate::id::OrganisationId;
use crate::voter::StateMachine;

#[derive(Clone, PartialEq, Message)]
struct SnapshotHeader {
    #[prost(uint64, tag = "1")]
    time: u64,
    #[prost(uint64, tag = "2")]
    last_expire: u64,
    /// Names in alphabetical order; [`SavedClaim::organisation`] is an index into them.
    #[prost(string, repeated, tag = "3")]
    organisations: Vec<String>,
}

/// A [`ClaimId`] in a form that is decoded without an allocation.
#[derive(Clone, Copy, PartialEq, Message)]
struct IdHalves {
    #[prost(fixed64, tag = "1")]
    head: u64,
    #[prost(fixed64, tag = "2")]
    tail: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SavedClaim {
    #[prost(message, required, tag = "1")]
    id: IdHalves,
    #[prost(uint32, tag = "2")]
    organisation: u32,
    #[prost(message, required, tag = "3")]
    digest: IdHalves,
    #[prost(message, optional, tag = "4")]
    token: Option<ClaimToken>,
    #[prost(uint64, tag = "5")]
    index: u64,
    #[prost(uint64, optional, tag = "6")]
    since: Option<u64>,
    #[prost(uint32, tag = "7")]
    dispatch_ms: u32,
    #[prost(uint32, tag = "8")]
    ttl_ms: u32,
    #[prost(bool, tag = "9")]
    reported_unknown: bool,
    /// `None` while the claim is pending.
    #[prost(oneof = "Outcome", tags = "13, 14, 15, 16")]
    outcome: Option<Outcome>,
}

impl From<ClaimId> for IdHalves {
    fn from(id: ClaimId) -> Self {
        let value = u128::from_be_bytes(id);
        let half = |value: u128| u64::try_from(value & u128::from(u64::MAX)).unwrap_or(0);
        Self {
            head: half(value >> u64::BITS),
            tail: half(value),
        }
    }
}

impl From<IdHalves> for ClaimId {
    fn from(halves: IdHalves) -> Self {
        let mut id = [0; DIGEST_LEN];
        id[..8].copy_from_slice(&halves.head.to_be_bytes());
        id[8..].copy_from_slice(&halves.tail.to_be_bytes());
        id
    }
}

fn save(id: ClaimId, record: &Record, organisation: u32) -> SavedClaim {
    let mut saved = SavedClaim {
        id: id.into(),
        organisation,
        digest: record.digest.into(),
        index: record.index,
        since: (record.since != UNAGED).then_some(record.since),
        ..SavedClaim::default()
    };
    saved.outcome = match &record.state {
        State::Pending(pending) => {
            saved.token = Some(pending.token);
            saved.dispatch_ms = pending.dispatch_ms;
            saved.ttl_ms = pending.ttl_ms;
            saved.reported_unknown = pending.reported_unknown;
            None
        }
        State::Stored(answer) => Some(Outcome::Stored(StoredAnswer::clone(answer))),
        State::NotStored => Some(Outcome::NotStored(())),
        State::Unknown => Some(Outcome::Unknown(())),
        State::NotRun => Some(Outcome::NotRun(())),
    };
    saved
}

fn load(saved: SavedClaim, organisation: OrganisationId) -> Record {
    let state = match saved.outcome {
        None => State::Pending(Box::new(Pending {
            token: saved.token.unwrap_or_default(),
            dispatch_ms: saved.dispatch_ms,
            ttl_ms: saved.ttl_ms,
            reported_unknown: saved.reported_unknown,
        })),
        Some(Outcome::Stored(answer)) => State::Stored(Box::new(answer)),
        Some(Outcome::NotStored(())) => State::NotStored,
        Some(Outcome::Unknown(())) => State::Unknown,
        Some(Outcome::NotRun(())) => State::NotRun,
    };
    Record {
        organisation,
        digest: saved.digest.into(),
        index: saved.index,
        since: saved.since.unwrap_or(UNAGED),
        state,
    }
}

impl StateMachine for Claims {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let action = Command::decode(command).ok().and_then(|c| c.action);
        action
            .map_or(Reply::Malformed(()), |action| self.step(index, action))
            .into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut names = self.usage.organisations();
        names.sort_unstable();
        let numbers: HashMap<&OrganisationId, u32> = names.iter().zip(0..).collect();
        let header = SnapshotHeader {
            time: self.time,
            last_expire: self.last_expire,
            organisations: names.iter().map(ToString::to_string).collect(),
        };
        let mut out = header.encode_length_delimited_to_vec();
        // Sorted by log index, so that equal states give equal bytes.
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_unstable_by_key(|(_, record)| record.index);
        for (id, record) in records {
            save(*id, record, numbers[&record.organisation])
                .encode_length_delimited(&mut out)
                .expect("a vector grows");
        }
        out
    }

    /// # Panics
    ///
    /// If the snapshot can't be decoded. A replica that continued with an empty
    /// register would grant claims a second time.
    fn restore(&mut self, mut snapshot: &[u8]) {
        const READABLE: &str = "a snapshot of claims that this release wrote";
        let header = SnapshotHeader::decode_length_delimited(&mut snapshot).expect(READABLE);
        *self = Self::new(self.bounds);
        self.time = header.time;
        self.last_expire = header.last_expire;
        let names: Vec<OrganisationId> = header
            .organisations
            .iter()
            .map(|name| OrganisationId::from(name.as_str()))
            .collect();
        while !snapshot.is_empty() {
            let saved = SavedClaim::decode_length_delimited(&mut snapshot).expect(READABLE);
            let name = names[saved.organisation as usize].clone();
            let id = saved.id.into();
            self.insert(id, load(saved, name));
        }
    }
}
