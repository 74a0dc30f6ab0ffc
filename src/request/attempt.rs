//! An attempt with its planned path, against which every token is verified.

use crate::id::UpstreamId;
use crate::request::RequestId;

/// A stage of a path: an upstream and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Hop {
    /// The engine.
    pub(crate) upstream: UpstreamId,
    /// First layer, inclusive.
    pub(crate) first: u32,
    /// End of the layers, exclusive.
    pub(crate) end: u32,
}

/// Whether `path` runs layers 0 to `total` exactly once each and in order.
pub(crate) fn covers(path: &[Hop], total: u32) -> bool {
    let end = path.iter().try_fold(0, |at, hop| {
        (hop.first == at && hop.end > at).then_some(hop.end)
    });
    total > 0 && end == Some(total)
}

/// A token as received from an engine. Untrusted until [`Attempt::verify`] has
/// accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    /// Request id as sent by the engine, not yet parsed.
    pub(crate) request: String,
    /// Attempt number as sent by the engine.
    pub(crate) attempt: u32,
    /// Position in the answer, from 0.
    pub(crate) index: u32,
    /// Text of the token.
    pub(crate) text: String,
    /// The stages that ran the token's layers, in order.
    pub(crate) passed: Vec<Hop>,
}

/// Result of verifying a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The next token of the answer.
    Valid,
    /// A token of an earlier attempt of this request, to be dropped.
    Stale,
    /// A token that can't belong to this attempt. The attempt has failed.
    Invalid,
}

/// The attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Counts from 1 over all attempts of the request.
    pub(crate) number: u32,
    /// Planned path. Covers each layer exactly once and in order.
    pub(crate) path: Vec<Hop>,
}

impl Attempt {
    /// Verifies a frame that should be token `next` of request `id`. No token is
    /// emitted without this check, since no later one can detect wrong text in the
    /// answer.
    ///
    /// Guards against the answer of another request (on a reused connection, or
    /// from an engine that mixes up its streams), against tokens of an earlier
    /// attempt that were still in flight, and against skipped or repeated layers.
    pub(crate) fn verify(&self, id: RequestId, next: u32, limit: u32, frame: &Frame) -> Verdict {
        if frame.request.parse() != Ok(id) {
            return Verdict::Invalid;
        }
        if frame.attempt < self.number {
            return Verdict::Stale;
        }
        let valid = frame.attempt == self.number
            && frame.index == next
            && next < limit
            && frame.passed == self.path;
        if valid {
            Verdict::Valid
        } else {
            Verdict::Invalid
        }
    }
}
