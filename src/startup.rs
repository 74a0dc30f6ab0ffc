//! What every process does at its start, whatever its role.

use std::net::{SocketAddr, TcpListener};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, Result, StartSnafu};

/// The error of a part that couldn't start.
pub(crate) fn start_error(part: &'static str, reason: &impl ToString) -> Error {
    StartSnafu {
        part,
        reason: reason.to_string(),
    }
    .build()
}

/// Listens for `role`, without blocking.
pub(crate) fn listen(addr: SocketAddr, role: &'static str) -> Result<TcpListener> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { addr, role })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { addr, role })?;
    Ok(listener)
}

/// Installs the recorder of this process's metrics.
pub(crate) fn install_metrics() -> Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().install_recorder();
    recorder.map_err(|e| start_error("metrics", &e))
}
