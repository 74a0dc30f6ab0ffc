//! Helpers of the end-to-end tests: processes, emulators, callers, cut links.
#![allow(dead_code)] // each test binary uses a part

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

/// A bound that only a fault reaches; no verdict hangs on how fast things are.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls until there is a value.
///
/// # Panics
/// When there is none within [`TIMEOUT`]; the message names `what`.
pub(crate) fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(begin.elapsed() < TIMEOUT, "no {what} within {TIMEOUT:?}");
        thread::sleep(POLL_INTERVAL);
    }
}
