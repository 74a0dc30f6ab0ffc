//! Engines that fall silent for a while and go on: no answer may end because of it.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::wait_for;
use crate::cut::Cut;
use crate::deployment::{APPLY_TIME, Deployment, KEY, configuration};
use crate::engine::{EngineSpec, Fault, STREAM_EVENTS, expected_stream};
use crate::pause::{EngineRun, Pause};

/// Time for which engines are silent: longer than the timeouts of the routes for silence, and
/// shorter than the 2 s for which callers wait for an event.
const SILENCE: Duration = Duration::from_millis(1500);

/// Silence of an engine that ends only when a test says so.
const LONG_SILENCE: Duration = Duration::from_secs(20);

/// Silence after which an instance has begun another run of a stream.
const HEDGE_TIME: Duration = Duration::from_millis(1100);

/// Time within which a run that was given up must be cancelled at an engine that isn't silent.
const CANCEL_TIME: Duration = Duration::from_millis(500);

/// Maximum pause of a stream whose engine closed the connection: shorter than any timeout for
/// silence.
const RESUME_TIME: Duration = Duration::from_millis(500);

const REQUESTS: usize = 24;

const STREAM: &str = "/letters/x";
const IDEMPOTENT: &str = "/lookups/x";
const NON_IDEMPOTENT: &str = "/bookings/x";

/// Limits on retries that no test reaches.
const PLENTY: &str = "retrySlack = 20000";

/// Limits that allow no retry.
const NO_RETRIES: &str = "retryRatio = 0.0\nretrySlack = 0";

/// Which engines are silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silent {
    Third,
    All,
    /// All, and their heartbeats stop as well.
    AllMute,
}

/// What a caller received.
#[derive(Debug)]
struct Answer {
    path: &'static str,
    attempt: String,
    /// 0 if there was no response.
    status: u16,
    /// `None` if the body was cut off.
    body: Option<String>,
    longest_pause: Duration,
}

impl Answer {
    fn is_whole(&self) -> bool {
        let is_whole = |body: &str| match self.path {
            STREAM => body == expected_stream(),
            _ => body.starts_with("done by i-"),
        };
        self.status == 200 && self.body.as_deref().is_some_and(is_whole)
    }
}

/// A deployment with callers and an operator.
struct Rig {
    deployment: Deployment,
    /// Attempts that the routes allow.
    attempts: u64,
    /// Number of instances that have callers.
    entries: usize,
}

impl Rig {
    /// If `carried`, all callers are at an instance whose requests another one carries.
    fn start(attempts: u64, retries: &'static str, carried: bool) -> Self {
        let deployment = Deployment::with_retries(2, &[6, 6], retries);
        let entries = if carried { 1 } else { 2 };
        let rig = Self {
            deployment,
            attempts,
            entries,
        };
        wait_for("a configuration", || rig.configure(2).then_some(()));
        thread::sleep(APPLY_TIME);
        if carried {
            let source = [rig.deployment.entry_ip(0)];
            rig.deployment
                .engine_state()
                .links
                .cut(Cut::RefuseNew, &source);
            for path in [STREAM, IDEMPOTENT] {
                wait_for("a carried request", || {
                    rig.send(0, path, "warm-up").is_whole().then_some(())
                });
            }
        }
        rig
    }

    fn configure(&self, version: u64) -> bool {
        let mut body = configuration(version, &[KEY]);
        for route in body["routes"].as_array_mut().expect("routes") {
            route["attempts"] = self.attempts.into();
        }
        self.deployment.send_configuration(&body)
    }

