//! Graceful shutdown of instances and upstreams without interrupted answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rstest::rstest;
use serde_json::json;

use crate::common::caller::{CompletionRequest, Event, agent};
use crate::common::fleet::{Fleet, KEY};
use crate::common::wait_for;

/// An instance receives SIGTERM while requests are running. It first stops being
/// ready, accepts no new requests, completes the running ones and exits with 0. No
/// answer is cut off.
#[test]
fn serve_terminated_ends_running_answers_first() {
    let mut fleet = Fleet::single();
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    engine.inject_fault(&json!({"mode": "slow", "count": 8, "ms": 100}));
    let address = fleet.caller_addr(0);
    let requests: Vec<_> = (0..8)
        .map(|i| CompletionRequest::new(KEY, &format!("drain {i}"), 12))
        .collect();
    let streams: Vec<_> = requests.iter().map(|a| a.stream(address)).collect();
    for request in &requests {
        wait_for("a running answer", || {
            (engine.attempts(&request.prompt) == 1).then_some(())
        });
    }
    fleet.instance(0).process.terminate();
    let uri = format!("http://{address}/readyz");
    wait_for("an instance that isn't ready", || {
        let reply = agent().get(&uri).call();
        reply.map_or(true, |r| r.status() != 200).then_some(())
    });
    for (request, mut stream) in requests.iter().zip(streams) {
        assert_eq!(stream.read_to_end(), (request.expected(32), Event::Done));
    }
    assert!(fleet.instance(0).process.wait_for_exit().success());
    assert_eq!(engine.total("cancelled"), 0);
}

/// A running answer would take minutes, and a second SIGTERM is received or the
/// drain timeout expires. The instance exits, and the caller's stream ends without
/// the end marker, so that it can't look complete.
#[rstest]
#[case::second_signal("--drain-ms=120000", 2)]
#[case::limit("--drain-ms=700", 1)]
fn serve_terminated_ends_in_time(#[case] drain: &str, #[case] signals: usize) {
    let mut fleet = Fleet::with_flags(1, &[drain, "--idle-ms=60000", "--first-ms=60000"]);
    let engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    engine.inject_fault(&json!({"mode": "slow", "count": 1, "ms": 20_000}));
    let request = CompletionRequest::new(KEY, "an answer of minutes", 12);
    let mut stream = request.stream(fleet.caller_addr(0));
    wait_for("a running answer", || {
        (engine.attempts(&request.prompt) == 1).then_some(())
    });
    for _ in 0..signals {
        fleet.instance(0).process.terminate();
        thread::sleep(Duration::from_millis(300));
    }
    assert!(fleet.instance(0).process.wait_for_exit().success());
    assert_ne!(stream.read_to_end().1, Event::Done);
}

/// An engine is shut down under load. It gets no new requests after a few seconds
/// and completes the running ones, so that no caller sees a failure.
#[test]
fn upstream_leaving_gets_no_new_work_and_cuts_off_nothing() {
    let fleet = Fleet::with_instances(3);
    let mut leaving = fleet.start_engine_with("eng-1", "0..32", |p| p.flag("linger-ms", 5000));
    let _staying = fleet.start_engine("eng-2", "0..32");
    fleet.wait_until_serving();
    let ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|caller| {
            let (address, ended) = (fleet.caller_addr(caller % 3), ended.clone());
            thread::spawn(move || {
                let mut round = 0;
                while !ended.load(Ordering::SeqCst) {
                    let request =
                        CompletionRequest::new(KEY, &format!("leaving {caller} {round}"), 6);
                    let outcome = request.stream(address).read_to_end();
                    assert_eq!(outcome, (request.expected(32), Event::Done));
                    round += 1;
                }
            })
        })
        .collect();
    leaving.wait_for_total("finished", 10);
    leaving.process.terminate();
    assert!(leaving.process.wait_for_exit().success());
    ended.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("a caller");
    }
    assert_eq!(leaving.final_totals()["late"], 0);
}
