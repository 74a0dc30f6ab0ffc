//! Limit on the bytes that an upstream sends before its response head is complete.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a response head and of the interim ones before it, in bytes, with the start of
/// the body that is read along with it.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Number of bytes that a connection may still receive before its response head is complete.
///
/// hyper limits each head, but not the number of interim responses before the final one: a
/// connection that receives them without end takes all processor time, and its call never ends.
#[derive(Debug)]
pub(super) struct HeadLimit(AtomicUsize);

impl HeadLimit {
    /// Ends the limit: the head is complete.
    pub(super) fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Counts received bytes. Returns whether they are within the limit.
    fn count(&self, received: usize) -> bool {
        match self.0.load(Ordering::Relaxed) {
            usize::MAX => true,
            left => {
                self.0
                    .store(left.saturating_sub(received), Ordering::Relaxed);
                received <= left
            }
        }
    }

    pub(super) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// A connection whose reads fail once its [`HeadLimit`] is exceeded.
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: Arc<HeadLimit>,
}

impl LimitedStream {
    /// The stream of a new connection, and the limit to lift once the head is complete.
    pub(super) fn new(stream: TcpStream) -> (Self, Arc<HeadLimit>) {
        let limit = Arc::new(HeadLimit(AtomicUsize::new(MAX_HEAD_BYTES)));
        let limited = Self {
            stream,
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
