//! Tests of the emulator, since other tests rely on its answers and totals.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use serde_json::{Value, json};

use common::caller::{agent, connect};
use common::emulator::{Emulator, EmulatorBuilder};
use common::{TIMEOUT, model, wait_for};

fn pipeline_call(stages: &[&Emulator], request: &str, limit: usize) -> Value {
    let width = 32 / stages.len();
    let stage = |(i, e): (usize, &&Emulator)| json!({"upstream": e.id, "address": e.address, "first": i * width, "end": (i + 1) * width});
    let path: Vec<_> = stages.iter().enumerate().map(stage).collect();
    json!({
        "request": request, "attempt": 1, "organisation": "kouvertoura", "model": "quote-7b",
        "prompt": request, "tokens": [], "limit": limit, "priority": 0,
        "remaining": TIMEOUT.as_millis() as u64, "path": path,
    })
}

/// Sends a pipeline call and reads all events; returns whether the response body was complete
/// as well.
fn read_events(to: SocketAddr, body: &Value) -> (Vec<Value>, bool) {
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
fn pipeline_of_two_stages_matches_model() {
    let first = EmulatorBuilder::engine("eng-1", "0..16").start();
    let second = EmulatorBuilder::engine("eng-2", "16..32").start();
    let (events, complete) = read_events(
        first.address,
        &pipeline_call(&[&first, &second], "1-1-1", 5),
    );
    let texts: Vec<_> = events[..5]
        .iter()
        .filter_map(|e| e["text"].as_str())
        .collect();
    assert!(complete);
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
fn pipeline_resumed_continues_after_given_tokens() {
    let engine = EmulatorBuilder::engine("eng-1", "0..32").start();
    let expected = model::generate("1-1-2", 32, 6);
    let mut body = pipeline_call(&[&engine], "1-1-2", 6);
    body["tokens"] = json!(expected[..4]);
    let (events, _) = read_events(engine.address, &body);
    assert_eq!(events[0]["index"], 4);
    assert_eq!(events[0]["text"], expected[4]);
    assert_eq!(events[1]["text"], expected[5]);
    assert_eq!(
        engine.executions()["requests"]["1-1-2"]["tokens"],
        json!([0, 0, 0, 0, 1, 1])
    );
}

#[test]
fn fault_cut_follows_requested_tokens() {
    let engine = EmulatorBuilder::engine("eng-1", "0..32")
        .flag("token-ms", 0)
        .start();
    engine.inject_fault(&json!({"mode": "cut", "count": 1, "after": 3}));
    let (cut, complete) = read_events(engine.address, &pipeline_call(&[&engine], "1-1-3", 6));
    assert_eq!((cut.len(), complete), (3, false));
    let (healthy, complete) = read_events(engine.address, &pipeline_call(&[&engine], "1-1-4", 6));
    assert_eq!((healthy.len(), complete), (7, true));
}

#[test]
fn pipeline_cancelled_when_the_connection_closes() {
    let first = EmulatorBuilder::engine("eng-1", "0..16").start();
    let second = EmulatorBuilder::engine("eng-2", "16..32").start();
    first.inject_fault(&json!({"mode": "stall", "count": 1, "after": 2}));
    let body = pipeline_call(&[&first, &second], "1-1-5", 6).to_string();
    let mut socket = connect(first.address);
    let header = format!(
        "POST /v1/pipeline HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket
        .write_all((header + &body).as_bytes())
        .expect("send the call");
    wait_for("two tokens at the second stage", || {
        (second.total("tokens") == 2).then_some(())
    });
    drop(socket);
    first.wait_for_total("cancelled", 1);
    wait_for("an idle second stage", || {
        (second.executions()["running"] == 0).then_some(())
    });
}

/// Starts a server that accepts every announcement at its address and sends it to the receiver.
fn start_control() -> (SocketAddr, Receiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("read the bound address");
    let (sender, announcements) = channel();
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
            if sender
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
fn terminate_announces_and_finishes_requests() {
    let (address, announcements) = start_control();
    let unreachable = common::port::free();
    let builder = EmulatorBuilder::engine("eng-1", "0..32").flag("linger-ms", 0);
    let mut engine = builder.announce(&[unreachable, address]).start();
    let up = announcements
        .recv_timeout(TIMEOUT)
        .expect("an announcement");
    assert_eq!(
        (&up["state"], &up["serves"]["engine"]["end"]),
        (&json!("up"), &json!(32))
    );
    engine.inject_fault(&json!({"mode": "slow", "ms": 50}));
    let (to, body) = (engine.address, pipeline_call(&[&engine], "1-1-6", 8));
    let running = thread::spawn(move || read_events(to, &body));
    engine.wait_for_total("tokens", 1);
    engine.process.terminate();
    let (answer, complete) = running.join().expect("join the caller");
    assert_eq!((answer.len(), complete), (9, true));
    assert!(engine.process.wait_for_exit().success());
    let later: Vec<Value> = announcements.try_iter().collect();
    let states: Vec<_> = later.iter().filter_map(|a| a["state"].as_str()).collect();
    assert!(states.contains(&"leaving"), "{states:?}");
    assert_eq!(states.last(), Some(&"gone"));
    assert!(
        later
            .windows(2)
            .all(|w| w[0]["sequence"].as_u64() < w[1]["sequence"].as_u64())
    );
}
