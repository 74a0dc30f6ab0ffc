//! What goes into a [`Generation`] and what comes out of it.
//!
//! [`Generation`]: super::Generation

use std::time::Duration;

use crate::claim::{ClaimLease, ClaimToken, Outcome};
use crate::clock::Time;
use crate::id::UpstreamId;
use crate::request::{Answer, Frame, Hop, RequestId};

/// Bounds of one generation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Most tokens of the answer.
    pub(crate) max_tokens: u32,
    /// Layers of the model.
    pub(crate) layers: u32,
    /// Most attempts, the first one included. One that an engine was too busy
    /// to run doesn't count.
    pub(crate) max_attempts: u32,
    /// End of the request's time.
    pub(crate) deadline: Time,
    /// Longest wait for the first token of an attempt.
    pub(crate) first_timeout: Duration,
    /// Longest wait between two tokens.
    pub(crate) idle_timeout: Duration,
}

/// Why an attempt broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AttemptError {
    /// The connection was refused: no byte reached a process.
    Refused,
    /// The connection ended before the closing event.
    ConnectionLost,
    /// Something came that doesn't belong to this attempt, or can't be read.
    InvalidData,
    /// No token came in time.
    Timeout,
}

/// Why no attempt could be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// No path covers the layers.
    NoPath,
    /// The retry budget is used up.
    RetryBudget,
    /// No path was free in time.
    Deadline,
    /// The instance can't confirm its catalogue.
    CatalogueLease,
    /// The catalogue has no such route any more.
    NoRoute,
}

/// What the driver tells a [`super::Generation`].
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// A path is chosen for the attempt. The first byte must not leave before
    /// [`Effect::Send`].
    Started {
        /// From [`Effect::Open`].
        attempt: u32,
        /// Planned path.
        path: Vec<Hop>,
        /// The claim's new lease, if it was renewed.
        lease: Option<ClaimLease>,
    },
    /// The attempt can't be opened.
    OpenFailed {
        /// From [`Effect::Open`].
        attempt: u32,
        /// Why.
        reason: OpenError,
        /// Pause that the caller should make.
        retry_after: Option<Duration>,
    },
    /// The path was chosen by a catalogue that was changed meanwhile.
    Outdated {
        /// From [`Effect::Open`].
        attempt: u32,
    },
    /// A token came on the connection of attempt `on`.
    Frame {
        /// The attempt that the connection was opened for.
        conn_attempt: u32,
        /// What the engine sent.
        frame: Frame,
    },
    /// The closing event came on the connection of attempt `on`.
    Done {
        /// The attempt that the connection was opened for.
        conn_attempt: u32,
        /// The request that the engine names.
        request: String,
        /// The attempt that the engine names.
        attempt: u32,
        /// Tokens of the whole answer.
        count: u32,
    },
    /// The first upstream answered 503 before any token.
    Busy {
        /// The attempt.
        attempt: u32,
        /// Whether its protocol says that a busy upstream ran nothing. That of
        /// engines does; a plain service may have done its work and then found
        /// another one busy.
        not_run: bool,
    },
    /// The attempt ended without its closing event.
    Failed {
        /// The attempt.
        attempt: u32,
        /// What was seen.
        cause: AttemptError,
        /// The stage at fault, where known.
        suspect: Option<UpstreamId>,
    },
    /// Time has passed.
    Tick,
    /// The caller closed its connection.
    CallerLeft,
}

/// How an attempt went, for the choice of later paths.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AttemptReport {
    /// It brought the whole answer.
    Served,
    /// Its first engine was busy.
    Busy,
    /// It failed.
    Failed {
        /// What was seen.
        cause: AttemptError,
        /// The stage at fault, where known.
        suspect: Option<UpstreamId>,
    },
}

/// What a [`super::Generation`] tells its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Effect {
    /// Choose a path, renew the claim if its lease is short, and answer with
    /// `Started` or `OpenError`.
    Open {
        /// Counts from 1.
        attempt: u32,
        /// Whether it takes from the retry budget: an attempt before it broke.
        retry: bool,
        /// Tokens that the attempt starts behind; see [`super::Generation::tokens`].
        resume: u32,
        /// Upstreams to avoid where another path exists.
        exclude: Vec<UpstreamId>,
    },
    /// Send the attempt's request.
    Send {
        /// The attempt.
        attempt: u32,
        /// Time at which the first byte must have left, if there is one: the
        /// driver checks it again when it is connected.
        send_by: Option<Time>,
    },
    /// Write a verified token to the caller, if it is still there.
    Emit {
        /// The request that it belongs to, for the writer's own check.
        request: RequestId,
        /// Position in the whole answer.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// Close the attempt's connection.
    Cancel {
        /// The attempt.
        attempt: u32,
    },
    /// Tell the router how an attempt went.
    Report {
        /// The path that was used.
        path: Vec<Hop>,
        /// How it went.
        report: AttemptReport,
    },
    /// Release the claim: no byte left.
    Release {
        /// The claim's holder.
        token: ClaimToken,
    },
    /// Settle the claim.
    Settle {
        /// The claim's holder.
        token: ClaimToken,
        /// What is known.
        outcome: Outcome,
    },
    /// The one final answer. A stream that has begun ends with the closing
    /// marker if it is complete, else with an error event.
    Finish(Answer),
}
