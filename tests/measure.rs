//! Measurements, by command only; docs/MEASUREMENTS.md keeps their figures:
//! `cargo build --release --locked --examples && cargo test --release --locked --test measure -- --ignored --nocapture --test-threads 1`.

mod common;

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use common::caller::{CompletionRequest, Event, EventStream, agent};
use common::emulator::{Emulator, example_path};
use common::fleet::{Fleet, KEY};
use common::process::Process;
use common::wait_for;

fn load(args: &[&str]) -> Value {
    let mut command = Command::new(example_path("load"));
    command
        .args(args)
        .args(["--stream", "--json", "--key", KEY]);
    let mut process = Process::start("load", &mut command);
    let text = process.read_lines(1).concat();
    let value: Value = serde_json::from_str(&text).expect("a result");
    assert_eq!(value["violations"], 0, "{value:#}");
    value
}

fn direct(engines: &[Emulator; 2]) -> String {
    let [a, b] = engines;
    format!("{}@{}@0..16,{}@{}@16..32", a.id, a.address, b.id, b.address)
}

fn stages(fleet: &Fleet, delay: u64) -> [Emulator; 2] {
    let plan = [("eng-1", "0..16"), ("eng-2", "16..32")];
    let engines = plan.map(|(id, layers)| {
        fleet.start_engine_with(id, layers, |p| {
            p.flag("token-ms", delay)
                .flag("slots", 512)
                .flag("threads", 4)
        })
    });
    fleet.wait_until_serving();
    engines
}

/// Latency through an instance and straight to the stages, request by request
/// in one run: 5 ms a stage and token, 50 requests a second.
#[test]
#[ignore = "a measurement; run by command"]
fn overhead_latency_side_by_side() {
    let fleet = Fleet::single();
    let engines = stages(&fleet, 5);
    let target = fleet.caller_addr(0).to_string();
    let direct = direct(&engines);
    let value = load(&[
        "--target",
        &target,
        "--direct",
        &direct,
        "--requests",
        "3000",
        "--rate",
        "50",
        "--concurrency",
        "200",
        "--tokens",
        "16",
    ]);
    for way in ["direct", "through"] {
        for time in ["first_ms", "between_ms", "whole_ms"] {
            println!("{way} {time}: {}", value[way][time]);
        }
    }
}

/// Requests a second, 16 tokens each, 100 at a time, engines without delay.
#[test]
#[ignore = "a measurement; run by command"]
fn overhead_throughput_in_turn() {
    let fleet = Fleet::single();
    let engines = stages(&fleet, 0);
    let target = fleet.caller_addr(0).to_string();
    let direct = direct(&engines);
    for (name, flag, to) in [
        ("direct", "--direct", &direct),
        ("through", "--target", &target),
    ]
    .repeat(3)
    {
        let value = load(&[
            flag,
            to,
            "--requests",
            "10000",
            "--concurrency",
            "100",
            "--tokens",
            "16",
        ]);
        println!("{name}: {} requests/s", value[name]["per_second"]);
    }
}

const SEEN: usize = 3;

fn tokens(stream: &mut EventStream) {
    for _ in 0..SEEN {
        assert!(matches!(stream.next(), Event::Token(_)));
    }
}

fn show(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let ms = |at: usize| times[at].as_secs_f64() * 1e3;
    let (last, count) = (times.len() - 1, times.len());
    println!(
        "{name}: {count} rounds, least {:.1} ms, median {:.1} ms, most {:.1} ms",
        ms(0),
        ms(last / 2),
        ms(last)
    );
}

/// Longest pause between two tokens of an answer of 400 tokens, 5 ms each, whose
/// engine dies or freezes behind the third.
#[test]
#[ignore = "a measurement; run by command"]
fn recovery_of_a_stage() {
    for freeze in [false, true] {
        let times = (0..10).map(|round| pause(freeze, round)).collect();
        show(
            if freeze {
                "stage frozen"
            } else {
                "stage killed"
            },
            times,
        );
    }
}

