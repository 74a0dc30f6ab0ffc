//! Tests of [`crate::decide::retry_budget`].

use std::time::Duration;

use rstest::rstest;

use super::super::at;
use crate::clock::Time;
use crate::decide::load::unit_hash;
use crate::decide::retry_budget::{RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 330.0,
    window: Duration::from_secs(10),
};

const INSTANCES: u32 = 73;

/// Milliseconds after which an instance that started at 0 is established.
const ESTABLISHED: u64 = 20_000;

/// Requests and retries that a service received from all instances, in order of time.
#[derive(Default)]
struct Arrivals {
    requests: Vec<Time>,
    retries: Vec<Time>,
}

impl Arrivals {
    /// Asserts that the retries of each window are within [`LIMIT`].
    fn assert_bounded(&self) {
        for &start in &self.retries {
            let count = |times: &[Time]| {
                let until = start + LIMIT.window;
                times.iter().filter(|&&t| t >= start && t < until).count() as f64
            };
            let (retries, requests) = (count(&self.retries), count(&self.requests));
            let allowed = LIMIT.ratio * requests + LIMIT.slack;
            assert!(
                retries <= allowed,
                "{retries} retries from {start:?} on for {requests} requests, {allowed} allowed"
            );
        }
    }
}

/// Rounding of an instance with this number.
fn rounding(number: u32) -> f64 {
    unit_hash(0x0a01_0000 + u64::from(number))
}

/// Sends a retry at once if one is left. Returns whether it was sent.
fn send_retry(budget: &mut RetryBudget, now: u64, service: &str, instances: u32) -> bool {
    let granted = budget.try_acquire(at(now), service, instances);
    if granted {
        budget.record_sent(at(now), service);
    }
    granted
}

/// Guards against exceeding the limit when instances restart in series while most attempts fail:
/// a new process knows nothing of the retries that the previous one sent.
#[rstest]
#[case::most_in_series(44, &[4_000, 6_500, 9_000, 11_500])]
#[case::all_once(INSTANCES, &[8_000])]
#[case::all_in_short_series(INSTANCES, &[8_000, 9_000, 10_000, 11_000, 12_000])]
fn try_acquire_restarts(#[case] killed: u32, #[case] kills: &[u64]) {
    let start = |i, now| RetryBudget::new(LIMIT, at(now), rounding(i));
    let mut budgets: Vec<_> = (0..INSTANCES).map(|i| start(i, 0)).collect();
    let mut arrivals = Arrivals::default();
    let kills = kills.iter().map(|kill| kill + ESTABLISHED);
    let kills: Vec<_> = kills.collect();
    for now in (ESTABLISHED..ESTABLISHED + 25_000).step_by(20) {
        for (i, budget) in (0..).zip(&mut budgets) {
            if kills.contains(&now) && i < killed {
                *budget = start(i, now);
            }
            // Each instance receives 3.1 requests a second, and 9 in 10 attempts fail.
            if !(now / 20 + i as u64).is_multiple_of(16) {
                continue;
            }
            budget.record_request(at(now), "models");
            arrivals.requests.push(at(now));
            let fails = !(now / 320 + i as u64).is_multiple_of(10);
            if fails && send_retry(budget, now, "models", INSTANCES) {
                arrivals.retries.push(at(now));
            }
        }
    }
    assert!(arrivals.retries.len() > 500, "{}", arrivals.retries.len());
    arrivals.assert_bounded();
}

/// Guards against exceeding the limit when retries that waited for room arrive together with those
/// of the next window.
#[test]
fn try_acquire_delayed() {
    const ROOM_AT: u64 = ESTABLISHED + 10_000;
    let mut budget = RetryBudget::new(LIMIT, at(0), 0.0);
    let mut arrivals = Arrivals::default();
    let mut waiting = 0;
    for now in ESTABLISHED..ESTABLISHED + 20_000 {
        if now.is_multiple_of(5) {
            budget.record_request(at(now), "models");
            arrivals.requests.push(at(now));
        }
        waiting += u32::from(budget.try_acquire(at(now), "models", 1));
        if now >= ROOM_AT {
            for _ in 0..std::mem::take(&mut waiting) {
                budget.record_sent(at(now), "models");
                arrivals.retries.push(at(now));
            }
        }
    }
    arrivals.assert_bounded();
}

