//! Tests of [`crate::decide::crashing_parts`].

use rstest::rstest;

use crate::decide::crashing_parts::{CrashingPart, PartCrashes};
use crate::decide::run_history::{CutRequest, EngineStart};
use crate::fingerprint::Fingerprint;
use crate::prompt::Prompt;
use crate::tests::at;

const MODEL: &str = "m";

/// The parts of a prompt, one letter each.
fn prompt(parts: &str) -> Prompt {
    Prompt::new(MODEL.to_owned(), parts.chars().map(String::from))
}

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(MODEL, id)
}

/// A request `number` of an organisation with the parts in its prompt.
fn request(number: usize, organisation: &str, parts: &str) -> CutRequest {
    CutRequest {
        fingerprint: Fingerprint::of(None, "desk.example", "/", [&number.to_be_bytes()[..]]),
        organisation: organisation.into(),
        prompt: prompt(parts).into(),
    }
}

/// Builds the crashes of one engine per second. Each word is a crash. It lists the requests that
/// the engine had just begun to run, separated by `+`: a digit if the request came before, then
/// the parts of its prompt in order. Upper-case letters are parts as well.
fn crashes(crashed: &str) -> PartCrashes {
    let mut crashes = PartCrashes::default();
    for (second, runs) in (0..).zip(crashed.split(' ')) {
        let engine = EngineStart {
            id: "i-1".into(),
            born: second,
        };
        for (i, run) in runs.split('+').enumerate() {
            let digits = run.trim_end_matches(char::is_alphabetic);
            let fresh = 100 + second as usize * 10 + i;
            let number = digits.parse().unwrap_or(fresh);
            let request = request(number, "one", &run[digits.len()..]);
            crashes.record_crash(at(second * 1_000), engine.clone(), &request);
        }
    }
    crashes
}

fn ids(found: &[CrashingPart]) -> String {
    found.iter().map(|p| &*p.id).collect()
}

/// Returns the ids of the parts identified after the reporting delays from `now`, in milliseconds.
fn identified(crashes: &mut PartCrashes, now: u64) -> String {
    let nothing = |_: &Fingerprint| false;
    assert_eq!(crashes.tick(at(now), nothing), []);
    ids(&crashes.tick(at(now + 700), nothing))
}

#[rstest]
#[case::three_requests("b b b", "b")]
#[case::two_requests("b b", "")]
#[case::beside_others("b+c b+d b+c", "b")]
#[case::one_request_retried("1b 1b 1b 1b 1b 1b", "")]
#[case::retries_of_two("1b 1b 2b 2b", "b")]
#[case::one_bad_request_beside_its_parts("1b+b 1b 1b+b", "")]
#[case::last_of_those_that_meet("ab ab ab", "b")]
#[case::first_alone_too("ab ab ab a a a", "a")]
#[case::two_at_once("ab ac ab ac ab ac ab", "bc")]
#[case::among_other_crashes("b c b d b", "")]
#[case::among_other_crashes_once_more("b c b d b b", "b")]
fn tick_identifies(#[case] crashed: &str, #[case] expected: &str) {
    assert_eq!(identified(&mut crashes(crashed), 20_000), expected);
}

/// Guards against refusing a common part: sound requests with it run between the crashes.
#[test]
fn tick_ignores_harmless() {
    let mut crashes = crashes("ba ba ba ba");
    crashes.tick(at(3_500), |_| false);
    assert!(crashes.suspects().any(|p| *p == part("a")));
    crashes.record_harmless(at(3_400), part("a"));
    assert_eq!(ids(&crashes.tick(at(4_300), |_| false)), "b");
}

/// Guards against refusing a common part, or a new one, when many engines are lost at once and
/// none is left to run it.
#[rstest]
#[case::ran_before(true)]
#[case::new(false)]
fn tick_ignores_lost_at_once(#[case] ran_before: bool) {
    let mut crashes = PartCrashes::default();
    if ran_before {
        crashes.record_harmless(at(900), part("a"));
    }
    for number in 0..20 {
        let engine = EngineStart {
            id: format!("i-{number}").into(),
            born: 0,
        };
        let at = at(1_000 + number as u64 * 4);
        crashes.record_crash(at, engine, &request(number, "one", "a"));
    }
    assert_eq!(identified(&mut crashes, 5_000), "");
}

/// Guards against a caller that crashes engines and gets the parts of others refused: only its own
/// prompts are, until engines crash under another organisation's.
#[test]
fn tick_limits_to_organisation() {
    let mut crashes = crashes("b b b");
    let nothing = |_: &Fingerprint| false;
    crashes.tick(at(4_000), nothing);
    let found = crashes.tick(at(5_000), nothing);
    assert_eq!(found[0].organisation.as_deref(), Some("one"));
    let own = part("b").within("one");
    assert_eq!(found[0].fingerprint, own);
    let is_refused = |f: &Fingerprint| *f == own;
    assert_eq!(crashes.tick(at(7_000), is_refused), []);
    let engine = EngineStart {
        id: "i-2".into(),
        born: 0,
    };
    crashes.record_crash(at(8_000), engine, &request(9, "two", "b"));
    crashes.tick(at(9_000), is_refused);
    let found = crashes.tick(at(9_700), is_refused);
    assert_eq!((found.len(), &found[0].organisation), (1, &None));
    assert_eq!(found[0].fingerprint, part("b"));
}

/// Guards against refusing parts of requests that crashed with a quarantined request or part.
#[test]
fn tick_ignores_companions_of_refused() {
    let mut crashes = crashes("ab ab ab ab");
    let own = part("b").within("one");
    assert_eq!(crashes.explained(|f| *f == own).len(), 4);
    crashes.tick(at(5_000), |f| *f == own);
    assert_eq!(crashes.tick(at(6_000), |f| *f == own), []);
    assert_eq!(crashes.suspects().count(), 0);
}

#[test]
fn forget_lifted() {
    let mut crashes = crashes("b b b b");
    crashes.forget(&part("b").within("one"));
    assert_eq!(identified(&mut crashes, 6_000), "");
}

/// Guards against a leader that is busy for seconds, or loses the crashes of a part, when an
/// organisation invents parts by the thousand while engines crash.
#[test]
fn tick_among_invented_parts() {
    const CRASHES: u64 = 300;
    let mut crashes = PartCrashes::default();
    for number in 0..CRASHES {
        let engine = EngineStart {
            id: "i-1".into(),
            born: number,
        };
        let at = at(number * 1_000);
        for run in 0..10 {
            let ids = (0..64).map(|i| format!("{number:x}{run:x}f{i:x}"));
            let invented = CutRequest {
                prompt: Prompt::new(MODEL.to_owned(), ids).into(),
                ..request(1_000 + run, "two", "")
            };
            if run == 3 {
                let bad = request(number as usize, "one", "b");
                crashes.record_crash(at, engine.clone(), &bad);
            }
            crashes.record_crash(at, engine.clone(), &invented);
        }
    }
    let found = identified(&mut crashes, CRASHES * 1_000);
    assert_eq!(found, "b");
    assert!(crashes.suspects().count() <= 32);
}