    fn pause<'a>(&self, engines: impl IntoIterator<Item = &'a EngineSpec>, pause: Pause) {
        self.deployment.engine_state().pauses.begin(engines, pause);
    }

    fn silence<'a>(&self, engines: impl IntoIterator<Item = &'a EngineSpec>) {
        let until = Instant::now() + LONG_SILENCE;
        self.pause(engines, Pause { until, mute: false });
    }

    /// Ends the silence of engines. Returns when it did.
    fn wake<'a>(&self, engines: impl IntoIterator<Item = &'a EngineSpec>) -> Instant {
        let until = Instant::now();
        self.pause(engines, Pause { until, mute: false });
        until
    }

    fn begin(&self, silent: Silent) {
        let step = if silent == Silent::Third { 3 } else { 1 };
        let pause = Pause {
            until: Instant::now() + SILENCE,
            mute: silent == Silent::AllMute,
        };
        self.pause(self.deployment.engines.iter().step_by(step), pause);
    }

    fn runs(&self, attempt: &str) -> Vec<EngineRun> {
        self.deployment.engine_state().runs_of(attempt)
    }

    fn send(&self, entry: usize, path: &'static str, attempt: &str) -> Answer {
        let mut answer = Answer {
            path,
            attempt: attempt.to_owned(),
            status: 0,
            body: None,
            longest_pause: Duration::ZERO,
        };
        let request = self.deployment.post(entry, path, attempt, KEY);
        let Ok(mut response) = request.send("text") else {
            return answer;
        };
        answer.status = response.status().as_u16();
        let mut reader = response.body_mut().as_reader();
        let (mut received, mut part) = (Vec::new(), [0; 1024]);
        let mut last = Instant::now();
        while let Ok(length) = reader.read(&mut part) {
            answer.longest_pause = answer.longest_pause.max(last.elapsed());
            last = Instant::now();
            received.extend_from_slice(&part[..length]);
            if length == 0 {
                answer.body = Some(String::from_utf8(received).expect("text"));
                break;
            }
        }
        answer
    }

    /// Sends requests on these paths and calls `act` meanwhile, while an operator replaces the
    /// configuration several times a second. Asserts that all answers are whole, and that no
    /// request ran more often than allowed.
    fn check(&self, paths: &[&'static str], max_runs: u64, act: impl FnOnce()) -> Vec<Answer> {
        let done = AtomicBool::new(false);
        let answers: Vec<_> = thread::scope(|scope| {
            let callers: Vec<_> = (0..REQUESTS)
                .map(|i| {
                    let (path, entry) = (paths[i % paths.len()], i / paths.len() % self.entries);
                    scope.spawn(move || self.send(entry, path, &format!("s-{i}")))
                })
                .collect();
            scope.spawn(|| {
                for version in 3.. {
                    if done.load(Ordering::Relaxed) {
                        return;
                    }
                    self.configure(version);
                    thread::sleep(Duration::from_millis(200));
                }
            });
            act();
            let answers = callers.into_iter().map(|c| c.join().unwrap()).collect();
            done.store(true, Ordering::Relaxed);
            answers
        });
        let mut failed = BTreeMap::new();
        for answer in answers.iter().filter(|a| !a.is_whole()) {
            let kind = (answer.path, answer.status, answer.body.is_some());
            *failed.entry(kind).or_insert(0) += 1;
        }
        assert!(
            failed.is_empty(),
            "answers that failed, of {REQUESTS}, by path, status and whether the body ended: \
             {failed:?}"
        );
        for answer in &answers {
            let runs = self.deployment.engine_state().runs(&answer.attempt);
            assert!(u64::from(runs) <= max_runs, "{runs} runs: {answer:?}");
        }
        answers
    }

    /// Sends a stream, calls `act` with its first run once that has sent some events, and returns
    /// the answer and all runs, when those that were given up must have been cancelled.
    fn check_stream(&self, act: impl FnOnce(&EngineRun) -> Instant) -> (Answer, Vec<EngineRun>) {
        let (answer, woken) = thread::scope(|scope| {
            let caller = scope.spawn(|| self.send(0, STREAM, "s"));
            let first = wait_for("events", || {
                let first = self.runs("s").into_iter().next()?;
                (first.sent.len() >= 3).then_some(first)
            });
            let woken = act(&first);
            (caller.join().unwrap(), woken)
        });
        thread::sleep(CANCEL_TIME.saturating_sub(woken.elapsed()));
        (answer, self.runs("s"))
    }
}

/// Asserts that a run was cancelled soon after its engine woke, and sent hardly anything.
fn assert_cancelled(run: &EngineRun, woken: Instant) {
    let late = run.sent.iter().filter(|at| **at > woken).count();
    let in_time = run.cancelled.is_some_and(|at| at < woken + CANCEL_TIME);
    assert!(in_time && late <= 2, "{run:?}, woken at {woken:?}");
}

/// Guards against ending streams in the middle because their engines are silent.
#[rstest]
#[case::one_attempt(1, PLENTY, Silent::All, false)]
#[case::one_attempt_third(1, PLENTY, Silent::Third, false)]
#[case::no_retries(2, NO_RETRIES, Silent::All, false)]
#[case::no_retries_third(2, NO_RETRIES, Silent::Third, false)]
#[case::all_silent(2, PLENTY, Silent::All, false)]
#[case::all_mute(2, PLENTY, Silent::AllMute, false)]
#[case::third_silent(2, PLENTY, Silent::Third, false)]
#[case::one_attempt_carried(1, PLENTY, Silent::All, true)]
#[case::no_retries_carried(2, NO_RETRIES, Silent::Third, true)]
#[case::all_silent_carried(2, PLENTY, Silent::All, true)]
#[case::all_mute_carried(2, PLENTY, Silent::AllMute, true)]
fn silent_engines_truncate_nothing(
    #[case] attempts: u64,
    #[case] retries: &'static str,
    #[case] silent: Silent,
    #[case] carried: bool,
) {
    let rig = Rig::start(attempts, retries, carried);
    let max_runs = if retries == NO_RETRIES { 1 } else { attempts };
    rig.check(&[STREAM], max_runs, || {
        let has_begun = |i| {
            rig.runs(&format!("s-{i}"))
                .iter()
                .any(|r| !r.sent.is_empty())
        };
        wait_for("events", || (0..REQUESTS).all(has_begun).then_some(()));
        rig.begin(silent);
    });
}

