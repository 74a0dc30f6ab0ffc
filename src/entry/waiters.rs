//! Requests of this instance that wait for room, and how each learns that its turn has come.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::clock::{Clock, Time};
use crate::collections::HashMap;
use crate::decide::rank::Rank;
use crate::decide::refusal::Reason;
use crate::decide::wait_queue::{Admitted, Place, WaitQueue};
use crate::decide::waiting;

/// The queue for room, shared by all requests.
#[derive(Debug, Default)]
pub(crate) struct Waiters {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    queue: WaitQueue,
    /// Of precisely the requests in `queue`. Notified when a request may have become the first, or
    /// was displaced.
    turns: HashMap<Place, Arc<Notify>>,
}

impl State {
    /// Removes a request and wakes the next.
    fn remove(&mut self, place: Place, found_room: bool) {
        self.turns.remove(&place);
        let next = self.queue.remove(place, found_room);
        if let Some(turn) = next.and_then(|p| self.turns.get(&p)) {
            turn.notify_one();
        }
    }
}

/// A place in the queue, given up on drop.
pub(crate) struct Waiter<'a> {
    waiters: &'a Waiters,
    place: Place,
    turn: Arc<Notify>,
    /// Number of requests that were served before it when it came.
    pub(crate) ahead: usize,
    /// Maximum wait.
    pub(crate) limit: Duration,
    found_room: bool,
}

/// Result of a wait for room.
pub(crate) struct Search<T> {
    pub(crate) found: Result<T, Reason>,
    pub(crate) waited: Duration,
    /// Time for which the request was the first; `None` if it never was.
    pub(crate) at_front: Option<Duration>,
    /// Whether it ended because a more urgent request took the place.
    pub(crate) displaced: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Standing {
    First,
    Behind,
    Displaced,
}

/// Time for which a request is the first, over all its turns.
#[derive(Default)]
struct FrontTime {
    /// Of the turns that are over; `None` before the first turn.
    past: Option<Duration>,
    /// Start of the present turn.
    since: Option<Time>,
}

impl FrontTime {
    fn begin(&mut self, now: Time) {
        self.since.get_or_insert(now);
    }

    fn end(&mut self, now: Time) {
        if let Some(since) = self.since.take() {
            self.past = Some(self.past.unwrap_or_default() + now.since(since));
        }
    }
}

impl Waiters {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.lock().queue.len()
    }

    /// See [`WaitQueue::has_more_urgent`].
    pub(crate) fn has_more_urgent(&self, service: &str, rank: Rank) -> bool {
        self.lock().queue.has_more_urgent(service, rank)
    }

    /// Adds a request that costs `tokens`, unless it is refused at once: if the queue is full, or
    /// `limit` gives no maximum wait for the number of requests before it. It may displace a less
    /// urgent request, but not if it is refused itself.
    pub(crate) fn join(
        &self,
        service: &str,
        rank: Option<Rank>,
        organisation: &str,
        tokens: f64,
        limit: impl FnOnce(usize) -> Option<Duration>,
    ) -> Option<Waiter<'_>> {
        let state = &mut *self.lock();
        let ahead = state.queue.ahead(service, rank, organisation)?;
        let limit = limit(ahead)?;
        let admitted = state.queue.push(service, rank, organisation, tokens);
        let Admitted::Queued {
            place,
            ahead,
            displaced,
        } = admitted
        else {
            return None;
        };
        if let Some(turn) = displaced.and_then(|p| state.turns.remove(&p)) {
            turn.notify_one();
        }
        let turn = Arc::new(Notify::new());
        state.turns.insert(place, Arc::clone(&turn));
        Some(Waiter {
            waiters: self,
            place,
            turn,
            ahead,
            limit,
            found_room: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter<'_> {
    /// Looks for room with `look` whenever the request is the first, until it finds some, `look`
    /// fails otherwise than for lack of room, or the limit or the place is lost. `look` gets the
    /// elapsed part of the limit.
    pub(crate) async fn search<T>(
        mut self,
        clock: &dyn Clock,
        mut look: impl FnMut(f64) -> Result<T, Reason>,
    ) -> Search<T> {
        let began = clock.now();
        let mut front = FrontTime::default();
        let looking = async {
            loop {
                match self.standing() {
                    Standing::Displaced => return None,
                    Standing::Behind => {
                        front.end(clock.now());
                        self.turn.notified().await;
                        continue;
                    }
                    Standing::First => front.begin(clock.now()),
                }
                let waited = clock.now().since(began);
                match look(waited.div_duration_f64(self.limit)) {
                    Err(Reason::Full) => sleep(waiting::POLL_INTERVAL).await,
                    found => return Some(found),
                }
            }
        };
        let ended = timeout(self.limit, looking).await;
        let now = clock.now();
        front.end(now);
        let displaced = matches!(ended, Ok(None));
        let found = ended.ok().flatten().unwrap_or(Err(Reason::Full));
        self.found_room = found.is_ok();
        Search {
            found,
            waited: now.since(began),
            at_front: front.past,
            displaced,
        }
    }

    fn standing(&self) -> Standing {
        let queue = &self.waiters.lock().queue;
        if queue.is_first(self.place) {
            Standing::First
        } else if queue.contains(self.place) {
            Standing::Behind
        } else {
            Standing::Displaced
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.waiters.lock().remove(self.place, self.found_room);
    }
}
