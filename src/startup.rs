//! Startup code shared by all roles.

use std::net::{SocketAddr, TcpListener};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, Result, StartSnafu};

/// Creates the error for a component that couldn't start.
pub(crate) fn start_error(part: &'static str, reason: &impl ToString) -> Error {
    StartSnafu {
        part,
        reason: reason.to_string(),
    }
    .build()
}

/// Opens a non-blocking listener for `role`.
pub(crate) fn listen(addr: SocketAddr, role: &'static str) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr, role })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { addr, role })?;
    Ok(listener)
}

/// Upper bounds of the buckets of all histograms, in seconds. Syncs take 1 ms or more, pauses
/// between events and latency objectives are 0.05 s to 0.5 s, and a stream may take 20 s.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0,
];

/// Installs the metrics recorder of this process.
pub(crate) fn install_metrics() -> Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS);
    let recorder = builder.and_then(PrometheusBuilder::install_recorder);
    recorder.map_err(|e| start_error("metrics", &e))
}
