//! Response bodies: whole, or fed piece by piece by a running request.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// A response body.
pub(crate) enum Reply {
    /// All of it; `None` once it was handed on.
    Whole(Option<Bytes>),
    /// Pieces as they come. The body ends when the sender is dropped; when the
    /// caller leaves, hyper drops the receiver and the sender sees it closed.
    Pieces(mpsc::Receiver<Bytes>),
}

impl From<String> for Reply {
    fn from(text: String) -> Self {
        Self::Whole(Some(text.into()))
    }
}

impl From<Bytes> for Reply {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => pieces.poll_recv(cx).map(|p| p.map(|b| Ok(Frame::data(b)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}
