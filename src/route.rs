//! Choice of a pipeline: an ordered list of upstreams that covers all layers once.
