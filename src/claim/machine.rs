//! The replicated register of claims.

use std::mem;
use std::time::Duration;

use crate::claim::message::{
    Action, Claim, ClaimToken, Expire, Full, Granted, MAX_KEY, MAX_STORED_ANSWER, Outcome, Purpose,
    Release, Reply, Settle, StoredAnswer, Ticked,
};
use crate::claim::record::{
    ClaimId, DIGEST_LEN, MAX_STEP_MS, Pending, RECORD_LEN, Record, State, UNAGED, claim_id,
    digest_prefix,
};
use crate::claim::usage::{AgeEntry, Usage};
use crate::clock::millis;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Pause before a retry of an organisation that has no claim whose expiry could
/// make space for it.
const FULL_RETRY_AFTER_MS: u64 = 60_000;

/// Bounds of a register. The same on every replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Time for which a claim is always retained.
    pub(crate) retention: Duration,
    /// Time for which a claim is retained while its organisation has space.
    pub(crate) max_retention: Duration,
    /// Bytes that all organisations together may use beyond their reserved bytes.
    pub(crate) shared: u64,
    /// Bytes reserved for each organisation, whatever the others use.
    pub(crate) reserved: u64,
    /// Bytes that a single organisation may use.
    pub(crate) quota: u64,
}

impl Default for Bounds {
    /// Space for 100,000 claims of one organisation and 200,000 in total. The total
    /// covers 330 claims per second over ten minutes, or 2 per second over a day.
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            max_retention: Duration::from_secs(24 * 3600),
            shared: 48 << 20,
            reserved: 16 << 10,
            quota: 24 << 20,
        }
    }
}

/// The register of claims.
///
/// # Sharding
///
/// The register is kept out of the catalogue's log, in replication groups of its
/// own, so that a stalled or full register doesn't affect the catalogue. In one
/// log, claims would share its syncs and its leader with changes that must take
/// effect within seconds, and each catalogue snapshot would contain every claim.
///
/// One group is limited by the syncs of one disk, although claims in one batch
/// share a sync. Throughput and memory grow with the number of groups, since
/// [`shard`](crate::claim::shard) assigns each key to one group and no command
/// touches two keys; this allows for an expected 7,900 requests per second. The
/// state machine knows nothing of shards; the caller chooses the number of groups.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(super) bounds: Bounds,
    /// The register's time in milliseconds. Never decreases. The register has no
    /// clock: its time is the sum of the durations in [`Expire`] commands.
    pub(super) time: u64,
    /// Log index of the last applied `Expire`.
    pub(super) last_expire: u64,
    pub(super) records: HashMap<ClaimId, Record>,
    /// Claims made or renewed since the last `Expire`, by log index.
    unaged: Vec<AgeEntry>,
    pub(super) usage: Usage,
}

