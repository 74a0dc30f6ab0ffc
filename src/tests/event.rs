//! Tests of [`crate::event`].

use crate::event::ALL;
use crate::log::cap::Cap;

const PAGE: &str = include_str!("../../docs/EVENTS.md");

#[test]
fn page_lists_each() {
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
fn passes_bounded() {
    // Every request fails and logs several lines. The lines must stay bounded,
    // those of failures go before those of successes, and none is lost without
    // being counted.
    let cap = Cap::new();
    let pass = |kind: crate::event::Event, second| {
        let lines = (0..2_000).filter(|_| cap.passes(kind.id.into(), second));
        lines.count() as u64
    };
    let failures = pass(crate::event::ATTEMPT_FAILED, 1);
    let successes = pass(crate::event::ATTEMPT_SENT, 1);
    assert!(0 < successes && successes < failures && failures < 2_000);
    let left: u64 = cap.take_left().iter().map(|(_, count)| count).sum();
    assert_eq!(left + failures + successes, 4_000);
    assert!(cap.take_left().is_empty());
    assert_eq!(pass(crate::event::ATTEMPT_SENT, 2), successes);
}
