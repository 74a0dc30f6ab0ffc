//! Sums of the demand by rank in reports.

use crate::collections::HashMap;
use crate::decide::admission::RankCounts;
use crate::sync::RankDemand;

/// Demand by rank, by service. It has no entries for services without demand.
#[derive(Clone, Default)]
pub(super) struct RankSums(HashMap<String, RankCounts>);

impl RankSums {
    pub(super) fn new(demand: &[RankDemand]) -> Self {
        let mut sums = Self::default();
        for demand in demand {
            let sum = sums.0.entry(demand.service.clone()).or_default();
            sum.add(&RankCounts::from(demand));
        }
        sums
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (service, counts) in &other.0 {
            self.0.entry(service.clone()).or_default().add(counts);
        }
    }

    pub(super) fn subtract(&mut self, other: &Self) {
        for (service, counts) in &other.0 {
            if let Some(sum) = self.0.get_mut(service) {
                sum.subtract(counts);
            }
        }
        self.0.retain(|_, counts| !counts.is_empty());
    }

    pub(super) fn encode(&self) -> Vec<RankDemand> {
        let sums = self.0.iter();
        sums.map(|(service, counts)| counts.demand(service))
            .collect()
    }
}
