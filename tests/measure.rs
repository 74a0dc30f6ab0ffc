//! Measurements that are run by hand; docs/MEASUREMENTS.md holds their results:
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

fn run_load(args: &[&str]) -> Value {
    let mut command = Command::new(example_path("load"));
    command
        .args(args)
        .args(["--stream", "--json", "--key", KEY]);
    let mut process = Process::start("load", &mut command);
    let output = process.read_lines(1).concat();
    let value: Value = serde_json::from_str(&output).expect("a result");
    assert_eq!(value["violations"], 0, "{value:#}");
    value
}

fn direct_path(engines: &[Emulator; 2]) -> String {
    let [a, b] = engines;
    format!("{}@{}@0..16,{}@{}@16..32", a.id, a.address, b.id, b.address)
}

fn start_stages(fleet: &Fleet, token_ms: u64) -> [Emulator; 2] {
    let stages = [("eng-1", "0..16"), ("eng-2", "16..32")];
    let engines = stages.map(|(id, layers)| {
        fleet.start_engine_with(id, layers, |builder| {
            builder
                .flag("token-ms", token_ms)
                .flag("slots", 512)
                .flag("threads", 4)
        })
    });
    fleet.wait_until_serving();
    engines
}

/// Measures latency through an instance and directly at the stages, request by request in one
/// run: 5 ms per stage and token, 50 requests per second.
#[test]
#[ignore = "a measurement; run it by hand"]
fn overhead_latency_side_by_side() {
    let fleet = Fleet::single();
    let engines = start_stages(&fleet, 5);
    let target = fleet.caller_addr(0).to_string();
    let direct = direct_path(&engines);
    let value = run_load(&[
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
    for mode in ["direct", "through"] {
        for time in ["first_ms", "between_ms", "whole_ms"] {
            println!("{mode} {time}: {}", value[mode][time]);
        }
    }
}

/// Measures requests per second: 16 tokens each, 100 concurrent, engines without delay.
#[test]
#[ignore = "a measurement; run it by hand"]
fn overhead_throughput_alternating() {
    let fleet = Fleet::single();
    let engines = start_stages(&fleet, 0);
    let target = fleet.caller_addr(0).to_string();
    let direct = direct_path(&engines);
    for (name, flag, to) in [
        ("direct", "--direct", &direct),
        ("through", "--target", &target),
    ]
    .repeat(3)
    {
        let value = run_load(&[
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

/// Number of tokens that are read before a failure.
const TOKENS_BEFORE: usize = 3;

fn read_tokens(stream: &mut EventStream) {
    for _ in 0..TOKENS_BEFORE {
        assert!(matches!(stream.next(), Event::Token(_)));
    }
}

fn print_summary(name: &str, mut times: Vec<Duration>) {
    times.sort();
    let ms = |index: usize| times[index].as_secs_f64() * 1e3;
    let (last, count) = (times.len() - 1, times.len());
    println!(
        "{name}: {count} rounds, minimum {:.1} ms, median {:.1} ms, maximum {:.1} ms",
        ms(0),
        ms(last / 2),
        ms(last)
    );
}

/// Measures the longest pause between two tokens of an answer of 400 tokens, 5 ms each, whose
/// engine is killed or suspended after the third.
#[test]
#[ignore = "a measurement; run it by hand"]
fn recovery_of_a_stage() {
    for freeze in [false, true] {
        let times = (0..10).map(|round| longest_pause(freeze, round)).collect();
        print_summary(
            if freeze {
                "stage frozen"
            } else {
                "stage killed"
            },
            times,
        );
    }
}

fn longest_pause(freeze: bool, round: usize) -> Duration {
    let fleet = Fleet::single();
    let mut engines = ["e-1", "e-2"].map(|id| fleet.start_engine(id, "0..32"));
    fleet.wait_until_serving();
    let request = CompletionRequest::new(KEY, &format!("recover {round}"), 400);
    let mut stream = request.stream(fleet.caller_addr(0));
    read_tokens(&mut stream);
    let running = engines.iter().position(|e| e.attempts(&request.prompt) > 0);
    let engine = &mut engines[running.expect("an engine runs the request")].process;
    if freeze {
        engine.freeze();
    } else {
        engine.kill();
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

/// Measures the time from killing an instance in the middle of a non-idempotent answer until
/// a resend through another instance gets a definite response.
#[test]
#[ignore = "a measurement; run it by hand"]
fn recovery_of_an_instance() {
    let mut times = Vec::new();
    for round in 0..5 {
        let mut fleet = Fleet::with_instances(3);
        let engine = fleet.start_engine("e-1", "0..32");
        fleet.wait_until_serving();
        engine.inject_fault(&json!({"mode": "stall", "count": 1, "after": TOKENS_BEFORE}));
        let request =
            CompletionRequest::new(KEY, "letter", 8).non_idempotent(&format!("measure-{round}"));
        let mut stream = request.stream(fleet.caller_addr(0));
        read_tokens(&mut stream);
        let start = Instant::now();
        fleet.instance(0).process.kill();
        let code = wait_for("a definite response", || {
            match request.stream(fleet.caller_addr(1)).read_to_end().1 {
                Event::Done => Some("whole".to_owned()),
                Event::Failed(error) if error["code"] == "outcome_unknown" => {
                    Some("outcome_unknown".to_owned())
                }
                _ => None,
            }
        });
        times.push(start.elapsed());
        println!(
            "round {round}: {code}, attempts {}",
            engine.attempts(&request.prompt)
        );
    }
    print_summary("instance killed, resend", times);
}

/// Measures the time until an operator's change is accepted, and from then until it is in force
/// on all of nine instances, three of which are voters.
#[test]
#[ignore = "a measurement; run it by hand"]
fn catalogue_in_force_everywhere() {
    let fleet = Fleet::with_instances(9);
    let (mut accepted, mut everywhere) = (Vec::new(), Vec::new());
    for round in 0..40 {
        let name = format!("pool-{round}");
        let body = json!({"id": name, "expect": "any", "operations": [{"put":
            {"kind": "pool", "name": name, "credential": format!("{round:064x}")}}]});
        let start = Instant::now();
        let uri = format!(
            "http://{}/v1/catalogue/changes",
            fleet.control_addr(round % 9)
        );
        let reply = agent()
            .post(uri)
            .header("Authorization", fleet.operator_auth())
            .send_json(&body);
        let outcome: Value = reply.expect("an answer").body_mut().read_json().unwrap();
        accepted.push(start.elapsed());
        let revision = outcome["revision"].as_u64().expect("accepted");
        let start = Instant::now();
        for index in 0..9 {
            wait_for("the change in force", || {
                (revision_at(&fleet, index) >= revision).then_some(())
            });
        }
        everywhere.push(start.elapsed());
    }
    print_summary("sent to accepted", accepted);
    print_summary("accepted to in force on all 9", everywhere);
}

fn revision_at(fleet: &Fleet, index: usize) -> u64 {
    let uri = format!("http://{}/v1/state", fleet.control_addr(index));
    let reply = agent()
        .get(uri)
        .header("Authorization", fleet.operator_auth())
        .call();
    let state: Value = reply.expect("a state").body_mut().read_json().unwrap();
    state["catalogue"]["revision"].as_u64().unwrap_or(0)
}
