//! The rank of requests, as engines receive it in `X-Priority-Class`.

use rstest::rstest;

use crate::common::wait_for;
use crate::cut::Cut;
use crate::deployment::{Deployment, KEY, OTHER_KEY, Priorities};
use crate::engine::expected_stream;

/// Two priorities at one service. The organisation `two` is more urgent than `one`, which states
/// none.
const TWO_PRIORITIES: Priorities = Priorities {
    letters: Some(2),
    urgent: Some(0),
    one: None,
    two: Some(1),
};

/// Organisations of different urgency, but one priority for all routes.
const ONE_PRIORITY: Priorities = Priorities {
    letters: Some(0),
    urgent: Some(0),
    one: Some(7),
    two: Some(1),
};

/// Priorities that only one of the two routes states.
const PARTLY_STATED: Priorities = Priorities {
    letters: None,
    urgent: Some(0),
    one: None,
    two: None,
};

/// Sends a stream to each entry instance with this `X-Priority-Class`, and asserts that all
/// engines which received it were told `expected`.
fn check(
    deployment: &Deployment,
    path: &str,
    key: &str,
    sent: Option<&str>,
    expected: Option<&str>,
) {
    for entry in 0..deployment.entries.len() {
        let attempt = format!("{path}-{key}-{sent:?}-{entry}");
        let (status, _) = deployment.request_with_class(entry, path, &attempt, key, sent);
        assert_eq!(status, 200, "{attempt}");
        let told = deployment.engine_state().classes(&attempt);
        let expected = expected.map(str::to_owned);
        assert!(
            !told.is_empty() && told.iter().all(|t| *t == expected),
            "{attempt}: {told:?}, expected {expected:?}"
        );
    }
}

/// Guards against engines that aren't told the rank, that believe a class stated by a caller, or
/// that are told the rank of the route alone where the organisation comes first.
#[test]
fn rank_sent_to_engines() {
    let deployment = Deployment::start();
    deployment.set_priorities(2, &TWO_PRIORITIES);
    // Ordered by organisation, then by route: (1, 0), (1, 2), (5, 0), (5, 2).
    let ranks = [
        ("/urgent/x", OTHER_KEY, "0"),
        ("/letters/x", OTHER_KEY, "1"),
        ("/urgent/x", KEY, "2"),
        ("/letters/x", KEY, "3"),
    ];
    for (path, key, rank) in ranks {
        for sent in [None, Some("0"), Some("9"), Some("most urgent")] {
            check(&deployment, path, key, sent, Some(rank));
        }
    }
}

/// Guards against ranks at services that have none: engines receive what the caller sent. This
/// includes a service whose organisations alone differ, and a plain service beside a prioritised
/// one.
#[rstest]
#[case::one_priority(ONE_PRIORITY, "/letters/x")]
#[case::partly_stated(PARTLY_STATED, "/letters/x")]
#[case::plain_service(TWO_PRIORITIES, "/lookups/x")]
fn class_passed_through(#[case] priorities: Priorities, #[case] path: &str) {
    let deployment = Deployment::start();
    deployment.set_priorities(2, &priorities);
    for key in [KEY, OTHER_KEY] {
        for sent in [None, Some("0"), Some("9")] {
            check(&deployment, path, key, sent, sent);
        }
    }
}

/// Guards against a request that loses its rank, or gets the caller's class back, where another
/// instance carries it to the engine.
#[test]
fn rank_sent_by_carrier() {
    let deployment = Deployment::with_size(2, &[4, 4]);
    deployment.set_priorities(2, &TWO_PRIORITIES);
    let cut = deployment.entry_ip(0);
    deployment.engine_state().links.cut(Cut::Hang, &[cut]);
    let attempt = wait_for("a carried stream", || {
        let attempt = "carried";
        let (status, body) =
            deployment.request_with_class(0, "/letters/x", attempt, OTHER_KEY, Some("9"));
        (status == 200 && body == expected_stream()).then_some(attempt)
    });
    let told = deployment.engine_state().classes(attempt);
    assert!(!told.is_empty());
    assert!(told.iter().all(|t| t.as_deref() == Some("1")), "{told:?}");
}
