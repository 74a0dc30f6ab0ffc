//! Limit on what a connection reads in one turn of its task.
//!
//! A role runs on one thread. A parser that is fed for as long as its socket has more keeps that
//! thread from all other connections and from the timers.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes after which a connection lets other tasks run. A turn reads less than this and the
/// size of the reader's buffer together.
pub(crate) const TURN_BYTES: usize = 64 << 10;

/// Counts what a stream receives.
pub(crate) trait Meter: Unpin {
    /// Counts received bytes. Returns whether the stream may go on.
    fn allows(&self, received: usize) -> bool;
}

/// No limit.
impl Meter for () {
    fn allows(&self, _: usize) -> bool {
        true
    }
}

/// A stream that is never read for longer than a turn at a time. Reads fail once its meter allows no
/// more.
#[derive(Debug)]
pub(crate) struct TurnStream<S, M> {
    stream: S,
    meter: M,
    /// Bytes read since the task last gave way.
    read: usize,
}

impl<S, M> TurnStream<S, M> {
    pub(crate) fn new(stream: S, meter: M) -> Self {
        Self {
            stream,
            meter,
            read: 0,
        }
    }

    pub(crate) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin, M: Meter> AsyncRead for TurnStream<S, M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= TURN_BYTES {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_pending() {
            self.read = 0;
            return polled;
        }
        let received = buf.filled().len() - before;
        self.read += received;
        match self.meter.allows(received) {
            true => polled,
            false => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
        }
    }
}

impl<S: AsyncWrite + Unpin, M: Meter> AsyncWrite for TurnStream<S, M> {
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