impl Claims {
    /// Creates an empty register.
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            time: 0,
            last_expire: 0,
            records: HashMap::default(),
            unaged: Vec::new(),
            usage: Usage::default(),
        }
    }

    /// Number of retained claims.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Bytes in use, as counted against the bounds.
    #[cfg(test)]
    pub(crate) fn bytes(&self) -> u64 {
        self.usage.bytes()
    }

    /// Number of age entries, including stale ones.
    #[cfg(test)]
    pub(crate) fn age_entries(&self) -> usize {
        self.usage.age_entries()
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
        let id = claim_id(&claim.organisation, &claim.key);
        let (time, retention) = (self.time, self.retention());
        match self.records.get_mut(&id) {
            _ if claim.purpose() == Purpose::Renew => self.renew(index, id, claim),
            Some(record) => record.reply_to(claim, token, time, retention),
            None => self.grant(index, id, claim, token),
        }
    }

    fn grant(&mut self, index: u64, id: ClaimId, claim: &Claim, token: ClaimToken) -> Reply {
        let organisation = OrganisationId::from(claim.organisation.as_str());
        if !self.make_space(&organisation) {
            let retry_after_ms = self.retry_after_ms(&organisation);
            return Reply::Full(Full { retry_after_ms });
        }
        let pending = Pending {
            token,
            dispatch_ms: claim.dispatch_ms,
            ttl_ms: claim.ttl_ms.min(self.max_ttl_ms()),
            reported_unknown: false,
        };
        let record = Record {
            organisation: self.usage.intern(organisation),
            digest: digest_prefix(&claim.digest),
            index,
            since: UNAGED,
            state: State::Pending(Box::new(pending)),
        };
        self.insert(id, record);
        Reply::Granted(Granted { token: Some(token) })
    }

    /// Restarts the dispatch window of a claim, as a request may wait for a path
    /// for longer than the window. A proposal that is applied twice only extends
    /// the window beyond the holder's lease.
    fn renew(&mut self, index: u64, id: ClaimId, claim: &Claim) -> Reply {
        let ttl_ms = claim.ttl_ms.min(self.max_ttl_ms());
        let record = self.records.get_mut(&id);
        let Some(record) = record.filter(|record| record.held_by(claim.token)) else {
            return Reply::Stale(());
        };
        let token = claim.token;
        match &mut record.state {
            State::Pending(held) if !held.reported_unknown => held.ttl_ms = ttl_ms,
            _ => return Reply::Stale(()),
        }
        record.index = index;
        record.since = UNAGED;
        self.unaged.push((index, id));
        let organisation = record.organisation.clone();
        self.compact(&organisation);
        Reply::Granted(Granted { token })
    }

    pub(super) fn insert(&mut self, id: ClaimId, record: Record) {
        let entry = (record.index, id);
        let organisation = &record.organisation;
        self.usage.add(&self.bounds, organisation, record.size());
        if record.since == UNAGED {
            self.unaged.push(entry);
        } else if let Some(tenant) = self.usage.tenant(organisation) {
            tenant.by_age.push_back(entry);
        }
        self.records.insert(id, record);
    }

    /// Discards old claims of `organisation` until there is space for a new one.
    ///
    /// A claim younger than the retention is never discarded, as its request could
    /// run a second time; if this leaves no space, the new claim is refused. A
    /// claim of another organisation is never discarded for the new one.
    fn make_space(&mut self, organisation: &OrganisationId) -> bool {
        while !self.usage.fits(&self.bounds, organisation, RECORD_LEN) {
            if !self.discard_oldest(organisation, self.retention()) {
                return false;
            }
        }
        true
    }

    fn settle(&mut self, settle: Settle) -> Reply {
        let id = claim_id(&settle.organisation, &settle.key);
        let Some(record) = self.records.get(&id).filter(|r| r.held_by(settle.token)) else {
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

    /// The state of an answered claim, without the answer if there is no space.
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

    fn replace(&mut self, id: ClaimId, state: State) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let before = record.size();
        record.state = state;
        let after = record.size();
        self.usage
            .resize(&self.bounds, &record.organisation, before, after);
    }

    fn release(&mut self, release: &Release) -> Reply {
        let id = claim_id(&release.organisation, &release.key);
        let Some(record) = self.records.get(&id).filter(|r| r.held_by(release.token)) else {
            return Reply::Stale(());
        };
        // A caller may rely on having been told that the request never runs again.
        if matches!(&record.state, State::Pending(pending) if pending.reported_unknown) {
            self.replace(id, State::NotRun);
        } else {
            self.remove(id);
        }
        Reply::Done(())
    }

    fn remove(&mut self, id: ClaimId) {
        let Some(record) = self.records.remove(&id) else {
            return;
        };
        let organisation = &record.organisation;
        self.usage.remove(&self.bounds, organisation, record.size());
        self.compact(organisation);
    }

    fn compact(&mut self, organisation: &OrganisationId) {
        let records = &self.records;
        let live = |entry: &AgeEntry| is_live(records, *entry);
        self.usage.compact(organisation, live);
    }

    fn expire(&mut self, index: u64, expire: Expire) -> Reply {
        if expire.after == self.last_expire {
            self.last_expire = index;
            self.time += expire.elapsed.min(MAX_STEP_MS);
            self.start_aging();
            self.discard_expired();
        }
        Reply::Ticked(Ticked {
            index: self.last_expire,
        })
    }

    /// Starts the age of the claims made since the last `Expire`.
    ///
    /// Every later `Expire` measures a duration that began after the claim was
    /// applied, so a claim is never younger than its counted age.
    fn start_aging(&mut self) {
        for (index, id) in mem::take(&mut self.unaged) {
            let record = self.records.get_mut(&id).filter(|r| r.index == index);
            let Some(record) = record else { continue };
            record.since = self.time;
            if let Some(tenant) = self.usage.tenant(&record.organisation) {
                tenant.by_age.push_back((index, id));
            }
        }
    }

    fn discard_expired(&mut self) {
        let max_retention = millis(self.bounds.max_retention).max(self.retention());
        for organisation in self.usage.organisations() {
            while self.discard_oldest(&organisation, max_retention) {}
        }
    }

    /// Removes the oldest age entry of `organisation`, with its claim if that is at
    /// least `min_age` milliseconds old. Returns whether an entry was removed.
    fn discard_oldest(&mut self, organisation: &OrganisationId, min_age: u64) -> bool {
        let Some(entry) = self.oldest(organisation) else {
            return false;
        };
        let live = is_live(&self.records, entry);
        if live && self.age(entry.1) < min_age {
            return false;
        }
        if let Some(tenant) = self.usage.tenant(organisation) {
            tenant.by_age.pop_front();
        }
        if live {
            self.remove(entry.1);
        }
        true
    }

    fn oldest(&mut self, organisation: &OrganisationId) -> Option<AgeEntry> {
        self.usage.tenant(organisation)?.by_age.front().copied()
    }

    fn age(&self, id: ClaimId) -> u64 {
        self.records.get(&id).map_or(0, |r| r.age(self.time))
    }

    fn retention(&self) -> u64 {
        millis(self.bounds.retention)
    }

    /// Longest time for which an outcome is awaited; half the retention.
    fn max_ttl_ms(&self) -> u32 {
        u32::try_from(self.retention() / 2).unwrap_or(u32::MAX)
    }

    /// Milliseconds until the organisation's oldest claim can be discarded.
    fn retry_after_ms(&mut self, organisation: &OrganisationId) -> u64 {
        match self.oldest(organisation) {
            Some((_, id)) => self.retention().saturating_sub(self.age(id)),
            None => FULL_RETRY_AFTER_MS,
        }
    }
}

fn is_live(records: &HashMap<ClaimId, Record>, (index, id): AgeEntry) -> bool {
    records.get(&id).is_some_and(|record| record.index == index)
}
