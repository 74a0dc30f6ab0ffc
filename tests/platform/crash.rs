//! Requests that crash the engines that run them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::process::Process;
use crate::common::wait_for;
use crate::deployment::{Deployment, KEY, OTHER_KEY};

/// Path of the stream route.
const STREAM_PATH: &str = "/letters/x";

/// Body of a request that crashes each engine that runs it.
const CRASHING_BODY: &str = "a body that crashes engines";

/// Number of crashes after which the request must be quarantined.
const QUARANTINE_CRASHES: usize = 3;

/// Time for the quarantine to reach all instances.
const PROPAGATION: Duration = Duration::from_secs(3);

/// Maximum number of times that the request may reach an engine after [`PROPAGATION`].
const MAX_LATE_ARRIVALS: usize = 3;

/// Time for which the request is repeated after the quarantine should have propagated.
const REPEAT_FOR: Duration = Duration::from_secs(10);

/// Pause between two attempts of the crashing request.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Pause of other callers before they retry.
const OTHERS_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Sends the crashing request once, as a new attempt at one of the instances.
fn send_crashing(deployment: &Deployment, path: &str, number: usize) -> (u16, String) {
    let entry = number * 7 % deployment.entries.len();
    let attempt = format!("crashing-{number}");
    deployment.request_with_body(entry, path, &attempt, KEY, CRASHING_BODY)
}

/// Sends other requests until `done`; returns how many were refused as quarantined.
fn send_others(deployment: &Deployment, caller: usize, done: &AtomicBool) -> usize {
    let mut refused = 0;
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let entry = (caller * 31 + number) % deployment.entries.len();
        let attempt = format!("other-{caller}-{number}");
        // Retries like a caller whose response was cut off.
        for again in 0..2 {
            let (attempt, body) = (format!("{attempt}-{again}"), &attempt);
            let (status, reply) =
                deployment.request_with_body(entry, STREAM_PATH, &attempt, KEY, body);
            refused += usize::from(reply.contains("quarantined"));
            if status == 200 {
                break;
            }
            thread::sleep(OTHERS_RETRY_PAUSE);
        }
    }
    refused
}

/// Guards against instances that each send a crashing request to further engines because
/// they don't share the crashes they observed.
#[rstest]
#[case::nine_instances(STREAM_PATH, 9)]
#[case::hundreds_of_instances(STREAM_PATH, 300)]
#[case::idempotent("/lookups/x", 9)]
#[case::non_idempotent("/bookings/x", 9)]
fn crashing_request_stopped(#[case] path: &str, #[case] entries: usize) {
    let deployment = Deployment::with_size(entries, &[10, 10]);
    deployment.engine_state().crash_on("one", CRASHING_BODY);
    let (done, refused) = (AtomicBool::new(false), AtomicUsize::new(0));
    thread::scope(|scope| {
        for caller in 0..8 {
            let (deployment, done, refused) = (&deployment, &done, &refused);
            scope.spawn(move || {
                refused.fetch_add(send_others(deployment, caller, done), Ordering::Relaxed);
            });
        }
        let (mut number, mut end) = (0, None::<Instant>);
        while end.is_none_or(|end| Instant::now() < end) {
            send_crashing(&deployment, path, number);
            number += 1;
            let third = deployment
                .engine_state()
                .crashes(CRASHING_BODY)
                .get(QUARANTINE_CRASHES - 1)
                .copied();
            end = third.map(|at| at + PROPAGATION + REPEAT_FOR);
            thread::sleep(RETRY_PAUSE);
        }
        done.store(true, Ordering::Relaxed);
    });
    assert_eq!(refused.load(Ordering::Relaxed), 0, "other requests refused");
    let third = deployment.engine_state().crashes(CRASHING_BODY)[QUARANTINE_CRASHES - 1];
    let received = deployment.engine_state().received(CRASHING_BODY);
    let late = received
        .iter()
        .filter(|at| **at > third + PROPAGATION)
        .count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} of {} arrivals came late",
        received.len()
    );
    // An identical request of another organisation has another fingerprint.
    wait_for("the other organisation's answer", || {
        let (status, _) = deployment.request_with_body(1, path, "two", OTHER_KEY, CRASHING_BODY);
        (status == 200).then_some(())
    });
}

/// Sends the crashing request until it is refused as quarantined; returns the number of
/// the next attempt.
fn send_until_refused(deployment: &Deployment, first: usize) -> usize {
    let mut number = first;
    wait_for("a refusal of the crashing request", || {
        let (status, reply) = send_crashing(deployment, STREAM_PATH, number);
        number += 1;
        thread::sleep(RETRY_PAUSE);
        (status == 503 && reply.contains("quarantined")).then_some(number)
    })
}

