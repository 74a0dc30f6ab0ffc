//! Counts requests by organisation, at services that rank requests.

use std::sync::Arc;

use super::Entry;
use super::attempt::Run;
use crate::decide::fair_share;
use crate::decide::rank::Rank;

/// Tokens of an attempt in progress, counted until it is dropped.
pub(super) struct TokenUse {
    entry: Arc<Entry>,
    service: String,
    rank: Rank,
    organisation: Arc<str>,
    tokens: u32,
}

impl Drop for TokenUse {
    fn drop(&mut self) {
        let shares = &mut self.entry.shared().fair_shares;
        shares.record_ended(&self.service, self.rank, &self.organisation, self.tokens);
    }
}

impl Run {
    /// Counts the tokens of an attempt, if the request has a rank.
    pub(super) fn token_use(&self) -> Option<TokenUse> {
        let call = &self.call;
        let rank = call.rank?;
        let tokens = call.work.tokens().round() as u32;
        let shares = &mut self.entry.shared().fair_shares;
        shares.record_began(&call.service, rank, &call.organisation, tokens);
        Some(TokenUse {
            entry: Arc::clone(&self.entry),
            service: call.service.clone(),
            rank,
            organisation: Arc::clone(&call.organisation),
            tokens,
        })
    }

    /// Counts that the request asked for room, and whether it was short, at its first attempt.
    /// Requests without a rank and those that have begun aren't counted.
    pub(super) fn count_asked(&mut self, short: bool) {
        let counted = std::mem::replace(&mut self.share_counted, true);
        let Some(rank) = self.call.rank.filter(|_| !counted && !self.has_begun()) else {
            return;
        };
        let (service, organisation) = (&self.call.service, &self.call.organisation);
        let shares = &mut self.entry.shared().fair_shares;
        shares.record_asked(service, rank, organisation);
        if short {
            shares.record_short(service, rank, organisation);
        }
    }

    /// Fraction of an engine's memory that a new request leaves free if its organisation is heavy.
    /// `of_rank` and `of_next` are the reserves of its rank and of the next lower one.
    pub(super) fn share_reserve(&self, of_rank: f64, of_next: Option<f64>) -> f64 {
        let call = &self.call;
        let Some(rank) = call.rank else { return 0.0 };
        let now = self.entry.now();
        let shares = &self.entry.shared().fair_shares;
        let reserve = shares.reserve(now, &call.service, rank, &call.organisation);
        fair_share::bound(reserve, of_rank, of_next)
    }
}
