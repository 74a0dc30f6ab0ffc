//! Complete answers, and upstreams that violate the protocol.

use std::thread;

use rstest::rstest;
use serde_json::json;

use std::process::Command;

use crate::common::caller::{CompletionRequest, Event, agent};
use crate::common::emulator::example_path;
use crate::common::fleet::{Fleet, KEY, OTHER_KEY};
use crate::common::wait_for;

/// A pipeline of two stages gives exactly the model's answer, in one piece and
/// streamed, and each layer range runs once per token.
#[test]
fn completions_two_stages_answer_exactly() {
    let fleet = Fleet::single();
    let first = fleet.start_engine("eng-1", "0..16");
    let second = fleet.start_engine("eng-2", "16..32");
    fleet.wait_until_serving();
    let request = CompletionRequest::new(KEY, "window 120 by 210", 9);
    let reply = request.send(fleet.caller_addr(0)).expect("an answer");
    assert_eq!(
        (reply.status, reply.text()),
        (200, request.expected(32).as_str())
    );
    let request = CompletionRequest::new(KEY, "window 90 by 80", 9);
    let (text, end) = request.stream(fleet.caller_addr(0)).read_to_end();
    assert_eq!((text, end), (request.expected(32), Event::Done));
    for engine in [&first, &second] {
        let executions = engine.executions();
        let requests = executions["requests"].as_object().expect("a map");
        let doubled = requests
            .values()
            .flat_map(|r| r["tokens"].as_array().into_iter().flatten())
            .any(|count| count != 1);
        assert!(!doubled, "{executions}");
    }
}

/// Tokens must be streamed as they are generated. The engine stalls after the
/// first token: an instance that buffers the answer would never send it.
#[test]
fn completions_stream_hands_on_the_first_token_before_the_last_is_made() {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": 1}));
    let request = CompletionRequest::new(KEY, "grow", 4);
    let mut stream = request.stream(fleet.caller_addr(0));
    let Event::Token(token) = stream.next() else {
        panic!("no token");
    };
    assert!(request.expected(32).starts_with(&token));
}

/// An engine fails in the middle of an answer. The caller must not see a wrong,
/// repeated or missing token: another attempt completes the answer, on the second
/// engine or on the recovered first one.
#[rstest]
#[case::garbage("garbage")]
#[case::skip_layer("skip_layer")]
#[case::repeat_layer("repeat_layer")]
#[case::disorder("disorder")]
#[case::repeat_token("repeat_token")]
#[case::reorder("reorder")]
#[case::stale_attempt("stale_attempt")]
#[case::early_done("early_done")]
#[case::late_duplicate("late_duplicate")]
#[case::swap_ids("swap_ids")]
#[case::cut("cut")]
#[case::refuse("refuse")]
#[case::busy("busy")]
fn completions_faulty_engine_answer_stays_exact(#[case] mode: &str) {
    let fleet = Fleet::single();
    let engines = [
        fleet.start_engine("eng-1", "0..32"),
        fleet.start_engine("eng-2", "0..32"),
    ];
    fleet.wait_until_serving();
    for engine in &engines {
        engine.inject_fault(&json!({"mode": mode, "count": 1, "after": 3}));
    }
    for round in 0..6 {
        let request = CompletionRequest::new(KEY, &format!("{mode} {round}"), 8);
        let (text, end) = request.stream(fleet.caller_addr(0)).read_to_end();
        assert_eq!(
            (text, end),
            (request.expected(32), Event::Done),
            "round {round}"
        );
    }
}

/// The fault persists on the only engine. The caller gets a failure with a code,
/// and the tokens received before it are a prefix of the correct answer.
#[rstest]
#[case::garbage("garbage")]
#[case::skip_layer("skip_layer")]
#[case::swap_ids("swap_ids")]
#[case::cut("cut")]
fn completions_only_faulty_engines_fail_typed(#[case] mode: &str) {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    engine.inject_fault(&json!({"mode": mode, "after": 0}));
    let request =
        CompletionRequest::new(KEY, &format!("hopeless {mode}"), 8).header("x-deadline-ms", "5000");
    let reply = request.send(fleet.caller_addr(0)).expect("an answer");
    assert_ne!(reply.status, 200);
    assert!(!reply.code().is_empty(), "{reply:?}");
    assert_ne!(reply.ran(), "no", "{reply:?}");
    let (text, end) = request.stream(fleet.caller_addr(0)).read_to_end();
    assert!(request.expected(32).starts_with(&text), "{text:?}");
    assert_ne!(end, Event::Done);
}

