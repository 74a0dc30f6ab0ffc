//! The replicated register of claims.

use std::collections::VecDeque;
use std::time::Duration;

use crate::claim::message::{
    Action, Answered, Claim, Expire, Full, Granted, InProgress, Kept, MAX_KEPT, MAX_KEY, Outcome,
    Release, Reply, Settle, Ticked, Token,
};
use crate::claim::record::{DIGEST_LEN, Id, RECORD_LEN, Record, State, head, id};
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Most that one [`Expire`] moves the register's time, in milliseconds. After a
/// longer gap the time lags behind, which only keeps claims for longer.
const LONGEST_STEP: u64 = 2_000;

/// Bounds of a register. The same on every replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Time for which a claim is remembered.
    pub(crate) retention: Duration,
    /// Bytes of all claims beyond each organisation's floor.
    pub(crate) shared: u64,
    /// Bytes that every organisation may use, whatever the others use.
    pub(crate) floor: u64,
    /// Bytes that one organisation may use.
    pub(crate) share: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(3600),
            shared: 16 << 20,
            floor: 8 << 10,
            share: 8 << 20,
        }
    }
}

/// The register of claims.
///
/// It has no clock: its time is the sum of what [`Expire`] commands report.
/// A claim's age counts from the first `Expire` after the claim, since every
/// later one measures a time that began after the claim was applied.
///
/// Nothing is evicted: a claim leaves when its retention ends or its holder
/// releases it. When an organisation's share is used up, its new claims are
/// refused; a forgotten young claim would let a letter go out twice.
#[derive(Debug)]
pub(crate) struct Claims {
    pub(super) bounds: Bounds,
    /// Milliseconds. Only grows.
    pub(super) time: u64,
    /// Log index of the last `Expire` applied.
    pub(super) tick: u64,
    pub(super) records: HashMap<Id, Record>,
    /// Claims in order of their index. An entry without a record of that index
    /// was released.
    pub(super) order: VecDeque<(u64, Id)>,
    /// Entries at the end of `order` that have no age yet.
    pub(super) fresh: usize,
    /// Bytes in use by organisation. Never zero.
    usage: HashMap<OrganisationId, u64>,
    /// Sum over organisations of what they use beyond the floor, in bytes.
    beyond: u64,
}

