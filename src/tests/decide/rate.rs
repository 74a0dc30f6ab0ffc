//! Tests of [`crate::decide::rate`].

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::collections::HashSet;
use crate::decide::rate::{LimitUpdate, RateLimiter, parse};
use crate::decide::run_history::EngineStart;
use crate::tests::at;

const ADDRESS: u64 = 1;

fn update(id: &str, limit: Option<f64>, millis: u64) -> LimitUpdate {
    let upstream = EngineStart {
        id: id.into(),
        born: 0,
    };
    LimitUpdate {
        upstream,
        limit,
        at: at(millis),
    }
}

#[rstest]
#[case::none(None, Ok(None))]
#[case::decimal(Some("1.5"), Ok(Some(1.5)))]
#[case::zero(Some("0"), Ok(Some(0.0)))]
#[case::negative(Some("-1"), Err("-1"))]
#[case::not_a_number(Some("NaN"), Err("NaN"))]
#[case::infinite(Some("inf"), Err("inf"))]
#[case::words(Some("many"), Err("many"))]
#[case::empty(Some(""), Err(""))]
fn parse_limit(#[case] text: Option<&str>, #[case] expected: Result<Option<f64>, &str>) {
    assert_eq!(parse(text), expected);
}

/// Guards against a burst of first requests from many instances, and against each instance
/// using the whole limit. Every instance always has a request to send.
#[rstest]
#[case::nine_instances(9)]
#[case::hundreds_of_instances(300)]
fn acquire_within_limit(#[case] instances: u32) {
    for (seed, limit) in (0..).zip([0.0, 0.5, 1.5, 2.0, 10.0, 40.0]) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let id: Arc<str> = "i-1".into();
        let mut limiters: Vec<RateLimiter> =
            (0..instances).map(|_| RateLimiter::default()).collect();
        let mut sent = Vec::new();
        for now in (0..200_000).step_by(10) {
            for limiter in &mut limiters {
                if now == 0 {
                    let update = update("i-1", Some(limit), 0);
                    assert!(limiter.apply(at(0), ADDRESS, update, instances, rng.random()));
                }
                if limiter.may_send(at(now), ADDRESS, &id, 0) {
                    assert!(limiter.try_acquire(at(now), ADDRESS, &id, 0, instances));
                    sent.push(now);
                }
            }
        }
        let allowed = 1.5 * limit * 4.0 + 5.0;
        for (i, first) in sent.iter().enumerate() {
            let window = sent[i..].iter().take_while(|s| **s < first + 4_000);
            let count = window.count() as f64;
            assert!(
                count <= allowed,
                "limit {limit}: {count} within 4 s of {first}"
            );
        }
        // Without requests, no response could show that the limit was lifted.
        assert!(sent.len() >= 15, "limit {limit}: {} requests", sent.len());
    }
}

#[test]
fn apply_newest_update() {
    let mut limiter = RateLimiter::default();
    let id: Arc<str> = "i-1".into();
    let apply =
        |limiter: &mut RateLimiter, update| limiter.apply(at(10_000), ADDRESS, update, 9, 0.5);
    assert!(!apply(&mut limiter, update("i-1", None, 1_000)));
    assert!(apply(&mut limiter, update("i-1", Some(1.5), 2_000)));
    assert!(
        !apply(&mut limiter, update("i-1", None, 1_500)),
        "outdated lift"
    );
    assert!(!limiter.may_send(at(10_000), ADDRESS, &id, 0));
    assert!(
        apply(&mut limiter, update("i-1", Some(3.0), 2_500)),
        "raised limit"
    );
    assert!(apply(&mut limiter, update("i-1", None, 3_000)));
    assert!(limiter.may_send(at(10_000), ADDRESS, &id, 0));
    assert!(
        !apply(&mut limiter, update("i-1", Some(1.5), 2_000)),
        "outdated limit"
    );
    assert!(limiter.may_send(at(10_000), ADDRESS, &id, 0));
}

/// Guards against a limit that stays in force after its upstream restarts.
#[test]
fn may_send_to_new_start() {
    let mut limiter = RateLimiter::default();
    let (old, new): (Arc<str>, Arc<str>) = ("i-1".into(), "i-2".into());
    limiter.apply(at(0), ADDRESS, update("i-1", Some(0.0), 0), 9, 0.9);
    assert!(!limiter.may_send(at(1), ADDRESS, &old, 0));
    assert!(limiter.may_send(at(1), ADDRESS, &old, 7));
    assert!(limiter.may_send(at(1), ADDRESS, &new, 0));
    assert!(limiter.try_acquire(at(1), ADDRESS, &new, 0, 9));
    limiter.apply(at(2), ADDRESS, update("i-2", Some(1.0), 2), 9, 0.9);
    assert!(!limiter.may_send(at(3), ADDRESS, &new, 0));
    assert!(limiter.may_send(at(3), ADDRESS, &old, 0));
    let late = limiter.apply(at(4), ADDRESS, update("i-1", Some(0.0), 1), 9, 0.9);
    assert!(!late, "update of the previous start");
    assert!(!limiter.may_send(at(4), ADDRESS, &new, 0));
}

/// Guards against a limit that stays in force for an upstream that has ended.
#[test]
fn apply_expires() {
    let mut limiter = RateLimiter::default();
    let id: Arc<str> = "i-1".into();
    assert!(limiter.apply(at(0), ADDRESS, update("i-1", Some(0.0), 0), 9, 0.9));
    let other = update("i-2", Some(1.0), 700_000);
    assert!(limiter.apply(at(700_000), ADDRESS + 1, other, 9, 0.9));
    assert!(limiter.may_send(at(700_000), ADDRESS, &id, 0));
    assert_eq!(limiter.limited_count(), 1);
    let outdated = limiter.apply(at(700_001), ADDRESS, update("i-1", Some(0.0), 0), 9, 0.9);
    assert!(!outdated);
}

/// Guards against messages that grow with the number of limited upstreams, and against
/// updates that are never sent.
#[test]
fn message_updates_bounded() {
    let mut limiter = RateLimiter::default();
    for address in 0..300 {
        let id = format!("i-{address}");
        limiter.apply(at(1), address, update(&id, Some(1.0), 1), 300, 0.5);
    }
    let mut sent = HashSet::default();
    for step in 0..100 {
        let updates: Vec<u64> = limiter
            .message_updates(f64::from(step) / 100.0)
            .map(|u| u.0)
            .collect();
        assert!(updates.len() <= 32);
        sent.extend(updates);
    }
    assert_eq!(sent.len(), 256);
}
