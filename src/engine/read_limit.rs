//! Limit on the bytes that an upstream sends without content of a response.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::turn::TurnStream;

/// Maximum size of a response head and of the interim ones before it, in bytes, with the start of
/// the body that is read along with it.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Maximum number of bytes received after the head, or after a piece of content, before the next
/// piece of content is taken: the framing of a chunk, and up to three pieces that are read ahead.
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

    /// Counts received bytes. Returns whether they are within the limit.
    fn count(&self, received: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0
            .store(left.saturating_sub(received), Ordering::Relaxed);
        received <= left
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
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

/// A connection whose reads fail once its [`ReadLimit`] is exceeded.
pub(super) struct LimitedStream {
    stream: TurnStream<TcpStream>,
    limit: Arc<ReadLimit>,
}

impl LimitedStream {
    /// The stream of a new connection, and its limit.
    pub(super) fn new(stream: TcpStream) -> (Self, Arc<ReadLimit>) {
        let limit = Arc::new(ReadLimit(AtomicUsize::new(MAX_HEAD_BYTES)));
        let limited = Self {
            stream: TurnStream::new(stream),
            limit: Arc::clone(&limit),
        };
        (limited, limit)
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        Poll::Ready(match self.limit.count(received) {
            true => Ok(()),
            false => Err(io::ErrorKind::InvalidData.into()),
        })
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
