//! Tests of [`crate::budget`].

use std::time::Duration;

use crate::budget::{Budget, INSTANCE, ORGANISATION};
use crate::{OrganisationId, Time};

/// Every attempt fails while callers keep sending. Retries must not multiply
/// the load, or the fleet could not recover.
#[test]
fn take_all_attempts_fail() {
    let organisation = OrganisationId::from("a");
    let mut budget = Budget::new(Time(0));
    let at = |ms: u64| Time(ms * 1_000);
    let retries = (0..10_000).filter(|ms| budget.take(at(*ms), &organisation));
    let seconds = 10;
    assert_eq!(retries.count() as u32, ORGANISATION.burst + seconds - 1);
    // Another organisation has its own part of the instance's budget.
    assert!(budget.take(at(10_000), &OrganisationId::from("b")));
}

#[test]
fn take_many_organisations() {
    let mut budget = Budget::new(Time(0));
    let taken = (0..1_000).filter(|n| {
        let organisation = OrganisationId::from((n % 10).to_string().as_str());
        budget.take(Time(0), &organisation)
    });
    assert_eq!(taken.count() as u32, INSTANCE.burst);
}

#[test]
fn take_after_success() {
    let organisation = OrganisationId::from("a");
    let mut budget = Budget::new(Time(0));
    while budget.take(Time(0), &organisation) {}
    (0..100).for_each(|_| budget.succeeded(&organisation));
    let retries = (0..100).filter(|_| budget.take(Time(0), &organisation));
    assert_eq!(retries.count(), 10);
}

/// Frequent calls must not lose refill time to rounding.
#[test]
fn take_often() {
    let organisation = OrganisationId::from("a");
    let mut budget = Budget::new(Time(0));
    while budget.take(Time(0), &organisation) {}
    let end = Duration::from_millis(5_001).as_micros();
    let end = u64::try_from(end).expect("small");
    let retries = (0..=end).step_by(7).filter(|us| {
        let now = Time(*us);
        budget.take(now, &organisation)
    });
    assert_eq!(retries.count(), 5);
}
