//! Engines that make no progress for a while, and the record of what their runs sent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::engine::{EngineSpec, SharedState};

/// A time in which an engine reads and writes nothing. Its connections stay open, new ones open,
/// and it goes on where it was.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    pub(crate) until: Instant,
    /// Whether its heartbeats stop as well.
    pub(crate) mute: bool,
}

/// The latest pauses of engines, by engine ID.
#[derive(Default)]
pub(crate) struct Pauses {
    engines: HashMap<String, Pause>,
    /// Ends of pauses of all runs of an engine, which still answers calls.
    runs: HashMap<String, Instant>,
}

impl Pauses {
    /// Pauses these engines, and ends their earlier pauses.
    pub(crate) fn begin<'a>(
        &mut self,
        engines: impl IntoIterator<Item = &'a EngineSpec>,
        pause: Pause,
    ) {
        let ids = engines.into_iter().map(|e| e.id.clone());
        self.engines.extend(ids.map(|id| (id, pause)));
    }

    /// Pauses the runs of these engines until a time, but not the engines: they read requests and
    /// answer calls.
    pub(crate) fn hold_runs<'a>(
        &mut self,
        engines: impl IntoIterator<Item = &'a EngineSpec>,
        until: Instant,
    ) {
        let ids = engines.into_iter().map(|e| e.id.clone());
        self.runs.extend(ids.map(|id| (id, until)));
    }

    /// Whether the runs of an engine pause now.
    fn holds_runs(&self, id: &str) -> bool {
        let held = self.runs.get(id).is_some_and(|end| Instant::now() < *end);
        held || self.is_paused(id)
    }

    /// Whether an engine pauses now.
    pub(crate) fn is_paused(&self, id: &str) -> bool {
        self.engines
            .get(id)
            .is_some_and(|p| Instant::now() < p.until)
    }

    /// Whether an engine pauses now and sends no heartbeats.
    pub(crate) fn is_mute(&self, id: &str) -> bool {
        self.is_paused(id) && self.engines[id].mute
    }
}

/// Interval at which a paused run checks whether the pause has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A run of an attempt at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineRun {
    pub(crate) engine: String,
    pub(crate) attempt: String,
    pub(crate) began: Instant,
    /// `Last-Event-Id` with which it arrived; 0 without one.
    pub(crate) last: u64,
    /// When it sent each event from the one after `last` on.
    pub(crate) sent: Vec<Instant>,
    /// When it was dropped before its end, since its caller closed the connection.
    pub(crate) cancelled: Option<Instant>,
    /// When its engine broke it off.
    pub(crate) broken: Option<Instant>,
}

/// A run that is going on; cancelled if it is dropped before its end.
pub(crate) struct Running {
    state: SharedState,
    index: usize,
    engine: String,
    pub(crate) done: bool,
}

impl Running {
    /// Records the start of a run.
    pub(crate) fn begin(state: &SharedState, engine: &str, attempt: &str, last: u64) -> Self {
        let run = EngineRun {
            engine: engine.to_owned(),
            attempt: attempt.to_owned(),
            began: Instant::now(),
            last,
            sent: Vec::new(),
            cancelled: None,
            broken: None,
        };
        let mut locked = state.lock().unwrap();
        let index = locked.engine_runs.len();
        locked.engine_runs.push(run);
        drop(locked);
        Self {
            state: SharedState::clone(state),
            index,
            engine: engine.to_owned(),
            done: false,
        }
    }

    /// Works for a time, and waits while the engine or its runs pause.
    pub(crate) async fn work(&self, time: Duration) {
        tokio::time::sleep(time).await;
        while self.state.lock().unwrap().pauses.holds_runs(&self.engine) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records that the engine breaks the run off. An engine that sends a part of an event first may
    /// pause before it resets the connection, so the latest time counts.
    pub(crate) fn record_break(&self) {
        let mut state = self.state.lock().unwrap();
        state.engine_runs[self.index].broken = Some(Instant::now());
    }

    /// Records that the next event is sent.
    pub(crate) fn record_event(&self) {
        let mut state = self.state.lock().unwrap();
        state.engine_runs[self.index].sent.push(Instant::now());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.done {
            let mut state = self.state.lock().unwrap();
            state.engine_runs[self.index].cancelled = Some(Instant::now());
        }
    }
}
