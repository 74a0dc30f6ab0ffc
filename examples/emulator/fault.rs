//! Faults that tests inject with `POST /emulator/fault`.

use serde::Deserialize;

/// Kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Mode {
    /// Responds with 503 before the first token.
    Busy,
    /// Emits an event that isn't JSON.
    Garbage,
    /// Skips the last layer of the engine's range and reports the shorter range.
    SkipLayer,
    /// Runs the last layer of the engine's range twice and reports both runs.
    RepeatLayer,
    /// Reports the two halves of the engine's range in the wrong order.
    Disorder,
    /// Emits a token twice.
    RepeatToken,
    /// Closes the connection in the middle of the response.
    Cut,
    /// Emits nothing more but keeps the connection open.
    Stall,
    /// Puts the identifiers of another running request into the events.
    SwapIds,
    /// Emits a token again two tokens later.
    LateDuplicate,
    /// Emits a token after its successor.
    Reorder,
    /// Emits a token of an earlier attempt before the right one.
    StaleAttempt,
    /// Ends the response as complete before all tokens are sent.
    EarlyDone,
    /// Delays each token or call by `ms`.
    Slow,
    /// Closes the connection without a response.
    Refuse,
    /// Suppresses announcements.
    SilentAnnounce,
    /// Exits the process immediately.
    Crash,
}

/// Fault to inject.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Fault {
    pub(crate) mode: Mode,
    /// Number of requests or announcements that are affected; all if absent.
    #[serde(default)]
    pub(crate) count: Option<u64>,
    /// Number of tokens that the attempt generates before the fault occurs.
    #[serde(default)]
    pub(crate) after: usize,
    /// Delay of `slow` in milliseconds.
    #[serde(default)]
    pub(crate) ms: u64,
}

/// Faults in the order of injection.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the fault for the next request and counts its use.
    pub(crate) fn next_request_fault(&mut self) -> Option<Fault> {
        self.take_matching(|mode| mode != Mode::SilentAnnounce)
    }

    /// Whether the next announcement is suppressed.
    pub(crate) fn skip_announcement(&mut self) -> bool {
        self.take_matching(|mode| mode == Mode::SilentAnnounce)
            .is_some()
    }

    fn take_matching(&mut self, matches: impl Fn(Mode) -> bool) -> Option<Fault> {
        let at = self
            .0
            .iter()
            .position(|f| matches(f.mode) && f.count != Some(0))?;
        let fault = &mut self.0[at];
        if let Some(count) = &mut fault.count {
            *count -= 1;
        }
        Some(fault.clone())
    }
}
