//! Single failures, told in order.
