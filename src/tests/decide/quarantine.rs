//! Tests of [`crate::decide::quarantine`] and [`crate::decide::run_history`].

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::decide::quarantine::{Crashes, CrashingRequest, suspect_may_enter};
use crate::decide::run_history::{CutRequest, EngineStart, HARMLESS_EVENTS, RunHistory};
use crate::fingerprint::Fingerprint;
use crate::tests::at;

fn request(number: usize) -> Fingerprint {
    Fingerprint::of(
        Some("one"),
        "desk.example",
        "/letters",
        [&number.to_be_bytes()[..]],
    )
}

fn cut_request(number: usize) -> CutRequest {
    CutRequest {
        fingerprint: request(number),
        organisation: "one".into(),
        prompt: Arc::default(),
    }
}

fn engine(id: usize, born: u64) -> EngineStart {
    EngineStart {
        id: format!("i-{id}").into(),
        born,
    }
}

/// Builds the crashes of one engine per second. Each word is a crash, each digit a request
/// that the engine had just begun to run.
fn crashes(crashed: &str) -> Crashes {
    let mut crashes = Crashes::default();
    for (second, requests) in (0..).zip(crashed.split(' ')) {
        for number in digits(requests) {
            let start = engine(0, second);
            crashes.record_crash(at(second * 1000), start, number, "one".into());
        }
    }
    crashes
}

fn digits(text: &str) -> impl Iterator<Item = Fingerprint> {
    let digits = text.chars().filter_map(|c| c.to_digit(10));
    digits.map(|d| request(d as usize))
}

/// Returns the requests identified after the reporting delays from `now`, in milliseconds.
fn crashing_requests(crashes: &mut Crashes, now: u64) -> Vec<Fingerprint> {
    let tick = |c: &mut Crashes, now| c.tick(at(now), |_| false);
    assert_eq!(tick(crashes, now), []);
    let found: Vec<CrashingRequest> = tick(crashes, now + 700);
    found.iter().map(|c| c.fingerprint).collect()
}

#[rstest]
#[case::three_starts_of_one_engine("12 13 14", "1")]
#[case::two_engines("1 1", "")]
#[case::three_among_others("1 2 1 3 1", "")]
#[case::four_among_others("1 2 1 3 1 1", "1")]
#[case::companion_twice("12 12 13", "")]
#[case::companion_left_behind("12 12 13 1 1", "1")]
#[case::always_together("12 12 12 12 12", "")]
#[case::always_together_for_long("12 12 12 12 12 12", "12")]
#[case::shared_two_crashing_requests("19 19 29 2 1 2 1 2 1 1 2 2", "12")]
fn tick_identifies(#[case] crashed: &str, #[case] expected: &str) {
    let mut found = crashing_requests(&mut crashes(crashed), 20_000);
    found.sort_unstable();
    let mut expected: Vec<_> = digits(expected).collect();
    expected.sort_unstable();
    assert_eq!(found, expected);
}

/// Guards against quarantining a frequent request that is running on many engines when
/// these crash for another reason.
#[test]
fn tick_ignores_harmless() {
    let mut crashes = crashes("1 1 1 1");
    crashes.tick(at(4_000), |_| false);
    assert!(crashes.suspects().any(|f| *f == request(1)));
    crashes.record_harmless(at(3_100), request(1));
    assert_eq!(crashing_requests(&mut crashes, 4_300), []);
    for born in 5..9 {
        crashes.record_crash(at(born * 1000), engine(0, born), request(1), "one".into());
    }
    assert_eq!(crashing_requests(&mut crashes, 10_000), [request(1)]);
}

/// Guards against quarantining requests that shared engines with a quarantined one.
#[test]
fn tick_ignores_companions_of_refused() {
    let mut crashes = crashes("12 12 12 2");
    crashes.tick(at(4_000), |f| *f == request(1));
    let found = crashes.tick(at(5_000), |f| *f == request(1));
    assert_eq!(found, []);
    assert_eq!(crashes.suspects().count(), 0);
}

