//! Sums of the use that entry instances report by organisation, and the heavy organisations in
//! them.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::decide::fair_share::{Excess, Heavy, OrganisationUse, heavy};
use crate::decide::rank::Rank;
use crate::event;

/// Minimum time between two searches for heavy organisations. 300 instances poll four times a
/// second; a search for each answer would be repeated over the same sums.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an organisation that is heavy again is reported again. Near its share, an
/// organisation may be heavy in every other search.
const FORGET_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, PartialEq, Eq, Hash)]
struct Key {
    service: String,
    rank: Rank,
    organisation: String,
}

impl From<&OrganisationUse> for Key {
    fn from(used: &OrganisationUse) -> Self {
        Self {
            service: used.service.clone(),
            rank: used.rank,
            organisation: used.organisation.clone(),
        }
    }
}

impl From<&Heavy> for Key {
    fn from(heavy: &Heavy) -> Self {
        Self {
            service: heavy.service.clone(),
            rank: heavy.rank,
            organisation: heavy.organisation.clone(),
        }
    }
}

/// Sums of the latest reports.
#[derive(Default)]
struct Sum {
    /// Number of reports that it contains; at least one.
    reports: u32,
    tokens: u64,
    asked: u64,
    short: u64,
}

/// Sums of the latest reports of all instances, by service, rank and organisation.
#[derive(Default)]
pub(super) struct OrganisationSums {
    sums: HashMap<Key, Sum>,
    /// Result of the latest search.
    heavy: Vec<Heavy>,
    /// Time of the latest search.
    searched: Option<Time>,
    /// When each organisation was last found heavy, for [`FORGET_AFTER`].
    last_heavy: HashMap<Key, Time>,
    /// Organisations that became heavy since they were last taken.
    became_heavy: Vec<Excess>,
}

impl OrganisationSums {
    /// Adds a report.
    pub(super) fn add(&mut self, report: &[OrganisationUse]) {
        for used in report {
            let sum = self.sums.entry(Key::from(used)).or_default();
            sum.reports += 1;
            sum.tokens += u64::from(used.tokens);
            sum.asked += u64::from(used.asked);
            sum.short += u64::from(used.short);
        }
    }

    /// Subtracts a report that was added.
    pub(super) fn subtract(&mut self, report: &[OrganisationUse]) {
        for used in report {
            let key = Key::from(used);
            let Some(sum) = self.sums.get_mut(&key) else {
                continue;
            };
            sum.reports -= 1;
            sum.tokens -= u64::from(used.tokens);
            sum.asked -= u64::from(used.asked);
            sum.short -= u64::from(used.short);
            if sum.reports == 0 {
                self.sums.remove(&key);
            }
        }
    }

    /// Returns the heavy organisations as of at most [`SEARCH_INTERVAL`] ago.
    pub(super) fn heavy(&mut self, now: Time) -> &[Heavy] {
        let recent = |at: Time| now.since(at) < SEARCH_INTERVAL;
        if !self.searched.is_some_and(recent) {
            self.searched = Some(now);
            self.search(now);
        }
        &self.heavy
    }

    fn search(&mut self, now: Time) {
        self.last_heavy
            .retain(|_, at| now.since(*at) < FORGET_AFTER);
        self.heavy.clear();
        for excess in heavy(&self.uses()) {
            self.heavy.push(excess.heavy.clone());
            let key = Key::from(&excess.heavy);
            if self.last_heavy.insert(key, now).is_none() {
                self.became_heavy.push(excess);
            }
        }
    }

    fn uses(&self) -> Vec<OrganisationUse> {
        let count = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        let used = |(key, sum): (&Key, &Sum)| OrganisationUse {
            service: key.service.clone(),
            rank: key.rank,
            organisation: key.organisation.clone(),
            tokens: count(sum.tokens),
            asked: count(sum.asked),
            short: count(sum.short),
        };
        self.sums.iter().map(used).collect()
    }

    /// Takes the organisations that became heavy since the last call.
    pub(super) fn take_became_heavy(&mut self) -> Vec<Excess> {
        std::mem::take(&mut self.became_heavy)
    }
}

/// Logs the organisations that became heavy.
pub(super) fn log_heavy(became_heavy: &[Excess]) {
    for excess in became_heavy {
        tracing::info!(
            event = event::ORGANISATION_HEAVY.id,
            service = excess.heavy.service,
            rank = excess.heavy.rank.index(),
            organisation = excess.heavy.organisation,
            tokens = excess.tokens,
            fair = excess.fair.round(),
            short = excess.heavy.short,
            "organisation above its fair share"
        );
    }
}
