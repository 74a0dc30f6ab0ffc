//! Input and output types of the router.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::queue::SegQueue;
use snafu::Snafu;

use crate::clock::Time;
use crate::id::UpstreamId;

/// One engine as announced.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Name of the engine.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: Arc<str>,
    /// Pool whose credential the announcement used.
    pub pool: Arc<str>,
    /// Model whose layers the engine holds.
    pub model: Arc<str>,
    /// Version of the model. A path never mixes versions.
    pub version: Arc<str>,
    /// First layer held.
    pub first: u32,
    /// Layer after the last one held; above `first`.
    pub end: u32,
    /// Number of layers of the whole model; at least `end`.
    pub total: u32,
    /// Tokens per second through the layers held.
    pub rate: u32,
    /// Maximum number of concurrent sequences.
    pub slots: u32,
    /// Bandwidth of the network link in Mbit/s.
    pub link: u32,
    /// Reported number of running sequences.
    pub running: u32,
    /// Reported number of sequences waiting at the engine.
    pub waiting: u32,
    /// Whether the engine accepts no new work.
    pub leaving: bool,
    /// Time at which this instance received the report, on its own clock.
    pub reported: Time,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Requested model.
    pub model: &'a str,
    /// Required version, if a partial answer is resumed.
    pub version: Option<&'a str>,
    /// Pools that the route allows.
    pub pools: &'a [String],
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub expected: u32,
    /// Hash of the prompt's prefix, to prefer engines that cached it.
    pub prefix: Option<u64>,
    /// Engines that must not be used, such as one that failed this request.
    pub exclude: &'a [UpstreamId],
    /// Whether the request may run again. If not, engines on probation are used
    /// only if there is no other path.
    pub idempotent: bool,
}

impl<'a> Query<'a> {
    /// Creates an idempotent query for a model, without tokens or exclusions.
    #[must_use]
    pub fn new(model: &'a str, pools: &'a [String]) -> Self {
        Self {
            model,
            version: None,
            pools,
            prompt: 0,
            expected: 0,
            prefix: None,
            exclude: &[],
            idempotent: true,
        }
    }
}

/// One step of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hop {
    /// Engine that runs the step.
    pub upstream: UpstreamId,
    /// First layer run.
    pub first: u32,
    /// Layer after the last one run.
    pub end: u32,
}

/// A chosen path.
#[derive(Debug)]
pub struct Choice {
    /// Steps in order. Each begins where the previous one ended; together they
    /// run layers 0 to the total once.
    pub hops: Vec<Hop>,
    /// Version of the model that the path runs.
    pub version: Arc<str>,
    /// Must be passed to [`finish`](super::Router::finish).
    pub ticket: Ticket,
}

/// In-flight count of one path.
///
/// [`finish`](super::Router::finish) takes it by value, so its count is
/// released at most once. A ticket that is dropped, for instance by a panicking
/// thread, releases its count too.
#[derive(Debug)]
#[must_use = "the path counts as in flight while its ticket lives"]
pub struct Ticket {
    pub(crate) engines: Vec<u32>,
    /// Expected seconds per token over the whole path.
    pub(crate) expected: f64,
    pub(crate) prefix: Option<u64>,
    pub(crate) returns: Arc<SegQueue<Vec<u32>>>,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.engines.is_empty() {
            self.returns.push(std::mem::take(&mut self.engines));
        }
    }
}

/// How a path ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// All tokens were received.
    Done {
        /// Mean time between two tokens.
        token: Duration,
    },
    /// The stream was cut, or an engine timed out or gave an invalid answer.
    Failed {
        /// Index of the hop to blame.
        stage: usize,
    },
    /// The stream was cut, and any engine of the path may be the cause.
    Unattributed,
    /// An engine refused before it ran anything.
    Busy {
        /// Index of the hop that refused.
        stage: usize,
    },
    /// The caller disconnected. Says nothing about the engines.
    Cancelled,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPathReason {
    /// No engine in the allowed pools holds some layer.
    Missing,
    /// Engines in the allowed pools hold all layers, but are full.
    Full,
}

/// There is no path at present. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no path ({reason:?}): request not run; retry in {retry_after:?}"))]
pub struct NoPath {
    /// Reason that there is no path.
    pub reason: NoPathReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl NoPath {
    /// No known engine can serve the request.
    pub(crate) fn unknown() -> Self {
        Self {
            reason: NoPathReason::Missing,
            retry_after: Duration::from_secs(1),
        }
    }

    /// All engines are full. One of them is expected to finish a request soon.
    pub(crate) fn full() -> Self {
        Self {
            reason: NoPathReason::Full,
            retry_after: Duration::from_millis(100),
        }
    }
}
