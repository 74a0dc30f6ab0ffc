//! Set-up of structured logs.

use tracing_subscriber::EnvFilter;

/// Starts logging to standard error, as text or as JSON lines. `RUST_LOG`
/// sets the level; the default is `info`.
pub(crate) fn start(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
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

/// Starts logging of a role: JSON lines on standard output.
pub(crate) fn start_json() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stdout)
        .with_target(false)
        .json()
        .flatten_event(true)
        .try_init();
    if started.is_err() {
        tracing::debug!("logging was started before");
    }
}
