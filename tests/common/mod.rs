//! Helpers for tests with real processes: instances, emulators, callers and a
//! proxy that interrupts connections.
#![allow(dead_code)] // no test binary uses all helpers

pub(crate) mod caller;
pub(crate) mod emulator;
pub(crate) mod fleet;
#[path = "../../examples/emulator/model.rs"]
pub(crate) mod model;
pub(crate) mod port;
pub(crate) mod process;
pub(crate) mod proxy;

use std::thread;
use std::time::{Duration, Instant};

/// Timeout that only a fault reaches, so that no test depends on the machine's speed.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until there is a value, and returns it.
///
/// # Panics
/// If there is none within [`TIMEOUT`]; the message names `what`.
pub(crate) fn wait_for<T>(what: &str, poll: impl FnMut() -> Option<T>) -> T {
    wait_or_describe(what, poll, String::new)
}

/// Like [`wait_for`], and adds a description of the state to the message.
pub(crate) fn wait_or_describe<T>(
    what: &str,
    mut poll: impl FnMut() -> Option<T>,
    describe: impl Fn() -> String,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        if start.elapsed() >= TIMEOUT {
            panic!("no {what} within {TIMEOUT:?}\n{}", describe());
        }
        thread::sleep(POLL_INTERVAL);
    }
}
