//! Causes of failed attempts, as logged.

/// Failure cause: the upstream refused the connection.
pub(super) const NO_CONNECTION: &str = "connect";

/// Failure cause: connecting to the upstream took too long.
pub(super) const CONNECT_TIMED_OUT: &str = "connect_timeout";

/// Whether an attempt failed since this instance didn't connect to the upstream.
pub(super) fn is_unconnected(cause: &str) -> bool {
    matches!(cause, NO_CONNECTION | CONNECT_TIMED_OUT)
}

/// Failure cause: this instance reaches no upstream, and no other instance carried the request.
pub(super) const NO_PROXY: &str = "no_proxy";

/// Failure cause: the connection to the instance that carried the request was lost.
pub(super) const PROXY_LOST: &str = "proxy_lost";

/// Failure cause: the upstream closed the connection before the response head.
pub(super) const CUT: &str = "cut";

/// Failure cause: the upstream sent more than any response head has.
pub(super) const LONG_HEAD: &str = "long_head";

/// Failure cause: what the upstream sent is no response to the request.
pub(super) const GARBAGE: &str = "garbage";

/// Failure cause: the first engine reported another engine of the path as dead.
pub(super) const DEAD_ENGINE: &str = "dead_part";

/// Cause of a hedge: the attempt waits for an engine that seems dead, and no path leads around it.
pub(super) const BLOCKED: &str = "blocked";

/// Failure cause: the upstream refused and wants no requests for a while.
pub(super) const PAUSED: &str = "paused";

/// Failure cause: the upstream refused at once.
pub(super) const REFUSED: &str = "refused";

/// Whether the cause of a failure is that an upstream closed the connection during a run.
pub(super) fn is_cut(cause: &str) -> bool {
    matches!(cause, CUT | "cut_body" | "cut_event" | "cut_stream")
}
