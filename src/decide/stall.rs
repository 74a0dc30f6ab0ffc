//! When something is done about an attempt that stays silent.
//!
//! Load pattern: an engine in the middle of the paths of many streams dies. Each of
//! them pauses, and its caller bears a pause of a fifth of a second. New requests that
//! would pass through the engine are refused within milliseconds, so soon it is known
//! to be dead; else the first engine of the path tells, some time later.

use std::time::Duration;

/// Silence after which an attempt is led around an engine that is known to be dead.
/// Events usually come sooner from one that lives, and an allowed pause of 200 ms
/// isn't over yet.
const EARLY: Duration = Duration::from_millis(100);

/// Period of looking whether one is known by now.
const LOOK: Duration = Duration::from_millis(40);

/// Silence after which the first engine is asked. Its report lags by 200 ms;
/// events usually come every 30 to 80 ms.
pub(crate) const QUERY_AFTER: Duration = Duration::from_millis(260);

/// Period at which it is asked again.
const AGAIN: Duration = Duration::from_millis(160);

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Lead the attempt around an engine that is known to be dead, if there is one.
    Avoid,
    /// Ask the first engine what the attempt waits for.
    Ask,
    /// Nothing can be done but wait.
    Wait,
}

/// How long one sign of an attempt is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimer {
    most: Duration,
    /// Whether the attempt can be led around an engine.
    reroutable: bool,
    /// Whether it was led around one that was known to be dead.
    rerouted: bool,
}

impl StallTimer {
    /// A sign is awaited for at most `most`.
    pub(crate) fn new(most: Duration, reroutable: bool) -> Self {
        Self {
            most,
            reroutable,
            rerouted: false,
        }
    }

    /// What to do after silence for `waited`.
    pub(crate) fn step(&self, waited: Duration) -> Step {
        match self.reroutable {
            false => Step::Wait,
            true if waited >= QUERY_AFTER || waited >= self.most => Step::Ask,
            true if self.rerouted => Step::Wait,
            true => Step::Avoid,
        }
    }

    /// Notes that the attempt was led around an engine, or that it failed: once is
    /// enough until the first engine tells more.
    pub(crate) fn record_reroute(&mut self) {
        self.rerouted = true;
    }

    /// Time until the next step; none when the sign isn't awaited any longer.
    pub(crate) fn next_wait(&self, waited: Duration) -> Option<Duration> {
        let left = self.most.saturating_sub(waited);
        let next = match self.reroutable {
            false => left,
            true if waited >= QUERY_AFTER => AGAIN,
            true if self.rerouted => QUERY_AFTER - waited,
            true if waited >= EARLY => LOOK.min(QUERY_AFTER - waited),
            true => EARLY - waited,
        };
        Some(next.min(left)).filter(|wait| !wait.is_zero())
    }
}
