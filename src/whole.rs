//! Bodies that are read whole before any of it is forwarded, within bounds on their size and on the
//! memory of all of them: clients and upstreams may send bytes without end.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use crate::body_memory::{BodyShare, NoMemory};

/// Maximum size of the body of a response, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum number of pieces in which a response arrives, 1 KiB each for the longest one. Without
/// this bound, chunks of one byte take seconds of processor time before they exceed
/// [`MAX_BODY_BYTES`].
pub(crate) const MAX_PIECES: usize = 16 << 10;

/// Maximum size of a segment of a body, in bytes.
pub(crate) const SEGMENT_BYTES: usize = 64 << 10;

/// Size of the buffer for the first bytes of a body whose length isn't known. It doubles up to
/// [`SEGMENT_BYTES`].
const FIRST_BYTES: usize = 4 << 10;

/// Bounds on a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyBounds {
    pub(crate) bytes: usize,
    /// Maximum number of pieces in which it arrives.
    pub(crate) pieces: usize,
}

impl BodyBounds {
    /// Bounds on the body of a response.
    pub(crate) const RESPONSE: Self = Self {
        bytes: MAX_BODY_BYTES,
        pieces: MAX_PIECES,
    };

    /// Bounds on the body of a request of at most `bytes`. Its pieces may be as small as its client
    /// likes.
    pub(crate) fn request(bytes: usize) -> Self {
        let pieces = usize::MAX;
        Self { bytes, pieces }
    }
}

/// Why a body wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It ended early.
    Cut,
    /// It exceeds its bounds.
    TooLong,
    /// Other bodies use up the memory.
    NoMemory,
}

impl From<NoMemory> for BodyError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// A body that is received. Bytes are copied from the pieces in which they arrive, since many small
/// pieces, each of which keeps a buffer, would take far more memory than their bytes.
struct Received {
    segments: Vec<Bytes>,
    /// What follows the segments.
    rest: Vec<u8>,
    /// Size of the buffer of `rest`, at most [`SEGMENT_BYTES`].
    buffer: usize,
    /// Length that the body declares, in bytes.
    declared: Option<usize>,
    share: BodyShare,
}

impl Received {
    fn len(&self) -> usize {
        self.segments.len() * SEGMENT_BYTES + self.rest.len()
    }

    async fn push(&mut self, mut bytes: &[u8]) -> Result<(), NoMemory> {
        while !bytes.is_empty() {
            if self.rest.len() == self.buffer {
                self.enlarge().await?;
            }
            let room = self.buffer - self.rest.len();
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.rest.extend_from_slice(now);
            bytes = later;
        }
        Ok(())
    }

    /// Makes room behind a full buffer.
    async fn enlarge(&mut self) -> Result<(), NoMemory> {
        if self.buffer == SEGMENT_BYTES {
            self.segments.push(std::mem::take(&mut self.rest).into());
            self.buffer = 0;
        }
        let left = self.declared.map(|d| d.saturating_sub(self.len()));
        let doubled = match self.segments.is_empty() {
            true => (2 * self.buffer).clamp(FIRST_BYTES, SEGMENT_BYTES),
            false => SEGMENT_BYTES,
        };
        let more = left.filter(|&l| l > 0).unwrap_or(doubled);
        let buffer = doubled.min(self.buffer + more);
        self.share.grow(buffer - self.buffer).await?;
        self.rest.reserve_exact(buffer - self.rest.len());
        self.buffer = buffer;
        Ok(())
    }

    fn finish(mut self) -> Result<WholeBody, NoMemory> {
        self.share.complete()?;
        let length = self.len();
        if !self.rest.is_empty() {
            self.segments.push(self.rest.into());
        }
        Ok(WholeBody {
            segments: self.segments,
            length,
            share: Some(self.share),
        })
    }
}

/// A body that was read whole.
#[derive(Debug, Default)]
pub(crate) struct WholeBody {
    segments: Vec<Bytes>,
    length: usize,
    /// `None` if the body isn't counted.
    share: Option<BodyShare>,
}

impl WholeBody {
    /// Reads a body to its end. Memory is taken from `share` before bytes are copied to it.
    pub(crate) async fn read<B>(
        body: &mut B,
        bounds: BodyBounds,
        share: BodyShare,
    ) -> Result<Self, BodyError>
    where
        B: HttpBody<Data = Bytes> + Unpin,
    {
        let hint = body.size_hint();
        if hint.lower() > bounds.bytes as u64 {
            return Err(BodyError::TooLong);
        }
        let notify = share.given_up();
        let mut given_up = pin!(notify.notified());
        let mut received = Received {
            segments: Vec::new(),
            rest: Vec::new(),
            buffer: 0,
            declared: hint.exact().and_then(|n| n.try_into().ok()),
            share,
        };
        for _ in 0..=bounds.pieces {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut given_up => return Err(BodyError::NoMemory),
            };
            let Some(frame) = frame else {
                return Ok(received.finish()?);
            };
            let data = frame.map_err(|_| BodyError::Cut)?.into_data();
            let data = data.unwrap_or_default();
            if received.len() + data.len() > bounds.bytes {
                return Err(BodyError::TooLong);
            }
            received.push(&data).await?;
        }
        Err(BodyError::TooLong)
    }

    /// Length in bytes.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// The pieces of the body in order.
    pub(crate) fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|s| &**s)
    }

    /// Joins the pieces. What they hold is counted until the share is dropped.
    pub(crate) fn join(self) -> (Bytes, Option<BodyShare>) {
        let Self {
            mut segments,
            length,
            share,
        } = self;
        if segments.len() <= 1 {
            return (segments.pop().unwrap_or_default(), share);
        }
        let mut joined = Vec::with_capacity(length);
        // Each piece is freed once it was copied.
        segments
            .into_iter()
            .for_each(|s| joined.extend_from_slice(&s));
        (joined.into(), share)
    }

    /// Takes the pieces of the body in order. The memory of each is free once it was taken.
    pub(crate) fn into_segments(self) -> impl Iterator<Item = Bytes> + Send + 'static {
        let Self {
            segments, share, ..
        } = self;
        segments.into_iter().inspect(move |segment| {
            if let Some(share) = &share {
                share.shrink(segment.len());
            }
        })
    }
}

/// The body of a request to an upstream. Clones share its bytes.
#[derive(Clone, Debug)]
pub(crate) struct Payload {
    whole: Arc<WholeBody>,
    /// Index of the next segment.
    next: usize,
    /// Bytes from there on.
    left: usize,
}

impl From<Arc<WholeBody>> for Payload {
    fn from(whole: Arc<WholeBody>) -> Self {
        let left = whole.len();
        Self {
            whole,
            next: 0,
            left,
        }
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        let whole = WholeBody {
            segments: vec![bytes],
            length,
            share: None,
        };
        Arc::new(whole).into()
    }
}

impl HttpBody for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.is_end_stream() {
            return Poll::Ready(None);
        }
        let segment = self.whole.segments[self.next].clone();
        self.next += 1;
        self.left -= segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
