//! Bodies that are read whole before any of it is forwarded, within bounds: an upstream may send
//! bytes without end.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::body::{self, Body};

/// Maximum size of a body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum number of pieces in which a body arrives, 1 KiB each for the longest one. Without this
/// bound, chunks of one byte take seconds of processor time before they exceed [`MAX_BODY_BYTES`].
pub(crate) const MAX_PIECES: usize = 16 << 10;

/// Size of a segment of a body, in bytes. The last one of each body isn't counted, so that usual
/// bodies, which are shorter, are read also while long ones use up the memory.
pub(crate) const SEGMENT_BYTES: usize = 64 << 10;

/// Fraction of the instance's memory for bodies that are longer than a segment.
const MEMORY_FRACTION: u64 = 4;

/// Memory of an instance whose settings name none, in bytes.
const DEFAULT_MEMORY: u64 = 256 << 20;

/// Why a body wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It ended early.
    Cut,
    /// It has more than [`MAX_BODY_BYTES`] or [`MAX_PIECES`].
    TooLong,
    /// Other bodies use up the memory.
    NoMemory,
}

/// Memory for the bodies that an instance holds at the same time.
pub(crate) struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// A part of the instance's memory in bytes, if its settings name it.
    pub(crate) fn new(memory: Option<u64>) -> Self {
        let bytes = memory.unwrap_or(DEFAULT_MEMORY) / MEMORY_FRACTION;
        let segments = bytes / SEGMENT_BYTES as u64;
        let segments = usize::try_from(segments).unwrap_or(usize::MAX);
        Self(Arc::new(Semaphore::new(
            segments.min(Semaphore::MAX_PERMITS),
        )))
    }

    /// Number of segments that can still be taken.
    #[cfg(test)]
    pub(crate) fn free(&self) -> usize {
        self.0.available_permits()
    }

    fn take(&self) -> Result<OwnedSemaphorePermit, BodyError> {
        let permit = Arc::clone(&self.0).try_acquire_owned();
        permit.map_err(|_| BodyError::NoMemory)
    }
}

/// A full segment, counted until it is dropped.
struct Segment {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

/// A body that was read whole.
#[derive(Default)]
pub(crate) struct WholeBody {
    segments: Vec<Segment>,
    /// What follows the segments, at most [`SEGMENT_BYTES`].
    rest: BytesMut,
}

impl WholeBody {
    /// Reads a body to its end.
    pub(crate) async fn read<B>(body: &mut B, memory: &BodyMemory) -> Result<Self, BodyError>
    where
        B: hyper::body::Body<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(BodyError::TooLong);
        }
        let mut whole = Self::default();
        for _ in 0..=MAX_PIECES {
            let Some(frame) = body.frame().await else {
                return Ok(whole);
            };
            let frame = frame.map_err(|_| BodyError::Cut)?;
            whole.push(&frame.into_data().unwrap_or_default(), memory)?;
        }
        Err(BodyError::TooLong)
    }

    /// Appends bytes. They are copied, since many small pieces, each of which keeps a buffer, would
    /// take far more memory than their bytes.
    fn push(&mut self, mut bytes: &[u8], memory: &BodyMemory) -> Result<(), BodyError> {
        if self.len() + bytes.len() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        while !bytes.is_empty() {
            if self.rest.len() == SEGMENT_BYTES {
                let _permit = memory.take()?;
                let bytes = self.rest.split().freeze();
                self.segments.push(Segment { bytes, _permit });
            }
            let room = SEGMENT_BYTES - self.rest.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.rest.extend_from_slice(now);
            bytes = later;
        }
        Ok(())
    }

    /// Length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.segments.len() * SEGMENT_BYTES + self.rest.len()
    }

    /// The body of the response to a caller. Each segment's memory is free once it was sent.
    pub(crate) fn into_body(self) -> Body {
        let rest = self.rest.freeze();
        if self.segments.is_empty() {
            return body::full(rest);
        }
        let segments = self.segments.into_iter().map(|s| s.bytes);
        let frames = segments.chain([rest]).map(|b| Ok(Frame::data(b)));
        body::from_stream(stream::iter(frames))
    }
}