/// Guards against a request that ends the entry engine of one domain after the other before any
/// instance restricts it: it is suspect from its first crash on, until it runs without harm.
#[test]
fn suspects_first_silent_crash() {
    let mut crashes = Crashes::default();
    for (number, silent) in [(1, true), (2, true), (3, false)] {
        if silent {
            crashes.record_silent(at(1_000), request(number));
        }
        crashes.record_crash(at(1_000), engine(1, 0), request(number), "one".into());
    }
    assert_eq!(crashes.suspects().count(), 2);
    crashes.record_harmless(at(1_200), request(2));
    assert_eq!(crashes.tick(at(1_300), |_| false), []);
    let suspects: Vec<_> = crashes.suspects().copied().collect();
    assert_eq!(suspects, [request(1)]);
    crashes.tick(at(12_000), |_| false);
    assert_eq!(crashes.suspects().count(), 0);
}

/// Guards against losing reported runs when a leader is frozen or killed.
#[test]
fn unreported_repeated_for_each_leader() {
    let mut history = RunHistory::default();
    assert!(history.record_cut(at(0), &engine(1, 0), cut_request(1), false));
    assert!(!history.record_cut(at(0), &engine(1, 0), cut_request(2), false));
    assert!(history.record_cut(at(0), &engine(2, 0), cut_request(3), false));
    assert_eq!(history.confirm(&engine(1, 0), true).len(), 2);
    assert_eq!(history.confirm(&engine(2, 0), false).len(), 0);
    let (last, reported) = history.unreported(at(10));
    assert_eq!(reported.len(), 2);
    history.acknowledge(1, last);
    let (last, reported) = history.unreported(at(20));
    assert_eq!(
        reported.len(),
        2,
        "the first answer only establishes the term"
    );
    history.acknowledge(1, last);
    let (last, reported) = history.unreported(at(30));
    assert_eq!(reported.len(), 0);
    history.acknowledge(2, last);
    assert_eq!(history.unreported(at(40)).1.len(), 2);
    history.forget(&request(1));
    assert_eq!(history.unreported(at(50)).1.len(), 1);
    assert_eq!(history.unreported(at(700_000)).1.len(), 0);
}

/// Guards against a late reply of a deposed leader by which all runs are reported to its successor
/// again.
#[test]
fn acknowledge_deposed_leader() {
    let mut history = RunHistory::default();
    history.record_cut(at(0), &engine(1, 0), cut_request(1), false);
    history.confirm(&engine(1, 0), true);
    for now in [10, 20] {
        let (last, _) = history.unreported(at(now));
        history.acknowledge(2, last);
    }
    assert_eq!(history.unreported(at(30)).1.len(), 0);
    history.acknowledge(1, 1);
    assert_eq!(history.unreported(at(40)).1.len(), 0);
}

/// Guards against a request that is never identified because it crashes another engine
/// before all instances have reported its previous crash.
#[test]
fn tick_identifies_repeated() {
    let mut crashes = Crashes::default();
    let identified = (0..40).find(|step| {
        let now = step * 150;
        crashes.record_crash(at(now), engine(0, now), request(1), "one".into());
        let found = crashes.tick(at(now), |_| false);
        found.iter().any(|f| f.fingerprint == request(1))
    });
    assert_eq!(identified, Some(5));
}

/// Milliseconds between two events of a run.
const EVENT_INTERVAL_MS: u64 = 37;

/// Duration of one replay in milliseconds.
const REPLAY_MS: u64 = 60_000;

/// Load of a replay.
#[derive(Clone, Copy)]
struct Load {
    /// Number of engines, and requests per second.
    engines: usize,
    arrivals: f64,
    /// Requests that crash each engine that runs them.
    crashing: usize,
    /// Engine crashes per second that no request causes.
    independent_crashes: f64,
}

/// A request at an engine.
struct Run {
    number: usize,
    engine: usize,
    began: u64,
    /// Number of events; for a crashing request, milliseconds until the crash.
    rest: u64,
    tries: u32,
}

