//! The state machine of a single request.
//!
//! [`Lifecycle`] is a typestate: which answers are possible depends on how far the
//! request has come. Within it, [`Generation`] runs the attempts to generate the
//! answer. Each request ends with exactly one [`Answer`].

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
