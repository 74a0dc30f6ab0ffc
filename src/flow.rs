//! Maximum flow: the throughput bound that engines and links allow.
