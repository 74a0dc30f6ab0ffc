//! Replicated log: election, replication, snapshots, membership change.
