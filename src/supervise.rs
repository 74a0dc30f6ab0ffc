//! Supervisor: runs named components on threads of their own.
//!
//! A component without state is restarted after a panic. A component that owns durable state
//! isn't: its memory may disagree with its files, so the whole instance exits and recovers from
//! the files at its next start.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, unbounded};

use crate::event;

/// Delay before a restart, so that a component that always fails uses little CPU time.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Restarts of a component after which its next failure is permanent.
const MAX_RESTARTS: u32 = 20;

/// What to do when a component fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartPolicy {
    /// Restart the component.
    Restart,
    /// Stop the instance.
    Escalate,
}

/// Starts components and reports those that failed permanently.
pub(crate) struct Supervisor {
    failures: Receiver<String>,
    failure_sender: Sender<String>,
}

impl Supervisor {
    pub(crate) fn new() -> Self {
        let (failure_sender, failures) = unbounded();
        Self {
            failures,
            failure_sender,
        }
    }

    /// Names of components that failed permanently.
    pub(crate) fn failures(&self) -> &Receiver<String> {
        &self.failures
    }

    /// Runs `component` on a thread of its own. A component that returns has finished normally.
    pub(crate) fn start<F>(&self, name: &'static str, policy: RestartPolicy, mut component: F)
    where
        F: FnMut() + Send + 'static,
    {
        let failures = self.failure_sender.clone();
        let body = move || {
            let mut restarts = 0;
            while catch_unwind(AssertUnwindSafe(&mut component)).is_err() {
                if policy == RestartPolicy::Escalate || restarts == MAX_RESTARTS {
                    tracing::error!(
                        event = event::PART_FAILED.id,
                        part = name,
                        "component failed permanently; stopping the instance"
                    );
                    let _ = failures.send(name.to_owned());
                    return;
                }
                restarts += 1;
                tracing::warn!(
                    event = event::PART_RESTARTED.id,
                    part = name,
                    restarts,
                    "component panicked; restarting it"
                );
                thread::sleep(RESTART_DELAY);
            }
        };
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(body)
            .expect("the system has threads left at startup");
    }
}
