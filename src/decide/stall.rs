//! Decides when to act on an attempt that sends nothing.
//!
//! Load pattern: an engine in the middle of the paths of many streams dies. Each stream pauses,
//! and its caller tolerates a pause of a fifth of a second. New requests that would pass through
//! the engine are refused within milliseconds, so it is soon known to be dead; otherwise the
//! first engine of the path reports it some time later.
//!
//! An engine that is slow, or whose machine pauses, looks the same from here. Silence therefore ends
//! no attempt: it may lead to another one beside it, and the silent one goes on until its connection
//! ends or the other gives an event.

use std::time::Duration;

/// Silence after which an attempt is rerouted around an engine that is known to be dead. A living
/// engine usually sends events sooner, and an allowed pause of 200 ms has not passed yet.
const REROUTE_AFTER: Duration = Duration::from_millis(100);

/// Interval at which to check whether a dead engine is known by now.
const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Silence after which the first engine is queried. Its report lags by 200 ms; events usually
/// arrive every 30 to 80 ms.
pub(crate) const QUERY_AFTER: Duration = Duration::from_millis(260);

/// Interval of further queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(160);

/// Minimum time until an attempt counts as stalled. A route may state no objective, and the time left
/// may be over.
const MIN_TIMEOUT: Duration = REROUTE_AFTER;

/// Maximum lateness of a timer that counts as silence. While this process didn't run, it read
/// nothing of what upstreams sent.
const MAX_LAG: Duration = Duration::from_millis(20);

/// Action on a silent attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Reroute the attempt around an engine that is known to be dead, if there is one.
    Avoid,
    /// Query the first engine for what the attempt waits for.
    Ask,
    /// Only wait.
    Wait,
}

/// Schedules the actions while the next event of an attempt is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StallTimer {
    timeout: Duration,
    /// Whether the attempt can be rerouted around an engine.
    reroutable: bool,
    /// Whether a reroute around a known dead engine was tried.
    rerouted: bool,
    /// Silence after which the attempt was reported as stalled, most recently.
    stalled_at: Option<Duration>,
}

impl StallTimer {
    /// Creates a timer for an attempt that counts as stalled after silence for `timeout`.
    pub(crate) fn new(timeout: Duration, reroutable: bool) -> Self {
        Self {
            timeout,
            reroutable,
            rerouted: false,
            stalled_at: None,
        }
    }

    /// Returns the action after silence for `waited`.
    pub(crate) fn step(&self, waited: Duration) -> Step {
        match self.reroutable {
            false => Step::Wait,
            true if waited >= QUERY_AFTER || waited >= self.timeout => Step::Ask,
            true if self.rerouted => Step::Wait,
            true => Step::Avoid,
        }
    }

    /// Records that a reroute around a known dead engine was tried. It is not tried again before
    /// the first engine reports more.
    pub(crate) fn record_reroute(&mut self) {
        self.rerouted = true;
    }

    /// Records that the attempt was reported as stalled after silence for `waited`. It counts as
    /// stalled again after the same time; until then the engines aren't queried, since many attempts
    /// may be silent at once.
    pub(crate) fn record_stall(&mut self, waited: Duration) {
        self.stalled_at = Some(waited);
    }

    /// Returns the time until the next action, or `None` once the attempt is stalled.
    pub(crate) fn next_wait(&self, waited: Duration) -> Option<Duration> {
        let stalled_at = self.stalled_at.unwrap_or_default();
        let left = (stalled_at + self.timeout).saturating_sub(waited);
        let next = match self.reroutable {
            false => left,
            true if self.stalled_at.is_some() => left,
            true if waited >= QUERY_AFTER => QUERY_INTERVAL,
            true if self.rerouted => QUERY_AFTER - waited,
            true if waited >= REROUTE_AFTER => CHECK_INTERVAL.min(QUERY_AFTER - waited),
            true => REROUTE_AFTER - waited,
        };
        Some(next.min(left)).filter(|wait| !wait.is_zero())
    }
}

/// The silence of an attempt, as far as this process observed it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    timer: StallTimer,
    observed: Duration,
}

impl Silence {
    /// Starts to observe an attempt that counts as stalled after silence for `timeout`.
    pub(crate) fn new(timeout: Duration, reroutable: bool) -> Self {
        Self {
            timer: StallTimer::new(timeout.max(MIN_TIMEOUT), reroutable),
            observed: Duration::ZERO,
        }
    }

    /// Records a wait for `took` that was planned to last for at most `planned`.
    pub(crate) fn record_wait(&mut self, planned: Duration, took: Duration) {
        self.observed += took.min(planned + MAX_LAG);
    }

    /// See [`StallTimer::record_reroute`].
    pub(crate) fn record_reroute(&mut self) {
        self.timer.record_reroute();
    }

    /// See [`StallTimer::record_stall`].
    pub(crate) fn record_stall(&mut self) {
        self.timer.record_stall(self.observed);
    }

    /// Returns the action that is due.
    pub(crate) fn step(&self) -> Step {
        self.timer.step(self.observed)
    }

    /// Returns the time until the next action, or `None` once the attempt is stalled.
    pub(crate) fn next_wait(&self) -> Option<Duration> {
        self.timer.next_wait(self.observed)
    }
}
