//! Tests of [`crate::decide::backoff`].

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;

use super::super::at;
use crate::decide::backoff::{Backoffs, parse};
use crate::decide::run_history::EngineStart;

const ADDRESS: u64 = 1;
const DRAIN: Duration = Duration::from_secs(2);

fn start(id: &str, born: u64) -> EngineStart {
    EngineStart {
        id: id.into(),
        born,
    }
}

fn may_send(backoffs: &Backoffs, millis: u64, id: &str) -> bool {
    backoffs.may_send(at(millis), ADDRESS, &Arc::from(id), 0)
}

#[rstest]
#[case::whole("3", Some(3_000))]
#[case::fraction(" 0.25 ", Some(250))]
#[case::hour("3600", Some(3_600_000))]
#[case::longer_than_a_day("1e300", Some(24 * 3_600_000))]
#[case::zero("0", None)]
#[case::negative("-1", None)]
#[case::not_a_number("NaN", None)]
#[case::infinite("inf", None)]
#[case::empty("", None)]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT", None)]
fn parse_pause(#[case] text: &str, #[case] millis: Option<u64>) {
    assert_eq!(parse(text), millis.map(Duration::from_millis));
}

/// Guards against requests to an upstream within the pause that it asked for.
#[rstest]
#[case::least(0.0, 3_000)]
#[case::most(1.0, 3_600)]
fn may_send_after_pause(#[case] draw: f64, #[case] end: u64) {
    let mut backoffs = Backoffs::new(DRAIN);
    let pause = Duration::from_secs(3);
    backoffs.record_pause(at(0), ADDRESS, &start("i-1", 0), pause, draw);
    assert!(!may_send(&backoffs, end - 1, "i-1"));
    assert!(may_send(&backoffs, end, "i-1"));
}

/// Guards against ending a pause by a shorter one that another response asked for.
#[test]
fn record_pause_shorter() {
    let mut backoffs = Backoffs::new(DRAIN);
    let upstream = start("i-1", 0);
    for (now, pause) in [(0, 3), (1_000, 1)] {
        let pause = Duration::from_secs(pause);
        backoffs.record_pause(at(now), ADDRESS, &upstream, pause, 0.0);
    }
    assert!(!may_send(&backoffs, 2_500, "i-1"));
    let left = backoffs.remaining(at(2_500), ADDRESS, &upstream.id, 0);
    assert_eq!(left, Some(Duration::from_millis(500)));
}

/// Guards against keeping requests from the next upstream at the address.
#[test]
fn may_send_other_start() {
    let mut backoffs = Backoffs::new(DRAIN);
    let pause = Duration::from_secs(3_600);
    backoffs.record_pause(at(0), ADDRESS, &start("i-1", 0), pause, 0.0);
    backoffs.record_leaving(at(0), ADDRESS, &start("i-1", 0));
    assert!(may_send(&backoffs, 10, "i-2"));
    assert!(backoffs.may_send(at(10), ADDRESS, &Arc::from("i-1"), 7));
    // The newest start at an address counts.
    backoffs.record_pause(at(20), ADDRESS, &start("i-2", 0), pause, 0.0);
    assert!(!may_send(&backoffs, 30, "i-2"));
}

/// Guards against requests to a leaving upstream when it is about to end, and against refusing at
/// once what no other upstream can serve.
#[test]
fn may_send_leaving() {
    let mut backoffs = Backoffs::new(DRAIN);
    assert!(backoffs.record_leaving(at(0), ADDRESS, &start("i-1", 0)));
    assert!(!backoffs.record_leaving(at(900), ADDRESS, &start("i-1", 0)));
    assert!(backoffs.is_leaving(ADDRESS, &Arc::from("i-1"), 0));
    assert!(may_send(&backoffs, 999, "i-1"));
    assert!(!may_send(&backoffs, 1_000, "i-1"));
}

/// Guards against unbounded memory when upstreams come and go.
#[test]
fn record_pause_bounded() {
    let mut backoffs = Backoffs::new(DRAIN);
    for address in 0..10_000 {
        let pause = Duration::from_secs(60 + address);
        backoffs.record_pause(at(0), address, &start("i-1", 0), pause, 0.0);
    }
    assert_eq!(backoffs.len(at(0)), 4_096);
}
