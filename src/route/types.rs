//! Questions and answers of the router.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::queue::SegQueue;
use snafu::Snafu;

use crate::clock::Time;
use crate::id::UpstreamId;

/// One engine as it announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Name of the engine.
    pub id: UpstreamId,
    /// Failure domain it runs in.
    pub domain: Arc<str>,
    /// Pool whose credential it announced itself with.
    pub pool: Arc<str>,
    /// Model it holds layers of.
    pub model: Arc<str>,
    /// Version of the model. Versions never mix in a path.
    pub version: Arc<str>,
    /// First layer held.
    pub first: u32,
    /// Layer behind the last one held; above `first`.
    pub end: u32,
    /// Layers of the whole model; at least `end`.
    pub total: u32,
    /// Tokens a second through the layers held.
    pub rate: u32,
    /// Concurrent sequences.
    pub slots: u32,
    /// Network link in Mbit/s.
    pub link: u32,
    /// Sequences running, as reported.
    pub running: u32,
    /// Sequences waiting at the engine, as reported.
    pub waiting: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// When this instance learned of the report, on its own clock.
    pub reported: Time,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Model asked for.
    pub model: &'a str,
    /// Only this version, when an answer that was begun is resumed.
    pub version: Option<&'a str>,
    /// Pools that the route allows.
    pub pools: &'a [String],
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub expected: u32,
    /// Hash of the prompt's prefix, for engines that cached it.
    pub prefix: Option<u64>,
    /// Engines that must not be used, such as one that failed this request.
    pub exclude: &'a [UpstreamId],
    /// Whether the request may run again. Others are no probes for engines
    /// that failed lately, unless there is no other path.
    pub idempotent: bool,
}

impl<'a> Query<'a> {
    /// An idempotent query for a model, of no length and without exclusions.
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
    /// Layer behind the last one run.
    pub end: u32,
}

/// A chosen path.
#[derive(Debug)]
pub struct Choice {
    /// Steps in order. Each begins where the one before ended; together they
    /// run layers 0 to the total once.
    pub hops: Vec<Hop>,
    /// Version of the model that the path runs.
    pub version: Arc<str>,
    /// To be given to [`finish`](super::Router::finish).
    pub ticket: Ticket,
}

/// In-flight weight of one path.
///
/// [`finish`](super::Router::finish) takes it by value, so its weight is given
/// back once at most; a ticket that is dropped, by a panicking thread say,
/// gives its weight back too.
#[derive(Debug)]
#[must_use = "the path counts as in flight while its ticket lives"]
pub struct Ticket {
    pub(crate) engines: Vec<u32>,
    /// Seconds a token was expected to take over the whole path.
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
    /// All tokens came.
    Done {
        /// Mean time between two tokens.
        token: Duration,
    },
    /// The stream was cut, or an engine timed out or answered wrongly.
    Failed {
        /// Index of the hop to blame.
        stage: usize,
    },
    /// The stream was cut, and any of the engines may be the cause.
    Unattributed,
    /// An engine refused before it ran anything.
    Busy {
        /// Index of the hop that refused.
        stage: usize,
    },
    /// The caller left. Says nothing about the engines.
    Cancelled,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPathReason {
    /// No engine in the allowed pools holds some layer.
    Missing,
    /// Engines hold all layers, but those in the way are full.
    Full,
}

/// There is no path at present. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no path ({reason:?}): nothing was run, try again in {retry_after:?}"))]
pub struct NoPath {
    /// Why.
    pub reason: NoPathReason,
    /// When another try has a chance.
    pub retry_after: Duration,
}

impl NoPath {
    /// No engines are known that could serve.
    pub(crate) fn unknown() -> Self {
        Self {
            reason: NoPathReason::Missing,
            retry_after: Duration::from_secs(1),
        }
    }

    /// All engines are full; one of them ends a request before long.
    pub(crate) fn full() -> Self {
        Self {
            reason: NoPathReason::Full,
            retry_after: Duration::from_millis(100),
        }
    }
}