impl Claims {
    /// An empty register.
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            time: 0,
            tick: 0,
            records: HashMap::default(),
            order: VecDeque::new(),
            fresh: 0,
            usage: HashMap::default(),
            beyond: 0,
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
        self.usage.values().sum()
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
            Some(record) => found(record, claim, token, time, retention),
            None => self.grant(index, id, claim, token),
        }
    }

    fn grant(&mut self, index: u64, id: Id, claim: &Claim, token: Token) -> Reply {
        let organisation = OrganisationId::from(claim.organisation.as_str());
        if !self.fits(&organisation, RECORD_LEN) {
            let pause = self.pause();
            return Reply::Full(Full { pause });
        }
        let record = Record {
            organisation: self.name(organisation),
            digest: head(&claim.digest),
            token,
            index,
            since: None,
            start: claim.start,
            ttl: claim.ttl.min(self.longest()),
            told: false,
            state: State::Pending,
        };
        self.charge(&record.organisation.clone(), 0, RECORD_LEN);
        self.records.insert(id, record);
        self.order.push_back((index, id));
        self.fresh += 1;
        Reply::Granted(Granted { token: Some(token) })
    }

    fn settle(&mut self, settle: Settle) -> Reply {
        let id = id(&settle.organisation, &settle.key);
        let Some(record) = self.records.get(&id) else {
            return Reply::Stale(());
        };
        if settle.token != Some(record.token) {
            return Reply::Stale(());
        }
        if record.state != State::Pending {
            return Reply::Done(());
        }
        let state = match settle.outcome {
            Some(Outcome::Kept(kept)) => self.keep(record, kept),
            Some(Outcome::NotKept(())) => State::NotKept,
            Some(Outcome::Unrun(())) => State::Unrun,
            Some(Outcome::Unknown(())) | None => State::Unknown,
        };
        self.replace(id, state);
        Reply::Done(())
    }

    /// The answer, or only the fact that there was one if there is no room.
    fn keep(&self, record: &Record, kept: Kept) -> State {
        let len = kept.body.len() + kept.kind.len();
        if len <= MAX_KEPT && self.fits(&record.organisation, len as u64) {
            State::Kept(Box::new(kept))
        } else {
            State::NotKept
        }
    }

    fn replace(&mut self, id: Id, state: State) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        let before = record.cost();
        record.state = state;
        let after = record.cost();
        let organisation = record.organisation.clone();
        self.charge(&organisation, before, after);
    }

    fn release(&mut self, release: &Release) -> Reply {
        let id = id(&release.organisation, &release.key);
        let Some(record) = self.records.get(&id) else {
            return Reply::Stale(());
        };
        if release.token != Some(record.token) || record.state != State::Pending {
            return Reply::Stale(());
        }
        // Someone may have acted on "unknown, never run again": it stays true.
        if record.told {
            self.replace(id, State::Unrun);
        } else {
            self.remove(id);
        }
        Reply::Done(())
    }

    fn remove(&mut self, id: Id) {
        if let Some(record) = self.records.remove(&id) {
            self.charge(&record.organisation, record.cost(), 0);
        }
    }

    fn expire(&mut self, index: u64, expire: Expire) -> Reply {
        if expire.after == self.tick {
            self.tick = index;
            self.time += expire.elapsed.min(LONGEST_STEP);
            self.settle_ages();
            self.forget();
        }
        Reply::Ticked(Ticked { index: self.tick })
    }

    /// Lets the claims since the last `Expire` begin to age.
    fn settle_ages(&mut self) {
        let aged = self.order.len() - self.fresh;
        for (index, id) in self.order.iter().skip(aged) {
            if let Some(record) = self.records.get_mut(id)
                && record.index == *index
            {
                record.since = Some(self.time);
            }
        }
        self.fresh = 0;
    }

    fn forget(&mut self) {
        while let Some((index, id)) = self.order.front().copied() {
            match self.live(index, id) {
                Some(record) if !self.ended(record) => return,
                Some(_) => self.remove(id),
                None => {}
            }
            self.order.pop_front();
        }
    }

    pub(super) fn live(&self, index: u64, id: Id) -> Option<&Record> {
        self.records.get(&id).filter(|record| record.index == index)
    }

    fn ended(&self, record: &Record) -> bool {
        record.since.is_some() && record.age(self.time) >= self.retention()
    }

    fn retention(&self) -> u64 {
        u64::try_from(self.bounds.retention.as_millis()).unwrap_or(u64::MAX)
    }

    /// Longest time that an outcome is awaited: within the retention.
    fn longest(&self) -> u32 {
        u32::try_from(self.retention() / 2).unwrap_or(u32::MAX)
    }

    /// Milliseconds until the oldest claim is forgotten.
    fn pause(&self) -> u64 {
        let oldest = self.order.iter().find_map(|(i, id)| self.live(*i, *id));
        let age = oldest.map_or(0, |record| record.age(self.time));
        self.retention().saturating_sub(age)
    }

    /// Whether `organisation` may use `more` bytes.
    fn fits(&self, organisation: &OrganisationId, more: u64) -> bool {
        let used = self.usage.get(organisation).copied().unwrap_or(0);
        let after = used + more;
        let extra = self.over(after) - self.over(used);
        after <= self.bounds.share && (extra == 0 || self.beyond + extra <= self.bounds.shared)
    }

    fn over(&self, used: u64) -> u64 {
        used.saturating_sub(self.bounds.floor)
    }

    pub(super) fn charge(&mut self, organisation: &OrganisationId, before: u64, after: u64) {
        let used = self.usage.get(organisation).copied().unwrap_or(0);
        let next = used + after - before;
        self.beyond = self.beyond + self.over(next) - self.over(used);
        if next == 0 {
            self.usage.remove(organisation);
        } else {
            self.usage.insert(organisation.clone(), next);
        }
    }

    /// The stored copy of the name, so that records share it.
    pub(super) fn name(&self, organisation: OrganisationId) -> OrganisationId {
        self.usage
            .get_key_value(&organisation)
            .map_or(organisation, |(name, _)| name.clone())
    }
}

/// Replies to a claim of a key that is in use.
fn found(record: &mut Record, claim: &Claim, token: Token, time: u64, retention: u64) -> Reply {
    // What is said of a claim that is about to be forgotten must stay true
    // until the caller reads it, although the key may be free and run by then.
    let age = record.age(time);
    let ending = age + u64::from(claim.start) + LONGEST_STEP >= retention;
    if record.digest != head(&claim.digest) {
        return if ending {
            Reply::Unknown(())
        } else {
            Reply::Mismatch(())
        };
    }
    match &record.state {
        State::Kept(kept) => {
            let kept = Some(Kept::clone(kept));
            Reply::Answered(Answered { kept })
        }
        State::NotKept => Reply::Answered(Answered { kept: None }),
        State::Unknown => Reply::Unknown(()),
        State::Unrun if ending => Reply::Unknown(()),
        State::Unrun => Reply::Unrun(()),
        // The proposal arrived twice; the holder still dispatches once.
        State::Pending if record.token == token => Reply::Granted(Granted { token: Some(token) }),
        State::Pending => pending(record, token, time),
    }
}

fn pending(record: &mut Record, token: Token, time: u64) -> Reply {
    let age = record.age(time);
    // A holder that started again has lost what it ran.
    let restarted =
        record.token.holder == token.holder && record.token.incarnation < token.incarnation;
    let starting = age < u64::from(record.start) && !restarted;
    record.told |= !starting;
    if restarted || age >= u64::from(record.ttl) {
        return Reply::Unknown(());
    }
    Reply::InProgress(InProgress {
        holder: Some(record.token),
        age,
        starting,
    })
}
