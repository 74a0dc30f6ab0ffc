//! Durable log and snapshot files of a replica.
