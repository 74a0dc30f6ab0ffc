//! Tests of [`crate::entry::waiters`].

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::clock::SystemClock;
use crate::decide::rank::Rank;
use crate::decide::refusal::Reason;
use crate::decide::waiting::MAX_WAITERS;
use crate::entry::waiters::{Search, Waiters};

/// A limit that passes only if a test fails.
const LONG: Duration = Duration::from_secs(20);

/// Time in which the first looks for room several times.
const SOME_POLLS: Duration = Duration::from_millis(80);

/// An entry's queue, and the room on the engines.
#[derive(Default)]
struct Fixture {
    waiters: Waiters,
    room: AtomicUsize,
    /// Number of the request at each look for room.
    looks: Mutex<Vec<usize>>,
}

impl Fixture {
    /// Lets request `number` join the queue and look for room. Returns `None` if it is refused at
    /// once.
    fn start(
        self: &Arc<Self>,
        number: usize,
        rank: Option<usize>,
        limit: Duration,
    ) -> Option<JoinHandle<Search<usize>>> {
        // Leaked, since the task must not borrow from the test.
        let queue: &'static Self = Box::leak(Box::new(Arc::clone(self)));
        let limit = move |_| Some(limit);
        let rank = rank.map(Rank::new);
        let waiter = queue.waiters.join("models", rank, "a", 100.0, limit)?;
        Some(tokio::spawn(waiter.search(&SystemClock, move |_| {
            queue.looks.lock().unwrap().push(number);
            let taken = queue
                .room
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |room| {
                    room.checked_sub(1)
                });
            taken.map(|_| number).map_err(|_| Reason::Full)
        })))
    }

    /// Numbers of the requests that looked for room since the last call.
    fn take_looks(&self) -> Vec<usize> {
        let mut looks = std::mem::take(&mut *self.looks.lock().unwrap());
        looks.dedup();
        looks
    }

    fn free(&self, count: usize) {
        self.room.fetch_add(count, Ordering::Relaxed);
    }
}

async fn end(task: JoinHandle<Search<usize>>) -> Search<usize> {
    timeout(LONG / 2, task).await.unwrap().unwrap()
}

/// Guards against another order than that of arrival without ranks, and against polling by others
/// than the first.
#[tokio::test]
async fn search_unranked_in_turn() {
    let queue = Arc::new(Fixture::default());
    let tasks: Vec<_> = (0..MAX_WAITERS)
        .map(|i| queue.start(i, None, LONG).unwrap())
        .collect();
    assert!(queue.start(99, None, LONG).is_none());
    sleep(SOME_POLLS).await;
    assert_eq!(queue.take_looks(), [0]);
    queue.free(MAX_WAITERS);
    for (i, task) in tasks.into_iter().enumerate() {
        assert_eq!(end(task).await.found, Ok(i));
    }
    assert!(queue.take_looks().is_sorted());
    assert_eq!(queue.waiters.len(), 0);
}

/// Guards against places of callers that left, and against a queue that stops when the first of
/// them does.
#[tokio::test]
async fn drop_wakes_next() {
    let queue = Arc::new(Fixture::default());
    let tasks: Vec<_> = (0..3)
        .map(|i| queue.start(i, None, LONG).unwrap())
        .collect();
    sleep(SOME_POLLS).await;
    let mut tasks = tasks.into_iter();
    let (first, second, third) = (tasks.next(), tasks.next(), tasks.next());
    second.unwrap().abort();
    first.unwrap().abort();
    queue.free(1);
    assert_eq!(end(third.unwrap()).await.found, Ok(2));
    assert_eq!(queue.waiters.len(), 0);
}

/// Guards against a request that goes on looking for room before a more urgent one.
#[tokio::test]
async fn search_overtaken() {
    let queue = Arc::new(Fixture::default());
    let low = queue.start(1, Some(1), LONG).unwrap();
    sleep(SOME_POLLS).await;
    assert_eq!(queue.take_looks(), [1]);
    let high = queue.start(0, Some(0), LONG).unwrap();
    sleep(SOME_POLLS).await;
    queue.take_looks();
    sleep(SOME_POLLS).await;
    assert_eq!(queue.take_looks(), [0]);
    queue.free(1);
    assert_eq!(end(high).await.found, Ok(0));
    queue.free(1);
    let low = end(low).await;
    assert_eq!(low.found, Ok(1));
    // Its time behind the other doesn't count as time at the front.
    assert!(low.at_front.unwrap() + SOME_POLLS < low.waited);
}

/// Guards against a displaced request that waits on for its limit without a place.
#[tokio::test]
async fn join_displaces() {
    let queue = Arc::new(Fixture::default());
    let mut low: Vec<_> = (0..MAX_WAITERS)
        .map(|i| queue.start(i, Some(1), LONG).unwrap())
        .collect();
    sleep(SOME_POLLS).await;
    assert!(queue.start(98, Some(1), LONG).is_none());
    let high = queue.start(99, Some(0), LONG).unwrap();
    let last = end(low.pop().unwrap()).await;
    assert_eq!((last.found, last.displaced), (Err(Reason::Full), true));
    assert_eq!(last.at_front, None);
    assert_eq!(queue.waiters.len(), MAX_WAITERS);
    queue.free(MAX_WAITERS);
    assert_eq!(end(high).await.found, Ok(99));
    for task in low {
        let search = end(task).await;
        assert!(search.found.is_ok() && !search.displaced);
    }
}

/// Guards against a request that displaces another and is then refused itself, since it couldn't be
/// on time.
#[tokio::test]
async fn join_refused_displaces_none() {
    let waiters = Waiters::default();
    let join = |rank, limit| {
        let rank = Some(Rank::new(rank));
        waiters.join("models", rank, "a", 100.0, move |_| limit)
    };
    let mut low: Vec<_> = (0..MAX_WAITERS).map(|_| join(1, Some(LONG))).collect();
    assert!(join(0, None).is_none());
    assert_eq!(waiters.len(), MAX_WAITERS);
    // A displaced one would end at once.
    let last = low.pop().flatten().unwrap();
    let look = |_| -> Result<(), Reason> { Err(Reason::NoUpstream) };
    let search = last.search(&SystemClock, look);
    assert!(timeout(SOME_POLLS, search).await.is_err());
}

/// Guards against a request that waits beyond its limit behind a stream of more urgent ones.
#[tokio::test]
async fn search_limit_behind_urgent() {
    let queue = Arc::new(Fixture::default());
    let began = Instant::now();
    let mut urgent = vec![queue.start(0, Some(0), LONG).unwrap()];
    let low = queue.start(1, Some(1), SOME_POLLS * 2).unwrap();
    while !low.is_finished() {
        assert!(began.elapsed() < LONG / 2);
        urgent.push(queue.start(0, Some(0), LONG).unwrap());
        queue.free(1);
        end(urgent.remove(0)).await;
    }
    let low = end(low).await;
    assert_eq!((low.found, low.displaced), (Err(Reason::Full), false));
    assert_eq!(low.at_front, None);
    assert!(low.waited >= SOME_POLLS * 2);
    assert_eq!(queue.waiters.len(), 1);
    urgent.iter().for_each(JoinHandle::abort);
}
