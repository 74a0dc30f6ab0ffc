//! One attempt: its planned path, and the check of every token against it.

use crate::id::UpstreamId;
use crate::request::RequestId;

/// One stage of a path: an upstream and the layers that it runs.
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

/// One token as an engine sent it. Nothing in it is believed before
/// [`Attempt::check`] has passed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame {
    /// The request that the engine names, as written.
    pub(crate) request: String,
    /// The attempt that the engine names.
    pub(crate) attempt: u32,
    /// Position in the whole answer, from 0.
    pub(crate) index: u32,
    /// Text of the token.
    pub(crate) text: String,
    /// The stages that ran the token's layers, in order.
    pub(crate) passed: Vec<Hop>,
}

/// What the check of a frame found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The next token of this answer.
    Valid,
    /// It belongs to an older attempt of this request. It is dropped.
    Stale,
    /// It can't belong to this attempt. The attempt is broken.
    Invalid,
}

/// The attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Counts from 1 over all attempts of the request.
    pub(crate) number: u32,
    /// Planned path. Covers every layer once and in order.
    pub(crate) path: Vec<Hop>,
}

impl Attempt {
    /// Checks a frame that should be token `next` of request `id`.
    ///
    /// Guards against another request's answer on this connection (a reused
    /// connection, an engine that mixes up its streams), against tokens that an
    /// older attempt still had in flight, and against a skipped or doubled
    /// layer. Each would show as wrong text in a caller's answer that no later
    /// check can find. It holds as no other way leads to an emitted token.
    pub(crate) fn check(&self, id: RequestId, next: u32, limit: u32, frame: &Frame) -> Verdict {
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
