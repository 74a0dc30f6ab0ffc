//! A generation or call to run, and what it hands to the caller's side.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use super::claims::ClaimKey;
use super::service::Call;
use crate::catalogue::Class;
use crate::clock::Time;
use crate::gate::RunningGuard;
use crate::id::OrganisationId;
use crate::request::{Answer, RequestId};

/// Pieces of an answer that may wait for a slow caller.
pub(crate) const OUTPUT: usize = 64;

/// A generation to run.
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) organisation: OrganisationId,
    pub(crate) route: Arc<str>,
    pub(crate) class: Class,
    pub(crate) model: Arc<str>,
    pub(crate) pools: Arc<[String]>,
    pub(crate) prompt_tokens: u32,
    /// Hash of the prompt's beginning, for engines that cached it.
    pub(crate) prefix: Option<u64>,
    /// Tokens of the whole answer.
    pub(crate) limit: u32,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Time,
    /// The claim's name; used only if the request has a claim.
    pub(crate) key: Option<ClaimKey>,
    /// Tokens used so far, for the limits.
    pub(crate) used: Arc<AtomicU32>,
    /// What each attempt does.
    pub(crate) work: Work,
    /// Keeps a graceful shutdown waiting until the answer is whole.
    pub(crate) running: RunningGuard,
}

/// What each attempt does.
pub(crate) enum Work {
    /// Sends this prompt to engines.
    Engine(String),
    /// Calls a plain service.
    Call(Call),
}

/// What a generation hands to the caller's side.
#[derive(Debug)]
pub(crate) enum Output {
    /// A verified token.
    Token(String),
    /// The final answer; nothing follows.
    Finish(Answer),
}
