//! Life cycle of one request, as a typestate.
