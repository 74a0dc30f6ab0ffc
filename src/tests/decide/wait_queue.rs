//! Tests of [`crate::decide::wait_queue`].

use std::collections::VecDeque;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::decide::rank::Rank;
use crate::decide::wait_queue::{Admitted, Place, WaitQueue};
use crate::decide::waiting::{self, POLL_INTERVAL, QueueTiming};

const SERVICE: &str = "models";
const MAX_WAITERS: usize = 12;

struct Queued {
    place: Place,
    ahead: usize,
    displaced: Option<Place>,
}

fn push(queue: &mut WaitQueue, rank: usize, organisation: &str, cost: f64) -> Option<Queued> {
    push_to(queue, SERVICE, Some(Rank::new(rank)), organisation, cost)
}

/// Adds a request, and checks that `ahead` tells the same beforehand. Returns `None` if the queue
/// is full.
fn push_to(
    queue: &mut WaitQueue,
    service: &str,
    rank: Option<Rank>,
    organisation: &str,
    cost: f64,
) -> Option<Queued> {
    let expected = queue.ahead(service, rank, organisation);
    match queue.push(service, rank, organisation, cost) {
        Admitted::Full => {
            assert_eq!(expected, None);
            None
        }
        Admitted::Queued {
            place,
            ahead,
            displaced,
        } => {
            assert_eq!(expected, Some(ahead));
            Some(Queued {
                place,
                ahead,
                displaced,
            })
        }
    }
}

/// Serves the first of `places` until none waits, and returns them in this order.
fn serve(queue: &mut WaitQueue, places: &[Place]) -> Vec<Place> {
    let mut served = Vec::new();
    while let Some(first) = places.iter().find(|p| queue.is_first(**p)) {
        queue.remove(*first, true);
        served.push(*first);
    }
    served
}

/// Positions in `places` of those in `order`.
fn positions(places: &[Place], order: &[Place]) -> Vec<usize> {
    let position = |place| places.iter().position(|p| p == place).unwrap();
    order.iter().map(position).collect()
}

#[test]
fn serve_by_rank() {
    let mut queue = WaitQueue::default();
    let ranks = [2, 0, 1, 0];
    let places = ranks.map(|rank| push(&mut queue, rank, "a", 100.0).unwrap().place);
    let order = serve(&mut queue, &places);
    assert_eq!(positions(&places, &order), [1, 3, 2, 0]);
}

/// Guards against one organisation with many requests that holds up another with a single one.
#[test]
fn serve_single_beside_many() {
    let mut queue = WaitQueue::default();
    let mut places: Vec<Place> = (0..6)
        .map(|_| push(&mut queue, 1, "many", 100.0).unwrap().place)
        .collect();
    let single = push(&mut queue, 1, "single", 100.0).unwrap();
    assert_eq!(single.ahead, 1);
    places.push(single.place);
    let order = serve(&mut queue, &places);
    assert_eq!(positions(&places, &order), [0, 6, 1, 2, 3, 4, 5]);
}

/// Guards against an organisation that gets a larger part of the tokens by longer requests.
#[test]
fn serve_by_cost() {
    let mut queue = WaitQueue::default();
    let mut places = Vec::new();
    for _ in 0..3 {
        places.push(push(&mut queue, 0, "long", 400.0).unwrap().place);
    }
    for _ in 0..8 {
        places.push(push(&mut queue, 0, "short", 100.0).unwrap().place);
    }
    let order = serve(&mut queue, &places);
    let by_long: Vec<bool> = order.iter().map(|p| *p <= places[2]).collect();
    let before_second = by_long.iter().skip(1).take_while(|long| !**long).count();
    assert!((4..=5).contains(&before_second), "{by_long:?}");
}

/// Guards against an organisation that is served first because it was known first: of equal ones,
/// the request that came first is served first.
#[test]
fn serve_equal_by_arrival() {
    let mut queue = WaitQueue::default();
    let left = push(&mut queue, 0, "known", 100.0).unwrap();
    queue.remove(left.place, false);
    let first = push(&mut queue, 0, "new", 100.0).unwrap();
    let second = push(&mut queue, 0, "known", 100.0).unwrap();
    assert_eq!((first.ahead, second.ahead), (0, 1));
    assert!(queue.is_first(first.place));
}

