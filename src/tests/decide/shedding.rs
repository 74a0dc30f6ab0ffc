//! Tests of [`crate::decide::shedding`].

use std::time::Duration;

use rstest::rstest;

use crate::decide::demand::Demand;
use crate::decide::shedding::{INTERVAL, Shedding};

/// Connections per second that the processor of the replayed instance serves.
const CAPACITY: f64 = 100.0;

/// Connections of a replay, in its second half.
struct Outcome {
    offered: f64,
    admitted: f64,
    /// Longest time until the processor would have served everything that was admitted.
    backlog: Duration,
}

/// Replays connections at an instance for a time. Timers are late by a tenth of the backlog: each
/// connection waits for the processor some ten times.
fn replay(shedding: &mut Shedding, per_s: f64, crowding: f64, seconds: f64) -> Outcome {
    let steps = (seconds / INTERVAL.as_secs_f64()) as usize;
    let mut outcome = Outcome {
        offered: 0.0,
        admitted: 0.0,
        backlog: Duration::ZERO,
    };
    let (mut pending, mut arriving) = (0.0_f64, 0.0);
    for step in 0..steps {
        let counts = step >= steps / 2;
        arriving += per_s * INTERVAL.as_secs_f64();
        while arriving >= 1.0 {
            arriving -= 1.0;
            let admitted = f64::from(u8::from(shedding.admit()));
            pending += admitted;
            if counts {
                outcome.offered += 1.0;
                outcome.admitted += admitted;
            }
        }
        pending = (pending - CAPACITY * INTERVAL.as_secs_f64()).max(0.0);
        let backlog = Duration::from_secs_f64(pending / CAPACITY);
        shedding.record_lag(backlog / 10, crowding);
        if counts {
            outcome.backlog = outcome.backlog.max(backlog);
        }
    }
    outcome
}

/// Guards against an instance that reads all of a crowd and is late with everything.
#[rstest]
#[case::of_a_zone(250.0)]
#[case::of_a_region(1_500.0)]
fn crowd_shed_to_capacity(#[case] per_s: f64) {
    let mut shedding = Shedding::default();
    let outcome = replay(&mut shedding, per_s, 8.0, 20.0);
    assert!(
        outcome.backlog < Duration::from_millis(600),
        "{:?}",
        outcome.backlog
    );
    let served = outcome.admitted / 10.0;
    assert!(
        (0.6..1.1).contains(&(served / CAPACITY)),
        "{served} a second"
    );
    // All are admitted again once the crowd has left.
    replay(&mut shedding, 50.0, 1.0, 10.0);
    assert!((0..100).all(|_| shedding.admit()));
}

/// Guards against closing connections while every instance is overloaded: their callers would meet
/// another one that does the same.
#[test]
fn common_overload_admitted() {
    let mut shedding = Shedding::default();
    let outcome = replay(&mut shedding, 250.0, 1.3, 10.0);
    assert_eq!(outcome.admitted, outcome.offered);
}

#[test]
fn single_lag_admitted() {
    let mut shedding = Shedding::default();
    for lag in [0, 3_000, 0, 30, 30, 0] {
        shedding.record_lag(Duration::from_millis(lag), 9.0);
    }
    assert!((0..100).all(|_| shedding.admit()));
}

/// Records the requests between two reports.
fn report(demand: &mut Demand, local: u32, total: u32) {
    (0..local).for_each(|_| demand.record_request());
    demand.update(Some(total), 0);
}

/// Guards against taking an instance for crowded that got two requests between two reports, where
/// most got one or none.
#[test]
fn crowding_averaged() {
    let mut demand = Demand::default();
    assert_eq!(demand.crowding(73), 1.0);
    demand.update(Some(0), 0);
    for number in 0..40 {
        report(&mut demand, 2 * u32::from(number % 2 == 0), 73);
    }
    assert!(
        (0.8..1.2).contains(&demand.crowding(73)),
        "{}",
        demand.crowding(73)
    );
    for _ in 0..8 {
        report(&mut demand, 50, 73);
    }
    assert!(demand.crowding(73) > 20.0, "{}", demand.crowding(73));
}
