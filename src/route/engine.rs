//! State of one engine as known to this instance.

use std::time::Duration;

use super::health::Health;
use super::types::Stage;
use crate::clock::Time;

/// Bits per token on the link between two engines: a vector of 8192 numbers of
/// 16 bits.
const TOKEN_BITS: f64 = 131_072.0;

/// Time constant with which the confidence in a load report decays, in seconds.
const REPORT_DECAY: f64 = 1.0;

/// Ratio of estimated load to slots up to which an engine is used. It is above
/// 1 because reports lag: an engine with free slots would idle until the next
/// report.
const MAX_FILL: f64 = 1.25;

/// Maximum seconds between two tokens of a sequence: an engine is full with as
/// many sequences as it can generate one token each for in this time. More
/// would slow down all of them; they wait on this instance instead, in fair
/// order.
const MAX_TOKEN_SECONDS: f64 = 0.08;

/// Time for which an engine counts as full after it refused a request.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) stage: Stage,
    /// Increases when another engine takes this slab entry.
    pub(crate) epoch: u32,
    /// Whether the engine is in the present view.
    pub(crate) present: bool,
    /// Requests of this instance in flight.
    pub(crate) own: u32,
    /// Load by other instances at the time of the report.
    pub(crate) others: f64,
    /// Load by other instances to expect once the report is outdated.
    pub(crate) expected_others: f64,
    /// Index of its group of peers.
    pub(crate) peers: usize,
    pub(crate) health: Health,
    pub(crate) refused_at: Option<Time>,
    /// Sequences that this instance may start before the next report while all
    /// instances have work waiting. Increases as own sequences end.
    quota: f64,
}

impl Engine {
    /// Creates the state of a new engine in the present view.
    pub(crate) fn new(stage: Stage, epoch: u32) -> Self {
        let others = f64::from(stage.running) + f64::from(stage.waiting);
        Self {
            stage,
            epoch,
            present: true,
            own: 0,
            others,
            expected_others: others,
            peers: 0,
            health: Health::default(),
            refused_at: None,
            quota: 0.0,
        }
    }

    /// Applies its latest announcement. Returns whether its capacity or state
    /// changed.
    pub(crate) fn update(&mut self, now: Time, stage: &Stage) -> bool {
        let same = same_capacity(&self.stage, stage);
        if self.stage.reported != stage.reported {
            let total = f64::from(stage.running) + f64::from(stage.waiting);
            self.others = (total - f64::from(self.own)).max(0.0);
        }
        if self.refused_at.is_some() && !self.is_refusing(now) {
            self.refused_at = None;
        }
        self.present = true;
        self.stage.clone_from(stage);
        !same
    }

    /// Counts a request of this instance that was sent to the engine.
    pub(crate) fn start(&mut self) {
        self.own += 1;
        self.quota -= 1.0;
    }

    /// Removes a request of this instance from the count.
    pub(crate) fn stop(&mut self) {
        assert!(self.own > 0, "request on {} released twice", self.stage.id);
        self.own -= 1;
        self.quota += 1.0;
    }

    /// Tokens per second that engine and link allow. An engine that holds the
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

    /// Whether the engine accepts new work at all.
    pub(crate) fn is_up(&self) -> bool {
        self.present && !self.stage.leaving
    }

    /// Estimated number of sequences on the engine: own ones, and those of
    /// other instances, which decay from the reported to the expected number.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let confidence = self.report_confidence(now);
        f64::from(self.own)
            + self.expected_others
            + (self.others - self.expected_others) * confidence
    }

    /// Confidence in [`load`](Self::load), from 0 to 1: own sequences are
    /// known, those of others as far as the report is recent.
    pub(crate) fn load_confidence(&self, now: Time) -> f64 {
        let own = f64::from(self.own) + 1.0;
        (own + self.others * self.report_confidence(now)) / (own + self.others)
    }

    fn report_confidence(&self, now: Time) -> f64 {
        let age = now.since(self.stage.reported).as_secs_f64();
        (-age / REPORT_DECAY).exp()
    }

    /// Whether another sequence would have to wait.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.is_refusing(now) || self.load(now) + 1.0 > self.max_load()
    }

    /// Whether this instance used up its part of the slots that were free at
    /// the last report.
    ///
    /// Prevents a thundering herd: many instances with work waiting see the
    /// same few free slots in the same outdated reports. If all took them at
    /// once, throughput would fall far below the bound under overload. As each
    /// takes only its part, together they take about as many as are free, or
    /// one each if the engine is idle.
    pub(crate) fn is_over_quota(&self, now: Time) -> bool {
        self.is_refusing(now) || self.quota <= 0.0
    }

    fn is_refusing(&self, now: Time) -> bool {
        self.refused_at
            .is_some_and(|at| now.since(at) < REFUSAL_TIME)
    }

    /// Maximum number of sequences that the engine should have. A plain
    /// service, which is routed as a model of one layer, has no token rate.
    pub(crate) fn max_load(&self) -> f64 {
        let slots = f64::from(self.stage.slots) * MAX_FILL;
        if self.stage.total <= 1 {
            return slots;
        }
        slots.min(self.capacity() * MAX_TOKEN_SECONDS).max(1.0)
    }

    /// Sets the quota at a new report: the free slots divided by `instances`.
    /// `rounding`, a random number from 0 to 1, decides whether a fraction counts
    /// as a slot.
    pub(crate) fn set_quota(&mut self, instances: f64, rounding: f64) {
        let load = f64::from(self.stage.running) + f64::from(self.stage.waiting);
        let part = (self.max_load() - load).max(0.0) / instances;
        let idle = if load < 1.0 { 1.0 } else { 0.0 };
        self.quota = (part + rounding).floor().max(idle);
    }

    /// Requests of this instance in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Expected seconds per token with one more sequence.
    pub(crate) fn token_time(&self, now: Time) -> f64 {
        let queue = (self.load(now) + 1.0) / self.capacity().max(1.0);
        let link = 1.0 / self.link_rate();
        queue * self.health.slowness() + link
    }
}

/// Whether two announcements differ in nothing but the load.
fn same_capacity(a: &Stage, b: &Stage) -> bool {
    let numbers = |s: &Stage| (s.first, s.end, s.total, s.rate, s.slots, s.link, s.leaving);
    numbers(a) == numbers(b)
        && a.model == b.model
        && a.version == b.version
        && a.pool == b.pool
        && a.domain == b.domain
}