/// Guards against idle time that earns credit, and against a debt that outlasts the service of
/// others.
#[test]
fn push_after_idle() {
    let mut queue = WaitQueue::default();
    for _ in 0..50 {
        let busy = push(&mut queue, 0, "busy", 100.0).unwrap();
        queue.remove(busy.place, true);
    }
    let mut places = Vec::new();
    for organisation in ["busy", "busy", "new", "new", "new"] {
        places.push(push(&mut queue, 0, organisation, 100.0).unwrap().place);
    }
    let order = serve(&mut queue, &places);
    assert_eq!(positions(&places, &order), [2, 0, 3, 1, 4]);
}

/// Guards against other decisions at services without ranks: the order, the refusals, the number of
/// those ahead and the woken request are those of one plain FIFO queue of 12 for all services.
#[rstest]
fn unranked_equals_fifo(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = WaitQueue::default();
    let mut model: VecDeque<Place> = VecDeque::new();
    let mut refused = 0;
    for step in 0..20_000 {
        if rng.random_bool(0.52) {
            let service = ["models", "images", "voices"][rng.random_range(0..3)];
            let organisation = ["a", "b", "c"][rng.random_range(0..3)];
            let cost = rng.random_range(1.0..3_000.0);
            match push_to(&mut queue, service, None, organisation, cost) {
                Some(queued) => {
                    assert!(model.len() < MAX_WAITERS, "seed {seed}, step {step}");
                    assert_eq!(queued.ahead, model.len());
                    assert_eq!(queued.displaced, None);
                    model.push_back(queued.place);
                }
                None => {
                    assert_eq!(model.len(), MAX_WAITERS, "seed {seed}, step {step}");
                    refused += 1;
                }
            }
        } else if !model.is_empty() {
            // Mostly the first leaves, since it found room; the others since their limits passed.
            let found = rng.random_bool(0.7);
            let index = if found {
                0
            } else {
                rng.random_range(0..model.len())
            };
            let place = model.remove(index).unwrap();
            let next = queue.remove(place, found);
            assert_eq!(next, model.front().copied(), "seed {seed}, step {step}");
        }
        assert_eq!(queue.len(), model.len());
        for (i, place) in model.iter().enumerate() {
            assert_eq!(queue.is_first(*place), i == 0, "seed {seed}, step {step}");
        }
    }
    assert!(refused > 100, "{refused}");
}

#[test]
fn push_displaces_last() {
    let mut queue = WaitQueue::default();
    let low: Vec<Place> = (0..4)
        .map(|_| push(&mut queue, 2, "a", 100.0).unwrap().place)
        .collect();
    let single = push(&mut queue, 2, "b", 100.0).unwrap();
    for _ in 0..7 {
        push(&mut queue, 1, "a", 100.0).unwrap();
    }
    assert!(push(&mut queue, 2, "c", 1.0).is_none());
    // The latest request isn't the last in the order: its organisation has only this one.
    let urgent = push(&mut queue, 0, "a", 100.0).unwrap();
    assert_eq!((urgent.ahead, urgent.displaced), (0, Some(low[3])));
    assert!(!queue.contains(low[3]) && queue.contains(single.place));
    assert!(queue.is_first(urgent.place));
    assert_eq!(queue.len(), MAX_WAITERS);
    let next = push(&mut queue, 1, "a", 100.0).unwrap();
    assert_eq!((next.ahead, next.displaced), (8, Some(low[2])));
    // A displaced request that leaves later changes nothing.
    assert_eq!(queue.remove(low[3], false), None);
    assert_eq!(queue.len(), MAX_WAITERS);
}

/// Guards against the displacement of a request that is as urgent as the new one.
#[test]
fn push_equal_rank_full() {
    let mut queue = WaitQueue::default();
    for _ in 0..MAX_WAITERS {
        push(&mut queue, 0, "a", 100.0).unwrap();
    }
    assert!(push(&mut queue, 0, "b", 100.0).is_none());
    assert!(push(&mut queue, 1, "b", 100.0).is_none());
    assert_eq!(queue.len(), MAX_WAITERS);
}

