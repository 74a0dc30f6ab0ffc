//! The register as a replicated state machine, and its snapshot.

use prost::Message;

use crate::claim::machine::Claims;
use crate::claim::message::{Command, Kept, Outcome, Reply, Token};
use crate::claim::record::{FRESH, Id, Pending, Record, State, head};
use crate::id::OrganisationId;
use crate::voter::Machine;

#[derive(Clone, PartialEq, Message)]
struct Saved {
    #[prost(bytes = "vec", tag = "1")]
    id: Vec<u8>,
    #[prost(string, tag = "2")]
    organisation: String,
    #[prost(bytes = "vec", tag = "3")]
    digest: Vec<u8>,
    #[prost(message, optional, tag = "4")]
    token: Option<Token>,
    #[prost(uint64, tag = "5")]
    index: u64,
    #[prost(uint64, optional, tag = "6")]
    since: Option<u64>,
    #[prost(uint32, tag = "7")]
    start: u32,
    #[prost(uint32, tag = "8")]
    ttl: u32,
    #[prost(bool, tag = "9")]
    told: bool,
    /// Absent while the outcome is awaited.
    #[prost(oneof = "Outcome", tags = "13, 14, 15, 16")]
    outcome: Option<Outcome>,
}

#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint64, tag = "1")]
    time: u64,
    #[prost(uint64, tag = "2")]
    tick: u64,
    /// In order of their index, so that equal states give equal bytes.
    #[prost(message, repeated, tag = "3")]
    records: Vec<Saved>,
}

fn save(id: Id, record: &Record) -> Saved {
    let mut saved = Saved {
        id: id.to_vec(),
        organisation: record.organisation.to_string(),
        digest: record.digest.to_vec(),
        index: record.index,
        since: (record.since != FRESH).then_some(record.since),
        ..Saved::default()
    };
    saved.outcome = match &record.state {
        State::Pending(pending) => {
            saved.token = Some(pending.token);
            saved.start = pending.start;
            saved.ttl = pending.ttl;
            saved.told = pending.told;
            None
        }
        State::Kept(kept) => Some(Outcome::Kept(Kept::clone(kept))),
        State::NotKept => Some(Outcome::NotKept(())),
        State::Unknown => Some(Outcome::Unknown(())),
        State::Unrun => Some(Outcome::Unrun(())),
    };
    saved
}

fn load(saved: Saved, organisation: OrganisationId) -> Record {
    let state = match saved.outcome {
        None => State::Pending(Box::new(Pending {
            token: saved.token.unwrap_or_default(),
            start: saved.start,
            ttl: saved.ttl,
            told: saved.told,
        })),
        Some(Outcome::Kept(kept)) => State::Kept(Box::new(kept)),
        Some(Outcome::NotKept(())) => State::NotKept,
        Some(Outcome::Unknown(())) => State::Unknown,
        Some(Outcome::Unrun(())) => State::Unrun,
    };
    Record {
        organisation,
        digest: head(&saved.digest),
        index: saved.index,
        since: saved.since.unwrap_or(FRESH),
        state,
    }
}

impl Machine for Claims {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let action = Command::decode(command).ok().and_then(|c| c.action);
        action
            .map_or(Reply::Malformed(()), |action| self.step(index, action))
            .into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let saved = self.records.iter().map(|(id, record)| save(*id, record));
        let mut records: Vec<_> = saved.collect();
        records.sort_unstable_by_key(|record| record.index);
        let snapshot = Snapshot {
            time: self.time,
            tick: self.tick,
            records,
        };
        snapshot.encode_to_vec()
    }

    /// # Panics
    ///
    /// If the snapshot can't be read. A replica that went on with an empty
    /// register would grant claims a second time.
    fn restore(&mut self, snapshot: &[u8]) {
        let snapshot = Snapshot::decode(snapshot)
            .expect("a snapshot of claims that this release can read: restore it from a replica");
        *self = Self::new(self.bounds);
        self.time = snapshot.time;
        self.tick = snapshot.tick;
        for saved in snapshot.records {
            let organisation = OrganisationId::from(saved.organisation.as_str());
            let id = head(&saved.id);
            let record = load(saved, self.usage.name(organisation));
            self.insert(id, record);
        }
    }
}
