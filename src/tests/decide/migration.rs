//! Tests of [`crate::decide::migration`].

use std::time::Duration;

use super::at;
use crate::decide::migration::Migration;

/// Guards against moving fifty streams at once, which would delay the engine that takes them over,
/// or after more than two seconds, when the engine that shuts down has ended.
#[test]
fn is_due_spread() {
    let mut due = [0; 4];
    for stream in 0..50 {
        let mut migration = Migration::default();
        let draw = f64::from(stream) / 50.0;
        let mut when = (0..4_000).step_by(50);
        let scheduled = when.find(|&t| migration.is_due(at(t), (1, 9), || true, draw));
        due[(scheduled.unwrap().saturating_sub(1) / 250) as usize] += 1;
    }
    assert!(due.iter().all(|&n| (10..=16).contains(&n)), "{due:?}");
}

/// A stream has some thirty events per second, while the roster rarely changes.
#[test]
fn is_due_checks_new_roster_only() {
    let mut migration = Migration::default();
    let mut checks = 0;
    for t in 0..100 {
        let roster = (1, u64::from(t >= 50));
        let must = || {
            checks += 1;
            false
        };
        assert!(!migration.is_due(at(10 * t), roster, must, 0.5));
    }
    assert_eq!(checks, 2);
}

/// Guards against a stream that never moves because each of many roster changes schedules it anew.
#[test]
fn is_due_keeps_schedule() {
    let mut migration = Migration::default();
    let mut due = |t: u64, draw| migration.is_due(at(t), (1, t + 1), || true, draw);
    let is_due = [due(0, 0.5), due(250, 0.9), due(499, 0.9), due(500, 0.9)];
    assert_eq!(is_due, [false, false, false, true]);
}

/// Guards against endless attempts when no other engine has room.
#[test]
fn record_attempt_without_room() {
    let mut migration = Migration::default();
    let mut orders = Vec::new();
    for t in (0..20_000).step_by(50) {
        if migration.is_due(at(t), (1, 9), || true, 0.0) {
            orders.push(t);
            migration.record_attempt(at(t), false);
        }
    }
    assert_eq!(orders, [0, 600, 1200, 1800]);
}

/// The new path may pass through another engine that shuts down.
#[test]
fn record_attempt_checks_again() {
    let mut migration = Migration::default();
    assert!(migration.is_due(at(0), (1, 9), || true, 0.0));
    migration.record_attempt(at(0), true);
    assert!(migration.is_due(at(10), (1, 9), || true, 0.0));
    let mut unaffected = Migration::default();
    unaffected.record_attempt(at(0), true);
    let later = at(0) + Duration::from_secs(1);
    assert!(!unaffected.is_due(later, (1, 9), || false, 0.0));
}
