//! Invalid input from callers: each gets an error code, and others are not affected.

use std::io::Write;

use rstest::rstest;
use serde_json::Value;

use crate::common::caller::{CompletionRequest, Event, connect, send_raw};
use crate::common::fleet::{Fleet, KEY, OTHER_KEY};
use crate::common::wait_for;

fn post(head: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n{head}\r\n{body}"
    )
    .into_bytes()
}

/// Returns the status and the fields `code` and `ran` of a refusal.
fn parse_refusal(answer: &str) -> (u16, String, String) {
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let from = body.find('{').unwrap_or(0);
    let to = body.rfind('}').map_or(body.len(), |at| at + 1);
    let value: Value = serde_json::from_str(&body[from..to]).unwrap_or(Value::Null);
    let field = |name: &str| value["error"][name].as_str().unwrap_or("").to_owned();
    (status.unwrap_or(0), field("code"), field("ran"))
}

/// Invalid requests get a refusal with a code that says that nothing ran, and don't
/// reach an engine.
#[test]
fn completions_bad_request_refused_as_not_run() {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let key = format!("authorization: Bearer {KEY}\r\n");
    let good = r#"{"model":"quotations","prompt":"x","max_tokens":2}"#;
    let cases = [
        (400, key.as_str(), "{\"model\": \"quotations\", "),
        (400, key.as_str(), "[]"),
        (400, key.as_str(), r#"{"model":"quotations","prompt":7}"#),
        (404, key.as_str(), r#"{"model":"nothing","prompt":"x"}"#),
        (401, "", good),
        (401, "authorization: Bearer wrong\r\n", good),
        (401, "authorization: Basic a2V5\r\n", good),
    ];
    let before = engine.total("began");
    for (status, head, body) in cases {
        let answer = send_raw(fleet.caller_addr(0), &post(head, body));
        let (found, code, ran) = parse_refusal(&answer);
        assert_eq!((found, ran.as_str()), (status, "no"), "{body}: {answer}");
        assert!(!code.is_empty(), "{answer}");
    }
    assert_eq!(engine.total("began"), before);
}

/// A request for another organisation's route gets the same answer as one for an
/// unknown route. Otherwise it could probe the other organisation's catalogue.
#[test]
fn completions_foreign_route_looks_unknown() {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let before = engine.total("began");
    let foreign = CompletionRequest::new(OTHER_KEY, "x", 2)
        .send(fleet.caller_addr(0))
        .unwrap();
    let unknown = CompletionRequest::new(OTHER_KEY, "x", 2).route("nothing");
    let unknown = unknown.send(fleet.caller_addr(0)).unwrap();
    assert_eq!(foreign.status, unknown.status);
    assert_eq!(foreign.code(), unknown.code());
    assert_eq!(engine.total("began"), before);
}

/// A body exceeds the limit. The instance must not buffer it: it answers while
/// the body is still being sent, and continues to serve others.
#[test]
fn completions_oversized_body_refused_and_others_served() {
    let fleet = Fleet::single();
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let key = format!("authorization: Bearer {KEY}\r\n");
    let prompt = "x".repeat(64 * 1024 * 1024);
    let body = format!(r#"{{"model":"quotations","prompt":"{prompt}"}}"#);
    let (status, _, ran) = parse_refusal(&send_raw(fleet.caller_addr(0), &post(&key, &body)));
    assert_eq!((status, ran.as_str()), (413, "no"));
    fleet.wait_until_serving();
}

/// An unlimited request head would exhaust memory just like a body.
#[test]
fn completions_oversized_header_refused_and_others_served() {
    let fleet = Fleet::single();
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let head = format!("x-filler: {}\r\n", "x".repeat(4 * 1024 * 1024));
    let answer = send_raw(fleet.caller_addr(0), &post(&head, "{}"));
    let status = parse_refusal(&answer).0;
    assert!(status == 431 || answer.is_empty(), "{answer}");
    fleet.wait_until_serving();
}

/// A caller stops sending in the middle of a request. It must not hold resources
/// for ever: the instance times it out, and others are not affected.
#[test]
fn completions_slow_sender_given_up() {
    let fleet = Fleet::single();
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let request = post("", r#"{"model":"quotations","prompt":"x"}"#);
    let address = fleet.caller_addr(0);
    let slow = std::thread::spawn(move || send_partial(address, &request));
    fleet.wait_until_serving();
    let answer = slow.join().expect("join the slow sender");
    let status = parse_refusal(&answer).0;
    assert!(status == 408 || answer.is_empty(), "{answer}");
}

/// Sends all but the last bytes, and returns what is received until the other side
/// closes the connection.
fn send_partial(to: std::net::SocketAddr, bytes: &[u8]) -> String {
    use std::io::Read;
    let mut socket = connect(to);
    let _ = socket.write_all(&bytes[..bytes.len() - 5]);
    let mut answer = Vec::new();
    let end = socket.read_to_end(&mut answer);
    assert!(end.is_ok(), "the slow sender was never given up: {end:?}");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A caller disconnects in the middle of an answer. The engine must stop at once,
/// or abandoned work uses up the capacity. The slot in the route's limit must be
/// released, or a few such callers would block the route.
#[rstest]
#[case::mid_answer(2)]
#[case::before_the_first_token(0)]
fn completions_caller_leaves_cancels_and_frees(#[case] tokens: usize) {
    let fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    // The route "narrow" allows one running request and no waiting ones.
    let reply = |prompt: &str| {
        let request = CompletionRequest::new(KEY, prompt, 4).route("narrow");
        wait_for("a free place", || {
            let reply = request.send(fleet.caller_addr(0)).ok()?;
            (reply.status == 200).then(|| (reply.text().to_owned(), request.expected(32)))
        })
    };
    reply("before all");
    for round in 0..3 {
        let cancelled = engine.total("cancelled");
        let stall = serde_json::json!({"mode": "stall", "count": 1, "after": tokens});
        engine.inject_fault(&stall);
        let request = CompletionRequest::new(KEY, &format!("leave {round}"), 8).route("narrow");
        let mut stream = wait_for("a free place", || {
            let mut stream = request.stream(fleet.caller_addr(0));
            let begun = || (engine.attempts(&request.prompt) > 0).then_some(());
            match tokens {
                0 => wait_for("a running attempt", begun),
                _ => match stream.next() {
                    Event::Token(_) => {}
                    _ => return None,
                },
            }
            Some(stream)
        });
        for _ in 1..tokens {
            assert!(matches!(stream.next(), Event::Token(_)));
        }
        drop(stream);
        engine.wait_for_total("cancelled", cancelled + 1);
    }
    let (text, expected) = reply("after all");
    assert_eq!(text, expected);
}
