//! Requests that share a part of their prompts that crashes the engines that run them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::process::Process;
use crate::common::wait_for;
use crate::deployment::Deployment;

/// Path of the stream route.
const STREAM_PATH: &str = "/letters/x";

/// The part that crashes engines.
const CRASHING_PART: &str = "bad0";

/// Part that all requests of the callers share.
const COMMON_PART: &str = "c0de";

/// Number of crashes that the part may cause.
const MAX_CRASHES: usize = 5;

/// Time for the verdict to reach all instances.
const PROPAGATION: Duration = Duration::from_secs(4);

/// Maximum number of requests with the part that may reach an engine after [`PROPAGATION`].
const MAX_LATE_ARRIVALS: usize = 3;

/// Time for which requests with the part come after [`PROPAGATION`].
const REPEAT_FOR: Duration = Duration::from_secs(10);

/// Outcomes of requests without the crashing part.
#[derive(Default)]
struct Sound {
    refused: AtomicUsize,
    /// Requests sent after [`PROPAGATION`] has passed twice, and those that began to be answered.
    late_sent: AtomicUsize,
    late_served: AtomicUsize,
}

/// Sends requests that share all parts but the crashing one, until `done`.
fn send_sound(
    deployment: &Deployment,
    caller: usize,
    state: (&AtomicBool, &AtomicBool),
    sound: &Sound,
) {
    let (done, settled) = state;
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            return;
        }
        let entry = (caller * 31 + number) % deployment.entries.len();
        let attempt = format!("sound-{caller}-{number}");
        let prompt = format!("{COMMON_PART}:40,5{caller}:100,{number:x}{caller}:200");
        let counted = settled.load(Ordering::Relaxed);
        let (status, reply) =
            deployment.request_with_prompt(entry, STREAM_PATH, &attempt, &attempt, &prompt);
        let quarantined = reply.contains("quarantined");
        sound
            .refused
            .fetch_add(usize::from(quarantined), Ordering::Relaxed);
        if counted {
            sound.late_sent.fetch_add(1, Ordering::Relaxed);
            sound
                .late_served
                .fetch_add(usize::from(status == 200), Ordering::Relaxed);
        }
        // Keeps the load within the room of the engines.
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends a request with the crashing part, of which no two are alike, at one of the instances.
fn send_crashing(deployment: &Deployment, number: usize) -> (u16, String) {
    let entry = number * 7 % deployment.entries.len();
    let attempt = format!("crashing-{number}");
    let prompt = format!("{COMMON_PART}:40,{CRASHING_PART}:{number},ab{number:x}:200");
    deployment.request_with_prompt(entry, STREAM_PATH, &attempt, &attempt, &prompt)
}

/// Asserts that few requests with the crashing part came later than [`PROPAGATION`] after the last of
/// the crashes that it may cause.
fn assert_few_late(deployment: &Deployment) {
    let crashes = deployment.engine_state().crashes(CRASHING_PART);
    let received = deployment.engine_state().received(CRASHING_PART);
    let last = crashes.iter().take(MAX_CRASHES).next_back();
    let deadline = *last.expect("a crash") + PROPAGATION;
    let late = received.iter().filter(|at| **at > deadline).count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} of {} arrivals came late, {} engines crashed",
        received.len(),
        crashes.len()
    );
}

/// Guards against judging each request by itself: requests that share one part of their prompts
/// crash one engine after the other, though no two are alike.
#[rstest]
#[case::nine_instances(9, 150)]
#[case::nine_instances_fast(9, 20)]
#[case::hundreds_of_instances(300, 150)]
fn crashing_part_stopped(#[case] entries: usize, #[case] pause_ms: u64) {
    let deployment = Deployment::with_size(entries, &[10, 10]);
    deployment.engine_state().crash_on_part(CRASHING_PART);
    let (done, settled, sound) = (
        AtomicBool::new(false),
        AtomicBool::new(false),
        Sound::default(),
    );
    let last = thread::scope(|scope| {
        for caller in 0..8 {
            let (deployment, state, sound) = (&deployment, (&done, &settled), &sound);
            scope.spawn(move || send_sound(deployment, caller, state, sound));
        }
        let (mut number, mut sent) = (0, Vec::new());
        let end = Instant::now() + PROPAGATION * 3 + REPEAT_FOR;
        while Instant::now() < end {
            let deployment = &deployment;
            sent.push(scope.spawn(move || send_crashing(deployment, number)));
            number += 1;
            let crashes = deployment.engine_state().crashes(CRASHING_PART);
            let last = crashes.iter().take(MAX_CRASHES).next_back();
            let is_settled = last.is_some_and(|at| at.elapsed() > 2 * PROPAGATION);
            settled.store(is_settled, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(pause_ms));
        }
        done.store(true, Ordering::Relaxed);
        sent.pop().expect("a request").join().unwrap()
    });
    assert_few_late(&deployment);
    assert!(last.0 == 503 && last.1.contains("quarantined"), "{last:?}");
    assert_eq!(sound.refused.into_inner(), 0, "sound requests refused");
    let (sent, served) = (sound.late_sent.into_inner(), sound.late_served.into_inner());
    assert!(
        sent >= 20 && served * 10 >= sent * 9,
        "{served} of {sent} sound requests served"
    );
}

