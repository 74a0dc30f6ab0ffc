//! Set-up of structured logs.

use std::sync::OnceLock;
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, fmt};

use self::cap::Cap;
use crate::event;

pub(crate) mod cap;

/// Lines that wait for a reader of standard output; more are dropped.
const WAITING: usize = 4_096;

/// Period of summing up the lines that were left out.
const SUM: Duration = Duration::from_secs(1);

static CAP: OnceLock<Cap> = OnceLock::new();

fn level() -> EnvFilter {
    EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Starts logging to standard error, as text or as JSON lines. `RUST_LOG`
/// sets the level; the default is `info`.
pub(crate) fn init(json: bool) {
    let builder = fmt()
        .with_env_filter(level())
        .with_writer(std::io::stderr)
        .with_target(false);
    let started = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
    if started.is_err() {
        tracing::debug!("logging was started before");
    }
}

/// Starts logging of a role: JSON lines on standard output, bounded by
/// [`Cap`]. A thread writes them, so that a reader that stops reading delays no
/// request; dropping the guard writes what waits.
pub(crate) fn init_role() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING)
        .finish(std::io::stdout());
    let lines = fmt::layer()
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_filter(CAP.get_or_init(Cap::new));
    let started = tracing_subscriber::registry()
        .with(level())
        .with(lines)
        .try_init();
    if started.is_err() {
        tracing::debug!("logging was started before");
    }
    guard
}

/// Sums up once a second what was left out, for as long as the role runs.
pub(crate) async fn report_dropped() {
    loop {
        tokio::time::sleep(SUM).await;
        let left = CAP.get().map(Cap::take_left).unwrap_or_default();
        for (kind, count) in left {
            tracing::warn!(event = event::LINES_LEFT.id, kind, count, "lines left out");
        }
    }
}
