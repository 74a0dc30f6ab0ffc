//! JSON messages of the upstream protocol (docs/UPSTREAMS.md) and of the calls between
//! emulated stages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Stage of a pipeline and the layers that it runs.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Hop {
    pub(crate) upstream: String,
    pub(crate) address: SocketAddr,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// Body of `POST /v1/pipeline`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct PipelineRequest {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) model: String,
    pub(crate) prompt: String,
    #[serde(default)]
    pub(crate) tokens: Vec<String>,
    pub(crate) limit: usize,
    /// Time left until the deadline, in milliseconds.
    pub(crate) remaining: u64,
    /// Stages in order; never empty, and the first one is the receiver.
    pub(crate) path: Vec<Hop>,
}

/// Layers that a stage reports to have run for a token.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LayerRange {
    pub(crate) upstream: String,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// Event with one token.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TokenEvent {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) index: usize,
    pub(crate) text: String,
    pub(crate) passed: Vec<LayerRange>,
}

/// Last event of a complete response.
#[derive(Debug, Serialize)]
pub(crate) struct DoneEvent<'a> {
    pub(crate) request: &'a str,
    pub(crate) attempt: u64,
    pub(crate) done: bool,
    pub(crate) count: usize,
    pub(crate) reason: &'a str,
}

/// Body of `POST /v1/stage`, which runs one token through a later stage.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StageCall {
    pub(crate) request: String,
    pub(crate) attempt: u64,
    pub(crate) index: usize,
    pub(crate) state: u64,
    pub(crate) first: u32,
    pub(crate) end: u32,
    /// Whether this is the last token of the sequence.
    pub(crate) last: bool,
}

/// Body of `POST /v1/stage/end`, which cancels a sequence.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StageEnd {
    pub(crate) request: String,
    pub(crate) attempt: u64,
}

/// Response to a stage call.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct StageReply {
    pub(crate) state: u64,
    pub(crate) passed: LayerRange,
}

/// Response to an announcement.
#[derive(Debug, Deserialize)]
pub(crate) struct AnnounceReply {
    /// Time until the next announcement, in milliseconds.
    pub(crate) renew: u64,
}
