//! The replicated register of claims.

use std::mem;
use std::time::Duration;

use crate::claim::message::{
    Action, Claim, ClaimToken, Expire, Full, Granted, MAX_KEY, MAX_STORED_ANSWER, Outcome, Purpose,
    Release, Reply, Settle, StoredAnswer, Ticked,
};
use crate::claim::record::{
    DIGEST_LEN, FRESH, Id, LONGEST_STEP, Pending, RECORD_LEN, Record, State, head, id,
};
use crate::claim::usage::{Place, Usage};
use crate::clock::millis;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Pause for an organisation that has no claim of its own to wait for, in
/// milliseconds.
const FULL_PAUSE: u64 = 60_000;

/// Bounds of a register. The same on every replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Time for which a claim is remembered in any case.
    pub(crate) retention: Duration,
    /// Time for which it is remembered while its organisation has room.
    pub(crate) longest: Duration,
    /// Bytes of all claims beyond each organisation's floor.
    pub(crate) shared: u64,
    /// Bytes that every organisation may use, whatever the others use.
    pub(crate) floor: u64,
    /// Bytes that one organisation may use.
    pub(crate) share: u64,
}

impl Default for Bounds {
    /// Room for 100,000 claims of one organisation and 200,000 in all, so for
    /// 330 claims a second over ten minutes, or for 2 a second over a day.
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            longest: Duration::from_secs(24 * 3600),
            shared: 48 << 20,
            floor: 16 << 10,
            share: 24 << 20,
        }
    }
}

/// The register of claims.
///
/// It has no clock: its time is the sum of what [`Expire`] commands report.
/// A claim's age counts from the first `Expire` after the claim, since every
/// later one measures a time that began after the claim was applied.
///
/// A claim younger than the retention is never forgotten, as a letter could go
/// out twice: if there is no room, new claims are refused. An older one makes
/// room for a new one of the same organisation, never of another.
///
/// # Where claims live
///
/// Three places were weighed, with 7,900 requests a second ahead:
///
/// * The catalogue's log: nothing to add, but a claim then shares its syncs and
///   its leader with changes that must be in force within seconds, and a
///   catalogue snapshot carries every claim.
/// * A group of its own: same code, own leader and log; a stalled or full
///   register doesn't touch the catalogue. One log carries what one disk syncs;
///   claims in one batch share a sync.
/// * Several such groups, by [`shard`](crate::claim::shard): throughput and
///   memory grow with the groups. A claim needs only its own group, since no
///   command touches two keys.
///
/// So it is a machine of its own that knows nothing of shards, and the number
/// of groups is the caller's.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(super) bounds: Bounds,
    /// Milliseconds. Only grows.
    pub(super) time: u64,
    /// Log index of the last `Expire` applied.
    pub(super) tick: u64,
    pub(super) records: HashMap<Id, Record>,
    /// Claims since the last `Expire`, in order of their index.
    fresh: Vec<Place>,
    pub(super) usage: Usage,
}