/// Result of a replay.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    false_positives: usize,
    /// For each crashing request, the times of its crashes and of the starts of its runs.
    crashed: HashMap<usize, Vec<u64>>,
    begun: HashMap<usize, Vec<u64>>,
}

/// Replays a load in steps of 5 ms. Instances report within 270 ms, and the leader ticks
/// every 250 ms. Half of the requests prefer the same engine.
fn replay(load: Load, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let mut crashes = Crashes::default();
    let mut refused: HashSet<Fingerprint> = HashSet::default();
    let mut harmless: HashMap<usize, u64> = HashMap::default();
    let mut numbers: HashMap<Fingerprint, usize> = HashMap::default();
    let mut reports: Vec<(u64, u64, EngineStart, usize)> = Vec::new();
    let mut waiting: Vec<(u64, Run)> = Vec::new();
    let mut runs: Vec<Run> = Vec::new();
    let mut down = vec![0; load.engines];
    let mut best = 0;
    for number in 0..load.crashing {
        numbers.insert(request(number), number);
        let run = Run {
            number,
            engine: 0,
            began: 0,
            rest: 0,
            tries: 0,
        };
        waiting.push((rng.random_range(0..3_000), run));
    }
    let mut next = load.crashing;
    for now in (0..REPLAY_MS).step_by(5) {
        if rng.random_bool(0.02) {
            best = rng.random_range(0..load.engines);
        }
        if rng.random_bool(load.arrivals * 0.005) {
            numbers.insert(request(next), next);
            let run = Run {
                number: next,
                engine: 0,
                began: 0,
                rest: 0,
                tries: 0,
            };
            waiting.push((now, run));
            next += 1;
        }
        let (due, later) = waiting.drain(..).partition(|(when, _)| *when <= now);
        waiting = later;
        for (_, mut run) in due {
            let up: Vec<usize> = (0..load.engines).filter(|e| down[*e] <= now).collect();
            let crashing = run.number < load.crashing;
            if crashing && refused.contains(&request(run.number)) {
                continue;
            }
            if up.is_empty() {
                waiting.push((now + 200, run));
                continue;
            }
            let first = up.contains(&best) && rng.random_bool(0.5);
            let suspect = crashes.suspects().any(|f| *f == request(run.number));
            let allowed = |e: &&usize| suspect_may_enter(&request(run.number), **e as u64);
            run.engine = match up.iter().find(allowed).filter(|_| suspect) {
                Some(_) => {
                    let allowed: Vec<&usize> = up.iter().filter(allowed).collect();
                    *allowed[rng.random_range(0..allowed.len())]
                }
                None if first => best,
                None => up[rng.random_range(0..up.len())],
            };
            run.began = now + rng.random_range(5..60);
            run.rest = if crashing {
                rng.random_range(34..122)
            } else {
                rng.random_range(20..110)
            };
            if crashing {
                outcome.begun.entry(run.number).or_default().push(now);
            }
            runs.push(run);
        }
        let mut crashed: HashSet<usize> = HashSet::default();
        if rng.random_bool(load.independent_crashes * 0.005) {
            crashed.insert(rng.random_range(0..load.engines));
        }
        for run in runs.iter().filter(|r| r.number < load.crashing) {
            if now >= run.began + run.rest && !crashed.contains(&run.engine) {
                crashed.insert(run.engine);
                outcome.crashed.entry(run.number).or_default().push(now);
            }
        }
        crashed.retain(|e| down[*e] <= now);
        let (cut, going) = runs
            .drain(..)
            .partition(|r: &Run| crashed.contains(&r.engine));
        runs = going;
        for mut run in cut {
            let events = now.saturating_sub(run.began) / EVENT_INTERVAL_MS;
            if run.number < load.crashing || events < HARMLESS_EVENTS {
                let reported_at = now + rng.random_range(20..270);
                reports.push((
                    reported_at,
                    now,
                    engine(run.engine, down[run.engine]),
                    run.number,
                ));
            }
            run.tries += 1;
            let suspect = crashes.suspects().any(|f| *f == request(run.number));
            if suspect && run.tries % 2 == 1 {
                run.tries += 1;
            }
            let crashing = run.number < load.crashing;
            let pause = match run.tries % 2 {
                1 => 2,
                _ if crashing => rng.random_range(200..3_000),
                _ => rng.random_range(100..1_000),
            };
            if crashing || run.tries < 4 {
                waiting.push((now + pause, run));
            }
        }
        for engine in crashed {
            down[engine] = now + 3_000;
        }
        runs.retain(|run| {
            let events = now.saturating_sub(run.began) / EVENT_INTERVAL_MS;
            if events >= HARMLESS_EVENTS && run.number >= load.crashing {
                let crossed = events == HARMLESS_EVENTS;
                let last = harmless.entry(run.number).or_insert(now);
                *last = if crossed { now } else { *last };
            }
            run.number < load.crashing || events < run.rest
        });
        let (due, later) = reports
            .drain(..)
            .partition(|(reported_at, ..)| *reported_at <= now);
        reports = later;
        for (_, when, start, number) in due {
            crashes.record_crash(at(when), start, request(number), "one".into());
        }
        if now % 250 == 0 {
            let asked: Vec<Fingerprint> = crashes.suspects().copied().collect();
            for fingerprint in asked {
                if let Some(when) = harmless.get(&numbers[&fingerprint]) {
                    crashes.record_harmless(at(*when), fingerprint);
                }
            }
            for found in crashes.tick(at(now), |f| refused.contains(f)) {
                refused.insert(found.fingerprint);
                let is_false_positive = numbers[&found.fingerprint] >= load.crashing;
                outcome.false_positives += usize::from(is_false_positive);
            }
        }
    }
    outcome
}

