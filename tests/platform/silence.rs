//! Engines that fall silent for a while and go on: no answer may end because of it.

use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::wait_for;
use crate::cut::Cut;
use crate::deployment::{APPLY_TIME, Deployment, KEY, configuration};
use crate::engine::expected_stream;
use crate::pause::Pause;

/// Time for which engines are silent: longer than any timeout for silence of the instances, and
/// shorter than the callers' patience of 2 s.
const SILENCE: Duration = Duration::from_millis(1500);

const STREAMS: usize = 24;

/// Limits on retries that no test reaches.
const PLENTY: &str = "retrySlack = 20000";

/// Limits that allow no retry.
const NONE: &str = "retryRatio = 0.0\nretrySlack = 0";

/// Which engines are silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silent {
    Third,
    All,
    /// All, and their heartbeats stop as well.
    AllMute,
}

impl Silent {
    fn begin(self, deployment: &Deployment) {
        let step = if self == Self::Third { 3 } else { 1 };
        let pause = Pause {
            until: Instant::now() + SILENCE,
            mute: self == Self::AllMute,
        };
        let engines = deployment.engines.iter().step_by(step);
        deployment.engine_state().pauses.begin(engines, pause);
    }
}

/// What a caller received.
#[derive(Debug)]
struct Answer {
    /// 0 if there was no response.
    status: u16,
    /// `None` if the body was cut off.
    body: Option<String>,
    longest_gap: Duration,
}

impl Answer {
    fn is_whole(&self, path: &str) -> bool {
        let is_whole = |b: &str| match path {
            "/letters/x" => b == expected_stream(),
            _ => b.starts_with("done by i-"),
        };
        self.status == 200 && self.body.as_deref().is_some_and(is_whole)
    }
}

fn send(deployment: &Deployment, entry: usize, path: &str, attempt: &str) -> Answer {
    let mut answer = Answer {
        status: 0,
        body: None,
        longest_gap: Duration::ZERO,
    };
    let Ok(mut response) = deployment.post(entry, path, attempt, KEY).send("text") else {
        return answer;
    };
    answer.status = response.status().as_u16();
    let mut reader = response.body_mut().as_reader();
    let (mut received, mut part) = (Vec::new(), [0; 1024]);
    let mut last = Instant::now();
    while let Ok(length) = reader.read(&mut part) {
        answer.longest_gap = answer.longest_gap.max(last.elapsed());
        last = Instant::now();
        received.extend_from_slice(&part[..length]);
        if length == 0 {
            answer.body = Some(String::from_utf8(received).expect("text"));
            break;
        }
    }
    answer
}

/// Replaces the configuration by one whose routes allow this number of attempts.
fn set_attempts(deployment: &Deployment, version: u64, attempts: u64) -> bool {
    let mut body = configuration(version, &[KEY]);
    for route in body["routes"].as_array_mut().expect("routes") {
        route["attempts"] = attempts.into();
    }
    deployment.send_configuration(&body)
}

/// Starts a deployment whose routes allow this number of attempts.
fn start(attempts: u64, retries: &'static str) -> Deployment {
    let deployment = Deployment::with_retries(2, &[6, 6], retries);
    wait_for("a configuration", || {
        set_attempts(&deployment, 2, attempts).then_some(())
    });
    thread::sleep(APPLY_TIME);
    deployment
}

/// Cuts the first instance's links to the engines: the second one carries its requests.
fn carry(deployment: &Deployment) {
    let source = [deployment.entry_ip(0)];
    deployment.engine_state().links.cut(Cut::RefuseNew, &source);
    for path in ["/letters/x", "/lookups/x"] {
        wait_for("a carried request", || {
            send(deployment, 0, path, "warm-up")
                .is_whole(path)
                .then_some(())
        });
    }
}

/// Sends requests on these paths to the first `entries` instances, and calls `act` meanwhile,
/// while an operator replaces the configuration several times a second. Returns the answers, by
/// path and attempt.
fn answers(
    deployment: &Deployment,
    entries: usize,
    attempts: u64,
    paths: &[&'static str],
    act: impl FnOnce(),
) -> Vec<(&'static str, String, Answer)> {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|i| {
                let path = paths[i % paths.len()];
                let attempt = format!("s-{i}");
                let send = move || {
                    let answer = send(deployment, i / paths.len() % entries, path, &attempt);
                    (path, attempt, answer)
                };
                scope.spawn(send)
            })
            .collect();
        scope.spawn(|| {
            for version in 3.. {
                if done.load(Ordering::Relaxed) {
                    return;
                }
                set_attempts(deployment, version, attempts);
                thread::sleep(Duration::from_millis(200));
            }
        });
        act();
        let answers = callers.into_iter().map(|c| c.join().unwrap()).collect();
        done.store(true, Ordering::Relaxed);
        answers
    })
}

/// Asserts that all answers are whole.
fn assert_whole(answers: &[(&'static str, String, Answer)]) {
    let failed: Vec<_> = answers
        .iter()
        .filter(|(path, _, answer)| !answer.is_whole(path))
        .map(|(path, _, answer)| (path, answer.status, answer.body.is_some()))
        .collect();
    let (count, all) = (failed.len(), answers.len());
    assert!(
        failed.is_empty(),
        "{count} of {all} answers failed: {failed:?}"
    );
}

fn await_first_events(deployment: &Deployment) {
    wait_for("events of all streams", || {
        let state = deployment.engine_state();
        let begun = |i| {
            state
                .runs_of(&format!("s-{i}"))
                .iter()
                .any(|r| !r.sent.is_empty())
        };
        (0..STREAMS).all(begun).then_some(())
    });
}

/// Guards against ending streams in the middle because their engines are silent.
#[rstest]
#[case::one_attempt(1, PLENTY, Silent::All)]
#[case::one_attempt_third(1, PLENTY, Silent::Third)]
#[case::no_retries(2, NONE, Silent::All)]
#[case::no_retries_third(2, NONE, Silent::Third)]
#[case::all_silent(2, PLENTY, Silent::All)]
#[case::all_mute(2, PLENTY, Silent::AllMute)]
#[case::third_silent(2, PLENTY, Silent::Third)]
fn silent_engines_truncate_nothing(
    #[case] attempts: u64,
    #[case] retries: &'static str,
    #[case] silent: Silent,
    #[values(false, true)] carried: bool,
) {
    let deployment = start(attempts, retries);
    if carried {
        carry(&deployment);
    }
    let entries = if carried { 1 } else { 2 };
    let answers = answers(&deployment, entries, attempts, &["/letters/x"], || {
        await_first_events(&deployment);
        silent.begin(&deployment);
    });
    assert_whole(&answers);
}
