//! Requests with a rank: what they leave to more urgent ones, and how they are counted.

use std::time::Duration;

use super::attempt::Run;
use super::measure;
use super::select::Selection;
use crate::decide::rank::Rank;
use crate::decide::refusal::Reason;

impl Run {
    /// Like [`Run::choose`], for a request that hasn't waited: it doesn't go before a more urgent one
    /// that waits here.
    pub(super) fn choose_at_once(&self) -> Result<Selection, Reason> {
        let (waiters, service) = (&self.entry.waiters, &self.call.service);
        let rank = self.competing_rank();
        match rank.is_some_and(|r| waiters.has_more_urgent(service, r)) {
            true => Err(Reason::Full),
            false => self.choose(0.0),
        }
    }

    /// Fraction of an engine's memory for requests that must stay free for more urgent requests, in
    /// addition to the usual headroom.
    pub(super) fn reserve(&self) -> f64 {
        let now = self.entry.now();
        let admission = &self.entry.shared().admission;
        let rank = self.call.rank;
        rank.map_or(0.0, |r| admission.reserve(now, &self.call.service, r))
    }

    /// Time since the leader's sums that [`Run::reserve`] is derived from were received.
    pub(super) fn reserve_age(&self) -> Option<Duration> {
        let now = self.entry.now();
        let admission = &self.entry.shared().admission;
        self.call.rank?;
        admission.age(now, &self.call.service)
    }

    /// Rank of a request that competes with others for room; `None` if it has begun.
    fn competing_rank(&self) -> Option<Rank> {
        self.model()?;
        self.call.rank.filter(|_| !self.has_begun())
    }

    /// Counts a request that asks for room for the first time, and whether it found none.
    pub(super) fn record_asked(&self, is_short: bool) {
        let Some(rank) = self.competing_rank() else {
            return;
        };
        let service = &self.call.service;
        let admission = &mut self.entry.shared().admission;
        admission.record_asked(service, rank);
        if is_short {
            admission.record_short(service, rank);
        }
    }

    /// Counts the result of a search for room, and in the metrics that of the `first` one.
    pub(super) fn record_search(&self, first: bool, is_short: bool, full: bool) {
        let Some(rank) = self.competing_rank() else {
            return;
        };
        if full {
            let admission = &mut self.entry.shared().admission;
            admission.record_refused(&self.call.service, rank);
        }
        if first {
            measure::count_ranked(rank, is_short, full);
        }
    }

    /// Recent fraction of requests that found no room: of the same rank, if there are ranks.
    pub(super) fn refused_fraction(&self) -> f64 {
        let now = self.entry.now();
        let shared = self.entry.shared();
        let ranked = self.call.rank;
        let ranked = ranked.and_then(|r| shared.admission.refused(now, &self.call.service, r));
        ranked.unwrap_or_else(|| shared.refusals.overall())
    }
}
