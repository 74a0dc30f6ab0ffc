//! One engine as this instance knows it.

use std::time::Duration;

use super::health::Health;
use super::types::Stage;
use crate::clock::Time;

/// Bits that one token carries over a link between two engines: a vector of
/// 8192 numbers of 16 bits.
const TOKEN_BITS: f64 = 131_072.0;

/// Time constant with which a load report loses its worth, in seconds.
const REPORT_WORTH: f64 = 1.0;

/// How much of its slots an engine may be thought to have in use before it is
/// passed over. Above 1, because reports lag: an engine that waits for the
/// report of its free slots would idle.
const FILL: f64 = 1.25;

/// Seconds between two tokens of a sequence that an engine may come to: it is
/// full with as many sequences as it can give a token each in this time. More
/// would slow all down and could wait here instead, in fair order.
const PACE: f64 = 0.08;

/// Time that a refusal counts as a full engine.
const REFUSED: Duration = Duration::from_millis(200);

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) stage: Stage,
    /// Grows when the place is taken by another engine.
    pub(crate) epoch: u32,
    /// Whether it is in the present view.
    pub(crate) present: bool,
    /// Requests of this instance in flight.
    pub(crate) own: u32,
    /// Load of other instances at the time of the report.
    pub(crate) others: f64,
    /// Load of other instances to expect when the report is worth nothing.
    pub(crate) usual: f64,
    /// Index of its peers.
    pub(crate) peers: usize,
    pub(crate) health: Health,
    pub(crate) refused: Option<Time>,
    /// Sequences that this instance may start before the next report, when
    /// all instances have work waiting. Grows as own sequences end.
    claims: f64,
}

impl Engine {
    /// An engine of the present view of which nothing else is known.
    pub(crate) fn new(stage: Stage, epoch: u32) -> Self {
        let others = f64::from(stage.running) + f64::from(stage.waiting);
        Self {
            stage,
            epoch,
            present: true,
            own: 0,
            others,
            usual: others,
            peers: 0,
            health: Health::default(),
            refused: None,
            claims: 0.0,
        }
    }

    /// Takes over what it announced last. Returns whether its capacity or
    /// state changed.
    pub(crate) fn take(&mut self, now: Time, stage: &Stage) -> bool {
        let same = same_capacity(&self.stage, stage);
        if self.stage.reported != stage.reported {
            let total = f64::from(stage.running) + f64::from(stage.waiting);
            self.others = (total - f64::from(self.own)).max(0.0);
        }
        if self.refused.is_some() && !self.is_refusing(now) {
            self.refused = None;
        }
        self.present = true;
        self.stage.clone_from(stage);
        !same
    }

    /// Books that a request of this instance was sent here.
    pub(crate) fn start(&mut self) {
        self.own += 1;
        self.claims -= 1.0;
    }

    /// Gives the weight of a request back.
    pub(crate) fn stop(&mut self) {
        assert!(self.own > 0, "weight of {} came back twice", self.stage.id);
        self.own -= 1;
        self.claims += 1.0;
    }

    /// Tokens a second that engine and link allow. An engine that holds the
    /// whole model sends no vectors over its link.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.stage.rate).min(self.link_rate())
    }

    fn link_rate(&self) -> f64 {
        let stage = &self.stage;
        if stage.first == 0 && stage.end == stage.total {
            return f64::INFINITY;
        }
        f64::from(stage.link) * 1e6 / TOKEN_BITS
    }

    /// Whether it may take new work at all.
    pub(crate) fn is_up(&self) -> bool {
        self.present && !self.stage.leaving
    }

    /// Sequences that are on the engine by all that is known: own ones, and
    /// those of others, who fade from the last report to the usual load.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let worth = self.report_worth(now);
        f64::from(self.own) + self.usual + (self.others - self.usual) * worth
    }

    /// How far [`load`](Self::load) is known: own sequences are, others as far
    /// as the report is fresh.
    pub(crate) fn knowledge(&self, now: Time) -> f64 {
        let own = f64::from(self.own) + 1.0;
        (own + self.others * self.report_worth(now)) / (own + self.others)
    }

    fn report_worth(&self, now: Time) -> f64 {
        let age = now.since(self.stage.reported).as_secs_f64();
        (-age / REPORT_WORTH).exp()
    }

    /// Whether another sequence would only wait.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.is_refusing(now) || self.load(now) + 1.0 > self.most()
    }

    /// Whether this instance used up its part of the places that were free at
    /// the last report.
    ///
    /// Guards against the stampede of many instances with work waiting: all
    /// see the same few free places in the same late reports and take them at
    /// once, which shows as throughput far below the bound under overload.
    /// Since each takes its part only, they don't take more than there is.
    pub(crate) fn is_claimed(&self, now: Time) -> bool {
        self.is_refusing(now) || self.claims <= 0.0
    }

    fn is_refusing(&self, now: Time) -> bool {
        self.refused.is_some_and(|at| now.since(at) < REFUSED)
    }

    /// Sequences that the engine should have at most. A plain service, which
    /// routing knows as a model of one layer, has no pace of tokens.
    pub(crate) fn most(&self) -> f64 {
        let slots = f64::from(self.stage.slots) * FILL;
        if self.stage.total <= 1 {
            return slots;
        }
        slots.min(self.capacity() * PACE).max(1.0)
    }

    /// Counts the places free at a new report. `instances` share them; `chance`
    /// between 0 and 1 decides whether a fraction is a place.
    pub(crate) fn claim(&mut self, instances: f64, chance: f64) {
        let load = f64::from(self.stage.running) + f64::from(self.stage.waiting);
        let part = (self.most() - load).max(0.0) / instances;
        let idle = if load < 1.0 { 1.0 } else { 0.0 };
        self.claims = (part + chance).floor().max(idle);
    }

    /// Requests of this instance in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Seconds a token is expected to take here with one more sequence.
    pub(crate) fn token_time(&self, now: Time) -> f64 {
        let queue = (self.load(now) + 1.0) / self.capacity().max(1.0);
        let link = 1.0 / self.link_rate();
        queue * self.health.slowness() + link
    }
}

/// Whether nothing changed but the load.
fn same_capacity(a: &Stage, b: &Stage) -> bool {
    let numbers = |s: &Stage| (s.first, s.end, s.total, s.rate, s.slots, s.link, s.leaving);
    numbers(a) == numbers(b)
        && a.model == b.model
        && a.version == b.version
        && a.pool == b.pool
        && a.domain == b.domain
}
