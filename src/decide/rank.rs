//! Ranks of the requests to one service, by the priorities in the configuration.
//!
//! Load pattern: routes to one model service differ in urgency, and there is room for only some of
//! their requests. Without ranks, the routes with the longest latency objective win, since their
//! requests can wait longest.

use std::collections::BTreeSet;

/// Number of ranks; engines distinguish as many priority classes.
pub(crate) const RANKS: usize = 10;

/// Priority of a route or an organisation that states none, as engines assume it.
const DEFAULT_PRIORITY: u8 = 5;

/// Urgency of a request among those to its service. The lowest is the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Rank(
    /// Below [`RANKS`].
    u8,
);

impl Rank {
    /// Returns the rank with this index, or the last one if there are fewer.
    pub(crate) fn new(index: usize) -> Self {
        Self(index.min(RANKS - 1) as u8)
    }

    /// Position among the ranks; 0 is the most urgent.
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Priority of a request: of its organisation, then of its route.
type Priority = (u8, u8);

fn priority(organisation: Option<u8>, route: Option<u8>) -> Priority {
    (
        organisation.unwrap_or(DEFAULT_PRIORITY),
        route.unwrap_or(DEFAULT_PRIORITY),
    )
}

/// Ranks of the requests to one service whose routes differ in priority.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RankTable {
    /// All priorities that a request can have, ascending.
    priorities: Vec<Priority>,
}

impl RankTable {
    /// Builds the table from the priorities of the organisations and of the routes to the service.
    /// Returns `None` if the routes don't state two different priorities: then no request goes
    /// before another.
    pub(crate) fn new(
        organisations: &BTreeSet<Option<u8>>,
        routes: &BTreeSet<Option<u8>>,
    ) -> Option<Self> {
        if routes.iter().flatten().count() < 2 {
            return None;
        }
        let pair = |o: &Option<u8>| routes.iter().map(|r| priority(*o, *r)).collect::<Vec<_>>();
        let priorities: BTreeSet<Priority> = organisations.iter().flat_map(pair).collect();
        Some(Self {
            priorities: priorities.into_iter().collect(),
        })
    }

    /// Returns the rank of a request by the priorities of its organisation and its route.
    pub(crate) fn rank(&self, organisation: Option<u8>, route: Option<u8>) -> Rank {
        let priority = priority(organisation, route);
        Rank::new(self.priorities.partition_point(|p| *p < priority))
    }
}
