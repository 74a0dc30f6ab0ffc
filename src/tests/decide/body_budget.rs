//! Tests of [`crate::decide::body_budget`].

use rstest::rstest;

use crate::clock::Time;
use crate::decide::body_budget::{BodyBudget, Growth, Kind, SHORT_BYTES};
use crate::tests::at;

/// Size of a large body, in bytes, and by how much it grows at a time.
const LARGE: usize = 4 << 20;
const STEP: usize = SHORT_BYTES;

/// Memory of the smallest machines for bodies.
const CAPACITY: usize = 28 << 20;

/// Grows a body until it is refused or has `size` bytes. Bodies that are given up are dropped at
/// once. Returns whether it has.
fn fill(budget: &mut BodyBudget, now: Time, id: u64, size: usize, step: usize) -> bool {
    let mut held = 0;
    while held < size {
        match budget.grow(now, id, step) {
            Growth::Granted => held += step,
            Growth::Wait(Some(victim)) => budget.close(victim),
            Growth::Wait(None) => panic!("given-up bodies are dropped"),
            Growth::Refused => {
                budget.close(id);
                return false;
            }
        }
    }
    true
}

/// A budget with a crowd of large bodies that stopped just before their end.
fn crowded(clients: u64) -> BodyBudget {
    let mut budget = BodyBudget::new(CAPACITY);
    for client in 0..clients {
        let now = at(client);
        let id = budget.open(now, Kind::Request);
        fill(&mut budget, now, id, LARGE - STEP, STEP);
        assert!(budget.held() <= CAPACITY);
    }
    budget
}

/// Guards against bodies that stay just before their end and keep all others out, whatever their
/// number: they hold half of the memory at most, and a body as long as theirs finds room.
#[rstest]
fn grow_beside_stalled(#[values(10, 100, 1000)] clients: u64) {
    let mut budget = crowded(clients);
    assert!(budget.held() <= CAPACITY / 2);
    let now = at(clients + 1_100);
    let id = budget.open(now, Kind::Request);
    assert!(fill(&mut budget, now, id, LARGE, STEP));
    assert!(budget.complete(id));
}

/// Guards against short bodies that wait for long ones: they find room at once.
#[rstest]
fn grow_short_beside_long(#[values(10, 100, 1000)] clients: u64) {
    let mut budget = crowded(clients);
    let now = at(clients);
    for _ in 0..100 {
        let id = budget.open(now, Kind::Request);
        assert!(fill(&mut budget, now, id, SHORT_BYTES, 4096));
    }
}

/// Guards against short bodies that are kept out by a crowd of short ones without end: the one that
/// stopped growing first makes room.
#[test]
fn grow_short_beside_stalled_short() {
    let mut budget = BodyBudget::new(CAPACITY);
    for client in 0..1000 {
        let id = budget.open(at(client), Kind::Request);
        fill(&mut budget, at(client), id, SHORT_BYTES, SHORT_BYTES);
        assert!(budget.held() <= CAPACITY / 4 * 3);
    }
    let now = at(2_100);
    let id = budget.open(now, Kind::Request);
    assert!(fill(&mut budget, now, id, SHORT_BYTES, 4096));
}

/// Guards against large bodies that all grow and none of which is completed.
#[test]
fn grow_together_some_complete() {
    let mut budget = BodyBudget::new(CAPACITY);
    let open = |b: &mut BodyBudget| (b.open(at(0), Kind::Request), 0);
    let mut bodies: Vec<(u64, usize)> = (0..48).map(|_| open(&mut budget)).collect();
    let mut complete = 0;
    for round in 0.. {
        let mut rest = Vec::new();
        for (id, held) in bodies {
            match budget.grow(at(round), id, STEP) {
                Growth::Granted if held + STEP == LARGE => {
                    assert!(budget.complete(id));
                    complete += 1;
                }
                Growth::Granted => rest.push((id, held + STEP)),
                Growth::Wait(victim) => {
                    assert_ne!(victim, Some(id));
                    rest.push((id, held));
                }
                Growth::Refused => budget.close(id),
            }
        }
        bodies = rest;
        if bodies.is_empty() {
            break;
        }
    }
    assert_eq!(complete, CAPACITY / 2 / LARGE);
}

/// Guards against responses of requests that have run and that are lost since bodies without end hold
/// the memory.
#[test]
fn grow_response_beside_requests() {
    let mut budget = crowded(100);
    let now = at(100);
    let id = budget.open(now, Kind::Response);
    assert!(fill(&mut budget, now, id, CAPACITY, STEP));
    assert_eq!(budget.held(), CAPACITY);
}

/// Guards against a complete body whose memory is taken from its running call.
#[test]
fn complete_body_kept() {
    let mut budget = BodyBudget::new(CAPACITY);
    let first = budget.open(at(0), Kind::Request);
    assert!(fill(&mut budget, at(0), first, CAPACITY / 2, STEP));
    assert!(budget.complete(first));
    let second = budget.open(at(9_000), Kind::Request);
    assert!(!fill(&mut budget, at(9_000), second, LARGE, STEP));
    assert_eq!(budget.held(), CAPACITY / 2);
}

/// Guards against a body that is completed after its memory was promised to another one.
#[test]
fn given_up_not_completed() {
    let mut budget = BodyBudget::new(CAPACITY);
    let first = budget.open(at(0), Kind::Request);
    assert!(fill(&mut budget, at(0), first, CAPACITY / 2, STEP));
    let second = budget.open(at(1_000), Kind::Request);
    assert_eq!(
        budget.grow(at(1_000), second, 2 * STEP),
        Growth::Wait(Some(first))
    );
    assert_eq!(budget.grow(at(1_000), second, 2 * STEP), Growth::Wait(None));
    assert_eq!(budget.grow(at(1_000), first, 1), Growth::Refused);
    assert!(!budget.complete(first));
    budget.close(first);
    assert_eq!(budget.grow(at(1_000), second, 2 * STEP), Growth::Granted);
}
