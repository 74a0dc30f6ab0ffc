//! Ejection of slow and failing engines, and their way back.

use std::time::Duration;

use crate::clock::Time;

/// Failures in a row before an engine is ejected.
const FAILURES: u32 = 3;
/// Engines of one failure domain that must begin to fail within [`DOUBT`]
/// before the domain is doubted.
const DOUBTED: u32 = 3;
/// Time over which the failures of a domain are counted.
const DOUBT: Duration = Duration::from_secs(3);
/// How many times slower than its usual peer an engine may be.
const SLOW: f64 = 3.0;
/// How many times slower than its usual peer an engine must be before it is
/// thought to be slow at all. Below, the difference is mostly the load of some
/// time ago, and reacting to it late makes the load swing.
const NOTICEABLE: f64 = 1.5;
/// Answers before the speed of an engine is judged.
const SAMPLES: u32 = 8;
/// Weight of a new sample in the mean of the speed.
const GAIN: f64 = 0.15;
/// First ejection; each further one in a row lasts twice as long.
const EJECTION: Duration = Duration::from_secs(2);
/// Doublings at most.
const DOUBLINGS: u32 = 4;
/// Share of a group of peers that may be ejected at a time.
const EJECTED_SHARE: f64 = 0.4;

/// Failures of a failure domain's engines.
///
/// Guards against learning of a lost domain engine by engine: each would cost
/// a few requests on every instance, which shows as a dip of throughput.
#[derive(Debug, Default)]
pub(crate) struct Trouble {
    /// Engines that began to fail since `since`.
    engines: u32,
    since: Time,
}

impl Trouble {
    /// Books that one more engine began to fail.
    pub(crate) fn book(&mut self, now: Time) {
        if now.since(self.since) > DOUBT {
            self.since = now;
            self.engines = 0;
        }
        self.engines += 1;
    }

    /// Whether so many engines began to fail that the domain may be lost.
    pub(crate) fn is_doubted(&self, now: Time) -> bool {
        self.engines >= DOUBTED && now.since(self.since) <= DOUBT
    }
}

/// Engines that hold the same layers of the same model.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    pub(crate) members: Vec<usize>,
    /// Median of the members' factors.
    pub(crate) median: Option<f64>,
}

impl Peers {
    /// Guards against ejecting what carries the service: when all engines look
    /// bad, the cause is elsewhere (a network of our own, a bad model), and
    /// without them nothing is answered. One may go where two are; the last
    /// never does.
    pub(crate) fn most_ejected(&self) -> usize {
        if self.members.len() < 2 {
            return 0;
        }
        let share = self.members.len() as f64 * EJECTED_SHARE;
        (share as usize).max(1)
    }
}

/// What this instance measured of one engine.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Mean of measured by expected token time of paths through the engine.
    mean: f64,
    samples: u32,
    /// Ratio of `mean` to the peers' median, within bounds.
    relative: Option<f64>,
    /// Failures in a row.
    failures: u32,
    /// Ejections in a row.
    ejections: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Admitted,
    /// No work until then.
    Ejected(Time),
    /// One request at a time, until one succeeds.
    Probed,
}

impl Health {
    /// Mean speed, once there are enough samples.
    pub(crate) fn factor(&self) -> Option<f64> {
        (self.samples >= SAMPLES).then_some(self.mean)
    }

    /// Remembers how the engine compares with its peers.
    pub(crate) fn compare(&mut self, median: Option<f64>) {
        let ratio = self.factor().zip(median);
        self.relative = ratio.map(|(own, all)| (own / all.max(1e-9)).clamp(0.5, 10.0));
    }

    /// Factor on the expected token time.
    pub(crate) fn slowness(&self) -> f64 {
        let failing = f64::from(1 + self.failures.min(8));
        let relative = self.relative.unwrap_or(1.0);
        if relative < NOTICEABLE {
            return failing;
        }
        relative * failing
    }

    pub(crate) fn is_slow(&self, median: f64) -> bool {
        self.factor().is_some_and(|own| own > SLOW * median)
    }

    pub(crate) fn succeeded(&mut self, factor: f64) {
        self.failures = 0;
        if self.state == State::Probed {
            self.state = State::Admitted;
        }
        self.samples += 1;
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.mean += (factor - self.mean) * gain;
        if self.samples > 4 * SAMPLES {
            self.ejections = 0;
        }
    }

    /// Failures in a row.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Books a failure. Returns whether the engine should be ejected: after
    /// the first one when its failure domain is doubted.
    pub(crate) fn failed(&mut self, doubted: bool) -> bool {
        self.failures += 1;
        doubted || self.state == State::Probed || self.failures >= FAILURES
    }

    pub(crate) fn eject(&mut self, now: Time) {
        let lasts = EJECTION * 2u32.pow(self.ejections.min(DOUBLINGS));
        self.ejections += 1;
        self.state = State::Ejected(now + lasts);
        self.samples = 0;
        self.mean = 0.0;
        self.relative = None;
    }

    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        matches!(self.state, State::Ejected(until) if now < until)
    }

    /// Whether plans leave it out: ejected, until [`wake`](Self::wake).
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.state, State::Ejected(_))
    }

    /// Ends an ejection early.
    pub(crate) fn readmit(&mut self) {
        self.state = State::Admitted;
        self.failures = 0;
    }

    /// Ends an ejection that ran out. Returns whether it did.
    pub(crate) fn wake(&mut self, now: Time) -> bool {
        let State::Ejected(until) = self.state else {
            return false;
        };
        if now < until {
            return false;
        }
        self.state = State::Probed;
        true
    }

    /// Whether only one request at a time may go there.
    pub(crate) fn is_probed(&self) -> bool {
        self.state != State::Admitted
    }
}
