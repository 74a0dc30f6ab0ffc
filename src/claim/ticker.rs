//! Drives the register's time.

use std::time::Duration;

use crate::claim::{Action, Expire, Ticked};
use crate::clock::Time;

/// Index that no `Expire` has: a proposer that has seen none asks with it.
const UNSEEN: u64 = u64::MAX;

/// Proposes [`Expire`] in turn. Any number of instances may run one: the
/// register applies only the first proposal after each of its own.
///
/// Clocks of two instances can't be compared and a new leader's clock may be
/// hours ahead, so a command carries no point in time. It carries the time that
/// its proposer measured since it saw the last `Expire` applied. Hence the
/// register's time never runs faster than a real clock, whoever proposes and
/// however late a proposal arrives; between leaders it stands still.
#[derive(Debug)]
pub(crate) struct Ticker {
    interval: Duration,
    /// The last `Expire` seen applied, and when it was seen first.
    seen: Option<(u64, Time)>,
    /// When to propose next.
    next: Time,
}

impl Ticker {
    /// A ticker that proposes every `interval`.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            interval,
            seen: None,
            next: Time::default(),
        }
    }

    /// The command to propose at `now`, if one is due.
    pub(crate) fn poll(&mut self, now: Time) -> Option<Action> {
        if now < self.next {
            return None;
        }
        self.next = now + self.interval;
        let (after, at) = self.seen.unwrap_or((UNSEEN, now));
        let elapsed = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(Action::Expire(Expire { after, elapsed }))
    }

    /// Takes the reply to a proposal, received at `now`.
    pub(crate) fn on_reply(&mut self, now: Time, ticked: Ticked) {
        if self.seen.is_none_or(|(index, _)| ticked.index > index) {
            self.seen = Some((ticked.index, now));
        }
    }
}
