//! The emulator itself: other tests rest on what it answers and counts.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::{Value, json};

use common::caller::{agent, connect};
use common::emulator::{Emulator, Plan};
use common::{LIMIT, model, until};

fn call(stages: &[&Emulator], request: &str, limit: usize) -> Value {
    let width = 32 / stages.len();
    let hop = |(i, e): (usize, &&Emulator)| json!({"upstream": e.id, "address": e.address, "first": i * width, "end": (i + 1) * width});
    let path: Vec<_> = stages.iter().enumerate().map(hop).collect();
    json!({
        "request": request, "attempt": 1, "organisation": "kouvertoura", "model": "quote-7b",
        "prompt": request, "tokens": [], "limit": limit, "priority": 0,
        "remaining": LIMIT.as_millis() as u64, "path": path,
    })
}

/// Reads all events; the flag says whether the stream ended as HTTP wants it.
fn events(to: SocketAddr, body: &Value) -> (Vec<Value>, bool) {
    let reply = agent().post(format!("http://{to}/v1/pipeline"));
    let reply = reply.send(body.to_string()).expect("call the engine");
    let mut reader = BufReader::new(reply.into_body().into_reader());
    let mut events = Vec::new();
    let mut line = String::new();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => return (events, true),
            Err(_) => return (events, false),
            Ok(_) => {}
        }
        if let Some(data) = line.trim().strip_prefix("data: ") {
            events.push(serde_json::from_str(data).unwrap_or(Value::Null));
        }
    }
}

#[test]
fn pipeline_of_two_stages_answers_as_the_model() {
    let first = Plan::engine("eng-1", "0..16").start();
    let second = Plan::engine("eng-2", "16..32").start();
    let (events, whole) = events(first.address, &call(&[&first, &second], "1-1-1", 5));
    let texts: Vec<_> = events[..5]
        .iter()
        .filter_map(|e| e["text"].as_str())
        .collect();
    assert!(whole);
    assert_eq!(texts, model::generate("1-1-1", 32, 5));
    assert_eq!(events[5]["done"], true);
    assert_eq!(
        first.executions()["requests"]["1-1-1"]["tokens"],
        json!([1, 1, 1, 1, 1])
    );
    assert_eq!(
        second.executions()["requests"]["1-1-1"]["tokens"],
        json!([1, 1, 1, 1, 1])
    );
    assert_eq!(
        (
            first.executions()["running"].clone(),
            second.executions()["running"].clone()
        ),
        (json!(0), json!(0))
    );
}

#[test]
fn pipeline_resumed_goes_on_behind_the_given_tokens() {
    let engine = Plan::engine("eng-1", "0..32").start();
    let expected = model::generate("1-1-2", 32, 6);
    let mut body = call(&[&engine], "1-1-2", 6);
    body["tokens"] = json!(expected[..4]);
    let (events, _) = events(engine.address, &body);
    assert_eq!(events[0]["index"], 4);
    assert_eq!(events[0]["text"], expected[4]);
    assert_eq!(events[1]["text"], expected[5]);
    assert_eq!(
        engine.executions()["requests"]["1-1-2"]["tokens"],
        json!([0, 0, 0, 0, 1, 1])
    );
}

#[test]
fn fault_cut_comes_behind_the_tokens_asked_for() {
    let engine = Plan::engine("eng-1", "0..32").with("token-ms", 0).start();
    engine.fault(&json!({"mode": "cut", "count": 1, "after": 3}));
    let (cut, whole) = events(engine.address, &call(&[&engine], "1-1-3", 6));
    assert_eq!((cut.len(), whole), (3, false));
    let (healthy, whole) = events(engine.address, &call(&[&engine], "1-1-4", 6));
    assert_eq!((healthy.len(), whole), (7, true));
}

#[test]
fn pipeline_cancelled_when_the_connection_closes() {
    let first = Plan::engine("eng-1", "0..16").start();
    let second = Plan::engine("eng-2", "16..32").start();
    first.fault(&json!({"mode": "stall", "count": 1, "after": 2}));
    let body = call(&[&first, &second], "1-1-5", 6).to_string();
    let mut socket = connect(first.address);
    let head = format!(
        "POST /v1/pipeline HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket
        .write_all((head + &body).as_bytes())
        .expect("send the call");
    until("two tokens at the second stage", || {
        (second.total("tokens") == 2).then_some(())
    });
    drop(socket);
    first.reach("cancelled", 1);
    until("an idle second stage", || {
        (second.executions()["running"] == 0).then_some(())
    });
}

/// A control address that takes every announcement and hands it on.
fn control() -> (SocketAddr, Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("read the bound address");
    let (out, announcements) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.expect("accept"));
            let mut length = 0;
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                let lower = line.to_ascii_lowercase();
                if let Some(value) = lower.strip_prefix("content-length:") {
                    length = value.trim().parse().expect("a length");
                }
                line.clear();
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body).expect("read the body");
            let reply =
                b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nconnection: close\r\n\r\n{\"renew\":50}";
            let _ = reader.get_mut().write_all(reply);
            if out
                .send(serde_json::from_slice(&body).expect("JSON"))
                .is_err()
            {
                return;
            }
        }
    });
    (address, announcements)
}

#[test]
fn terminate_announces_leaving_and_gone_and_ends_the_work() {
    let (address, announcements) = control();
    let dead = common::port::free();
    let plan = Plan::engine("eng-1", "0..32").with("linger-ms", 0);
    let mut engine = plan.announce(&[dead, address]).start();
    let up = announcements.recv_timeout(LIMIT).expect("an announcement");
    assert_eq!(
        (&up["state"], &up["serves"]["engine"]["end"]),
        (&json!("up"), &json!(32))
    );
    engine.fault(&json!({"mode": "slow", "ms": 50}));
    let (to, body) = (engine.address, call(&[&engine], "1-1-6", 8));
    let running = thread::spawn(move || events(to, &body));
    engine.reach("tokens", 1);
    engine.process.terminate();
    let (answer, whole) = running.join().expect("join the caller");
    assert_eq!((answer.len(), whole), (9, true));
    assert!(engine.process.exit().success());
    let rest: Vec<Value> = announcements.try_iter().collect();
    let states: Vec<_> = rest.iter().filter_map(|a| a["state"].as_str()).collect();
    assert!(states.contains(&"leaving"), "{states:?}");
    assert_eq!(states.last(), Some(&"gone"));
    assert!(
        rest.windows(2)
            .all(|w| w[0]["sequence"].as_u64() < w[1]["sequence"].as_u64())
    );
}
