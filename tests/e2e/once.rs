//! Non-idempotent requests run at most once, also when a process fails.

use serde_json::json;

use crate::common::caller::{CompletionRequest, Event, agent};
use crate::common::emulator::Emulator;
use crate::common::fleet::{Fleet, KEY, OTHER_KEY};
use crate::common::wait_for;

fn start_engines(fleet: &Fleet) -> [Emulator; 2] {
    let engines = ["eng-1", "eng-2"].map(|id| fleet.start_engine(id, "0..32"));
    fleet.wait_until_serving();
    engines
}

fn total_attempts(engines: &[Emulator], prompt: &str) -> u64 {
    engines.iter().map(|e| e.attempts(prompt)).sum()
}

/// Starts a request on instance 0 that stalls after two tokens.
fn start_stalled(
    fleet: &Fleet,
    engines: &[Emulator],
    request: &CompletionRequest,
) -> crate::common::caller::EventStream {
    for engine in engines {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": 2}));
    }
    let mut stream = request.stream(fleet.caller_addr(0));
    for _ in 0..2 {
        assert!(matches!(stream.next(), Event::Token(_)));
    }
    for engine in engines {
        engine.clear_faults();
    }
    stream
}

/// Codes that ask the caller to retry with the same key.
const RETRY_CODES: [&str; 2] = ["in_progress", "claim_unavailable"];

/// Resends the request until it gets a final answer. Returns its text and the
/// failure's code, if any. No failure may claim that the request didn't run.
fn resend(fleet: &Fleet, request: &CompletionRequest) -> (String, String) {
    wait_for("a definite answer", || {
        let (text, end) = request.stream(fleet.caller_addr(1)).read_to_end();
        match end {
            Event::Done => Some((text, String::new())),
            Event::Failed(error) => {
                let code = error["code"].as_str().unwrap_or("").to_owned();
                assert_ne!(error["ran"], "no", "it has run: {error}");
                (!RETRY_CODES.contains(&code.as_str())).then_some((text, code))
            }
            _ => None,
        }
    })
}

/// An instance is killed in the middle of an answer, and the caller resends the
/// request through another instance. The request was claimed before it was sent,
/// so the second instance answers that its outcome is unknown, and doesn't run it.
#[test]
fn completions_instance_killed_resend_runs_nothing_twice() {
    let mut fleet = Fleet::with_instances(3);
    let engines = start_engines(&fleet);
    let request = CompletionRequest::new(KEY, "demand letter, kill", 8).non_idempotent("letter-1");
    let mut stream = start_stalled(&fleet, &engines, &request);
    fleet.instance(0).process.kill();
    assert_ne!(stream.read_to_end().1, Event::Done);
    let (_, code) = resend(&fleet, &request);
    assert_eq!(code, "outcome_unknown");
    assert_eq!(total_attempts(&engines, &request.prompt), 1);
}

/// The instance is suspended instead, and resumes after the resend was answered.
/// It must not send the request again under its old claim.
#[test]
fn completions_instance_frozen_resend_runs_nothing_twice() {
    let mut fleet = Fleet::with_instances(3);
    let engines = start_engines(&fleet);
    let request =
        CompletionRequest::new(KEY, "demand letter, freeze", 8).non_idempotent("letter-2");
    let stream = start_stalled(&fleet, &engines, &request);
    fleet.instance(0).process.freeze();
    let (_, code) = resend(&fleet, &request);
    assert_eq!(code, "outcome_unknown");
    fleet.instance(0).process.thaw();
    drop(stream);
    let probe = CompletionRequest::new(KEY, "after the thaw", 2);
    wait_for("the thawed instance", || {
        let reply = probe.send(fleet.caller_addr(0)).ok()?;
        (reply.status == 200).then_some(())
    });
    assert_eq!(total_attempts(&engines, &request.prompt), 1);
}

