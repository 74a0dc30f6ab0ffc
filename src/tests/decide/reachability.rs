//! Tests of [`crate::decide::reachability`].

use super::super::at;
use crate::decide::reachability::{Change, Reachability};

const LOST: Option<Change> = Some(Change::Lost { failed: 2 });

fn is_lost(reachability: &Reachability) -> bool {
    reachability.lost().next().is_some()
}

/// Guards against taking one dead upstream for lost links.
#[test]
fn record_failure_one_upstream() {
    let mut reachability = Reachability::default();
    let change = reachability.record_failure(at(0), "models", 1, 3);
    assert_eq!(change, Some(Change::Doubtful));
    for time in 1..10 {
        let change = reachability.record_failure(at(time), "models", 1, 3);
        assert_eq!(change, None);
    }
    assert!(reachability.is_doubtful("models") && !is_lost(&reachability));
}

#[test]
fn record_failure_two_upstreams() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    assert_eq!(reachability.record_failure(at(20), "models", 2, 3), LOST);
    assert_eq!(
        reachability.record_failure(at(30), "models", 3, 3),
        None,
        "known already"
    );
    assert!(reachability.lost().eq(["models"]));
}

/// Guards against never noticing lost links where a service has one upstream only.
#[test]
fn record_failure_only_upstream() {
    let mut reachability = Reachability::default();
    let change = reachability.record_failure(at(10), "desk", 1, 1);
    assert_eq!(change, Some(Change::Lost { failed: 1 }));
}

/// Guards against taking upstreams that died at different times for lost links.
#[test]
fn record_failure_between_responses() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    reachability.record_response(at(20), "models", 3, at(15));
    assert!(!reachability.is_doubtful("models"));
    reachability.record_failure(at(30), "models", 2, 3);
    let change = reachability.record_failure(at(5_000), "models", 1, 3);
    assert_eq!(
        change,
        Some(Change::Doubtful),
        "the failure of the other is long ago"
    );
}

/// Guards against trusting a response on a connection that was opened before the links were lost:
/// such connections live on while new ones are refused.
#[test]
fn record_response_old_connection() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(100), "models", 1, 3);
    assert_eq!(
        reachability.record_response(at(110), "models", 3, at(90)),
        None
    );
    assert_eq!(reachability.record_failure(at(120), "models", 2, 3), LOST);
    assert_eq!(
        reachability.record_response(at(130), "models", 3, at(95)),
        None
    );
    assert!(is_lost(&reachability));
    let change = reachability.record_response(at(420), "models", 3, at(400));
    let after = std::time::Duration::from_millis(300);
    assert_eq!(change, Some(Change::Regained { after }));
    assert!(!is_lost(&reachability));
}

#[test]
fn record_response_other_service() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    reachability.record_failure(at(20), "models", 2, 3);
    reachability.record_response(at(40), "desk", 9, at(30));
    assert!(reachability.lost().eq(["models"]));
}

/// Guards against trying an upstream again and again from an instance that lost its link to it,
/// while it reaches other upstreams of the service.
#[test]
fn must_carry_remote() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    let change = reachability.record_remote(at(15), "models", 1, 3);
    assert_eq!(change, Some(Change::Remote));
    reachability.record_response(at(30), "models", 2, at(20));
    assert!(reachability.must_carry("models", 1));
    assert!(!reachability.must_carry("models", 2) && !is_lost(&reachability));
    reachability.record_response(at(50), "models", 1, at(40));
    assert!(!reachability.must_carry("models", 1));
}

/// Guards against calling a service lost and regained in turn, as an instance checks upstreams
/// that only others reach beside one that it reaches.
#[test]
fn record_failure_remote() {
    let mut reachability = Reachability::default();
    for upstream in [1, 2] {
        reachability.record_failure(at(10), "models", upstream, 3);
        reachability.record_response(at(20), "models", 3, at(15));
        reachability.record_remote(at(20), "models", upstream, 3);
    }
    for upstream in [1, 2] {
        let change = reachability.record_failure(at(300), "models", upstream, 3);
        assert_eq!(change, None);
    }
    assert!(!is_lost(&reachability) && !reachability.is_doubtful("models"));
}

#[test]
fn record_remote_all() {
    let mut reachability = Reachability::default();
    for upstream in [1, 2] {
        reachability.record_failure(at(10), "models", upstream, 3);
        reachability.record_remote(at(10), "models", upstream, 2);
    }
    assert!(is_lost(&reachability));
}

#[test]
fn must_carry_lost_service() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    reachability.record_failure(at(20), "models", 2, 3);
    assert!(reachability.must_carry("models", 3));
    assert!(!reachability.must_carry("desk", 9));
}
