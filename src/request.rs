//! Lifecycle cycle of one request, as a typestate.
//!
//! [`Lifecycle`] is the typestate: what may be answered depends on how far the
//! request has come. [`Generation`] runs the attempts of one generation inside
//! it. [`Answer`] is what the caller gets in the end, exactly once.

mod answer;
mod attempt;
mod code;
mod event;
mod generation;
mod id;
mod lifecycle;
mod phase;

pub(crate) use answer::{Answer, Failure, Refusal};
pub(crate) use attempt::{Frame, Hop, covers};
pub(crate) use code::{FailureCode, Ran, RefusalCode};
pub(crate) use event::{AttemptError, AttemptReport, Bounds, Effect, Event, OpenError};
pub(crate) use generation::Generation;
pub(crate) use id::RequestId;
pub(crate) use lifecycle::{Admitted, Claimed, Lifecycle, Received};
