//! Which instances are alive: a SWIM-style failure detector.