/// The answer was complete, but the caller lost it. A resend through another
/// instance gets the identical stored answer without a second run.
#[test]
fn completions_resend_elsewhere_gets_the_kept_answer() {
    let fleet = Fleet::with_instances(3);
    let engines = start_engines(&fleet);
    let request =
        CompletionRequest::new(KEY, "demand letter, lost answer", 8).non_idempotent("letter-3");
    let first = request.stream(fleet.caller_addr(0)).read_to_end();
    assert_eq!(first, (request.expected(32), Event::Done));
    let (text, code) = resend(&fleet, &request);
    assert_eq!((text, code.as_str()), (request.expected(32), ""));
    assert_eq!(total_attempts(&engines, &request.prompt), 1);
}

/// The caller's stream was cut after the last token, and the resend is not
/// streamed. It is the same request, so it gets the stored answer with the correct
/// number of tokens.
#[test]
fn completions_resend_in_another_form_gets_the_kept_answer() {
    let fleet = Fleet::with_instances(3);
    let engines = start_engines(&fleet);
    let request =
        CompletionRequest::new(KEY, "demand letter, other form", 8).non_idempotent("letter-7");
    let first = request.stream(fleet.caller_addr(0)).read_to_end();
    assert_eq!(first, (request.expected(32), Event::Done));
    let reply = wait_for("the kept answer", || {
        let reply = request.send(fleet.caller_addr(1)).ok()?;
        (!RETRY_CODES.contains(&reply.code())).then_some(reply)
    });
    assert_eq!((reply.status, reply.text()), (200, &*request.expected(32)));
    assert_eq!(reply.body["usage"]["completion_tokens"], 8);
    assert_eq!(total_attempts(&engines, &request.prompt), 1);
}

/// Two organisations use the same key. Each has its own claim: the second
/// organisation is served and learns nothing about the first one's request.
#[test]
fn completions_same_key_of_another_organisation_is_another_claim() {
    let fleet = Fleet::single();
    let _engines = start_engines(&fleet);
    let _other = fleet.start_engine_in("eng-3", "0..32", "midlands");
    let mine = CompletionRequest::new(KEY, "mine", 4).non_idempotent("letter-4");
    let theirs = CompletionRequest::new(OTHER_KEY, "theirs", 4)
        .route("letters")
        .non_idempotent("letter-4");
    let reply = mine.send(fleet.caller_addr(0)).expect("an answer");
    assert_eq!(reply.text(), mine.expected(32));
    let reply = wait_for("an answer to the other organisation", || {
        let reply = theirs.send(fleet.caller_addr(0)).ok()?;
        (reply.ran() != "no").then_some(reply)
    });
    assert_eq!(reply.text(), theirs.expected(32), "{reply:?}");
}

/// The engine is killed in the middle of an answer. An idempotent request would be
/// retried on another engine; this one may have run, so its outcome is unknown.
#[test]
fn completions_stage_killed_non_idempotent_is_unknown() {
    let fleet = Fleet::single();
    let mut engines = start_engines(&fleet);
    let request = CompletionRequest::new(KEY, "demand letter, stage", 8).non_idempotent("letter-5");
    let mut stream = start_stalled(&fleet, &engines, &request);
    let serving = engines
        .iter()
        .position(|e| e.attempts(&request.prompt) == 1)
        .expect("a serving engine");
    engines[serving].process.kill();
    let Event::Failed(error) = stream.read_to_end().1 else {
        panic!("no failure");
    };
    assert_ne!(error["ran"], "no", "{error}");
    assert_eq!(engines[1 - serving].attempts(&request.prompt), 0);
}

/// A call to a service hangs, and the caller resends it with the same key. The
/// service must receive it only once.
#[test]
fn services_stalled_call_is_not_repeated() {
    let fleet = Fleet::single();
    let service = fleet.start_service("ord-1", "orders");
    let send = |key: &str| {
        let uri = format!("http://{}/services/orders/book", fleet.caller_addr(0));
        let reply = agent()
            .post(uri)
            .header("authorization", format!("Bearer {KEY}"))
            .header("idempotency-key", key)
            .header("x-deadline-ms", "1500")
            .send("book");
        reply.ok().map(|r| r.status().as_u16())
    };
    wait_for("a serving service", || {
        (send("probe") == Some(200)).then_some(())
    });
    service.inject_fault(&json!({"mode": "stall", "count": 1}));
    assert_ne!(send("booking-1"), Some(200));
    let _ = send("booking-1");
    assert_eq!(service.executions()["keys"]["booking-1"], 1);
}
