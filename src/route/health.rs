//! Ejection and readmission of slow and failing engines.

use std::time::Duration;

use crate::clock::Time;

/// Consecutive failures after which an engine is ejected.
const MAX_FAILURES: u32 = 3;
/// Number of engines of one failure domain that must begin to fail within
/// [`DOMAIN_WINDOW`] for the domain to be suspect.
const DOMAIN_FAILURES: u32 = 3;
/// Time over which the failures of a domain are counted.
const DOMAIN_WINDOW: Duration = Duration::from_secs(3);
/// Ratio to the median of its peers above which an engine is ejected as slow.
const SLOW_RATIO: f64 = 3.0;
/// Ratio to the median of its peers from which the slowness of an engine raises
/// its cost. A smaller difference mostly reflects past load, and reacting to it
/// late makes the load oscillate.
const NOTICEABLE_RATIO: f64 = 1.5;
/// Number of answers before the speed of an engine is evaluated.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample in the moving average of the speed.
const GAIN: f64 = 0.15;
/// Duration of the first ejection; it doubles with each consecutive one.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the duration.
const MAX_DOUBLINGS: u32 = 4;
/// Maximum share of a group of peers that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 0.4;

/// Recent failures of the engines of a failure domain.
///
/// If the loss of a domain were detected engine by engine, each engine would
/// cost a few requests on every instance, and throughput would dip.
#[derive(Debug, Default)]
pub(crate) struct DomainFailures {
    /// Number of engines that began to fail since `since`.
    engines: u32,
    since: Time,
}

impl DomainFailures {
    /// Records that one more engine began to fail.
    pub(crate) fn record(&mut self, now: Time) {
        if now.since(self.since) > DOMAIN_WINDOW {
            self.since = now;
            self.engines = 0;
        }
        self.engines += 1;
    }

    /// Whether enough engines began to fail that the domain may be lost.
    pub(crate) fn is_suspect(&self, now: Time) -> bool {
        self.engines >= DOMAIN_FAILURES && now.since(self.since) <= DOMAIN_WINDOW
    }
}

/// Engines that hold the same layers of the same model.
#[derive(Debug, Default)]
pub(crate) struct PeerGroup {
    pub(crate) members: Vec<usize>,
    /// Median of the members' factors.
    pub(crate) median: Option<f64>,
}

impl PeerGroup {
    /// Maximum number of members that may be ejected at a time.
    ///
    /// If all engines look bad, the cause is elsewhere (this instance's
    /// network, a bad model), and without them nothing would be answered. One
    /// of two may be ejected; the last one never is.
    pub(crate) fn max_ejected(&self) -> usize {
        if self.members.len() < 2 {
            return 0;
        }
        let share = self.members.len() as f64 * MAX_EJECTED_SHARE;
        (share as usize).max(1)
    }
}

/// Health of one engine as measured by this instance.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Moving average of the ratio of measured to expected token time, over
    /// paths through the engine.
    mean: f64,
    samples: u32,
    /// Ratio of `mean` to the peers' median, within bounds.
    relative: Option<f64>,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections.
    ejections: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Admitted,
    /// Gets no work until then.
    Ejected(Time),
    /// Gets one request at a time, until one succeeds.
    Probation,
}

impl Health {
    /// Mean ratio of measured to expected token time, once there are enough
    /// samples.
    pub(crate) fn factor(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }

    /// Records the ratio of the engine's factor to the median of its peers.
    pub(crate) fn compare(&mut self, median: Option<f64>) {
        let ratio = self.factor().zip(median);
        self.relative = ratio.map(|(own, all)| (own / all.max(1e-9)).clamp(0.5, 10.0));
    }

    /// Factor to apply to the expected token time.
    pub(crate) fn slowness(&self) -> f64 {
        let failing = f64::from(1 + self.failures.min(8));
        let relative = self.relative.unwrap_or(1.0);
        if relative < NOTICEABLE_RATIO {
            return failing;
        }
        relative * failing
    }

    pub(crate) fn is_slow(&self, median: f64) -> bool {
        self.factor().is_some_and(|own| own > SLOW_RATIO * median)
    }

    pub(crate) fn succeeded(&mut self, factor: f64) {
        self.failures = 0;
        if self.state == State::Probation {
            self.state = State::Admitted;
        }
        self.samples += 1;
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.mean += (factor - self.mean) * gain;
        if self.samples > 4 * MIN_SAMPLES {
            self.ejections = 0;
        }
    }

    /// Consecutive failures.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure. Returns whether the engine should be ejected, which
    /// is after the first failure if its failure domain is suspect.
    pub(crate) fn failed(&mut self, domain_suspect: bool) -> bool {
        self.failures += 1;
        domain_suspect || self.state == State::Probation || self.failures >= MAX_FAILURES
    }

    pub(crate) fn eject(&mut self, now: Time) {
        let duration = FIRST_EJECTION * 2u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.state = State::Ejected(now + duration);
        self.samples = 0;
        self.mean = 0.0;
        self.relative = None;
    }

    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, State::Ejected(until) if now < until)
    }

    /// Whether plans exclude the engine: ejected, until
    /// [`end_ejection`](Self::end_ejection).
    pub(crate) fn is_excluded(&self) -> bool {
        matches!(self.state, State::Ejected(_))
    }

    /// Ends an ejection early, without probation.
    pub(crate) fn readmit(&mut self) {
        self.state = State::Admitted;
        self.failures = 0;
    }

    /// Puts the engine on probation if its ejection expired. Returns whether it
    /// did.
    pub(crate) fn end_ejection(&mut self, now: Time) -> bool {
        let State::Ejected(until) = self.state else {
            return false;
        };
        if now < until {
            return false;
        }
        self.state = State::Probation;
        true
    }

    /// Whether the engine may get only one request at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.state != State::Admitted
    }
}
