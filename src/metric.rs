//! Metrics of the entry and controller roles. A test checks that docs/METRICS.md lists exactly
//! these.

use crate::configuration::RetryPolicy;

/// A metric. The meaning of a name never changes. Its suffix is the unit, or `_total` for a
/// counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Metric {
    pub(crate) name: &'static str,
    /// Names of the labels, in order.
    pub(crate) labels: &'static [&'static str],
}

const fn metric(name: &'static str, labels: &'static [&'static str]) -> Metric {
    Metric { name, labels }
}

/// Requests that have ended.
pub(crate) const REQUESTS: Metric = metric("entry_requests_total", &["kind", "outcome"]);
/// Time from a request's arrival to its end.
pub(crate) const REQUEST_DURATION: Metric = metric("entry_request_seconds", &["kind", "outcome"]);
/// Time from a request's arrival to the first event of its stream.
pub(crate) const FIRST_EVENT_DELAY: Metric = metric("entry_first_event_seconds", &[]);
/// Longest pause between two events of a stream.
pub(crate) const STREAM_PAUSE: Metric = metric("entry_pause_seconds", &[]);
/// Requests that were refused without being run.
pub(crate) const REFUSALS: Metric = metric("entry_refusals_total", &["reason"]);
/// Attempts that failed.
pub(crate) const FAILED_ATTEMPTS: Metric =
    metric("entry_failed_attempts_total", &["cause", "next"]);
/// Retries that the budget was asked for.
pub(crate) const RETRIES: Metric = metric("entry_retries_total", &["service", "outcome"]);
/// Times that an attempt was silent for its stall timeout, by whether another was started beside
/// it.
pub(crate) const STALLED_ATTEMPTS: Metric =
    metric("entry_stalled_attempts_total", &["cause", "outcome"]);
/// Streams that were rerouted around engines.
pub(crate) const REROUTES: Metric = metric("entry_reroutes_total", &["cause", "taken"]);
/// Runs that were cut off by an engine crash shortly after they started.
pub(crate) const RUNS_CUT_EARLY: Metric = metric("entry_runs_cut_early_total", &[]);
/// Requests that are running.
pub(crate) const RUNNING_REQUESTS: Metric = metric("entry_running", &[]);
/// Requests that are queued for capacity on the engines.
pub(crate) const WAITING_REQUESTS: Metric = metric("entry_waiting", &[]);
/// Number of shares into which the capacity of the engines is divided.
pub(crate) const CAPACITY_SHARERS: Metric = metric("entry_room_sharers", &[]);
/// Requests with a rank, by how they found capacity at first.
pub(crate) const RANK_REQUESTS: Metric = metric("entry_rank_requests_total", &["rank", "outcome"]);
/// Fraction of the engines' memory that requests of a rank leave free for more urgent ones.
pub(crate) const RANK_RESERVE: Metric = metric("entry_rank_reserve", &["service", "rank"]);
/// Upstreams, by whether this instance uses them.
pub(crate) const UPSTREAMS: Metric = metric("entry_upstreams", &["service", "state"]);
/// Upstreams with a rate limit in force.
pub(crate) const LIMITED_UPSTREAMS: Metric = metric("entry_limited_upstreams", &[]);
/// Upstreams that get no requests since they asked for a pause or are leaving.
pub(crate) const PAUSED_UPSTREAMS: Metric = metric("entry_paused_upstreams", &[]);
/// Memory reserved on the engines for the requests of all instances.
pub(crate) const BOOKED_MEMORY: Metric = metric("entry_booked_megabytes", &["service"]);
/// Requests that this instance sent through others.
pub(crate) const REQUESTS_VIA: Metric = metric("entry_requests_via_total", &["outcome"]);
/// Requests of others that this instance carried or refused to carry.
pub(crate) const CARRIED_REQUESTS: Metric = metric("entry_carried_requests_total", &["outcome"]);
/// Requests of others that this instance carries now.
pub(crate) const CARRYING: Metric = metric("entry_carrying", &[]);
/// Requests of this instance that others carry now.
pub(crate) const CARRIED: Metric = metric("entry_carried", &[]);
/// Services of which this instance reaches no upstream.
pub(crate) const UNREACHABLE_SERVICES: Metric = metric("entry_unreachable_services", &[]);
/// Version of the configuration in force; 0 before the first.
pub(crate) const CONFIGURATION_VERSION: Metric = metric("entry_configuration_version", &[]);
/// Time for which keys may be used without another confirmation.
pub(crate) const LEASE_REMAINING: Metric = metric("entry_lease_seconds", &[]);
/// Whether the roster contains every live upstream.
pub(crate) const ROSTER_COMPLETE: Metric = metric("entry_roster_complete", &[]);
/// Time by which timers fire late.
pub(crate) const TIMER_LAG: Metric = metric("entry_timer_lag_seconds", &[]);
/// Memory of the bodies of requests and responses.
pub(crate) const BODY_BYTES: Metric = metric("entry_body_bytes", &[]);
/// Connections that were closed without a request, since others needed their places.
pub(crate) const CONNECTIONS_DISPLACED: Metric = metric("connections_displaced_total", &[]);
/// New connections that were reset, since all others had running requests.
pub(crate) const CONNECTIONS_REFUSED: Metric = metric("connections_refused_total", &[]);
/// Open connections that other instances have made to this one.
pub(crate) const PEER_CONNECTIONS: Metric = metric("peer_connections", &[]);
/// Connections of other instances that have ended.
pub(crate) const PEER_CONNECTIONS_ENDED: Metric =
    metric("peer_connections_ended_total", &["cause"]);
/// New connections that were closed unread.
pub(crate) const CONNECTIONS_SHED: Metric = metric("entry_connections_shed_total", &[]);
/// Retries left in the current window.
pub(crate) const RETRIES_LEFT: Metric = metric("entry_retries_left", &["service"]);

/// Whether this controller is the leader.
pub(crate) const IS_LEADER: Metric = metric("controller_leads", &[]);
/// Time since the last confirmation by a quorum; 0 on controllers that don't lead.
pub(crate) const QUORUM_AGE: Metric = metric("controller_quorum_age_seconds", &[]);
/// Voters of the replicated log.
pub(crate) const VOTERS: Metric = metric("controller_voters", &[]);
/// Stores that don't vote on the replicated log: they ask to join, catch up or are barred.
pub(crate) const NON_VOTERS: Metric = metric("controller_nonvoters", &[]);
/// Version of the configuration committed on this controller.
pub(crate) const COMMITTED_VERSION: Metric = metric("controller_configuration_version", &[]);
/// Upstreams known to the leader.
pub(crate) const KNOWN_UPSTREAMS: Metric = metric("controller_upstreams", &["service", "state"]);
/// Layers that no engine of a failure domain holds.
pub(crate) const MISSING_LAYERS: Metric =
    metric("controller_missing_layers", &["service", "domain"]);
/// Layer placement orders in progress.
pub(crate) const PENDING_ORDERS: Metric = metric("controller_pending_orders", &[]);
/// Layer placement orders that were sent.
pub(crate) const ORDERS: Metric = metric("controller_orders_total", &["status"]);
/// Layer placement orders that are no longer pending.
pub(crate) const ENDED_ORDERS: Metric = metric("controller_orders_ended_total", &["cause"]);
/// Entry instances that report to the leader.
pub(crate) const ENTRY_INSTANCES: Metric = metric("controller_entries", &[]);
/// Quarantined requests.
pub(crate) const QUARANTINED_REQUESTS: Metric = metric("controller_quarantined_requests", &[]);
/// Requests suspected of crashing engines and not quarantined.
pub(crate) const SUSPECT_REQUESTS: Metric = metric("controller_suspect_requests", &[]);

/// Records that this controller read to answer instances in the present term.
pub(crate) const RECORDS_READ: Metric = metric("controller_records_read", &["purpose"]);
/// Heartbeats of upstreams that this controller received.
pub(crate) const HEARTBEATS: Metric = metric("controller_heartbeats_total", &["way"]);
/// Heartbeats that the leader found older than the known state.
pub(crate) const STALE_HEARTBEATS: Metric =
    metric("controller_stale_heartbeats_total", &["reason"]);

/// All metrics, in the order of docs/METRICS.md.
#[cfg(test)]
pub(crate) const ALL: &[Metric] = &[
    REQUESTS,
    REQUEST_DURATION,
    FIRST_EVENT_DELAY,
    STREAM_PAUSE,
    REFUSALS,
    FAILED_ATTEMPTS,
    RETRIES,
    STALLED_ATTEMPTS,
    REROUTES,
    RUNS_CUT_EARLY,
    RUNNING_REQUESTS,
    WAITING_REQUESTS,
    CAPACITY_SHARERS,
    RANK_REQUESTS,
    RANK_RESERVE,
    UPSTREAMS,
    LIMITED_UPSTREAMS,
    PAUSED_UPSTREAMS,
    BOOKED_MEMORY,
    REQUESTS_VIA,
    CARRIED_REQUESTS,
    CARRYING,
    CARRIED,
    UNREACHABLE_SERVICES,
    CONFIGURATION_VERSION,
    LEASE_REMAINING,
    ROSTER_COMPLETE,
    TIMER_LAG,
    BODY_BYTES,
    CONNECTIONS_DISPLACED,
    CONNECTIONS_REFUSED,
    PEER_CONNECTIONS,
    PEER_CONNECTIONS_ENDED,
    CONNECTIONS_SHED,
    RETRIES_LEFT,
    IS_LEADER,
    QUORUM_AGE,
    VOTERS,
    NON_VOTERS,
    COMMITTED_VERSION,
    KNOWN_UPSTREAMS,
    MISSING_LAYERS,
    PENDING_ORDERS,
    ORDERS,
    ENDED_ORDERS,
    ENTRY_INSTANCES,
    QUARANTINED_REQUESTS,
    SUSPECT_REQUESTS,
    RECORDS_READ,
    HEARTBEATS,
    STALE_HEARTBEATS,
];

/// Returns the value of the label `kind` for a retry policy.
pub(crate) fn kind(policy: RetryPolicy) -> &'static str {
    match policy {
        RetryPolicy::Never => "once",
        RetryPolicy::Always => "idempotent",
        RetryPolicy::Resume => "stream",
    }
}