/// Seeds of each load, unless `LQ_RUNS` sets another number.
const SEEDS: u64 = 20;

fn seeds() -> u64 {
    let asked = std::env::var("LQ_RUNS").ok().and_then(|n| n.parse().ok());
    asked.unwrap_or(SEEDS)
}

/// Guards against quarantining requests that share engines with a crashing one, and
/// against late quarantine of the crashing one.
#[rstest]
#[case::alone(Load { engines: 9, arrivals: 70.0, crashing: 1, independent_crashes: 0.0 })]
#[case::three_at_once(Load { engines: 9, arrivals: 70.0, crashing: 3, independent_crashes: 0.0 })]
#[case::full_engines(Load { engines: 6, arrivals: 180.0, crashing: 2, independent_crashes: 0.0 })]
#[case::independent_crashes_too(Load { engines: 9, arrivals: 70.0, crashing: 2, independent_crashes: 0.5 })]
#[case::independent_crashes_only(Load { engines: 9, arrivals: 180.0, crashing: 0, independent_crashes: 1.0 })]
fn replay_identifies_crashing_only(#[case] load: Load) {
    const PROPAGATION_MS: u64 = 3_000;
    const MAX_LATE: usize = 3;
    for seed in 0..seeds() {
        let outcome = replay(load, seed);
        assert_eq!(outcome.false_positives, 0, "seed {seed}");
        for (number, crashed) in &outcome.crashed {
            let Some(third) = crashed.get(2) else {
                continue;
            };
            let begun = outcome.begun[number].iter();
            let late = begun.filter(|at| **at > third + PROPAGATION_MS).count();
            assert!(
                late <= MAX_LATE,
                "seed {seed}: {late} runs of {number}, {crashed:?}"
            );
        }
    }
}

/// Guards against unbounded memory use of the leader under many crashing requests.
#[test]
fn record_crash_bounded() {
    let mut crashes = Crashes::default();
    for number in 0..2_000 {
        let second = u64::try_from(number).unwrap() * 100;
        crashes.record_crash(
            at(second),
            engine(number, 0),
            request(number % 700),
            "one".into(),
        );
    }
    assert!(crashes.len() <= 256);
    crashes.tick(Time(0) + Duration::from_secs(1000), |_| false);
    assert_eq!(crashes.len(), 0);
}
