//! Input events and output effects of a [`Generation`].
//!
//! [`Generation`]: super::Generation

use std::time::Duration;

use crate::claim::{ClaimLease, ClaimToken, Outcome};
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::{Answer, Frame, Hop, RequestId};

/// Limits of a generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest number of tokens in the answer.
    pub(crate) max_tokens: u32,
    /// Number of layers in the model.
    pub(crate) layers: u32,
    /// Largest number of attempts, including the first. Attempts that a busy engine
    /// didn't run don't count.
    pub(crate) max_attempts: u32,
    /// Deadline of the request.
    pub(crate) deadline: Time,
    /// Longest wait for the first token of an attempt.
    pub(crate) first_timeout: Duration,
    /// Longest wait between two tokens.
    pub(crate) idle_timeout: Duration,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AttemptError {
    /// The connection was refused, so no process received a byte.
    Refused,
    /// The connection ended before the closing event.
    ConnectionLost,
    /// The data is malformed or doesn't belong to this attempt.
    InvalidData,
    /// No token arrived in time.
    Timeout,
}

/// Why an attempt couldn't be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// No path covers the layers.
    NoPath,
    /// The retry budget is exhausted.
    RetryBudget,
    /// No path became free in time.
    Deadline,
    /// The instance can't confirm its catalogue.
    CatalogueLease,
    /// The route has been removed from the catalogue.
    NoRoute,
}

/// Input of a [`super::Generation`] from its driver.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A path was chosen for the attempt. The first byte must not be sent before
    /// [`Effect::Send`].
    Started {
        /// From [`Effect::Open`].
        attempt: u32,
        /// Planned path.
        path: Vec<Hop>,
        /// New lease of the claim, if it was renewed.
        lease: Option<ClaimLease>,
    },
    /// The attempt couldn't be opened.
    OpenFailed {
        /// From [`Effect::Open`].
        attempt: u32,
        /// The cause.
        reason: OpenError,
        /// Time that the caller should wait before a retry.
        retry_after: Option<Duration>,
    },
    /// The catalogue changed after the path was chosen.
    Outdated {
        /// From [`Effect::Open`].
        attempt: u32,
    },
    /// A token arrived.
    Frame {
        /// The attempt that the connection was opened for.
        conn_attempt: u32,
        /// The token as sent by the engine.
        frame: Frame,
    },
    /// The closing event arrived.
    Done {
        /// The attempt that the connection was opened for.
        conn_attempt: u32,
        /// Request id as sent by the engine.
        request: String,
        /// Attempt number as sent by the engine.
        attempt: u32,
        /// Number of tokens in the whole answer.
        count: u32,
    },
    /// The first upstream answered 503 before any token.
    Busy {
        /// The attempt.
        attempt: u32,
        /// Whether a busy upstream is guaranteed to have run nothing. The protocol of
        /// engines guarantees it; a plain service may have done its work and then
        /// found another service busy.
        not_run: bool,
    },
    /// The attempt ended without its closing event.
    Failed {
        /// The attempt.
        attempt: u32,
        /// The cause.
        cause: AttemptError,
        /// The upstream at fault, if known.
        suspect: Option<UpstreamId>,
    },
    /// Time has passed.
    Tick,
    /// The caller closed its connection.
    CallerLeft,
}

/// Result of an attempt, for the choice of later paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptReport {
    /// It completed the answer.
    Served,
    /// Its first engine was busy.
    Busy,
    /// It failed.
    Failed {
        /// The cause.
        cause: AttemptError,
        /// The upstream at fault, if known.
        suspect: Option<UpstreamId>,
    },
}

/// Action that a [`super::Generation`] requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Choose a path, renew the claim if its lease is about to end, and reply with
    /// [`Event::Started`], [`Event::OpenFailed`] or [`Event::Outdated`].
    Open {
        /// Counts from 1.
        attempt: u32,
        /// Whether it draws on the retry budget, as an earlier attempt failed.
        retry: bool,
        /// Number of tokens after which the attempt resumes; see
        /// [`super::Generation::tokens`].
        resume: u32,
        /// Upstreams to avoid if another path exists.
        exclude: Vec<UpstreamId>,
    },
    /// Send the attempt's request.
    Send {
        /// The attempt.
        attempt: u32,
        /// Time by which the first byte must be sent, if limited. The driver checks it
        /// again once it is connected.
        send_by: Option<Time>,
    },
    /// Write a verified token to the caller, if it is still connected.
    Emit {
        /// The request that the token belongs to, for a check by the writer.
        request: RequestId,
        /// Position in the answer.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Close the attempt's connection.
    Cancel {
        /// The attempt.
        attempt: u32,
    },
    /// Report the result of an attempt to the routing.
    Report {
        /// Path of the attempt.
        path: Vec<Hop>,
        /// The result.
        report: AttemptReport,
    },
    /// Release the claim, as no byte was sent.
    Release {
        /// The claim's holder.
        token: ClaimToken,
    },
    /// Settle the claim.
    Settle {
        /// The claim's holder.
        token: ClaimToken,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Give the final answer. A stream that has started ends with the closing marker
    /// if the answer is complete, else with an error event.
    Finish(Answer),
}
