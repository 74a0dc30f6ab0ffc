//! Tests of [`crate::decide::drain`].

use std::time::Duration;

use rstest::rstest;

use crate::decide::drain::Drain;
use crate::tests::at;

/// Guards against requests that are passed on when most of the grace period is over, and are cut off
/// with it.
#[rstest]
#[case::usual(8, 2_999, true)]
#[case::usual_late(8, 3_000, false)]
#[case::short(2, 749, true)]
#[case::short_late(2, 750, false)]
#[case::long(60, 3_000, false)]
#[case::none(0, 0, false)]
fn may_pass_in_time(#[case] grace: u64, #[case] after: u64, #[case] may: bool) {
    let drain = Drain::new(at(1_000), Duration::from_secs(grace));
    assert_eq!(drain.may_pass(at(1_000 + after)), may);
}

/// Guards against a process that is killed before it has cut off its last responses.
#[rstest]
fn answers_end_in_grace(#[values(0, 1, 8, 60)] grace: u64) {
    let grace = Duration::from_secs(grace);
    let drain = Drain::new(at(0), grace);
    assert!(drain.accept_time() <= drain.answer_time());
    assert!(drain.answer_time() <= grace);
}