/// Guards against answering 502, or ending streams, because engines are silent before they answer.
#[rstest]
#[case::one_attempt(1, PLENTY, Silent::All, false)]
#[case::no_retries_third(2, NO_RETRIES, Silent::Third, false)]
#[case::all_silent(2, PLENTY, Silent::All, false)]
#[case::all_mute(2, PLENTY, Silent::AllMute, false)]
#[case::third_silent(2, PLENTY, Silent::Third, false)]
#[case::one_attempt_carried(1, PLENTY, Silent::All, true)]
#[case::no_retries_carried(2, NO_RETRIES, Silent::Third, true)]
#[case::all_silent_carried(2, PLENTY, Silent::All, true)]
fn silent_engines_answer_late(
    #[case] attempts: u64,
    #[case] retries: &'static str,
    #[case] silent: Silent,
    #[case] carried: bool,
) {
    let rig = Rig::start(attempts, retries, carried);
    let max_runs = if retries == NO_RETRIES { 1 } else { attempts };
    rig.begin(silent);
    rig.check(&[STREAM, IDEMPOTENT], max_runs, || {});
}

/// Guards against running a non-idempotent request twice, or giving it up, because its engine is
/// silent before or after it has read the request.
#[rstest]
fn silent_engines_run_once(
    #[values(false, true)] is_read: bool,
    #[values(false, true)] carried: bool,
) {
    let rig = Rig::start(2, PLENTY, carried);
    rig.deployment.engine_state().work_time = Duration::from_millis(300);
    if !is_read {
        rig.begin(Silent::All);
    }
    rig.check(&[NON_IDEMPOTENT], 1, || {
        if is_read {
            let has_begun = |i| !rig.runs(&format!("s-{i}")).is_empty();
            wait_for("runs", || (0..REQUESTS).all(has_begun).then_some(()));
            rig.begin(Silent::All);
        }
    });
}

/// Guards against joining the events of two runs, or leaving one of them running, when a silent
/// engine goes on after another one has taken its stream over.
#[rstest]
fn woken_run_not_joined(#[values(false, true)] carried: bool) {
    let rig = Rig::start(2, PLENTY, carried);
    let mut woken = Instant::now();
    let (answer, runs) = rig.check_stream(|first| {
        let engines = rig.deployment.engines.iter();
        let silent: Vec<_> = engines.filter(|e| e.id == first.engine).collect();
        rig.silence(silent.iter().copied());
        wait_for("events of the other run", || {
            rig.runs("s").get(1).filter(|r| r.sent.len() >= 3).map(drop)
        });
        woken = rig.wake(silent);
        woken
    });
    assert!(answer.is_whole(), "{answer:?}");
    let [old, new] = &runs[..] else {
        panic!("{runs:?}");
    };
    assert_cancelled(old, woken);
    assert!(new.cancelled.is_none(), "{new:?}");
    assert_eq!(new.last + new.sent.len() as u64, STREAM_EVENTS, "{runs:?}");
}

/// Guards against dropping the run of a silent engine that goes on before the one that was begun in
/// its place gives an event, and against leaving that one running.
#[rstest]
fn woken_run_goes_on(#[values(false, true)] carried: bool) {
    let rig = Rig::start(2, PLENTY, carried);
    let mut woken = Instant::now();
    let (answer, runs) = rig.check_stream(|first| {
        let engines = &rig.deployment.engines;
        let (old, others): (Vec<_>, Vec<_>) = engines.iter().partition(|e| e.id == first.engine);
        rig.silence(engines);
        thread::sleep(HEDGE_TIME);
        rig.wake(old);
        thread::sleep(Duration::from_millis(150));
        woken = rig.wake(others);
        woken
    });
    assert!(answer.is_whole(), "{answer:?}, {runs:?}");
    assert!(runs[0].cancelled.is_none(), "{runs:?}");
    for run in &runs[1..] {
        assert_cancelled(run, woken);
    }
}

/// Guards against engines that work on for a caller that left while they were silent: each run of
/// its stream must be cancelled.
#[rstest]
fn caller_leaves_silent_stream(#[values(false, true)] carried: bool) {
    let rig = Rig::start(2, PLENTY, carried);
    let request = rig.deployment.post(0, STREAM, "s", KEY);
    let response = request.send("text").expect("a response");
    wait_for("events", || {
        rig.runs("s")
            .first()
            .filter(|r| r.sent.len() >= 3)
            .map(drop)
    });
    rig.silence(&rig.deployment.engines);
    thread::sleep(HEDGE_TIME);
    drop(response);
    thread::sleep(CANCEL_TIME);
    let woken = rig.wake(&rig.deployment.engines);
    thread::sleep(CANCEL_TIME);
    for run in rig.runs("s") {
        assert_cancelled(&run, woken);
    }
}

/// Guards against taking the end of an engine's connection for silence: its streams are resumed at
/// once.
#[rstest]
fn dead_engine_resumed_at_once(#[values(false, true)] carried: bool) {
    let rig = Rig::start(2, PLENTY, carried);
    for engine in &rig.deployment.engines {
        let mut state = rig.deployment.engine_state();
        state.set_fault(&engine.id, Fault::ResetAfter(5));
    }
    let answers = rig.check(&[STREAM], 2, || {});
    for answer in answers {
        assert_eq!(rig.runs(&answer.attempt).len(), 2, "{answer:?}");
        assert!(answer.longest_pause < RESUME_TIME, "{answer:?}");
    }
}
