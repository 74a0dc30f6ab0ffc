//! Tests of [`crate::decide::connections`].

use rstest::rstest;

use crate::decide::connections::{Admission, Connections};
use crate::tests::at;

/// Opens a connection that is admitted.
fn open(connections: &mut Connections, millis: u64) -> u64 {
    match connections.open(at(millis)) {
        Admission::Admitted(id) => id,
        Admission::After { id, victim } => {
            connections.close(victim);
            id
        }
        Admission::Refused => panic!("no place"),
    }
}

/// Guards against connections without a request that keep honest clients out: whatever their number,
/// as many are open as allowed, and a new one is admitted.
#[rstest]
fn open_beside_silent(#[values(10, 100, 1000)] limit: usize, #[values(1, 3)] times: u64) {
    let mut connections = Connections::new(limit);
    for number in 0..times * limit as u64 + 1 {
        open(&mut connections, number);
        assert!(connections.len() <= limit);
    }
    let id = open(&mut connections, 10_000);
    connections.begin(id);
    connections.end(at(10_001), id);
    assert!(connections.len() <= limit);
}

/// Guards against closing a connection whose request runs, or one of a client that has completed
/// requests before one that hasn't.
#[test]
fn open_displaces_in_order() {
    let mut connections = Connections::new(4);
    let [running, idle, later, silent] = [0, 1, 2, 3].map(|t| open(&mut connections, t));
    for id in [running, idle, later] {
        connections.begin(id);
    }
    connections.end(at(10), idle);
    connections.end(at(11), later);
    let mut displaced = Vec::new();
    for millis in 20..23 {
        let Admission::After { id, victim } = connections.open(at(millis)) else {
            panic!("all places are taken");
        };
        connections.close(victim);
        connections.begin(id);
        displaced.push(victim);
    }
    assert_eq!(displaced, [silent, idle, later]);
    assert_eq!(connections.open(at(30)), Admission::Refused);
    connections.end(at(40), running);
    let after = connections.open(at(50));
    assert!(matches!(after, Admission::After { victim, .. } if victim == running));
}

/// Guards against a connection that is displaced a second time before it was closed, and against a
/// request that begins on it.
#[test]
fn open_displaces_once() {
    let mut connections = Connections::new(2);
    let [first, second] = [0, 1].map(|t| open(&mut connections, t));
    let victim = |c: &mut Connections, millis| match c.open(at(millis)) {
        Admission::After { victim, .. } => victim,
        other => panic!("{other:?}"),
    };
    assert_eq!(victim(&mut connections, 2), first);
    connections.begin(first);
    assert_eq!(victim(&mut connections, 3), second);
    connections.close(first);
    connections.close(second);
    assert_eq!(connections.len(), 2);
}