/// Sends requests with the crashing part until one is refused for it. Returns the number of the
/// next one.
fn send_until_refused(deployment: &Deployment, first: usize) -> usize {
    let mut number = first;
    wait_for("a refusal of the crashing part", || {
        let (status, reply) = send_crashing(deployment, number);
        number += 1;
        (status == 503 && reply.contains("quarantined")).then_some(number)
    })
}

/// Guards against losing recorded crashes or the verdict on a part: the leader is killed or frozen
/// between two crashes, then all processes are killed.
#[rstest]
#[case::leader_killed(Process::kill)]
#[case::leader_frozen(|process: &mut Process| process.freeze())]
fn part_quarantine_survives_faults(#[case] stop_leader: fn(&mut Process)) {
    let mut deployment = Deployment::with_size(9, &[10, 10]);
    deployment.engine_state().crash_on_part(CRASHING_PART);
    let mut number = 0;
    while deployment.engine_state().crashes(CRASHING_PART).len() < 2 {
        send_crashing(&deployment, number);
        number += 1;
    }
    let leader = wait_for("a leader", || deployment.leader());
    stop_leader(&mut deployment.controllers[leader]);
    send_until_refused(&deployment, number);
    assert_few_late(&deployment);
    thread::sleep(PROPAGATION);
    let before = deployment.engine_state().received(CRASHING_PART).len();
    let processes = deployment.controllers.iter_mut();
    for process in processes.chain(&mut deployment.entries) {
        if process.is_running() {
            process.kill();
        }
    }
    for i in 0..deployment.controllers.len() {
        deployment.return_controller(u8::try_from(i).unwrap());
    }
    for entry in 0..deployment.entries.len() {
        deployment.entries[entry] = deployment.start_entry(entry);
    }
    for entry in 0..deployment.entries.len() {
        wait_for("ready entry", || deployment.is_ready(entry).then_some(()));
        // `send_crashing` chooses the instance by seven times the number: this reaches each once.
        let (status, reply) = send_crashing(&deployment, entry * 4);
        assert!(
            status == 503 && reply.contains("quarantined"),
            "{status} {reply}"
        );
    }
    assert_eq!(
        deployment.engine_state().received(CRASHING_PART).len(),
        before
    );
}

/// Guards against a quarantined part that operators can neither list nor lift, and that is refused
/// again for the crashes before.
#[test]
fn part_quarantine_lifted() {
    let deployment = Deployment::with_size(2, &[8, 8]);
    deployment.engine_state().crash_on_part(CRASHING_PART);
    let next = send_until_refused(&deployment, 0);
    let list = || {
        let reply = deployment.run_quarantine("list", &[]);
        serde_json::from_str::<serde_json::Value>(&reply).expect("JSON")
    };
    let listed = list();
    let listed = &listed["requests"][0];
    assert_eq!(listed["part"], CRASHING_PART);
    assert_eq!(listed["organisation"], "one");
    let fingerprint = listed["fingerprint"].as_str().expect("a fingerprint");
    let before = deployment.engine_state().received(CRASHING_PART).len();
    deployment.run_quarantine("lift", &[fingerprint]);
    assert_eq!(list()["requests"], serde_json::json!([]));
    wait_for("an arrival after the lift", || {
        let received = deployment.engine_state().received(CRASHING_PART).len();
        send_crashing(&deployment, next + received);
        (deployment.engine_state().received(CRASHING_PART).len() > before).then_some(())
    });
}