/// Guards against losing recorded crashes or a quarantine: the leader is killed or frozen
/// and an instance frozen while engines crash, then all processes are killed.
#[rstest]
#[case::leader_killed(Process::kill)]
#[case::leader_frozen(|process: &mut Process| process.freeze())]
fn quarantine_survives_faults(#[case] stop_leader: fn(&mut Process)) {
    let mut deployment = Deployment::with_size(9, &[10, 10]);
    deployment.engine_state().crash_on("one", CRASHING_BODY);
    let mut number = 0;
    while deployment.engine_state().crashes(CRASHING_BODY).len() < QUARANTINE_CRASHES - 1 {
        send_crashing(&deployment, STREAM_PATH, number);
        number += 1;
    }
    let leader = wait_for("a leader", || deployment.leader());
    stop_leader(&mut deployment.controllers[leader]);
    if !deployment.controllers[leader].is_running() {
        deployment.return_controller(u8::try_from(leader).unwrap());
    }
    deployment.entries[0].freeze();
    // Skips the first instance while it is frozen.
    number += deployment.entries.len() - number % deployment.entries.len() + 1;
    wait_for("a refusal of the crashing request", || {
        number += usize::from(number % deployment.entries.len() == 0);
        let (status, reply) = send_crashing(&deployment, STREAM_PATH, number);
        number += 1;
        thread::sleep(RETRY_PAUSE);
        (status == 503 && reply.contains("quarantined")).then_some(())
    });
    deployment.entries[0].thaw();
    if deployment.controllers[leader].is_running() {
        deployment.controllers[leader].thaw();
    }
    thread::sleep(PROPAGATION);
    let before = deployment.engine_state().received(CRASHING_BODY).len();
    let third = deployment.engine_state().crashes(CRASHING_BODY)[QUARANTINE_CRASHES - 1];
    let late = deployment.engine_state().received(CRASHING_BODY);
    let late = late.iter().filter(|at| **at > third + PROPAGATION).count();
    assert!(late <= MAX_LATE_ARRIVALS, "{late} arrivals came late");
    for entry in 0..deployment.entries.len() {
        let attempt = format!("thawed-{entry}");
        let (status, _) =
            deployment.request_with_body(entry, STREAM_PATH, &attempt, KEY, CRASHING_BODY);
        assert_eq!(status, 503, "instance {entry}");
    }
    for process in deployment
        .controllers
        .iter_mut()
        .chain(&mut deployment.entries)
    {
        if process.is_running() {
            process.kill();
        }
    }
    for i in 0..3 {
        deployment.return_controller(i);
    }
    for entry in 0..deployment.entries.len() {
        deployment.entries[entry] = deployment.start_entry(entry);
    }
    for entry in 0..deployment.entries.len() {
        wait_for("ready entry", || deployment.is_ready(entry).then_some(()));
        let attempt = format!("restarted-{entry}");
        let (status, reply) =
            deployment.request_with_body(entry, STREAM_PATH, &attempt, KEY, CRASHING_BODY);
        assert!(
            status == 503 && reply.contains("quarantined"),
            "{status} {reply}"
        );
    }
    assert_eq!(
        deployment.engine_state().received(CRASHING_BODY).len(),
        before
    );
}

/// Guards against a quarantine that operators can neither list nor lift.
#[test]
fn quarantine_lifted() {
    let deployment = Deployment::with_size(2, &[8, 8]);
    deployment.engine_state().crash_on("one", CRASHING_BODY);
    send_until_refused(&deployment, 0);
    let list = || {
        let reply = deployment.run_quarantine("list", &[]);
        serde_json::from_str::<serde_json::Value>(&reply).expect("JSON")
    };
    let listed = list();
    let request = &listed["requests"][0];
    assert_eq!(request["organisation"], "one");
    assert!(request["engines"].as_u64() >= Some(3), "{listed}");
    let fingerprint = request["fingerprint"].as_str().expect("a fingerprint");
    let before = deployment.engine_state().received(CRASHING_BODY).len();
    deployment.run_quarantine("lift", &[fingerprint]);
    assert_eq!(list()["requests"], serde_json::json!([]));
    wait_for("an arrival after the lift", || {
        // Not in the call: the engines would send no heartbeats while it holds their state.
        let received = deployment.engine_state().received(CRASHING_BODY).len();
        send_crashing(&deployment, STREAM_PATH, 1000 + received);
        (deployment.engine_state().received(CRASHING_BODY).len() > before).then_some(())
    });
}

/// Guards against a list that names a request whose quarantine was lifted before: a follower that
/// hadn't applied the acknowledged lift answered from its own state.
#[test]
fn quarantine_list_includes_lift() {
    let deployment = Deployment::with_size(2, &[8, 8]);
    deployment.engine_state().crash_on("one", CRASHING_BODY);
    send_until_refused(&deployment, 0);
    let leader = wait_for("a leader", || deployment.leader());
    let follower = (leader + 1) % deployment.controllers.len();
    let list = |i: usize| {
        let reply = deployment.run_quarantine_at(u8::try_from(i).unwrap(), "list", &[]);
        serde_json::from_str::<serde_json::Value>(&reply).expect("JSON")
    };
    let quarantined = wait_for("the quarantine at the follower", || {
        let listed = list(follower)["requests"][0]["fingerprint"].clone();
        listed.as_str().map(str::to_owned)
    });
    deployment.controllers[follower].freeze();
    let leader_id = u8::try_from(leader).unwrap();
    deployment.run_quarantine_at(leader_id, "lift", &[&quarantined]);
    let listed = thread::scope(|scope| {
        let listed = scope.spawn(|| list(follower));
        // The request waits at the follower, next to what the leader sent.
        thread::sleep(Duration::from_millis(300));
        deployment.controllers[follower].thaw();
        listed.join().unwrap()
    });
    assert_eq!(listed["requests"], serde_json::json!([]));
}
