//! Advances the register's clock.

use std::time::Duration;

use crate::claim::{Action, Expire, Ticked};
use crate::clock::Time;

/// Stands for the index of the last `Expire` in a proposer that has seen none; no
/// command has it.
const NONE_SEEN: u64 = u64::MAX;

/// Proposes [`Expire`] periodically.
///
/// A command carries no timestamp, since clocks of two instances can't be
/// compared and a new leader's clock may be hours ahead. It carries the time that
/// its proposer measured since it saw the last `Expire` applied. The register's
/// time therefore never runs faster than a real clock, whichever instance
/// proposes and however late a proposal arrives. Without a leader, it stands
/// still.
///
/// Any number of instances may run a ticker, since the register applies only the
/// first of the proposals that follow the same `Expire`.
#[derive(Debug)]
pub(crate) struct Ticker {
    interval: Duration,
    /// Index of the last `Expire` seen applied, and when it was first seen.
    seen: Option<(u64, Time)>,
    /// Time of the next proposal.
    next: Time,
}

impl Ticker {
    /// Creates a ticker that proposes every `interval`.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            seen: None,
            next: Time::default(),
        }
    }

    /// Returns the command to propose at `now`, if one is due.
    pub(crate) fn poll(&mut self, now: Time) -> Option<Action> {
        if now < self.next {
            return None;
        }
        self.next = now + self.interval;
        let (after, at) = self.seen.unwrap_or((NONE_SEEN, now));
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(Action::Expire(Expire { after, elapsed }))
    }

    /// Handles the reply to a proposal, received at `now`.
    pub(crate) fn on_reply(&mut self, now: Time, ticked: Ticked) {
        if self.seen.is_none_or(|(index, _)| ticked.index > index) {
            self.seen = Some((ticked.index, now));
        }
    }
}
