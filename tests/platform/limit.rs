//! Engines that name a limit in their answers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::until;
use crate::stage::{KEY, Stage};

/// Requests a second that an engine takes in need.
const LIMIT: f64 = 1.5;

/// Time after which its limit must be kept to.
const CONTACT: Duration = Duration::from_secs(3);

/// Length of the windows in which its requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which they are counted.
const COUNTED: Duration = Duration::from_secs(12);

/// Sends requests until `done`; returns how many weren't answered.
fn ask(stage: &Stage, path: &str, caller: usize, done: &AtomicBool) -> usize {
    let mut failed = 0;
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let entry = (caller * 31 + number) % stage.entries.len();
        let attempt = format!("{caller}-{number}");
        failed += usize::from(stage.ask(entry, path, &attempt, KEY).0 != 200);
        thread::sleep(Duration::from_millis(10));
    }
    failed
}

/// The most arrivals in any window that begins at `from` or later.
fn most(arrivals: &[Instant], from: Instant) -> usize {
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

/// Guards against engines being sent more than the limit that they name, by instances
/// that each keep to it or to none; and against a limit that is kept to for good.
#[rstest]
#[case::streams_of_nine("/letters/x", "models", 9)]
#[case::streams_of_hundreds("/letters/x", "models", 300)]
#[case::lookups_of_nine("/lookups/x", "desk", 9)]
#[case::lookups_of_hundreds("/lookups/x", "desk", 300)]
fn announced_limit_kept(#[case] path: &str, #[case] service: &str, #[case] entries: usize) {
    let stage = Stage::sized(entries, &[4, 4]);
    let done = AtomicBool::new(false);
    let failed: usize = thread::scope(|scope| {
        let (stage, done) = (&stage, &done);
        let callers: Vec<_> = (0..16)
            .map(|caller| scope.spawn(move || ask(stage, path, caller, done)))
            .collect();
        // The engine with most arrivals is the one that is missed most.
        thread::sleep(Duration::from_secs(2));
        let engines = stage.engines.iter().filter(|e| e.service == service);
        let busiest = engines.max_by_key(|e| stage.world().arrivals(&e.id).len());
        let busiest = busiest.expect("an engine").id.clone();
        stage.world().limit(&busiest, Some(LIMIT));
        let named = Instant::now();
        thread::sleep(CONTACT + COUNTED);
        let arrivals = stage.world().arrivals(&busiest);
        let before = most(&arrivals, named - Duration::from_secs(2));
        let most = most(&arrivals, named + CONTACT);
        let allowed = (1.5 * LIMIT * WINDOW.as_secs_f64()) as usize + 5;
        stage.world().limit(&busiest, None);
        let counted = stage.world().arrivals(&busiest).len();
        if entries == 9 {
            until("more than the limit again", || {
                let more = stage.world().arrivals(&busiest).len() - counted;
                (more > 4 * allowed).then_some(())
            });
        }
        done.store(true, Ordering::Relaxed);
        assert!(before > allowed, "too few before: {before}");
        assert!(most <= allowed, "{most} in a window, allowed {allowed}");
        callers.into_iter().map(|c| c.join().unwrap()).sum()
    });
    assert_eq!(failed, 0, "requests that another engine could answer");
}
