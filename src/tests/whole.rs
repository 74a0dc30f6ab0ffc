//! Tests of [`crate::whole`] and [`crate::body_memory`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame};
use rstest::rstest;

use crate::body_memory::BodyMemory;
use crate::decide::body_budget::Kind;
use crate::whole::{
    BodyBounds, BodyError, MAX_BODY_BYTES, MAX_PIECES, Payload, SEGMENT_BYTES, WholeBody,
};

/// Memory for eight segments.
const MEMORY: usize = 8 * SEGMENT_BYTES;

/// Memory for the longest response.
const LARGE_MEMORY: usize = MAX_BODY_BYTES;

/// A body of `length` bytes in pieces, without a length of its own.
fn pieces(
    length: usize,
    piece: usize,
) -> impl hyper::body::Body<Data = Bytes, Error = Infallible> + Unpin {
    let sizes = (0..length)
        .step_by(piece)
        .map(move |at| piece.min(length - at));
    let frames = sizes.map(|n| Ok(Frame::data(Bytes::from(vec![7; n]))));
    StreamBody::new(stream::iter(frames))
}

async fn read(length: usize, piece: usize, memory: &BodyMemory) -> Result<WholeBody, BodyError> {
    let share = memory.share(Kind::Response);
    WholeBody::read(&mut pieces(length, piece), BodyBounds::RESPONSE, share).await
}

/// Guards against memory that grows with the number of pieces, or faster than the bytes that are
/// held: it is taken from the first byte on, whatever the size of the pieces.
#[rstest]
#[tokio::test]
async fn read_takes_memory(
    #[values(17, 1000, 5 * SEGMENT_BYTES)] piece: usize,
    #[values(
        (0, 0),
        (1, 4 << 10),
        (5000, 8 << 10),
        (SEGMENT_BYTES, SEGMENT_BYTES),
        (SEGMENT_BYTES + 1, 2 * SEGMENT_BYTES),
        (4 * SEGMENT_BYTES, 4 * SEGMENT_BYTES)
    )]
    case: (usize, usize),
) {
    let (length, taken) = case;
    let memory = BodyMemory::new(MEMORY);
    let whole = read(length, piece, &memory).await.expect("enough memory");
    assert_eq!((whole.len(), memory.held()), (length, taken));
    let mut sent = 0;
    for segment in whole.into_segments() {
        assert!(segment.iter().all(|b| *b == 7));
        sent += segment.len();
        assert!(memory.held() <= taken - sent, "freed as it is sent");
    }
    assert_eq!((sent, memory.held()), (length, 0));
}

/// Guards against a body with a length that takes more memory than that.
#[tokio::test]
async fn read_takes_declared_length() {
    let memory = BodyMemory::new(MEMORY);
    let mut body = Full::new(Bytes::from(vec![7; 800]));
    let share = memory.share(Kind::Request);
    let whole = WholeBody::read(&mut body, BodyBounds::request(800), share).await;
    let whole = whole.expect("enough memory");
    assert_eq!((whole.len(), memory.held()), (800, 800));
}

/// Guards against memory that stays taken while a request is sent, or that is freed before the last
/// of its attempts.
#[tokio::test]
async fn read_counted_until_dropped() {
    let memory = BodyMemory::new(MEMORY);
    let whole = Arc::new(
        read(3 * SEGMENT_BYTES, 1000, &memory)
            .await
            .expect("memory"),
    );
    let payload = Payload::from(Arc::clone(&whole));
    assert_eq!(payload.size_hint().exact(), Some(3 * SEGMENT_BYTES as u64));
    let sent = payload.clone().collect().await.expect("a whole body");
    assert!(sent.to_bytes().iter().eq(vec![7; 3 * SEGMENT_BYTES].iter()));
    drop(whole);
    assert_eq!(memory.held(), 3 * SEGMENT_BYTES);
    drop(payload);
    assert_eq!(memory.held(), 0);
}

/// Guards against a long body that keeps others from being read: short requests have memory that no
/// long one takes.
#[tokio::test]
async fn read_beside_long() {
    let memory = BodyMemory::new(MEMORY);
    let read = async |length| {
        let share = memory.share(Kind::Request);
        let bounds = BodyBounds::request(MAX_BODY_BYTES);
        WholeBody::read(&mut pieces(length, 1000), bounds, share).await
    };
    let long = read(4 * SEGMENT_BYTES).await.ok();
    assert_eq!(memory.held(), 4 * SEGMENT_BYTES);
    let second = read(SEGMENT_BYTES + 1).await;
    assert_eq!(second.err(), Some(BodyError::NoMemory));
    let short = read(SEGMENT_BYTES).await;
    assert!(short.is_ok());
    drop((long, short));
    assert!(read(SEGMENT_BYTES + 1).await.is_ok());
}

/// Guards against a body whose client stopped sending and that keeps another one out: it is given up
/// while it waits for its next bytes.
#[tokio::test]
async fn read_given_up() {
    let memory = BodyMemory::new(MEMORY);
    let start = Frame::data(Bytes::from(vec![7; 4 * SEGMENT_BYTES]));
    let start = stream::iter([Ok::<_, Infallible>(start)]);
    let mut stalled = StreamBody::new(start.chain(stream::pending()));
    let bounds = BodyBounds::request(MAX_BODY_BYTES);
    let stalled = WholeBody::read(&mut stalled, bounds, memory.share(Kind::Request));
    let other = async {
        tokio::time::sleep(Duration::from_millis(1100)).await;
        let share = memory.share(Kind::Request);
        WholeBody::read(&mut pieces(2 * SEGMENT_BYTES, 1000), bounds, share).await
    };
    let (stalled, other) = tokio::join!(stalled, other);
    assert_eq!(stalled.err(), Some(BodyError::NoMemory));
    assert_eq!(other.expect("memory").len(), 2 * SEGMENT_BYTES);
}

/// Guards against a body without end that is read until the deadline.
#[tokio::test]
async fn read_without_end() {
    let memory = BodyMemory::new(2 * LARGE_MEMORY);
    let read = read(usize::MAX, SEGMENT_BYTES, &memory).await;
    assert_eq!(read.err(), Some(BodyError::TooLong));
    assert_eq!(memory.held(), 0);
}

/// Guards against the processor time of a response that arrives in ever more small pieces.
#[tokio::test]
async fn read_small_pieces() {
    let memory = BodyMemory::new(LARGE_MEMORY);
    assert!(read(MAX_PIECES, 1, &memory).await.is_ok());
    let read = read(MAX_PIECES + 1, 1, &memory).await;
    assert_eq!(read.err(), Some(BodyError::TooLong));
}

/// Guards against reading a body whose length says that it is too long.
#[tokio::test]
async fn read_declared_length() {
    let memory = BodyMemory::new(LARGE_MEMORY);
    let read = async |length| {
        let mut body = Full::new(Bytes::from(vec![7; length]));
        let share = memory.share(Kind::Response);
        WholeBody::read(&mut body, BodyBounds::RESPONSE, share).await
    };
    assert_eq!(
        read(MAX_BODY_BYTES + 1).await.err(),
        Some(BodyError::TooLong)
    );
    assert!(read(MAX_BODY_BYTES).await.is_ok());
}
