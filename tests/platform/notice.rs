//! Engines that ask an instance for a pause, or say that they are leaving.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::deployment::{Deployment, KEY};
use crate::engine::Visit;

/// Pause that engines ask for.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for which requests that were under way may still arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Maximum number of requests in the rest of the pause.
const ALLOWED: usize = 2;

/// Time after the notice from which nothing may reach a leaving engine.
const DRAIN_TIME: Duration = Duration::from_secs(2);

const MEASURE_TIME: Duration = Duration::from_secs(6);

const CALLERS: usize = 24;

/// Sends requests in turn to all instances while `act` runs. Returns the number of requests and of
/// those that weren't served.
fn send_during(deployment: &Deployment, path: &str, act: impl FnOnce()) -> (usize, usize) {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let done = &done;
        let send = move |caller: usize| {
            let mut counts = (0, 0);
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    break;
                }
                let entry = (caller * 31 + number) % deployment.entries.len();
                let attempt = format!("{caller}-{number}");
                let (status, body) = deployment.request(entry, path, &attempt, KEY);
                counts.0 += 1;
                if status != 200 {
                    counts.1 += 1;
                    println!("{attempt} at entry {entry}: {status} {body}");
                }
                thread::sleep(Duration::from_millis(10));
            }
            counts
        };
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send(caller)))
            .collect();
        act();
        done.store(true, Ordering::Relaxed);
        let counts = callers.into_iter().map(|c| c.join().unwrap());
        counts.fold((0, 0), |(a, b), (c, d)| (a + c, b + d))
    })
}

/// An engine of a service at which requests arrive.
fn visited_engine(deployment: &Deployment, service: &str) -> String {
    let state = deployment.engine_state();
    let mut visits = state.visits().iter().rev();
    let is_of = |v: &&Visit| {
        let engines = deployment.engines.iter();
        engines
            .clone()
            .any(|e| e.id == v.engine && e.service == service)
    };
    visits.find(is_of).expect("a visit").engine.clone()
}

/// Guards against sending requests to an engine that has asked this instance for a pause.
#[rstest]
#[case::lookups_of_nine("/lookups/x", "desk", 9)]
#[case::streams_of_nine("/letters/x", "models", 9)]
#[case::lookups_of_hundreds("/lookups/x", "desk", 300)]
fn requested_pause_kept(#[case] path: &str, #[case] service: &str, #[case] entries: usize) {
    let deployment = Deployment::with_size(entries, &[4, 4]);
    let (sent, failed) = send_during(&deployment, path, || {
        thread::sleep(Duration::from_secs(1));
        let engine = visited_engine(&deployment, service);
        let after = PAUSE.as_secs().to_string();
        deployment.engine_state().set_shed(&engine, Some(&after));
        thread::sleep(MEASURE_TIME);
    });
    let visits = deployment.engine_state().visits().to_vec();
    let sheds: Vec<&Visit> = visits.iter().filter(|v| v.shed).collect();
    assert!(!sheds.is_empty(), "the engine turned nothing away");
    for shed in &sheds {
        let is_late = |v: &&&Visit| {
            let after = v.at.saturating_duration_since(shed.at);
            v.source == shed.source && after > UNDER_WAY && after < PAUSE
        };
        let late = sheds.iter().filter(is_late).count();
        assert!(late <= ALLOWED, "{late} requests from {}", shed.source);
    }
    assert!(failed * 50 <= sent, "{failed} of {sent} not served");
}

/// Guards against sending requests to an engine that says in its answers, and not in its
/// heartbeats, that it is leaving.
#[rstest]
#[case::lookups("/lookups/x", "desk")]
#[case::streams("/letters/x", "models")]
fn leaving_engine_avoided(#[case] path: &str, #[case] service: &str) {
    let deployment = Deployment::with_size(9, &[4, 4]);
    let mut engine = String::new();
    let mut began = Instant::now();
    send_during(&deployment, path, || {
        thread::sleep(Duration::from_secs(1));
        engine = visited_engine(&deployment, service);
        deployment.engine_state().set_leaving(&engine);
        began = Instant::now();
        thread::sleep(MEASURE_TIME);
    });
    let visits = deployment.engine_state().visits().to_vec();
    let noticed: Vec<&Visit> = visits
        .iter()
        .filter(|v| v.engine == engine && v.at >= began)
        .collect();
    assert!(!noticed.is_empty(), "nobody was told");
    for first in &noticed {
        // An answer takes up to half a second.
        let limit = first.at + UNDER_WAY + DRAIN_TIME;
        let late = noticed
            .iter()
            .filter(|v| v.source == first.source && v.at > limit);
        assert_eq!(late.count(), 0, "requests from {}", first.source);
    }
}
