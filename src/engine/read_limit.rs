//! Limit on the bytes that an upstream sends without content of a response.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::turn::Meter;

/// Maximum size of a response's final head with the interim ones before it, in bytes, and the start of
/// the body that is read along with them.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Maximum number of bytes received after the head, or after a piece of content, before the next
/// piece of content is taken: the framing of a chunk, and the pieces that are read ahead.
const MAX_FRAMING_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Number of bytes that a connection may still receive before more of its response is taken.
///
/// hyper limits each head, but not the number of interim responses before the final one, and no
/// framing of chunks: a connection that receives either without end takes all processor time, and
/// its call never ends.
#[derive(Debug)]
pub(super) struct ReadLimit(AtomicUsize);

impl ReadLimit {
    /// Records that the head, or a piece of content, was taken.
    pub(super) fn record_taken(&self) {
        self.0.store(MAX_FRAMING_BYTES, Ordering::Relaxed);
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

impl Default for ReadLimit {
    /// The limit of a new connection.
    fn default() -> Self {
        Self(AtomicUsize::new(MAX_HEAD_BYTES))
    }
}

impl Meter for Arc<ReadLimit> {
    fn allows(&self, received: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0
            .store(left.saturating_sub(received), Ordering::Relaxed);
        received <= left
    }
}

/// Body of a response, which renews the [`ReadLimit`] of its connection with each piece of content.
pub(crate) struct UpstreamBody {
    body: Incoming,
    limit: Arc<ReadLimit>,
}

impl UpstreamBody {
    pub(super) fn new(body: Incoming, limit: Arc<ReadLimit>) -> Self {
        Self { body, limit }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && frame.data_ref().is_some_and(|d| !d.is_empty())
        {
            self.limit.record_taken();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
