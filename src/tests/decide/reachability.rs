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
    for time in 0..10 {
        let change = reachability.record_failure(at(time), "models", 1, 3);
        assert_eq!(change, None);
    }
}

#[test]
fn record_failure_two_upstreams() {
    let mut reachability = Reachability::default();
    assert_eq!(
        reachability.record_failure(at(10), "models", 1, 3),
        None,
        "one may be dead"
    );
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
    reachability.record_response(at(20), "models", at(15));
    assert_eq!(reachability.record_failure(at(30), "models", 2, 3), None);
    assert_eq!(
        reachability.record_failure(at(5_000), "models", 1, 3),
        None,
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
        reachability.record_response(at(110), "models", at(90)),
        None
    );
    assert_eq!(reachability.record_failure(at(120), "models", 2, 3), LOST);
    assert_eq!(
        reachability.record_response(at(130), "models", at(95)),
        None
    );
    assert!(is_lost(&reachability));
    let change = reachability.record_response(at(420), "models", at(400));
    let after = std::time::Duration::from_millis(300);
    assert_eq!(change, Some(Change::Regained { after }));
    assert!(!is_lost(&reachability));
}

#[test]
fn record_response_other_service() {
    let mut reachability = Reachability::default();
    reachability.record_failure(at(10), "models", 1, 3);
    reachability.record_failure(at(20), "models", 2, 3);
    reachability.record_response(at(40), "desk", at(30));
    assert!(reachability.lost().eq(["models"]));
}
