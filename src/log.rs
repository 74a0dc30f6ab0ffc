//! Setup of structured logging.

use std::sync::OnceLock;
use std::time::Duration;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, fmt};

use self::rate_limit::LineLimiter;
use crate::event;

pub(crate) mod rate_limit;

/// Maximum number of lines buffered for standard output; more are dropped.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Interval at which the numbers of suppressed lines are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

static LIMITER: OnceLock<LineLimiter> = OnceLock::new();

fn level_filter() -> EnvFilter {
    EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"))
}

/// Initialises logging to standard error, as text or as JSON lines. `RUST_LOG`
/// sets the level; the default is `info`.
pub(crate) fn init(json: bool) {
    let builder = fmt()
        .with_env_filter(level_filter())
        .with_writer(std::io::stderr)
        .with_target(false);
    let started = if json {
        builder.json().try_init()
    } else {
        builder.with_ansi(false).try_init()
    };
    if started.is_err() {
        tracing::debug!("logging is already initialised");
    }
}

/// Initialises the logging of a role: JSON lines on standard output, with a rate
/// limited by [`LineLimiter`]. A separate thread writes them, so that a reader
/// that stops reading delays no request. Dropping the guard flushes the buffer.
pub(crate) fn init_role() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let lines = fmt::layer()
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_filter(LIMITER.get_or_init(LineLimiter::new));
    let started = tracing_subscriber::registry()
        .with(level_filter())
        .with(lines)
        .try_init();
    if started.is_err() {
        tracing::debug!("logging is already initialised");
    }
    guard
}

/// Logs the number of lines suppressed by the rate limit every second, while the role runs.
pub(crate) async fn report_suppressed() {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let suppressed = LIMITER
            .get()
            .map(LineLimiter::take_suppressed)
            .unwrap_or_default();
        for (kind, count) in suppressed {
            tracing::warn!(
                event = event::LINES_LEFT.id,
                kind,
                count,
                "log lines suppressed by the rate limit"
            );
        }
    }
}
