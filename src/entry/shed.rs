//! Closes new connections unread while this instance is crowded.

use std::sync::Arc;

use tokio::time::sleep;

use super::Entry;
use crate::decide::shedding::INTERVAL;
use crate::event;
use crate::metric;

impl Entry {
    /// Measures how late timers fire, for the lifetime of the instance.
    pub(super) async fn measure_lag(self: Arc<Self>) {
        let mut shedding = false;
        loop {
            let began = self.now();
            sleep(INTERVAL).await;
            let lag = self.now().since(began).saturating_sub(INTERVAL);
            let instances = self.view().active_entries();
            let mut shared = self.shared();
            let crowding = shared.loads.demand.crowding(instances);
            shared.shedding.record_lag(lag, crowding);
            let share = shared.shedding.share();
            drop(shared);
            metrics::histogram!(metric::TIMER_LAG.name).record(lag.as_secs_f64());
            if shedding != (share < 1.0) {
                shedding = share < 1.0;
                tracing::info!(
                    event = event::SHEDDING_CHANGED.id,
                    shedding,
                    lag_ms = lag.as_millis(),
                    crowding,
                    instances,
                    "closing of new connections changed"
                );
            }
        }
    }

    /// Decides whether a new connection of a caller is read.
    pub(super) fn admit_connection(&self) -> bool {
        let admitted = self.shared().shedding.admit();
        if !admitted {
            metrics::counter!(metric::CONNECTIONS_SHED.name).increment(1);
        }
        admitted
    }
}
