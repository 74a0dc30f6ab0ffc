//! Tests of [`crate::turn`].

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use rstest::rstest;
use tokio::io::{AsyncRead, ReadBuf};

use crate::turn::{TURN_BYTES, TurnStream};

/// Always has bytes to read, up to its end.
struct Ready {
    left: usize,
}

impl AsyncRead for Ready {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buf.remaining().min(self.left);
        buf.initialize_unfilled_to(size);
        buf.advance(size);
        self.left -= size;
        Poll::Ready(Ok(()))
    }
}

#[derive(Default)]
struct Wakes(AtomicUsize);

impl Wake for Wakes {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against a connection that holds the only thread for as long as its peer sends: what one
/// turn reads doesn't grow with what there is, and each turn but the last asks for the next.
#[rstest]
fn turn_bounded(
    #[values(1, 8, 64)] megabytes: usize,
    #[values(1 << 10, 8 << 10, 128 << 10)] buffer: usize,
) {
    let size = megabytes << 20;
    let mut stream = TurnStream::new(Ready { left: size }, ());
    let wakes = Arc::new(Wakes::default());
    let waker = Waker::from(Arc::clone(&wakes));
    let mut context = Context::from_waker(&waker);
    let mut bytes = vec![0; buffer];
    let (mut turns, mut total) = (0, 0);
    while total < size {
        turns += 1;
        let mut turn = 0;
        loop {
            let mut part = ReadBuf::new(&mut bytes);
            let polled = Pin::new(&mut stream).poll_read(&mut context, &mut part);
            if polled.is_pending() || part.filled().is_empty() {
                break;
            }
            turn += part.filled().len();
        }
        assert!(turn < TURN_BYTES + buffer, "a turn of {turn} bytes");
        total += turn;
    }
    assert_eq!(total, size);
    assert!(wakes.0.load(Ordering::Relaxed) >= turns - 1);
}
