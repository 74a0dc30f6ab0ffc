//! Stages that are killed, suspended or unreachable in the middle of an answer.

use serde_json::json;

use crate::common::caller::{CompletionRequest, Event, EventStream};
use crate::common::emulator::Emulator;
use crate::common::fleet::{Fleet, KEY};
use crate::common::port;
use crate::common::proxy::Proxy;

const ANSWER_TOKENS: usize = 12;

/// Tokens that the caller receives before the failure.
const RECEIVED_TOKENS: usize = 3;

/// Starts two engines for each of two stages.
fn start_stages(fleet: &Fleet) -> Vec<Emulator> {
    let plan = [
        ("a-1", "0..16"),
        ("a-2", "0..16"),
        ("b-1", "16..32"),
        ("b-2", "16..32"),
    ];
    let engines = plan.map(|(id, layers)| fleet.start_engine(id, layers));
    fleet.wait_until_serving();
    engines.into()
}

/// Reads [`RECEIVED_TOKENS`] tokens.
fn read_tokens(stream: &mut EventStream) -> String {
    let token = |_| match stream.next() {
        Event::Token(token) => token,
        other => panic!("{other:?} in place of a token"),
    };
    (0..RECEIVED_TOKENS).map(token).collect()
}

/// Starts an answer that stalls after [`RECEIVED_TOKENS`] tokens at its first
/// stage. Returns the stream, the text so far and the index of the first stage's
/// engine.
fn start_stalled(
    fleet: &Fleet,
    engines: &[Emulator],
    request: &CompletionRequest,
) -> (EventStream, String, usize) {
    for engine in &engines[..2] {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": RECEIVED_TOKENS}));
    }
    let mut stream = request.stream(fleet.caller_addr(0));
    let text = read_tokens(&mut stream);
    let first = engines.iter().position(|e| e.attempts(&request.prompt) > 0);
    (stream, text, first.expect("a first stage"))
}

/// The first stage is killed in the middle of an answer. After a pause, the caller
/// receives the rest, with each token once and unchanged.
#[test]
fn completions_first_stage_killed_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let mut engines = start_stages(&fleet);
    let request = CompletionRequest::new(KEY, "kill the first stage", ANSWER_TOKENS);
    let (mut stream, received, first) = start_stalled(&fleet, &engines, &request);
    engines[1 - first].clear_faults();
    engines[first].process.kill();
    let (rest, end) = stream.read_to_end();
    assert_eq!((received + &rest, end), (request.expected(32), Event::Done));
}

/// The first stage is suspended. Its connections stay open but silent, so that
/// only the timeout between tokens can detect the failure.
#[test]
fn completions_first_stage_frozen_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let engines = start_stages(&fleet);
    let request = CompletionRequest::new(KEY, "freeze the first stage", ANSWER_TOKENS);
    let (mut stream, received, first) = start_stalled(&fleet, &engines, &request);
    engines[1 - first].clear_faults();
    engines[first].process.freeze();
    let (rest, end) = stream.read_to_end();
    engines[first].process.thaw();
    assert_eq!((received + &rest, end), (request.expected(32), Event::Done));
}

/// A later stage is killed. The first stage ends its stream, and the answer is
/// resumed with the other engine of that layer range.
#[test]
fn completions_later_stage_killed_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let mut engines = start_stages(&fleet);
    for engine in &engines[2..] {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": RECEIVED_TOKENS}));
    }
    let request = CompletionRequest::new(KEY, "kill a later stage", ANSWER_TOKENS);
    let mut stream = request.stream(fleet.caller_addr(0));
    let received = read_tokens(&mut stream);
    let stalled = (2..4)
        .max_by_key(|at| engines[*at].total("tokens"))
        .expect("two engines");
    engines[5 - stalled].clear_faults();
    engines[stalled].process.kill();
    let (rest, end) = stream.read_to_end();
    assert_eq!((received + &rest, end), (request.expected(32), Event::Done));
}

/// The engines of two successive attempts are killed. The tokens verified in both
/// attempts are kept and none is sent twice.
#[test]
fn completions_two_engines_killed_one_after_the_other() {
    let fleet = Fleet::single();
    let mut engines: Vec<_> = ["e-1", "e-2", "e-3"]
        .map(|id| fleet.start_engine(id, "0..32"))
        .into();
    fleet.wait_until_serving();
    for engine in &engines {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": RECEIVED_TOKENS}));
    }
    let request = CompletionRequest::new(KEY, "kill two engines", ANSWER_TOKENS);
    let mut stream = request.stream(fleet.caller_addr(0));
    let mut text = String::new();
    for _ in 0..2 {
        text.push_str(&read_tokens(&mut stream));
        let first = engines.iter().position(|e| e.attempts(&request.prompt) > 0);
        let mut first = engines.swap_remove(first.expect("a first stage"));
        if engines.len() == 1 {
            engines[0].clear_faults();
        }
        first.process.kill();
    }
    let (rest, end) = stream.read_to_end();
    assert_eq!((text + &rest, end), (request.expected(32), Event::Done));
}

/// The link to an engine drops all traffic in the middle of an answer without
/// closing connections, while the engine keeps working. The answer is resumed on
/// another engine, and late tokens of the first one are discarded.
#[test]
fn completions_link_silent_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let address = port::free();
    let proxy = Proxy::new(address);
    let near = fleet.start_engine_with("near", "0..32", |plan| {
        plan.flag("listen", address)
            .flag("advertise", proxy.address)
    });
    fleet.wait_until_serving();
    near.inject_fault(&json!({"mode": "slow", "count": 1, "after": RECEIVED_TOKENS, "ms": 300}));
    let request = CompletionRequest::new(KEY, "cut the link", ANSWER_TOKENS);
    let mut stream = request.stream(fleet.caller_addr(0));
    let received = read_tokens(&mut stream);
    let far = fleet.start_engine("far", "0..32");
    proxy.block();
    let (rest, end) = stream.read_to_end();
    proxy.unblock();
    assert_eq!((received + &rest, end), (request.expected(32), Event::Done));
    assert_eq!(far.attempts(&request.prompt), 1);
}
