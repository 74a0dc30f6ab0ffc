//! Tests of when streams are led away from an engine.

use std::time::Duration;

use super::at;
use crate::decide::migration::Migration;

#[test]
fn is_due_spread() {
    // Fifty streams pass through an engine that leaves. All at once they would
    // hold up the one that takes them over; later than two seconds it is gone.
    let mut due = [0; 4];
    for stream in 0..50 {
        let mut leave = Migration::default();
        let draw = f64::from(stream) / 50.0;
        let mut when = (0..4_000).step_by(50);
        let turn = when.find(|&t| leave.is_due(at(t), (1, 9), || true, draw));
        due[(turn.unwrap().saturating_sub(1) / 250) as usize] += 1;
    }
    assert!(due.iter().all(|&n| (10..=16).contains(&n)), "{due:?}");
}

#[test]
fn is_due_looks_at_news_only() {
    // A stream has some thirty events a second; the roster changes seldom.
    let mut leave = Migration::default();
    let mut looks = 0;
    for t in 0..100 {
        let roster = (1, u64::from(t >= 50));
        let must = || {
            looks += 1;
            false
        };
        assert!(!leave.is_due(at(10 * t), roster, must, 0.5));
    }
    assert_eq!(looks, 2);
}

#[test]
fn is_due_keeps_turn() {
    // The roster changes again and again while engines move. A turn drawn anew
    // each time could always lie ahead.
    let mut leave = Migration::default();
    let mut due = |t: u64, draw| leave.is_due(at(t), (1, t + 1), || true, draw);
    let turns = [due(0, 0.5), due(250, 0.9), due(499, 0.9), due(500, 0.9)];
    assert_eq!(turns, [false, false, false, true]);
}

#[test]
fn tried_without_room() {
    // No other engine has room. It is asked again, but not for ever.
    let mut leave = Migration::default();
    let mut orders = Vec::new();
    for t in (0..20_000).step_by(50) {
        if leave.is_due(at(t), (1, 9), || true, 0.0) {
            orders.push(t);
            leave.record_attempt(at(t), false);
        }
    }
    assert_eq!(orders, [0, 600, 1200, 1800]);
}

#[test]
fn tried_looks_again() {
    // The new path may pass through another engine that leaves.
    let mut leave = Migration::default();
    assert!(leave.is_due(at(0), (1, 9), || true, 0.0));
    leave.record_attempt(at(0), true);
    assert!(leave.is_due(at(10), (1, 9), || true, 0.0));
    let mut calm = Migration::default();
    calm.record_attempt(at(0), true);
    let later = at(0) + Duration::from_secs(1);
    assert!(!calm.is_due(later, (1, 9), || false, 0.0));
}
