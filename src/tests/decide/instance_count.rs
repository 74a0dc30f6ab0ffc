//! Tests of [`crate::decide::instance_count`].

use std::time::Duration;

use super::super::at;
use crate::decide::instance_count::InstanceCounts;

#[test]
fn largest_within_window() {
    let mut counts = InstanceCounts::new(Duration::from_secs(10));
    assert_eq!((counts.largest(), counts.latest()), (None, None));
    for (now, count) in [(0, 9), (1_000, 4), (2_000, 7), (3_000, 5)] {
        counts.record(at(now), count);
    }
    assert_eq!((counts.largest(), counts.latest()), (Some(9), Some(5)));
    counts.record(at(12_500), 3);
    assert_eq!(counts.largest(), Some(7));
    // The previous count held until this one.
    counts.record(at(30_000), 2);
    assert_eq!((counts.largest(), counts.latest()), (Some(3), Some(2)));
    counts.record(at(40_000), 2);
    assert_eq!(counts.largest(), Some(2));
}
