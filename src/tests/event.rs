//! Tests of [`crate::event`].

use crate::event::ALL;

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
