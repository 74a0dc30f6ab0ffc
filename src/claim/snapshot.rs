//! The register as a replicated state machine, and its snapshot.

use prost::Message;

use crate::claim::machine::Claims;
use crate::claim::message::{Command, Kept, Outcome, Reply, Token};
use crate::claim::record::{Id, Record, State, head};
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
    /// In order of age.
    #[prost(message, repeated, tag = "3")]
    records: Vec<Saved>,
}

fn save(id: Id, record: &Record) -> Saved {
    Saved {
        id: id.to_vec(),
        organisation: record.organisation.to_string(),
        digest: record.digest.to_vec(),
        token: Some(record.token),
        index: record.index,
        since: record.since,
        start: record.start,
        ttl: record.ttl,
        told: record.told,
        outcome: outcome(&record.state),
    }
}

fn outcome(state: &State) -> Option<Outcome> {
    match state {
        State::Pending => None,
        State::Kept(kept) => Some(Outcome::Kept(Kept::clone(kept))),
        State::NotKept => Some(Outcome::NotKept(())),
        State::Unknown => Some(Outcome::Unknown(())),
        State::Unrun => Some(Outcome::Unrun(())),
    }
}

fn state(outcome: Option<Outcome>) -> State {
    match outcome {
        None => State::Pending,
        Some(Outcome::Kept(kept)) => State::Kept(Box::new(kept)),
        Some(Outcome::NotKept(())) => State::NotKept,
        Some(Outcome::Unknown(())) => State::Unknown,
        Some(Outcome::Unrun(())) => State::Unrun,
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
        let live = |(index, id): &(u64, Id)| Some(save(*id, self.live(*index, *id)?));
        let records = self.order.iter().filter_map(live).collect();
        let snapshot = Snapshot {
            time: self.time,
            tick: self.tick,
            records,
        };
        snapshot.encode_to_vec()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self = Self::new(self.bounds);
        let Ok(snapshot) = Snapshot::decode(snapshot) else {
            return;
        };
        self.time = snapshot.time;
        self.tick = snapshot.tick;
        for saved in snapshot.records {
            self.load(saved);
        }
    }
}

impl Claims {
    fn load(&mut self, saved: Saved) {
        let id = head(&saved.id);
        let organisation = self.name(OrganisationId::from(saved.organisation.as_str()));
        let record = Record {
            organisation: organisation.clone(),
            digest: head(&saved.digest),
            token: saved.token.unwrap_or_default(),
            index: saved.index,
            since: saved.since,
            start: saved.start,
            ttl: saved.ttl,
            told: saved.told,
            state: state(saved.outcome),
        };
        self.charge(&organisation, 0, record.cost());
        self.fresh += usize::from(record.since.is_none());
        self.order.push_back((record.index, id));
        self.records.insert(id, record);
    }
}
