//! JSON messages: docs/UPSTREAMS.md, and the calls between emulated stages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One stage of a pipeline and the layers it runs.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Hop {
    pub(crate) upstream: String,
    pub(crate) address: SocketAddr,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// The body of `POST /v1/pipeline`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Generate {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) model: String,
    pub(crate) prompt: String,
    #[serde(default)]
    pub(crate) tokens: Vec<String>,
    pub(crate) limit: usize,
    /// Time left in milliseconds.
    pub(crate) remaining: u64,
    /// Not empty; the first hop is the receiver.
    pub(crate) path: Vec<Hop>,
}

/// The layers that one stage reports to have run for a token.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Passed {
    pub(crate) upstream: String,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// One token event.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Token {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) index: usize,
    pub(crate) text: String,
    pub(crate) passed: Vec<Passed>,
}

/// The closing event.
#[derive(Debug, Serialize)]
pub(crate) struct Done<'a> {
    pub(crate) request: &'a str,
    pub(crate) attempt: u64,
    pub(crate) done: bool,
    pub(crate) count: usize,
    pub(crate) reason: &'a str,
}

/// The body of `POST /v1/stage`: one token through one further stage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StageCall {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) index: usize,
    pub(crate) state: u64,
    pub(crate) first: u32,
    pub(crate) end: u32,
    /// The sequence ends behind this token.
    pub(crate) last: bool,
}

/// The body of `POST /v1/stage/end`: the sequence was cancelled.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StageEnd {
    pub(crate) request: String,
    pub(crate) attempt: u64,
}

/// The answer to a stage call.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct StageReply {
    pub(crate) state: u64,
    pub(crate) passed: Passed,
}

/// The answer to an announcement.
#[derive(Debug, Deserialize)]
pub(crate) struct Renew {
    /// Milliseconds to the next announcement.
    pub(crate) renew: u64,
}