/// Guards against a new request that takes the room for which a more urgent one waits at the same
/// instance.
#[test]
fn more_urgent_waits() {
    let mut queue = WaitQueue::default();
    let waiting = push(&mut queue, 1, "one", 1.0).unwrap();
    let waits = |queue: &WaitQueue, rank| queue.has_more_urgent(SERVICE, Rank::new(rank));
    assert!(!waits(&queue, 0));
    assert!(!waits(&queue, 1));
    assert!(waits(&queue, 2));
    assert!(!queue.has_more_urgent("another", Rank::new(2)));
    queue.remove(waiting.place, true);
    assert!(!waits(&queue, 2));
}

/// Guards against ranks that affect requests of other services: they aren't comparable.
#[test]
fn push_other_service() {
    let mut queue = WaitQueue::default();
    let other = push_to(&mut queue, "images", Some(Rank::new(5)), "a", 100.0).unwrap();
    let mut unranked = Vec::new();
    for _ in 1..MAX_WAITERS {
        unranked.push(push_to(&mut queue, "voices", None, "a", 100.0).unwrap());
    }
    assert!(push(&mut queue, 0, "a", 100.0).is_none());
    queue.remove(unranked[0].place, true);
    let ranked = push(&mut queue, 0, "a", 100.0).unwrap();
    assert_eq!((ranked.ahead, ranked.displaced), (0, None));
    let first = [other.place, unranked[1].place, ranked.place];
    assert!(first.iter().all(|place| queue.is_first(*place)));
    assert!(!queue.is_first(unranked[2].place));
}

/// Guards against a queue that stops: whichever request leaves, the one that is now the first is
/// named, also when a charge changes the order.
#[test]
fn remove_names_next() {
    let mut queue = WaitQueue::default();
    let low = push(&mut queue, 2, "a", 100.0).unwrap().place;
    let high = push(&mut queue, 0, "a", 100.0).unwrap().place;
    let middle = push(&mut queue, 1, "a", 100.0).unwrap().place;
    assert_eq!(queue.remove(middle, false), Some(high));
    assert_eq!(queue.remove(high, true), Some(low));
    assert_eq!(queue.remove(low, false), None);
    let a = push(&mut queue, 2, "a", 100.0).unwrap().place;
    let a_next = push(&mut queue, 2, "a", 100.0).unwrap().place;
    let b = push(&mut queue, 2, "b", 100.0).unwrap().place;
    assert_eq!(queue.remove(a, true), Some(b));
    assert_eq!(queue.remove(b, true), Some(a_next));
}

/// Guards against wrong wait limits: `ahead` is how many are served before, if no others come, and
/// the request that is displaced is the one that would have been served last.
#[rstest]
fn ahead_as_served(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = WaitQueue::default();
    let mut displacements = 0;
    for _ in 0..2_000 {
        let mut places = Vec::new();
        let mut last = None;
        let count = rng.random_range(1..20);
        for _ in 0..count {
            let rank = rng.random_range(0..3);
            let organisation = ["a", "b", "c", "d"].choose(&mut rng).unwrap();
            let cost = rng.random_range(1.0..3_000.0);
            if let Some(queued) = push(&mut queue, rank, organisation, cost) {
                displacements += usize::from(queued.displaced.is_some());
                places.retain(|p| Some(*p) != queued.displaced);
                places.push(queued.place);
                last = Some(queued);
            }
        }
        let order = serve(&mut queue, &places);
        assert_eq!((order.len(), queue.len()), (places.len(), 0));
        let last = last.unwrap();
        let position = order.iter().position(|p| *p == last.place);
        assert_eq!(position, Some(last.ahead), "seed {seed}");
    }
    assert!(displacements > 100, "{displacements}");
}

/// A request in a replay.
struct Waiting {
    place: Place,
    rank: usize,
    /// Time at which its limit passes, in milliseconds.
    ends: u64,
    next_poll: u64,
    /// Start of its present turn as the first, and time of the turns before.
    turn: Option<u64>,
    at_front: Option<u64>,
}

