//! Response bodies.

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

use crate::whole::WholeBody;

/// The response was cut off. hyper then closes the connection without the terminating chunk,
/// so that the part that was sent can't be taken for the whole.
#[derive(Debug, Snafu)]
#[snafu(display("the response was cut off"))]
pub(crate) struct Truncated;

/// Body of a response to a caller.
pub(crate) type Body = UnsyncBoxBody<Bytes, Truncated>;

/// A body that is known in full.
pub(super) fn full(bytes: Bytes) -> Body {
    let never = |never| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// A body that was read whole.
pub(super) fn whole(body: WholeBody) -> Body {
    let segments = body.into_segments().map(|s| Ok(Frame::data(s)));
    from_stream(stream::iter(segments))
}

/// A body whose frames are sent as they arrive.
pub(super) fn from_stream<S>(stream: S) -> Body
where
    S: Stream<Item = Result<Frame<Bytes>, Truncated>> + Send + 'static,
{
    StreamBody::new(stream).boxed_unsync()
}
