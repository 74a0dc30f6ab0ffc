//! Bodies of answers.

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;

/// The answer broke off. The HTTP library then closes the connection without
/// the end mark, so that what was sent can't pass for the whole.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(super) struct BrokenOff;

/// The body of an answer to a caller.
pub(super) type Body = UnsyncBoxBody<Bytes, BrokenOff>;

/// A body that is known whole.
pub(super) fn whole(bytes: Bytes) -> Body {
    let never = |never| match never {};
    Full::new(bytes).map_err(never).boxed_unsync()
}

/// A body of pieces as they come.
pub(super) fn pieces<S>(pieces: S) -> Body
where
    S: Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send + 'static,
{
    StreamBody::new(pieces).boxed_unsync()
}
