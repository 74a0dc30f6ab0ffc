//! Metrics of an entry instance.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Entry;
use super::attempt::Run;
use crate::decide::rank::Rank;
use crate::metric;

impl Entry {
    /// Sets the gauges. Called when the metrics are read, so that requests spend no time on
    /// it.
    pub(super) fn measure(&self) {
        let (now, view) = (self.now(), self.view());
        metrics::gauge!(metric::RUNNING_REQUESTS.name).set(self.gate.running() as f64);
        let waiting = self.waiters.len();
        metrics::gauge!(metric::WAITING_REQUESTS.name).set(waiting as f64);
        metrics::gauge!(metric::CAPACITY_SHARERS.name).set(self.sharers());
        metrics::gauge!(metric::CONFIGURATION_VERSION.name).set(view.version() as f64);
        let bodies = self.body_memory.held();
        metrics::gauge!(metric::BODY_BYTES.name).set(bodies as f64);
        let lease = view.lease_end.since(now);
        metrics::gauge!(metric::LEASE_REMAINING.name).set(lease.as_secs_f64());
        let complete = u8::from(view.is_complete());
        metrics::gauge!(metric::ROSTER_COMPLETE.name).set(complete);
        let mut shared = self.shared();
        metrics::gauge!(metric::LIMITED_UPSTREAMS.name)
            .set(shared.rate_limiter.limited_count() as f64);
        metrics::gauge!(metric::CARRIED.name).set(shared.proxies.carried());
        metrics::gauge!(metric::CARRYING.name).set(self.capacity.used() as f64);
        let unreachable = shared.reachability.lost().count();
        metrics::gauge!(metric::UNREACHABLE_SERVICES.name).set(unreachable as f64);
        metrics::gauge!(metric::PAUSED_UPSTREAMS.name).set(shared.backoffs.len(now) as f64);
        for (service, ranks) in shared.admission.ranked() {
            for rank in ranks {
                let reserve = shared.admission.reserve(now, service, rank);
                let (name, rank) = (metric::RANK_RESERVE.name, rank.index().to_string());
                metrics::gauge!(name, "service" => service.to_owned(), "rank" => rank).set(reserve);
            }
        }
        for (service, upstreams) in &*view.services {
            let mut states = [("usable", 0), ("late", 0), ("left_out", 0)];
            let mut booked = 0.0;
            for upstream in upstreams {
                let state = match (shared.health.is_excluded(now, upstream.key), upstream.late) {
                    (true, _) => 2,
                    (false, true) => 1,
                    (false, false) => 0,
                };
                states[state].1 += 1;
                booked += shared.loads.at(upstream.key).memory;
            }
            for (state, count) in states {
                let name = metric::UPSTREAMS.name;
                metrics::gauge!(name, "service" => service.clone(), "state" => state).set(count);
            }
            metrics::gauge!(metric::BOOKED_MEMORY.name, "service" => service.clone()).set(booked);
            let left = shared
                .retry_budget
                .remaining(now, service, view.entry_count());
            metrics::gauge!(metric::RETRIES_LEFT.name, "service" => service.clone()).set(left);
        }
    }
}

/// Counts a request with a rank by how it found room.
pub(super) fn count_ranked(rank: Rank, is_short: bool, refused: bool) {
    let outcome = match (refused, is_short) {
        (true, _) => "refused",
        (false, true) => "waited",
        (false, false) => "placed",
    };
    let (name, rank) = (metric::RANK_REQUESTS.name, rank.index().to_string());
    metrics::counter!(name, "rank" => rank, "outcome" => outcome).increment(1);
}

impl Run {
    /// Counts the end of the request.
    pub(super) fn count(&self, outcome: &'static str) {
        self.ended.store(true, Ordering::Relaxed);
        let kind = metric::kind(self.call.route.retry_policy);
        let took = self.entry.now().since(self.call.began);
        metrics::counter!(metric::REQUESTS.name, "kind" => kind, "outcome" => outcome).increment(1);
        metrics::histogram!(metric::REQUEST_DURATION.name, "kind" => kind, "outcome" => outcome)
            .record(took.as_secs_f64());
    }

    /// Records the time to the first event of a stream and its longest pause.
    pub(super) fn record_pauses(&self, first: Option<Duration>, pause: Duration) {
        if let Some(first) = first {
            metrics::histogram!(metric::FIRST_EVENT_DELAY.name).record(first.as_secs_f64());
            metrics::histogram!(metric::STREAM_PAUSE.name).record(pause.as_secs_f64());
        }
    }
}
