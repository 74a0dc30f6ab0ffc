//! Fleet-wide claims on non-idempotent requests: at most one run each.
