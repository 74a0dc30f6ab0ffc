//! Tests of [`crate::entry::targets`].

use super::at;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::entry::targets::Targets;
use crate::id::InstanceId;
use crate::sync::ControllerRecord;

const LEADER: InstanceId = InstanceId(500);

/// Ten followers in five failure domains.
fn followers() -> Vec<ControllerRecord> {
    let record = |id: u64| ControllerRecord {
        id,
        domain: format!("d{}", id % 5),
    };
    (510..520).map(record).collect()
}

fn targets(own: u64) -> Targets {
    Targets::new(InstanceId(own), &format!("d{}", own % 5), vec![LEADER])
}

/// Returns the controller that an instance polls after the leader named its followers.
fn polled(own: u64, now: Time) -> u64 {
    let mut targets = targets(own);
    let leader = targets.next(now).unwrap();
    targets.succeed(now, leader, &followers());
    targets.next(now).unwrap().0
}

/// Guards against polls that cross failure domains, and against one controller that most poll.
#[test]
fn next_spread_in_domain() {
    let mut polls: HashMap<u64, u32> = HashMap::default();
    for own in 0..1_000 {
        let target = polled(own, at(0));
        assert_eq!(target % 5, own % 5);
        *polls.entry(target).or_default() += 1;
    }
    assert_eq!(polls.len(), 10);
    assert!(polls.values().all(|n| (70..=130).contains(n)), "{polls:?}");
}

/// Guards against an instance that waits for a controller that is gone while another answers.
#[test]
fn next_after_failure() {
    let mut targets = targets(7);
    targets.succeed(at(0), LEADER, &followers());
    let first = targets.next(at(0)).unwrap();
    targets.fail(at(500), first, Some(LEADER));
    let second = targets.next(at(560)).unwrap();
    assert_ne!(second, first);
    assert_eq!(second.0 % 5, 2);
    // The leader names the silent one for a while.
    targets.succeed(at(600), second, &followers());
    assert_eq!(targets.next(at(850)), Some(second));
    targets.succeed(at(3_600), second, &followers());
    assert_eq!(targets.next(at(3_600)), Some(first));
}

/// Guards against an instance that polls only followers while none of them answers.
#[test]
fn next_all_failed() {
    let mut targets = targets(7);
    targets.succeed(at(0), LEADER, &followers());
    let mut polled = Vec::new();
    for step in 0..10 {
        let target = targets.next(at(step)).unwrap();
        targets.fail(at(step), target, Some(LEADER));
        polled.push(target.0);
    }
    polled.sort_unstable();
    assert_eq!(polled, (510..520).collect::<Vec<_>>());
    assert_eq!(targets.next(at(20)), Some(LEADER));
}

/// Guards against a detour in a small fleet: without followers, the leader is polled.
#[test]
fn next_without_followers() {
    let mut targets = targets(7);
    targets.succeed(at(0), LEADER, &[]);
    assert_eq!(targets.next(at(250)), Some(LEADER));
    let other = InstanceId(501);
    targets.fail(at(500), LEADER, Some(other));
    assert_eq!(targets.next(at(560)), Some(other));
}
