//! Non-idempotent requests: at most one run, whatever dies.

use serde_json::json;

use crate::common::caller::{CompletionRequest, Event, agent};
use crate::common::emulator::Emulator;
use crate::common::fleet::{Fleet, KEY, OTHER_KEY};
use crate::common::wait_for;

fn engines(fleet: &Fleet) -> [Emulator; 2] {
    let engines = ["eng-1", "eng-2"].map(|id| fleet.start_engine(id, "0..32"));
    fleet.wait_until_serving();
    engines
}

fn attempts(engines: &[Emulator], prompt: &str) -> u64 {
    engines.iter().map(|e| e.attempts(prompt)).sum()
}

/// Starts a demand letter on instance 0 that stalls behind two tokens.
fn half(
    fleet: &Fleet,
    engines: &[Emulator],
    ask: &CompletionRequest,
) -> crate::common::caller::EventStream {
    for engine in engines {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": 2}));
    }
    let mut stream = ask.stream(fleet.caller_addr(0));
    for _ in 0..2 {
        assert!(matches!(stream.next(), Event::Token(_)));
    }
    for engine in engines {
        engine.clear_faults();
    }
    stream
}

/// Codes that ask the caller to come back with the same key.
const PENDING: [&str; 2] = ["in_progress", "claim_unavailable"];

/// Resends the same request until the answer is definite: whole, or a failure.
/// Answers the text and the failure's code. No refusal may deny the run.
fn resend(fleet: &Fleet, ask: &CompletionRequest) -> (String, String) {
    wait_for("a definite answer", || {
        let (text, end) = ask.stream(fleet.caller_addr(1)).read_to_end();
        match end {
            Event::Done => Some((text, String::new())),
            Event::Failed(error) => {
                let code = error["code"].as_str().unwrap_or("").to_owned();
                assert_ne!(error["ran"], "no", "it has run: {error}");
                (!PENDING.contains(&code.as_str())).then_some((text, code))
            }
            _ => None,
        }
    })
}

/// An officer's screen loses its connection because the instance died in the
/// middle of a demand letter, and sends again through another instance. The
/// letter was claimed before it left, so the second instance says that the
/// outcome is unknown; it never runs it again.
#[test]
fn completions_instance_killed_resend_runs_nothing_twice() {
    let mut fleet = Fleet::with_instances(3);
    let engines = engines(&fleet);
    let ask = CompletionRequest::new(KEY, "demand letter, kill", 8).non_idempotent("letter-1");
    let mut stream = half(&fleet, &engines, &ask);
    fleet.instance(0).process.kill();
    assert_ne!(stream.read_to_end().1, Event::Done);
    let (_, code) = resend(&fleet, &ask);
    assert_eq!(code, "outcome_unknown");
    assert_eq!(attempts(&engines, &ask.prompt), 1);
}

/// The instance freezes instead, and wakes when its resend is long answered.
/// Waking, it must not send the letter again on its old claim.
#[test]
fn completions_instance_frozen_resend_runs_nothing_twice() {
    let mut fleet = Fleet::with_instances(3);
    let engines = engines(&fleet);
    let ask = CompletionRequest::new(KEY, "demand letter, freeze", 8).non_idempotent("letter-2");
    let stream = half(&fleet, &engines, &ask);
    fleet.instance(0).process.freeze();
    let (_, code) = resend(&fleet, &ask);
    assert_eq!(code, "outcome_unknown");
    fleet.instance(0).process.thaw();
    drop(stream);
    let probe = CompletionRequest::new(KEY, "after the thaw", 2);
    wait_for("the thawed instance", || {
        let reply = probe.send(fleet.caller_addr(0)).ok()?;
        (reply.status == 200).then_some(())
    });
    assert_eq!(attempts(&engines, &ask.prompt), 1);
}

/// The answer was whole but the caller lost it. A resend through another
/// instance gets the kept answer, word for word, without a second run.
#[test]
fn completions_resend_elsewhere_gets_the_kept_answer() {
    let fleet = Fleet::with_instances(3);
    let engines = engines(&fleet);
    let ask =
        CompletionRequest::new(KEY, "demand letter, lost answer", 8).non_idempotent("letter-3");
    let first = ask.stream(fleet.caller_addr(0)).read_to_end();
    assert_eq!(first, (ask.expected(32), Event::Done));
    let (text, code) = resend(&fleet, &ask);
    assert_eq!((text, code.as_str()), (ask.expected(32), ""));
    assert_eq!(attempts(&engines, &ask.prompt), 1);
}

/// The caller's stream was cut behind the last token, and it asks for the
/// answer whole. It is the same request in another form: the kept answer is
/// given, with its true number of tokens.
#[test]
fn completions_resend_in_another_form_gets_the_kept_answer() {
    let fleet = Fleet::with_instances(3);
    let engines = engines(&fleet);
    let ask =
        CompletionRequest::new(KEY, "demand letter, other form", 8).non_idempotent("letter-7");
    let first = ask.stream(fleet.caller_addr(0)).read_to_end();
    assert_eq!(first, (ask.expected(32), Event::Done));
    let reply = wait_for("the kept answer", || {
        let reply = ask.send(fleet.caller_addr(1)).ok()?;
        (!PENDING.contains(&reply.code())).then_some(reply)
    });
    assert_eq!((reply.status, reply.text()), (200, &*ask.expected(32)));
    assert_eq!(reply.body["usage"]["completion_tokens"], 8);
    assert_eq!(attempts(&engines, &ask.prompt), 1);
}

/// Two organisations use the same key. Each has its own claim: the second one
/// is served, and learns nothing of the first one's letter.
#[test]
fn completions_same_key_of_another_organisation_is_another_claim() {
    let fleet = Fleet::single();
    let _engines = engines(&fleet);
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

/// The engine dies in the middle of a demand letter. Idempotent work would go
/// on elsewhere; this may have run, so the caller learns that it is unknown.
#[test]
fn completions_stage_killed_non_idempotent_is_unknown() {
    let fleet = Fleet::single();
    let mut engines = engines(&fleet);
    let ask = CompletionRequest::new(KEY, "demand letter, stage", 8).non_idempotent("letter-5");
    let mut stream = half(&fleet, &engines, &ask);
    let leader = engines
        .iter()
        .position(|e| e.attempts(&ask.prompt) == 1)
        .expect("a leader");
    engines[leader].process.kill();
    let Event::Failed(error) = stream.read_to_end().1 else {
        panic!("no failure");
    };
    assert_ne!(error["ran"], "no", "{error}");
    assert_eq!(engines[1 - leader].attempts(&ask.prompt), 0);
}

/// A booking call hangs and the caller sends it again under the same key. The
/// service must see the call once.
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