fn pause(freeze: bool, round: usize) -> Duration {
    let fleet = Fleet::single();
    let mut engines = ["e-1", "e-2"].map(|id| fleet.start_engine(id, "0..32"));
    fleet.wait_until_serving();
    let ask = CompletionRequest::new(KEY, &format!("recover {round}"), 400);
    let mut stream = ask.stream(fleet.caller_addr(0));
    tokens(&mut stream);
    let leader = engines.iter().position(|e| e.attempts(&ask.prompt) > 0);
    let leader = &mut engines[leader.expect("an engine leads")].process;
    if freeze {
        leader.freeze();
    } else {
        leader.kill();
    }
    let mut last = Instant::now();
    let mut longest = Duration::ZERO;
    let end = loop {
        match stream.next() {
            Event::Token(_) => {
                longest = longest.max(last.elapsed());
                last = Instant::now();
            }
            Event::Finished => {}
            end => break end,
        }
    };
    assert_eq!(end, Event::Done);
    longest
}

/// From the death of an instance in the middle of a non-idempotent answer to a
/// definite answer on the resend through another instance.
#[test]
#[ignore = "a measurement; run by command"]
fn recovery_of_an_instance() {
    let mut times = Vec::new();
    for round in 0..5 {
        let mut fleet = Fleet::with_instances(3);
        let engine = fleet.start_engine("e-1", "0..32");
        fleet.wait_until_serving();
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": SEEN}));
        let ask =
            CompletionRequest::new(KEY, "letter", 8).non_idempotent(&format!("measure-{round}"));
        let mut stream = ask.stream(fleet.caller_addr(0));
        tokens(&mut stream);
        let begin = Instant::now();
        fleet.instance(0).process.kill();
        let code = wait_for("a definite answer", || {
            match ask.stream(fleet.caller_addr(1)).read_to_end().1 {
                Event::Done => Some("whole".to_owned()),
                Event::Failed(error) if error["code"] == "outcome_unknown" => {
                    Some("outcome_unknown".to_owned())
                }
                _ => None,
            }
        });
        times.push(begin.elapsed());
        println!(
            "round {round}: {code}, attempts {}",
            engine.attempts(&ask.prompt)
        );
    }
    show("instance killed, resend", times);
}

/// From an operator's order to a change accepted, and from there to the change
/// in force on all of nine instances, three of them voters.
#[test]
#[ignore = "a measurement; run by command"]
fn catalogue_in_force_everywhere() {
    let fleet = Fleet::with_instances(9);
    let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
    for round in 0..40 {
        let name = format!("pool-{round}");
        let body = json!({"id": name, "expect": "any", "operations": [{"put":
            {"kind": "pool", "name": name, "credential": format!("{round:064x}")}}]});
        let begin = Instant::now();
        let uri = format!(
            "http://{}/v1/catalogue/changes",
            fleet.control_addr(round % 9)
        );
        let reply = agent()
            .post(uri)
            .header("Authorization", fleet.operator_auth())
            .send_json(&body);
        let outcome: Value = reply.expect("an answer").body_mut().read_json().unwrap();
        accepted.push(begin.elapsed());
        let revision = outcome["revision"].as_u64().expect("accepted");
        let begin = Instant::now();
        for at in 0..9 {
            wait_for("the change in force", || {
                (revision_at(&fleet, at) >= revision).then_some(())
            });
        }
        everywhere.push(begin.elapsed());
    }
    show("order to accepted", accepted);
    show("accepted to in force on all 9", everywhere);
}

fn revision_at(fleet: &Fleet, at: usize) -> u64 {
    let uri = format!("http://{}/v1/state", fleet.control_addr(at));
    let reply = agent()
        .get(uri)
        .header("Authorization", fleet.operator_auth())
        .call();
    let state: Value = reply.expect("a state").body_mut().read_json().unwrap();
    state["catalogue"]["revision"].as_u64().unwrap_or(0)
}
