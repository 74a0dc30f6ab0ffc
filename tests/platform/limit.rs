//! Engines that announce a rate limit in their responses.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use rustix::process::Signal;

use crate::common::wait_for;
use crate::deployment::{Deployment, KEY};

/// Announced limit in requests per second.
const RATE_LIMIT: f64 = 1.5;

/// Time after the announcement from which the limit must be respected.
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Length of the window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which arrivals are measured after the grace period.
const MEASURE_TIME: Duration = Duration::from_secs(12);

/// Sends requests until `done`. Returns the number of failed requests.
fn send_until_done(deployment: &Deployment, path: &str, caller: usize, done: &AtomicBool) -> usize {
    let mut failed = 0;
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let entry = (caller * 31 + number) % deployment.entries.len();
        let attempt = format!("{caller}-{number}");
        failed += usize::from(deployment.request(entry, path, &attempt, KEY).0 != 200);
        thread::sleep(Duration::from_millis(10));
    }
    failed
}

/// Returns the maximum number of arrivals in any window that begins at `from` or later.
fn max_per_window(arrivals: &[Instant], from: Instant) -> usize {
    let arrivals: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
    let within = |first: &Instant| {
        let window = arrivals.iter().filter(|at| ***at >= *first);
        window.filter(|at| ***at < *first + WINDOW).count()
    };
    arrivals
        .iter()
        .map(|first| within(first))
        .max()
        .unwrap_or(0)
}

/// Returns the maximum number of arrivals in a window that is accepted under the limit.
fn allowed_per_window() -> usize {
    (1.5 * RATE_LIMIT * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the ID of the service's engine that has received the most requests.
fn busiest_engine(deployment: &Deployment, service: &str) -> String {
    let engines = deployment.engines.iter().filter(|e| e.service == service);
    let busiest = engines.max_by_key(|e| deployment.engine_state().arrivals(&e.id).len());
    busiest.expect("an engine").id.clone()
}

/// Guards against instances that ignore an announced limit or each use the whole of it, and
/// against a limit that stays in force after it was lifted.
#[rstest]
#[case::streams_of_nine("/letters/x", "models", 9)]
#[case::streams_of_hundreds("/letters/x", "models", 300)]
#[case::lookups_of_nine("/lookups/x", "desk", 9)]
#[case::lookups_of_hundreds("/lookups/x", "desk", 300)]
fn announced_limit_kept(#[case] path: &str, #[case] service: &str, #[case] entries: usize) {
    let deployment = Deployment::with_size(entries, &[4, 4]);
    let done = AtomicBool::new(false);
    let failed: usize = thread::scope(|scope| {
        let (deployment, done) = (&deployment, &done);
        let callers: Vec<_> = (0..16)
            .map(|caller| scope.spawn(move || send_until_done(deployment, path, caller, done)))
            .collect();
        // A limit on the busiest engine displaces the most requests.
        thread::sleep(Duration::from_secs(2));
        let busiest = busiest_engine(deployment, service);
        deployment
            .engine_state()
            .set_limit(&busiest, Some(RATE_LIMIT));
        let announced = Instant::now();
        thread::sleep(GRACE_PERIOD + MEASURE_TIME);
        let arrivals = deployment.engine_state().arrivals(&busiest);
        let before = max_per_window(&arrivals, announced - Duration::from_secs(2));
        let limited = max_per_window(&arrivals, announced + GRACE_PERIOD);
        let allowed = allowed_per_window();
        deployment.engine_state().set_limit(&busiest, None);
        let arrived = deployment.engine_state().arrivals(&busiest).len();
        if entries == 9 {
            wait_for("more requests than the limit after it was lifted", || {
                let more = deployment.engine_state().arrivals(&busiest).len() - arrived;
                (more > 4 * allowed).then_some(())
            });
        }
        done.store(true, Ordering::Relaxed);
        assert!(
            before > allowed,
            "too few arrivals before the limit: {before}"
        );
        assert!(
            limited <= allowed,
            "{limited} arrivals in a window, allowed {allowed}"
        );
        callers.into_iter().map(|c| c.join().unwrap()).sum()
    });
    assert_eq!(
        failed, 0,
        "failed requests that another engine could answer"
    );
}

/// Guards against instances that exceed an announced limit after faults: the leader is
/// killed, one instance is restarted and another one frozen.
#[test]
fn announced_limit_survives_faults() {
    let deployment = Deployment::with_size(9, &[4, 4]);
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let (deployment, done) = (&deployment, &done);
        for caller in 0..16 {
            scope.spawn(move || send_until_done(deployment, "/lookups/x", caller, done));
        }
        thread::sleep(Duration::from_secs(1));
        let limited_engine = busiest_engine(deployment, "desk");
        deployment
            .engine_state()
            .set_limit(&limited_engine, Some(RATE_LIMIT));
        let announced = Instant::now();
        thread::sleep(GRACE_PERIOD);
        let leader = wait_for("a leader", || deployment.leader());
        deployment.controllers[leader].signal(Signal::KILL);
        deployment.entries[1].signal(Signal::KILL);
        deployment.entries[0].freeze();
        thread::sleep(Duration::from_secs(1));
        let _restarted = deployment.start_entry(1);
        deployment.entries[0].thaw();
        thread::sleep(MEASURE_TIME);
        done.store(true, Ordering::Relaxed);
        let arrivals = deployment.engine_state().arrivals(&limited_engine);
        let limited = max_per_window(&arrivals, announced + GRACE_PERIOD);
        let allowed = allowed_per_window();
        assert!(
            (1..=allowed).contains(&limited),
            "{limited} arrivals in a window, allowed {allowed}"
        );
    });
}
