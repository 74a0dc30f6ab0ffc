//! A deployment with callers that count whole answers, an operator, and engines that fall silent.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::wait_for;
use crate::cut::Cut;
use crate::deployment::{APPLY_TIME, Deployment, KEY, configuration};
use crate::engine::{EngineSpec, expected_stream};
use crate::pause::{EngineRun, Pause};

/// Time for which engines are silent: longer than the timeouts of the routes for silence, and
/// shorter than the 2 s for which callers wait for an event.
const SILENCE: Duration = Duration::from_millis(1500);

/// Interval at which the operator replaces the configuration.
const REPLACE_INTERVAL: Duration = Duration::from_millis(200);

/// Attempts that the routes of a deployment allow at first.
const DEFAULT_ATTEMPTS: u64 = 2;

pub(super) const REQUESTS: usize = 24;

pub(super) const STREAM: &str = "/letters/x";
pub(super) const IDEMPOTENT: &str = "/lookups/x";
pub(super) const NON_IDEMPOTENT: &str = "/bookings/x";

/// Limits on retries that no test reaches.
pub(super) const PLENTY: &str = "retrySlack = 20000";

/// Limits that allow no retry.
pub(super) const NO_RETRIES: &str = "retryRatio = 0.0\nretrySlack = 0";

/// Which engines are silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silent {
    Third,
    All,
    /// All, and their heartbeats stop as well.
    AllMute,
    /// The runs of all, which answer calls.
    AllRuns,
}

/// What a caller received.
#[derive(Debug)]
pub(super) struct Answer {
    path: &'static str,
    pub(super) attempt: String,
    /// 0 if there was no response.
    status: u16,
    /// `None` if the body was cut off.
    body: Option<String>,
    pub(super) longest_pause: Duration,
}

impl Answer {
    pub(super) fn is_whole(&self) -> bool {
        let is_whole = |body: &str| match self.path {
            STREAM => body == expected_stream(),
            _ => body.starts_with("done by i-"),
        };
        self.status == 200 && self.body.as_deref().is_some_and(is_whole)
    }
}

/// A deployment with callers and an operator.
pub(super) struct Rig {
    pub(super) deployment: Deployment,
    /// Attempts that the routes allow.
    attempts: u64,
    /// Number of instances that have callers.
    pub(super) entries: usize,
}

impl Rig {
    /// If `carried`, all callers are at an instance whose requests another one carries.
    pub(super) fn start(attempts: u64, retries: &'static str, carried: bool) -> Self {
        Self::with_engines(&[6, 6], attempts, retries, carried)
    }

    /// Like [`Rig::start`], with so many engines in each domain.
    pub(super) fn with_engines(
        engines: &[u8],
        attempts: u64,
        retries: &'static str,
        carried: bool,
    ) -> Self {
        let deployment = Deployment::with_retries(2, engines, retries);
        let entries = if carried { 1 } else { 2 };
        let rig = Self {
            deployment,
            attempts,
            entries,
        };
        if attempts != DEFAULT_ATTEMPTS {
            wait_for("a configuration", || rig.configure(2).then_some(()));
            thread::sleep(APPLY_TIME);
        }
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

    /// Lets engines fall silent, or go on if `until` has passed.
    pub(super) fn pause<'a>(
        &self,
        silent: Silent,
        engines: impl IntoIterator<Item = &'a EngineSpec>,
        until: Instant,
    ) {
        let mut state = self.deployment.engine_state();
        let mute = silent == Silent::AllMute;
        match silent {
            Silent::AllRuns => state.pauses.hold_runs(engines, until),
            _ => state.pauses.begin(engines, Pause { until, mute }),
        }
    }

    /// Lets engines fall silent for [`SILENCE`].
    pub(super) fn begin(&self, silent: Silent) {
        let step = if silent == Silent::Third { 3 } else { 1 };
        let engines = self.deployment.engines.iter().step_by(step);
        self.pause(silent, engines, Instant::now() + SILENCE);
    }

    pub(super) fn runs(&self, attempt: &str) -> Vec<EngineRun> {
        self.deployment.engine_state().runs_of(attempt)
    }

    pub(super) fn send(&self, entry: usize, path: &'static str, attempt: &str) -> Answer {
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
    pub(super) fn check(
        &self,
        paths: &[&'static str],
        max_runs: u64,
        act: impl FnOnce(),
    ) -> Vec<Answer> {
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
                    thread::sleep(REPLACE_INTERVAL);
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
}
