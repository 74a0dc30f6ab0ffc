//! Counts the tokens in progress by organisation, at services that rank requests.

use std::sync::Arc;

use super::Entry;
use super::attempt::Run;
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
}
