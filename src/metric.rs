//! Names of the metrics of the entry and controller roles. docs/METRICS.md is
//! their catalogue; a test keeps the two equal.

use crate::configuration::RetryPolicy;

/// One metric, under a name that never changes its meaning. The end of the name
/// tells the unit; a counter ends in `_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Metric {
    pub(crate) name: &'static str,
    /// Labels, in order.
    pub(crate) labels: &'static [&'static str],
}

const fn metric(name: &'static str, labels: &'static [&'static str]) -> Metric {
    Metric { name, labels }
}

/// Requests that ended.
pub(crate) const REQUESTS: Metric = metric("entry_requests_total", &["kind", "outcome"]);
/// Time from a request's arrival to its end.
pub(crate) const REQUEST_TIME: Metric = metric("entry_request_seconds", &["kind", "outcome"]);
/// Time from a request's arrival to the first event of its stream.
pub(crate) const FIRST_EVENT: Metric = metric("entry_first_event_seconds", &[]);
/// Longest pause between two events of a stream.
pub(crate) const PAUSE: Metric = metric("entry_pause_seconds", &[]);
/// Requests that were refused as not run.
pub(crate) const REFUSALS: Metric = metric("entry_refusals_total", &["reason"]);
/// Attempts that failed.
pub(crate) const FAILURES: Metric = metric("entry_failed_attempts_total", &["cause", "next"]);
/// Streams that were led around engines.
pub(crate) const REROUTES: Metric = metric("entry_reroutes_total", &["cause", "taken"]);
/// Runs that an engine crash cut off shortly after they began.
pub(crate) const CUT_EARLY: Metric = metric("entry_runs_cut_early_total", &[]);
/// Requests under way.
pub(crate) const RUNNING: Metric = metric("entry_running", &[]);
/// Requests that wait in line for room on the engines.
pub(crate) const WAITING: Metric = metric("entry_waiting", &[]);
/// Instances or requests among which the room on the engines is divided.
pub(crate) const SHARERS: Metric = metric("entry_room_sharers", &[]);
/// Upstreams as this instance uses them.
pub(crate) const UPSTREAMS: Metric = metric("entry_upstreams", &["service", "state"]);
/// Upstreams with a rate limit in force.
pub(crate) const LIMITED: Metric = metric("entry_limited_upstreams", &[]);
/// Memory for requests that is booked on the engines, of all instances.
pub(crate) const BOOKED: Metric = metric("entry_booked_megabytes", &["service"]);
/// Version of the configuration in force; 0 before the first.
pub(crate) const VERSION: Metric = metric("entry_configuration_version", &[]);
/// Time for which keys may still be used without another confirmation.
pub(crate) const LEASE: Metric = metric("entry_lease_seconds", &[]);
/// Whether the roster holds every upstream that lives.
pub(crate) const COMPLETE: Metric = metric("entry_roster_complete", &[]);
/// Retries that are left in the present window.
pub(crate) const RETRIES: Metric = metric("entry_retries_left", &["service"]);

/// Whether this controller leads.
pub(crate) const LEADS: Metric = metric("controller_leads", &[]);
/// Age of the latest confirmation by a quorum; only the leader has one.
pub(crate) const QUORUM_AGE: Metric = metric("controller_quorum_age_seconds", &[]);
/// Voters of the replicated log.
pub(crate) const VOTERS: Metric = metric("controller_voters", &[]);
/// Version of the configuration that is committed here.
pub(crate) const COMMITTED: Metric = metric("controller_configuration_version", &[]);
/// Upstreams that the leader knows.
pub(crate) const KNOWN: Metric = metric("controller_upstreams", &["service", "state"]);
/// Layers that no engine of a failure domain holds.
pub(crate) const MISSING: Metric = metric("controller_missing_layers", &["service", "domain"]);
/// Orders for layers that are under way.
pub(crate) const PENDING: Metric = metric("controller_pending_orders", &[]);
/// Orders for layers that were given.
pub(crate) const ORDERS: Metric = metric("controller_orders_total", &["status"]);
/// Entry instances that report to the leader.
pub(crate) const ENTRIES: Metric = metric("controller_entries", &[]);
/// Quarantined requests.
pub(crate) const QUARANTINED: Metric = metric("controller_quarantined_requests", &[]);
/// Requests suspected of crashing engines and not quarantined.
pub(crate) const SUSPECTS: Metric = metric("controller_suspect_requests", &[]);

/// Heartbeats of upstreams that this controller took.
pub(crate) const HEARTBEATS: Metric = metric("controller_heartbeats_total", &["way"]);

/// All of them, in the order of the catalogue.
#[cfg(test)]
pub(crate) const ALL: &[Metric] = &[
    REQUESTS,
    REQUEST_TIME,
    FIRST_EVENT,
    PAUSE,
    REFUSALS,
    FAILURES,
    REROUTES,
    CUT_EARLY,
    RUNNING,
    WAITING,
    SHARERS,
    UPSTREAMS,
    LIMITED,
    BOOKED,
    VERSION,
    LEASE,
    COMPLETE,
    RETRIES,
    LEADS,
    QUORUM_AGE,
    VOTERS,
    COMMITTED,
    KNOWN,
    MISSING,
    PENDING,
    ORDERS,
    ENTRIES,
    QUARANTINED,
    SUSPECTS,
    HEARTBEATS,
];

/// The kind of a request as the label `kind` names it.
pub(crate) fn kind(repeat: RetryPolicy) -> &'static str {
    match repeat {
        RetryPolicy::Never => "once",
        RetryPolicy::Always => "idempotent",
        RetryPolicy::Resume => "stream",
    }
}
