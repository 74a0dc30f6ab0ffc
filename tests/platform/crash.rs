//! Requests that crash the engines that run them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::until;
use crate::stage::{KEY, OTHER_KEY, Stage};

/// A request that crashes each engine that runs it.
const CRASHING: &str = "a body that crashes engines";

/// Crashes after which a request should be known to cause them.
const CRASHES: usize = 3;

/// Time for all instances to hear of it, and the times that the request may reach an
/// engine later than that.
const CONTACT: Duration = Duration::from_secs(3);
const LATER: usize = 3;

/// Time for which the request is sent again and again after its third crash.
const REPEATED: Duration = Duration::from_secs(10);

/// Time between two attempts of its caller.
const PAUSE: Duration = Duration::from_millis(150);

/// Pause of other callers before they try again.
const RETURN: Duration = Duration::from_millis(50);

/// Sends the crashing request once, as an attempt of its own at one of the instances.
fn ask_crashing(stage: &Stage, number: usize) -> (u16, String) {
    let entry = number * 7 % stage.entries.len();
    let attempt = format!("crashing-{number}");
    stage.ask_with(entry, "/letters/x", &attempt, KEY, CRASHING)
}

/// Sends other requests until `done`; returns how many were refused as the crashing
/// one is.
fn ask_others(stage: &Stage, caller: usize, done: &AtomicBool) -> usize {
    let mut refused = 0;
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let entry = (caller * 31 + number) % stage.entries.len();
        let attempt = format!("other-{caller}-{number}");
        // As a caller does that is cut off: the same request again.
        for again in 0..2 {
            let (attempt, body) = (format!("{attempt}-{again}"), &attempt);
            let (status, reply) = stage.ask_with(entry, "/letters/x", &attempt, KEY, body);
            refused += usize::from(reply.contains("quarantined"));
            if status == 200 {
                break;
            }
            thread::sleep(RETURN);
        }
    }
    refused
}

/// Guards against a request that crashes the engines that run it being sent to one
/// engine after the other by instances that don't know of each other's crashes.
#[rstest]
#[case::nine_instances(9)]
#[case::hundreds_of_instances(300)]
fn crashing_request_stopped(#[case] entries: usize) {
    let stage = Stage::sized(entries, &[10, 10]);
    stage.world().crash_on("one", CRASHING);
    let (done, refused) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..8 {
            let (stage, done, refused) = (&stage, &done, &refused);
            scope.spawn(move || {
                refused.fetch_add(ask_others(stage, caller, done), Ordering::Relaxed);
            });
        }
        let (mut number, mut end) = (0, None::<Instant>);
        while end.is_none_or(|end| Instant::now() < end) {
            ask_crashing(&stage, number);
            number += 1;
            let third = stage.world().crashed(CRASHING).get(CRASHES - 1).copied();
            end = third.map(|at| at + CONTACT + REPEATED);
            thread::sleep(PAUSE);
        }
        done.store(true, Ordering::Relaxed);
    });
    assert_eq!(refused.load(Ordering::Relaxed), 0, "other requests refused");
    let third = stage.world().crashed(CRASHING)[CRASHES - 1];
    let received = stage.world().received(CRASHING);
    let late = received.iter().filter(|at| **at > third + CONTACT).count();
    assert!(
        late <= LATER,
        "{late} of {} arrivals came late",
        received.len()
    );
    // The same bytes of another organisation are another request.
    until("the other organisation's answer", || {
        let (status, _) = stage.ask_with(1, "/letters/x", "two", OTHER_KEY, CRASHING);
        (status == 200).then_some(())
    });
}
