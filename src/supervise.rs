//! The supervisor tree: named parts on threads of their own.
//!
//! A part that can start again from nothing is restarted after a panic. A part
//! that owns durable state isn't: its memory may disagree with its files, so
//! the whole instance ends and recovers from the files at its next start.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

use crate::event;

/// Pause before a restart, so that a part that always fails costs little.
const PAUSE: Duration = Duration::from_millis(200);

/// Restarts of one part before the failure counts as lasting.
const MAX_RESTARTS: u32 = 20;

/// What to do when a part fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartPolicy {
    /// Start the part again.
    Restart,
    /// End the instance.
    Escalate,
}

/// Starts parts and hears of those that failed for good.
pub(crate) struct Supervisor {
    failures: Receiver<String>,
    report: Sender<String>,
}

impl Supervisor {
    pub(crate) fn new() -> Self {
        let (report, failures) = unbounded();
        Self { failures, report }
    }

    /// Names of parts that failed for good.
    pub(crate) fn failures(&self) -> &Receiver<String> {
        &self.failures
    }

    /// Runs `part` on a thread of its own. A part that returns has ended as
    /// it should.
    pub(crate) fn start<F>(&self, name: &'static str, policy: RestartPolicy, mut part: F)
    where
        F: FnMut() + Send + 'static,
    {
        let report = self.report.clone();
        let body = move || {
            let mut restarts = 0;
            while catch_unwind(AssertUnwindSafe(&mut part)).is_err() {
                if policy == RestartPolicy::Escalate || restarts == MAX_RESTARTS {
                    tracing::error!(event = event::PART_FAILED.id, part = name, "part failed");
                    let _ = report.send(name.to_owned());
                    return;
                }
                restarts += 1;
                tracing::warn!(
                    event = event::PART_RESTARTED.id,
                    part = name,
                    restarts,
                    "part starts again"
                );
                thread::sleep(PAUSE);
            }
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)
            .expect("the system has threads left at start");
    }
}