impl Claims {
    /// An empty register.
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            time: 0,
            tick: 0,
            records: HashMap::default(),
            fresh: Vec::new(),
            usage: Usage::default(),
        }
    }

    /// Claims that are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Bytes in use, as counted against the bounds.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> u64 {
        self.usage.bytes()
    }

    /// Places in the orders of age.
    #[cfg(test)]
    pub(crate) fn places(&self) -> usize {
        self.usage.places()
    }

    /// Applies one command.
    pub(crate) fn step(&mut self, index: u64, action: Action) -> Reply {
        match action {
            Action::Claim(claim) => self.claim(index, &claim),
            Action::Settle(settle) => self.settle(settle),
            Action::Release(release) => self.release(&release),
            Action::Expire(expire) => self.expire(index, expire),
        }
    }

    fn claim(&mut self, index: u64, claim: &Claim) -> Reply {
        let Some(token) = claim.token else {
            return Reply::Malformed(());
        };
        if claim.key.len() > MAX_KEY || claim.digest.len() < DIGEST_LEN {
            return Reply::Malformed(());
        }
        let id = id(&claim.organisation, &claim.key);
        let (time, retention) = (self.time, self.retention());
        match self.records.get_mut(&id) {
            _ if claim.purpose() == Purpose::Renew => self.renew(index, id, claim),
            Some(record) => record.found(claim, token, time, retention),
            None => self.grant(index, id, claim, token),
        }
    }

    fn grant(&mut self, index: u64, id: Id, claim: &Claim, token: ClaimToken) -> Reply {
        let organisation = OrganisationId::from(claim.organisation.as_str());
        if !self.make_room(&organisation) {
            let retry_after_ms = self.retry_after_ms(&organisation);
            return Reply::Full(Full { retry_after_ms });
        }
        let pending = Pending {
            token,
            dispatch_ms: claim.dispatch_ms,
            ttl_ms: claim.ttl_ms.min(self.longest_wait()),
            reported_unknown: false,
        };
        let record = Record {
            organisation: self.usage.name(organisation),
            digest: head(&claim.digest),
            index,
            since: FRESH,
            state: State::Pending(Box::new(pending)),
        };
        self.insert(id, record);
        Reply::Granted(Granted { token: Some(token) })
    }

    /// Lets a claim begin anew: a request may wait for a path for longer than
    /// its claim lets it dispatch. A proposal that arrives twice gives the holder
    /// more time than it takes.
    fn renew(&mut self, index: u64, id: Id, claim: &Claim) -> Reply {
        let ttl_ms = claim.ttl_ms.min(self.longest_wait());
        let record = self.records.get_mut(&id);
        let Some(record) = record.filter(|record| record.held(claim.token)) else {
            return Reply::Stale(());
        };
        let token = claim.token;
        match &mut record.state {
            State::Pending(held) if !held.reported_unknown => held.ttl_ms = ttl_ms,
            _ => return Reply::Stale(()),
        }
        record.index = index;
        record.since = FRESH;
        self.fresh.push((index, id));
        let organisation = record.organisation.clone();
        self.trim(&organisation);
        Reply::Granted(Granted { token })
    }

    pub(super) fn insert(&mut self, id: Id, record: Record) {
        let place = (record.index, id);
        let organisation = &record.organisation;
        self.usage.add(&self.bounds, organisation, record.cost());
        if record.since == FRESH {
            self.fresh.push(place);
        } else if let Some(tenant) = self.usage.tenant(organisation) {
            tenant.order.push_back(place);
        }
        self.records.insert(id, record);
    }

    /// Forgets old claims of `organisation` until it has room for a new one.
    fn make_room(&mut self, organisation: &OrganisationId) -> bool {
        while !self.usage.fits(&self.bounds, organisation, RECORD_LEN) {
            if !self.forget_oldest(organisation, self.retention()) {
                return false;
            }
        }
        true
    }

    fn settle(&mut self, settle: Settle) -> Reply {
        let id = id(&settle.organisation, &settle.key);
        let Some(record) = self.records.get(&id).filter(|r| r.held(settle.token)) else {
            return Reply::Stale(());
        };
        let state = match settle.outcome {
            Some(Outcome::Stored(answer)) => self.store(record, answer),
            Some(Outcome::NotStored(())) => State::NotStored,
            Some(Outcome::NotRun(())) => State::NotRun,
            Some(Outcome::Unknown(())) | None => State::Unknown,
        };
        self.replace(id, state);
        Reply::Done(())
    }

    /// The answer, or only the fact that there was one if there is no room.
    fn store(&self, record: &Record, answer: StoredAnswer) -> State {
        let len = answer.body.len() + answer.content_type.len();
        let fits = self
            .usage
            .fits_answer(&self.bounds, &record.organisation, len as u64);
        if len <= MAX_STORED_ANSWER && fits {
            State::Stored(Box::new(answer))
        } else {
            State::NotStored
        }
    }

    fn replace(&mut self, id: Id, state: State) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let before = record.cost();
        record.state = state;
        let after = record.cost();
        self.usage
            .change(&self.bounds, &record.organisation, before, after);
    }

    fn release(&mut self, release: &Release) -> Reply {
        let id = id(&release.organisation, &release.key);
        let Some(record) = self.records.get(&id).filter(|r| r.held(release.token)) else {
            return Reply::Stale(());
        };
        // Someone may have acted on "unknown, never run again": it stays true.
        if matches!(&record.state, State::Pending(pending) if pending.reported_unknown) {
            self.replace(id, State::NotRun);
        } else {
            self.remove(id);
        }
        Reply::Done(())
    }

    fn remove(&mut self, id: Id) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        let organisation = &record.organisation;
        self.usage.remove(&self.bounds, organisation, record.cost());
        self.trim(organisation);
    }

    fn trim(&mut self, organisation: &OrganisationId) {
        let records = &self.records;
        let live = |place: &Place| is_live(records, *place);
        self.usage.trim(organisation, live);
    }

    fn expire(&mut self, index: u64, expire: Expire) -> Reply {
        if expire.after == self.tick {
            self.tick = index;
            self.time += expire.elapsed.min(LONGEST_STEP);
            self.begin_ages();
            self.forget();
        }
        Reply::Ticked(Ticked { index: self.tick })
    }

    /// Lets the claims since the last `Expire` begin to age.
    fn begin_ages(&mut self) {
        for (index, id) in mem::take(&mut self.fresh) {
            let record = self.records.get_mut(&id).filter(|r| r.index == index);
            let Some(record) = record else { continue };
            record.since = self.time;
            if let Some(tenant) = self.usage.tenant(&record.organisation) {
                tenant.order.push_back((index, id));
            }
        }
    }

    fn forget(&mut self) {
        let longest = millis(self.bounds.longest).max(self.retention());
        for organisation in self.usage.names() {
            while self.forget_oldest(&organisation, longest) {}
        }
    }

    /// Forgets the oldest claim of `organisation` if its age in milliseconds is
    /// `least` or more.
    fn forget_oldest(&mut self, organisation: &OrganisationId, least: u64) -> bool {
        let Some(place) = self.oldest(organisation) else {
            return false;
        };
        let live = is_live(&self.records, place);
        if live && self.age(place.1) < least {
            return false;
        }
        if let Some(tenant) = self.usage.tenant(organisation) {
            tenant.order.pop_front();
        }
        if live {
            self.remove(place.1);
        }
        true
    }

    fn oldest(&mut self, organisation: &OrganisationId) -> Option<Place> {
        self.usage.tenant(organisation)?.order.front().copied()
    }

    fn age(&self, id: Id) -> u64 {
        self.records.get(&id).map_or(0, |r| r.age(self.time))
    }

    fn retention(&self) -> u64 {
        millis(self.bounds.retention)
    }

    /// Longest time that an outcome is awaited: within the retention.
    fn longest_wait(&self) -> u32 {
        u32::try_from(self.retention() / 2).unwrap_or(u32::MAX)
    }

    /// Milliseconds until the organisation's oldest claim makes room.
    fn retry_after_ms(&mut self, organisation: &OrganisationId) -> u64 {
        match self.oldest(organisation) {
            Some((_, id)) => self.retention().saturating_sub(self.age(id)),
            None => FULL_PAUSE,
        }
    }
}

fn is_live(records: &HashMap<Id, Record>, (index, id): Place) -> bool {
    records.get(&id).is_some_and(|record| record.index == index)
}
