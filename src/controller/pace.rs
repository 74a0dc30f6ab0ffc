//! Asks engines how fast they work.

use std::sync::Arc;
use std::time::Duration;

use super::Controller;
use super::leader::PaceQuery;
use crate::engine::report;
use crate::event;
use crate::platform::engine;

/// Longest wait for an engine's report. One that is late says nothing of its speed.
const ANSWER: Duration = Duration::from_millis(300);

impl Controller {
    /// Asks one engine, and notes its answer.
    pub(super) async fn ask_pace(self: Arc<Self>, asked: PaceQuery) {
        let report = report(asked.address.into(), &asked.engine, ANSWER).await;
        let Some(report) = report else {
            tracing::debug!(upstream = %asked.engine, "no report");
            return;
        };
        let Some(pace) = engine::reported_pace(&report) else {
            tracing::debug!(upstream = %asked.engine, "its report names no pace");
            return;
        };
        if self.leader_state().set_pace(&asked, pace) {
            tracing::info!(
                event = event::PACE_CHANGED.id,
                upstream = %asked.engine,
                address = %asked.address,
                pace,
                "works at another speed"
            );
        }
    }
}
