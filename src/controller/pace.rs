//! Queries engines for their pace.

use std::sync::Arc;
use std::time::Duration;

use super::Controller;
use super::leader::PaceQuery;
use crate::engine::fetch_report;
use crate::event;
use crate::platform::engine;

/// Timeout for an engine's report. A late report says nothing about the engine's pace.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

impl Controller {
    /// Queries an engine and records its pace.
    pub(super) async fn query_pace(self: Arc<Self>, query: PaceQuery) {
        let report = fetch_report(query.address.into(), &query.engine, REPORT_TIMEOUT).await;
        let Some(report) = report else {
            tracing::debug!(upstream = %query.engine, "engine sent no report");
            return;
        };
        let Some(pace) = engine::reported_pace(&report) else {
            tracing::debug!(upstream = %query.engine, "engine report contains no pace");
            return;
        };
        if self.leader_state().set_pace(&query, pace) {
            tracing::info!(
                event = event::PACE_CHANGED.id,
                upstream = %query.engine,
                address = %query.address,
                pace,
                "engine pace changed"
            );
        }
    }
}
