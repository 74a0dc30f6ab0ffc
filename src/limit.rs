//! Leased shares of fleet-wide limits.