/// Guards against exceeding the limit when many engines fail at once and each instance sees only
/// its own requests.
#[test]
fn try_acquire_bounded() {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 200.0,
        window: Duration::from_secs(10),
    };
    let mut taken = 0;
    for number in 0..10 {
        let mut budget = RetryBudget::new(limit, at(0), rounding(number));
        for i in ESTABLISHED..ESTABLISHED + 100 {
            budget.record_request(at(i), "models");
            taken += u32::from(send_retry(&mut budget, i, "models", 10));
            taken += u32::from(send_retry(&mut budget, i, "models", 10));
        }
    }
    assert!(
        taken > 200 && f64::from(taken) <= 0.2 * 1000.0 + 200.0,
        "{taken}"
    );
}

#[test]
fn try_acquire_window_slides() {
    let limit = RetryLimit {
        ratio: 0.0,
        slack: 4.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(limit, at(0), 0.0);
    assert!((0..3).all(|_| send_retry(&mut budget, ESTABLISHED, "s", 1)));
    assert!(!budget.try_acquire(at(ESTABLISHED + 9_999), "s", 1));
    assert!(budget.try_acquire(at(ESTABLISHED + 10_000), "s", 1));
}

#[test]
fn cancel_returns_retry() {
    let limit = RetryLimit {
        ratio: 0.0,
        slack: 2.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::new(limit, at(0), 0.0);
    assert!(budget.try_acquire(at(ESTABLISHED), "s", 1));
    assert!(!budget.try_acquire(at(ESTABLISHED), "s", 1));
    budget.cancel("s");
    assert!(budget.try_acquire(at(ESTABLISHED), "s", 1));
}

/// Guards against silent attempts that use up the retries that failed ones need: a pause of many
/// engines makes thousands of streams silent at once, and those whose engines really ended couldn't
/// be resumed.
#[test]
fn try_acquire_hedge_leaves_half() {
    let mut budget = RetryBudget::new(LIMIT, at(0), 0.0);
    let (now, instances) = (at(ESTABLISHED), 1);
    let limit = budget.remaining(now, "models", instances);
    while budget.try_acquire_hedge(now, "models", instances) {
        budget.record_sent(now, "models");
    }
    let left = budget.remaining(now, "models", instances);
    assert!(
        (limit / 2.0..limit / 2.0 + 1.0).contains(&left),
        "{left} of {limit}"
    );
    assert!(budget.try_acquire(now, "models", instances));
}

/// Guards against refusing nearly all retries while the limit is hardly used: among hundreds of
/// instances, the part of each is less than one retry.
#[rstest]
#[case::instances_300(300)]
#[case::instances_984(984)]
#[case::instances_2000(2_000)]
fn try_acquire_part_below_one(#[case] instances: u32) {
    let limit = RetryLimit {
        ratio: 0.2,
        slack: 1_040.0,
        window: Duration::from_secs(10),
    };
    let part = (0.75 * limit.slack / f64::from(instances)).min(1.0);
    let budget = |i| RetryBudget::new(limit, at(0), rounding(i));
    let mut budgets: Vec<_> = (0..instances).map(budget).collect();
    // Each instance has one request in 40 s, and one in ten fails.
    let (mut failed, mut granted) = (0, 0);
    for step in 0..20_000_u64 {
        let i = (step * 7 % u64::from(instances)) as usize;
        let now = ESTABLISHED + step * 40_000 / u64::from(instances);
        budgets[i].record_request(at(now), "desk");
        if step.is_multiple_of(10) {
            failed += 1;
            granted += u32::from(send_retry(&mut budgets[i], now, "desk", instances));
        }
    }
    let expected = 0.9 * part * f64::from(failed);
    assert!(f64::from(granted) >= expected, "{granted} of {failed}");
}

/// Guards against rounding that exceeds the limit: all requests fail at all instances, of which
/// each has a part of less than one retry.
#[rstest]
#[case::instances_984(984)]
#[case::instances_2000(2_000)]
fn try_acquire_parts_bounded(#[case] instances: u32) {
    let budget = |i| RetryBudget::new(LIMIT, at(0), rounding(i));
    let mut budgets: Vec<_> = (0..instances).map(budget).collect();
    let mut arrivals = Arrivals::default();
    for step in 0..4_000_u64 {
        let i = (step * 7 % u64::from(instances)) as usize;
        let now = ESTABLISHED + step * 8;
        budgets[i].record_request(at(now), "desk");
        arrivals.requests.push(at(now));
        if send_retry(&mut budgets[i], now, "desk", instances) {
            arrivals.retries.push(at(now));
        }
    }
    arrivals.assert_bounded();
}
