//! Tests of [`crate::event`].

use crate::event::ALL;
use crate::log::rate_limit::LineLimiter;

const PAGE: &str = include_str!("../../docs/EVENTS.md");

#[test]
fn page_lists_events() {
    for event in ALL {
        let row = format!("| {} | {} |", event.id, event.name);
        assert!(PAGE.contains(&row), "docs/EVENTS.md lacks {row}");
    }
    let rows = PAGE.lines().filter(|l| l.starts_with("| ")).count();
    assert_eq!(rows, ALL.len() + 2, "docs/EVENTS.md lists other events too");
}

#[test]
fn ids_unique() {
    let mut ids: Vec<_> = ALL.iter().map(|e| e.id).collect();
    ids.dedup();
    assert_eq!(ids.len(), ALL.len());
}

#[test]
fn allow_limited() {
    // Every request fails and logs several lines. Their number must be bounded, failures must
    // have the higher limit, and every suppressed line must be counted.
    let limiter = LineLimiter::new();
    let pass = |event: crate::event::Event, second| {
        let lines = (0..2_000).filter(|_| limiter.allow(event.id.into(), second));
        lines.count() as u64
    };
    let failures = pass(crate::event::ATTEMPT_FAILED, 1);
    let successes = pass(crate::event::ATTEMPT_SENT, 1);
    assert!(0 < successes && successes < failures && failures < 2_000);
    let suppressed: u64 = limiter
        .take_suppressed()
        .iter()
        .map(|(_, count)| count)
        .sum();
    assert_eq!(suppressed + failures + successes, 4_000);
    assert!(limiter.take_suppressed().is_empty());
    assert_eq!(pass(crate::event::ATTEMPT_SENT, 2), successes);
}
