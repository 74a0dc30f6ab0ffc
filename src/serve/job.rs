//! A generation or service call to run, and its output to the response writer.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use super::claims::ClaimKey;
use super::service::Call;
use crate::catalogue::Class;
use crate::clock::Time;
use crate::gate::RunningGuard;
use crate::id::OrganisationId;
use crate::request::{Answer, RequestId};

/// Capacity of the channel to a slow caller, in pieces of the answer.
pub(crate) const OUTPUT_CAPACITY: usize = 64;

/// A generation or service call to run.
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) route: Arc<str>,
    pub(crate) class: Class,
    pub(crate) model: Arc<str>,
    pub(crate) pools: Arc<[String]>,
    pub(crate) prompt_tokens: u32,
    /// Hash of the prompt's prefix, to prefer engines that have it cached.
    pub(crate) prefix: Option<u64>,
    /// Maximum number of tokens of the answer.
    pub(crate) limit: u32,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    /// Key of the claim; used only if the request has a claim.
    pub(crate) key: Option<ClaimKey>,
    /// Tokens used so far, counted against the limits.
    pub(crate) used: Arc<AtomicU32>,
    pub(crate) work: Work,
    /// Delays a graceful shutdown until the answer is complete.
    pub(crate) running: RunningGuard,
}

/// Work of each attempt.
pub(crate) enum Work {
    /// Sends the prompt to an engine.
    Engine(String),
    /// Calls a plain service.
    Call(Call),
}

/// Output of a generation or service call, in order.
#[derive(Debug)]
pub(crate) enum Output {
    /// A verified token.
    Token(String),
    /// The final answer; nothing follows.
    Finish(Answer),
}
