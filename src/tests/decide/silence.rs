//! Tests of [`crate::decide::silence`] and of what [`crate::decide::health`] does with it.

use std::time::Duration;

use rstest::rstest;

use super::super::at;
use crate::decide::health::{Health, HealthStatus};
use crate::decide::silence::max_silent;

const BEAT: Duration = Duration::from_millis(1_200);

/// Number of engines of the service in these tests.
const KNOWN: usize = 86;

/// Records that the engines from 1 to `count` are silent, one each millisecond.
fn silence(health: &mut Health, from: u64, count: u64) {
    for engine in 1..=count {
        health.record_silent(at(from + engine), "models", engine, KNOWN);
    }
}

fn excluded(health: &Health, now: u64) -> usize {
    let engines = 1..=KNOWN as u64;
    engines.filter(|e| health.is_excluded(at(now), *e)).count()
}

#[rstest]
#[case::none(0, 0)]
#[case::only(1, 0)]
#[case::one_of_two(2, 1)]
#[case::one_of_seven(7, 1)]
#[case::two_of_eight(8, 2)]
#[case::quarter(86, 21)]
fn max_silent_of_known(#[case] known: usize, #[case] most: usize) {
    assert_eq!(max_silent(known), most);
}

/// Guards against losing the exclusion of a few engines that died without a reset.
#[test]
fn record_silent_few() {
    let mut health = Health::default();
    silence(&mut health, 0, 21);
    assert_eq!(excluded(&health, 30), 21);
    assert_eq!(health.status(at(30), 1, false), HealthStatus::Dead);
    assert_eq!(health.suspects(at(30), BEAT).len(), 21);
}

/// Guards against holding a third of the engines for dead, and telling the leader so, since all of
/// them were silent for a second and a half while they lived.
#[test]
fn record_silent_many() {
    let mut health = Health::default();
    silence(&mut health, 0, 29);
    assert_eq!(excluded(&health, 30), 0);
    for engine in 1..=29 {
        assert_eq!(health.status(at(30), engine, false), HealthStatus::Silent);
    }
    assert!(health.suspects(at(30), BEAT).is_empty());
    assert!(health.dead(at(30)).is_empty());
}

/// Guards against excluding the rest of the engines one by one as the first of them respond again.
#[test]
fn record_silent_after_many() {
    let mut health = Health::default();
    silence(&mut health, 0, 29);
    for engine in 1..=20 {
        health.record_success(engine);
    }
    health.record_silent(at(1_000), "models", 29, KNOWN);
    assert_eq!(excluded(&health, 1_001), 0);
    // Others were silent long ago.
    health.record_silent(at(4_000), "models", 29, KNOWN);
    assert_eq!(health.status(at(4_001), 29, false), HealthStatus::Dead);
}

/// Guards against using engines on whose behalf connections were refused, because others are
/// silent.
#[test]
fn record_unresponsive_beside_many() {
    let mut health = Health::default();
    silence(&mut health, 0, 20);
    health.record_unresponsive(at(21), 3);
    health.record_unresponsive(at(21), 80);
    silence(&mut health, 30, 29);
    assert_eq!(excluded(&health, 60), 2);
    assert_eq!(health.status(at(60), 3, false), HealthStatus::Dead);
    assert_eq!(health.status(at(60), 80, false), HealthStatus::Dead);
    assert_eq!(health.suspects(at(60), BEAT), [3, 80]);
}

/// Guards against bounding evidence that isn't silence.
#[test]
fn record_unresponsive_many() {
    let mut health = Health::default();
    for engine in 1..=60 {
        health.record_unresponsive(at(engine), engine);
    }
    assert_eq!(excluded(&health, 70), 60);
}

/// Guards against acquitting the silent engine of one service since those of another are silent.
#[test]
fn record_silent_other_service() {
    let mut health = Health::default();
    health.record_silent(at(0), "desk", 99, 3);
    silence(&mut health, 0, 29);
    assert_eq!(health.status(at(30), 99, false), HealthStatus::Dead);
}

/// Guards against refusing all requests since the only engine didn't answer a question in time.
#[test]
fn record_silent_only() {
    let mut health = Health::default();
    health.record_silent(at(0), "desk", 1, 1);
    assert_eq!(health.status(at(1), 1, false), HealthStatus::Silent);
    health.record_success(1);
    assert_eq!(health.status(at(2), 1, false), HealthStatus::Healthy);
}

/// Guards against preferring a plain upstream that sends nothing to one that answers, since too many
/// are silent for any of them to be excluded.
#[test]
fn record_silent_plain() {
    let mut health = Health::default();
    for upstream in [1, 2] {
        health.record_silent(at(0), "desk", upstream, 3);
    }
    assert!(!health.is_excluded(at(1), 1));
    assert!(health.is_silent(at(1), 1) && health.is_silent(at(1), 2));
    assert!(!health.is_silent(at(1), 3));
    health.record_success(1);
    assert!(!health.is_silent(at(1), 1));
}
