//! Stages that die or freeze in the middle of an answer.

use serde_json::json;

use crate::common::caller::{CompletionRequest, Event, EventStream};
use crate::common::emulator::Emulator;
use crate::common::fleet::{Fleet, KEY};
use crate::common::port;
use crate::common::proxy::Proxy;

const TOKENS: usize = 12;
const SEEN: usize = 3;

/// Two stages, each held by two engines.
fn stages(fleet: &Fleet) -> Vec<Emulator> {
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

/// Reads [`SEEN`] tokens.
fn tokens(stream: &mut EventStream) -> String {
    let token = |_| match stream.next() {
        Event::Token(token) => token,
        other => panic!("{other:?} in place of a token"),
    };
    (0..SEEN).map(token).collect()
}

/// Starts an answer that stalls behind [`SEEN`] tokens at its first stage.
/// Answers the stream, the text so far and the index of the engine that leads.
fn half(
    fleet: &Fleet,
    engines: &[Emulator],
    ask: &CompletionRequest,
) -> (EventStream, String, usize) {
    for engine in &engines[..2] {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": SEEN}));
    }
    let mut stream = ask.stream(fleet.caller_addr(0));
    let text = tokens(&mut stream);
    let leader = engines.iter().position(|e| e.attempts(&ask.prompt) > 0);
    (stream, text, leader.expect("an engine leads"))
}

/// The first stage is lost in the middle of a quotation draft. The caller sees
/// a pause, then the rest: each token once, none changed.
#[test]
fn completions_first_stage_killed_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let mut engines = stages(&fleet);
    let ask = CompletionRequest::new(KEY, "kill the first stage", TOKENS);
    let (mut stream, begun, leader) = half(&fleet, &engines, &ask);
    engines[1 - leader].clear_faults();
    engines[leader].process.kill();
    let (rest, end) = stream.read_to_end();
    assert_eq!((begun + &rest, end), (ask.expected(32), Event::Done));
}

/// The same with a stage that freezes: its connections stay open and silent,
/// so that only a timeout between tokens can find it out.
#[test]
fn completions_first_stage_frozen_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let engines = stages(&fleet);
    let ask = CompletionRequest::new(KEY, "freeze the first stage", TOKENS);
    let (mut stream, begun, leader) = half(&fleet, &engines, &ask);
    engines[1 - leader].clear_faults();
    engines[leader].process.freeze();
    let (rest, end) = stream.read_to_end();
    engines[leader].process.thaw();
    assert_eq!((begun + &rest, end), (ask.expected(32), Event::Done));
}

/// A later stage is lost: the first stage cuts its stream, and the answer goes
/// on over the other engine of that range.
#[test]
fn completions_later_stage_killed_goes_on_elsewhere() {
    let fleet = Fleet::single();
    let mut engines = stages(&fleet);
    for engine in &engines[2..] {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": SEEN}));
    }
    let ask = CompletionRequest::new(KEY, "kill a later stage", TOKENS);
    let mut stream = ask.stream(fleet.caller_addr(0));
    let begun = tokens(&mut stream);
    let stuck = (2..4)
        .max_by_key(|at| engines[*at].total("tokens"))
        .expect("two engines");
    engines[5 - stuck].clear_faults();
    engines[stuck].process.kill();
    let (rest, end) = stream.read_to_end();
    assert_eq!((begun + &rest, end), (ask.expected(32), Event::Done));
}

/// Twice over: the first attempt's engine is lost, and the second one's, too.
/// What either had verified stands; nothing of it comes again.
#[test]
fn completions_two_engines_killed_one_after_the_other() {
    let fleet = Fleet::single();
    let mut engines: Vec<_> = ["e-1", "e-2", "e-3"]
        .map(|id| fleet.start_engine(id, "0..32"))
        .into();
    fleet.wait_until_serving();
    for engine in &engines {
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": SEEN}));
    }
    let ask = CompletionRequest::new(KEY, "kill two engines", TOKENS);
    let mut stream = ask.stream(fleet.caller_addr(0));
    let mut text = String::new();
    for _ in 0..2 {
        text.push_str(&tokens(&mut stream));
        let leader = engines.iter().position(|e| e.attempts(&ask.prompt) > 0);
        let mut leader = engines.swap_remove(leader.expect("an engine leads"));
        if engines.len() == 1 {
            engines[0].clear_faults();
        }
        leader.process.kill();
    }
    let (rest, end) = stream.read_to_end();
    assert_eq!((text + &rest, end), (ask.expected(32), Event::Done));
}

/// The link to an engine goes silent in the middle of an answer: nothing is
/// closed, and the engine is well and works on. The answer goes on elsewhere;
/// what the first engine sends when the link heals reaches nobody.
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
    near.inject_fault(&json!({"mode": "slow", "count": 1, "after": SEEN, "ms": 300}));
    let ask = CompletionRequest::new(KEY, "cut the link", TOKENS);
    let mut stream = ask.stream(fleet.caller_addr(0));
    let begun = tokens(&mut stream);
    let far = fleet.start_engine("far", "0..32");
    proxy.block();
    let (rest, end) = stream.read_to_end();
    proxy.unblock();
    assert_eq!((begun + &rest, end), (ask.expected(32), Event::Done));
    assert_eq!(far.attempts(&ask.prompt), 1);
}