/// Hundreds of requests of two organisations run concurrently while the engines
/// put identifiers of other requests into their events. No caller may receive
/// tokens of another request, and each complete answer must be the caller's own.
#[test]
fn completions_swapped_ids_reach_nobody_else() {
    let fleet = Fleet::single();
    let plan = [
        ("eng-1", "attiki"),
        ("eng-2", "attiki"),
        ("eng-3", "midlands"),
        ("eng-4", "midlands"),
    ];
    let engines = plan.map(|(id, pool)| fleet.start_engine_in(id, "0..32", pool));
    fleet.wait_until_serving();
    for engine in &engines {
        engine.inject_fault(&json!({"mode": "swap_ids", "count": 20, "after": 2}));
    }
    let address = fleet.caller_addr(0);
    let callers: Vec<_> = (0..40)
        .map(|caller| {
            thread::spawn(move || {
                let (key, route) = if caller % 2 == 0 {
                    (KEY, "quotations")
                } else {
                    (OTHER_KEY, "letters")
                };
                (0..5)
                    .filter(|round| {
                        let request =
                            CompletionRequest::new(key, &format!("swap {caller} {round}"), 8)
                                .route(route);
                        let (text, end) = request.stream(address).read_to_end();
                        let expected = request.expected(32);
                        assert!(expected.starts_with(&text), "{text:?} for {expected:?}");
                        assert_eq!(end == Event::Done, text == expected);
                        end == Event::Done
                    })
                    .count()
            })
        })
        .collect();
    let complete: usize = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .sum();
    assert!(
        complete > 100,
        "only {complete} of 200 answers were complete"
    );
}

/// Method, path and body reach the service unchanged.
#[test]
fn services_call_reaches_the_service_as_sent() {
    let fleet = Fleet::single();
    let service = fleet.start_service("ord-1", "orders");
    let uri = format!("http://{}/services/orders/orders/17", fleet.caller_addr(0));
    let value = wait_for("an answer of the service", || {
        let mut reply = agent()
            .put(&uri)
            .header("authorization", format!("Bearer {KEY}"))
            .send("17 pieces")
            .ok()?;
        let text = reply.body_mut().read_to_string().ok()?;
        (reply.status() == 200)
            .then(|| serde_json::from_str::<serde_json::Value>(&text).expect("JSON"))
    });
    assert_eq!(value["method"], "PUT");
    assert_eq!(value["path"], "/orders/17");
    assert_eq!(value["body"], "17 pieces");
    assert_eq!(service.total("began"), 1);
}

/// The load tool checks the execution counts of the engines. The same prompts run
/// again, now marked as non-idempotent: the tool must report each of them as
/// repeated, and fail.
#[test]
fn load_second_run_of_a_request_violates() {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let load = |non_idempotent_share: &str| {
        Command::new(example_path("load"))
            .args(["--target", &fleet.caller_addr(0).to_string(), "--key", KEY])
            .args(["--emulators", &engine.address.to_string()])
            .args(["--requests", "20", "--tokens", "2", "--stream", "--json"])
            .args(["--non-idempotent", non_idempotent_share])
            .output()
            .expect("run the load tool")
    };
    let first = load("0");
    assert!(first.status.success(), "{first:?}");
    let second = load("1");
    assert_eq!(second.status.code(), Some(1), "{second:?}");
    let text = String::from_utf8_lossy(&second.stdout);
    let value: serde_json::Value = serde_json::from_str(&text).expect("a result");
    assert_eq!(value["audit"]["repeated"], 20);
}
