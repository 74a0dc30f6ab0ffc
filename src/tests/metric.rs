//! Tests of [`crate::metric`].

use crate::metric::ALL;

const PAGE: &str = include_str!("../../docs/METRICS.md");

#[test]
fn page_lists_metrics() {
    for metric in ALL {
        let labels = metric.labels.iter().map(|l| format!("`{l}`"));
        let labels: Vec<String> = labels.collect();
        let labels = if labels.is_empty() {
            "-".to_owned()
        } else {
            labels.join(", ")
        };
        let row = PAGE
            .lines()
            .find(|l| l.starts_with(&format!("| {} |", metric.name)));
        let row = row.unwrap_or_else(|| panic!("docs/METRICS.md lacks {}", metric.name));
        assert!(
            row.contains(&format!("| {labels} |")),
            "other labels: {row}"
        );
    }
    let rows = PAGE.lines().filter(|l| l.starts_with("| ")).count();
    assert_eq!(
        rows,
        ALL.len() + 2,
        "docs/METRICS.md lists other metrics too"
    );
}
