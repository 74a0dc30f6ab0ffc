//! Carries requests between instances.
//!
//! An instance that reaches no upstream of a service itself sends its requests through another
//! one. The sender makes all decisions: it chooses the upstream and the path, books the load,
//! counts attempts and retries, and holds the caller's key. The carrier only connects to the
//! upstream that the request names, and passes head and body on as they are. It carries nothing
//! through a third instance.

mod carry;
mod link;
pub(crate) mod message;

pub(super) use self::carry::Capacity;
pub(super) use self::link::{Carried, Via};
pub(super) use self::message::{RESERVED_HEADERS, Refusal};
