//! Faults that a test asks for by `POST /emulator/fault`.

use serde::Deserialize;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Mode {
    /// Answer 503 before the first token.
    Busy,
    /// Emit an event that isn't JSON.
    Garbage,
    /// Leave out the last layer of the own range, and report so.
    SkipLayer,
    /// Run the last layer of the own range twice, and report so.
    RepeatLayer,
    /// Report the two halves of the own range in the wrong order.
    Disorder,
    /// Emit a token twice.
    RepeatToken,
    /// Close the connection in the middle of the answer.
    Cut,
    /// Emit nothing more and keep the connection open.
    Stall,
    /// Put the identifiers of another running request into the events.
    SwapIds,
    /// Emit a token once more, two tokens later.
    LateDuplicate,
    /// Emit a token behind its successor.
    Reorder,
    /// Emit a token of an older attempt first.
    StaleAttempt,
    /// Close the answer as whole before it is.
    EarlyDone,
    /// Take `ms` longer for each token or call.
    Slow,
    /// Close the connection without an answer.
    Refuse,
    /// Leave out announcements.
    SilentAnnounce,
    /// Exit the process at once.
    Crash,
}

/// A fault as asked for.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Fault {
    pub(crate) mode: Mode,
    /// How many requests (announcements) it strikes; without it, all.
    #[serde(default)]
    pub(crate) count: Option<u64>,
    /// Tokens of the attempt that come before it.
    #[serde(default)]
    pub(crate) after: usize,
    /// Delay in milliseconds, for `slow`.
    #[serde(default)]
    pub(crate) ms: u64,
}

/// Faults in the order in which they were asked for.
#[derive(Debug, Default)]
pub(crate) struct Faults(Vec<Fault>);

impl Faults {
    pub(crate) fn add(&mut self, fault: Fault) {
        self.0.push(fault);
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes the fault that strikes the next request.
    pub(crate) fn strike(&mut self) -> Option<Fault> {
        self.take(|mode| mode != Mode::SilentAnnounce)
    }

    /// Whether the next announcement is left out.
    pub(crate) fn mute(&mut self) -> bool {
        self.take(|mode| mode == Mode::SilentAnnounce).is_some()
    }

    fn take(&mut self, wanted: impl Fn(Mode) -> bool) -> Option<Fault> {
        let at = self
            .0
            .iter()
            .position(|f| wanted(f.mode) && f.count != Some(0))?;
        let fault = &mut self.0[at];
        if let Some(count) = &mut fault.count {
            *count -= 1;
        }
        Some(fault.clone())
    }
}