impl Waiting {
    /// Ends its turn as the first, if it is.
    fn end_turn(&mut self, now: u64) {
        if let Some(turn) = self.turn.take() {
            self.at_front = Some(self.at_front.unwrap_or(0) + now - turn);
        }
    }

    fn record(&mut self, now: u64, timing: &mut QueueTiming, found: bool) {
        self.end_turn(now);
        if let Some(at_front) = self.at_front {
            timing.record_front_time(Duration::from_millis(at_front), found);
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    arrived: [u32; 3],
    found: [u32; 3],
    displaced: u32,
}

impl Tally {
    fn shares(&self) -> [f64; 3] {
        std::array::from_fn(|r| f64::from(self.found[r]) / f64::from(self.arrived[r]))
    }
}

/// Replays 10 minutes at one entry: room for 20 requests per second becomes free, and 50 per second
/// arrive.
fn replay(seed: u64, ranked: bool) -> Tally {
    const OBJECTIVES_MS: [u64; 3] = [500, 500, 1000];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = WaitQueue::default();
    let mut timing = QueueTiming::default();
    let mut waiting: Vec<Waiting> = Vec::new();
    let mut tally = Tally::default();
    let mut room = 0;
    for now in 0..600_000 {
        room += u32::from(rng.random_bool(0.02));
        for mut w in waiting.extract_if(.., |w| w.ends <= now) {
            w.record(now, &mut timing, false);
            queue.remove(w.place, false);
        }
        for w in &mut waiting {
            match queue.is_first(w.place) {
                true if w.turn.is_none() => {
                    w.turn = Some(now);
                    w.next_poll = now;
                }
                true => {}
                false => w.end_turn(now),
            }
        }
        let polls = |w: &Waiting| queue.is_first(w.place) && w.next_poll <= now;
        if let Some(i) = waiting.iter().position(polls) {
            if room > 0 {
                room -= 1;
                let mut w = waiting.remove(i);
                w.record(now, &mut timing, true);
                tally.found[w.rank] += 1;
                queue.remove(w.place, true);
            } else {
                waiting[i].next_poll = now + POLL_INTERVAL.as_millis() as u64;
            }
        }
        if !rng.random_bool(0.05) {
            continue;
        }
        let rank = match rng.random_range(0..225) {
            0..112 => 0,
            112..182 => 1,
            _ => 2,
        };
        tally.arrived[rank] += 1;
        if room > 0 {
            room -= 1;
            tally.found[rank] += 1;
            continue;
        }
        let organisation = ["a", "b", "c", "d"].choose(&mut rng).unwrap();
        let cost = rng.random_range(100.0..2_000.0);
        let objective = Duration::from_millis(OBJECTIVES_MS[rank]);
        let left = Duration::from_secs(20);
        let limit = |ahead| waiting::limit(objective, Duration::ZERO, left, ahead, &timing);
        let given = ranked.then(|| Rank::new(rank));
        let Some(limit) = queue.ahead(SERVICE, given, organisation).and_then(limit) else {
            continue;
        };
        let queued = push_to(&mut queue, SERVICE, given, organisation, cost).unwrap();
        for mut w in waiting.extract_if(.., |w| Some(w.place) == queued.displaced) {
            w.record(now, &mut timing, false);
            tally.displaced += 1;
        }
        waiting.push(Waiting {
            place: queued.place,
            rank,
            ends: now + limit.as_millis() as u64,
            next_poll: 0,
            turn: None,
            at_front: None,
        });
        assert!(queue.len() <= MAX_WAITERS && queue.len() == waiting.len());
    }
    tally
}

/// Guards against the priority inversion of the order of arrival, where the requests with the
/// longest objective find room most often.
#[rstest]
fn replay_overload(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let by_rank = replay(seed, true);
    let shares = by_rank.shares();
    assert!(shares.is_sorted_by(|a, b| a >= b), "{by_rank:?}");
    // Room that isn't used is at most that of a few polls.
    let found: u32 = by_rank.found.iter().sum();
    assert!(found > 11_500, "{by_rank:?}");
    let by_arrival = replay(seed, false);
    assert!(
        by_arrival.shares()[2] > by_arrival.shares()[0],
        "{by_arrival:?}"
    );
}
