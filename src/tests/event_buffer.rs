//! Tests of [`crate::entry::event_buffer`].

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::body_memory::BodyMemory;
use crate::entry::event_buffer::{EventBuffer, Excess};

/// Guards against events that are lost, split or joined where pieces end within them, over random
/// pieces.
#[rstest]
fn take_events_whole(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let events: Vec<u8> = (0..200_u32)
        .flat_map(|i| format!("id: {i}\ndata: {}\n\n", "x".repeat(i as usize % 7)).into_bytes())
        .collect();
    let mut buffer = EventBuffer::default();
    let (mut sent, mut taken) = (0, Vec::new());
    while sent < events.len() {
        let size = rng.random_range(1..40).min(events.len() - sent);
        buffer.extend(&events[sent..sent + size]);
        sent += size;
        let complete = events[..sent].windows(2).rposition(|w| w == b"\n\n");
        let complete = complete.map_or(0, |p| p + 2);
        assert_eq!(buffer.has_event(), complete > taken.len());
        if rng.random_bool(0.5) {
            taken.extend(buffer.take_events().unwrap_or_default());
            assert_eq!(taken.len(), complete);
        }
    }
    taken.extend(buffer.take_events().unwrap_or_default());
    assert_eq!(taken, events);
    assert!(buffer.is_empty());
}

/// Guards against incomplete events of many streams that together take more memory than there is:
/// what they hold doesn't grow with their number.
#[rstest]
#[tokio::test]
async fn count_bounded(#[values(4, 40, 400)] streams: usize) {
    const CAPACITY: usize = 1 << 20;
    let memory = BodyMemory::new(CAPACITY);
    let mut buffers: Vec<_> = (0..streams).map(|_| EventBuffer::default()).collect();
    let mut open = vec![true; streams];
    for _ in 0..80 {
        for (buffer, open) in buffers.iter_mut().zip(&mut open) {
            if !*open {
                continue;
            }
            buffer.extend(&[b'x'; 4 << 10]);
            if buffer.count(&memory).await.is_err() {
                *buffer = EventBuffer::default();
                *open = false;
            }
            assert!(memory.held() <= CAPACITY);
        }
    }
    assert!(open.iter().all(|o| !o), "no event is that long");
    assert_eq!(memory.held(), 0);
}

/// Guards against an event that is cut off although it is complete, or that keeps its memory.
#[tokio::test]
async fn count_ends_with_event() {
    let memory = BodyMemory::new(1 << 20);
    let mut buffer = EventBuffer::default();
    buffer.extend(&[b'x'; 100 << 10]);
    assert_eq!(buffer.count(&memory).await, Ok(()));
    assert!((100 << 10..=200 << 10).contains(&memory.held()));
    buffer.extend(b"\n\n");
    assert_eq!(buffer.count(&memory).await, Ok(()));
    assert_eq!(memory.held(), 0);
    assert_eq!(buffer.take_events().map(|e| e.len()), Some((100 << 10) + 2));
    buffer.extend(&[b'x'; 300 << 10]);
    assert_eq!(buffer.count(&memory).await, Err(Excess::TooLong));
}
