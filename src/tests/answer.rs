//! Tests of [`crate::request::Answer`] and of its documentation for callers.

use crate::request::{FailureCode, Ran, RefusalCode};

const PAGE: &str = include_str!("../../docs/REQUESTS.md");

/// Number of variants in the exhaustive matches of the source.
fn named() -> usize {
    let lines = include_str!("../request/code.rs").lines().map(str::trim);
    let arms = lines.filter(|line| line.starts_with("Self::") && !line.contains(['(', '{']));
    let names = arms.filter_map(|line| line.split_once("=> \"")?.1.strip_suffix("\","));
    names.filter(|name| !name.contains(' ')).count()
}

#[test]
fn page_lists_refusals() {
    for code in RefusalCode::ALL {
        let row = format!("| `{}` | {} |", code.as_str(), code.status());
        assert!(PAGE.contains(&row), "docs/REQUESTS.md lacks: {row}");
    }
}

#[test]
fn page_lists_failures() {
    for code in FailureCode::ALL {
        let ran = match code.ran() {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        };
        let row = format!("| `{}` | {} | {ran} |", code.as_str(), code.status());
        assert!(PAGE.contains(&row), "docs/REQUESTS.md lacks: {row}");
    }
}

/// A code that is documented but unknown to the program would mislead operators. A
/// code that is missing in `ALL` would escape the tests above.
#[test]
fn page_lists_nothing_else() {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(rows, RefusalCode::ALL.len() + FailureCode::ALL.len());
    assert_eq!(rows, named(), "a code is missing in ALL");
}
