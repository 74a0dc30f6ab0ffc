//! The catalogue under failure: real voters that are killed, frozen, wiped.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use std::{fs, thread};

use serde_json::{Value, json};

use crate::common::caller::{CompletionRequest, agent};
use crate::common::fleet::{Fleet, KEY, POOL};
use crate::common::wait_for;

/// Longer than a catalogue lease at its default.
const PAST_LEASE: Duration = Duration::from_millis(4500);

/// Sends a change to one instance; the outcome, or none without an answer.
fn change(fleet: &Fleet, at: usize, body: &Value) -> Option<Value> {
    let uri = format!("http://{}/v1/catalogue/changes", fleet.control_addr(at));
    let mut reply = agent()
        .post(uri)
        .config()
        .timeout_global(Some(Duration::from_secs(10)))
        .build()
        .header("Authorization", fleet.operator_auth())
        .send_json(body)
        .ok()?;
    let status = reply.status().as_u16();
    let decided = matches!(status, 200 | 409 | 412 | 422);
    decided.then(|| reply.body_mut().read_json().ok())?
}

fn pool(name: &str) -> Value {
    let digest = format!(
        "{:0>64}",
        name.bytes().map(|b| format!("{b:02x}")).collect::<String>()
    );
    json!({"put": {"kind": "pool", "name": name, "credential": digest}})
}

fn put(id: &str, name: &str) -> Value {
    json!({"id": id, "expect": "any", "operations": [pool(name)]})
}

/// Sends a change, to one instance after the other, until it is decided.
fn decide(fleet: &Fleet, alive: &[usize], body: &Value) -> Value {
    wait_for("a decision", || {
        alive.iter().find_map(|at| change(fleet, *at, body))
    })
}

/// Pools of the catalogue, read from one instance.
fn pools(fleet: &Fleet, at: usize) -> Vec<String> {
    wait_for("a confirmed catalogue", || {
        let target = fleet.control_addr(at).to_string();
        let text = fleet.run_command(&["catalogue", "list", "--json", "--target", &target])?;
        let listed: Value = serde_json::from_str(&text).ok()?;
        let records = listed["records"].as_array()?;
        let entries = records.iter().map(|r| &r["entry"]);
        let pools = entries.filter(|e| e["kind"] == "pool");
        Some(
            pools
                .map(|e| e["name"].as_str().unwrap_or("").to_owned())
                .collect(),
        )
    })
}

/// Place among the instances of the leader of the catalogue's group.
fn leader(fleet: &Fleet, asked: usize) -> usize {
    wait_for("a leader", || {
        let state: Value = serde_json::from_str(&fleet.state_json(asked)).ok()?;
        let id = state["groups"][0]["leader"].as_u64()?;
        Some(usize::try_from(id).ok()? - 1)
    })
}

/// Operators make changes while the leader is killed again and again and comes
/// back. Answers are lost, and changes are sent again with their ids. Whatever
/// was accepted stands everywhere in the end, once, at the revision first told.
#[test]
fn change_leader_killed_in_mid_change() {
    let mut fleet = Fleet::with_instances(3);
    let mut told = Vec::new();
    for round in 0..3 {
        let victim = leader(&fleet, (round + 1) % 3);
        let ended = AtomicBool::new(false);
        thread::scope(|scope| {
            let (fleet, ended) = (&fleet, &ended);
            let operator = scope.spawn(move || {
                let mut done = Vec::new();
                while !ended.load(Ordering::SeqCst) || done.len() < 5 {
                    let id = format!("change-{round}-{}", done.len());
                    let body = put(&id, &format!("pool-{round}-{}", done.len()));
                    let outcome = decide(fleet, &[0, 1, 2], &body);
                    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
                    done.push((body, outcome["revision"].as_u64().unwrap()));
                }
                done
            });
            thread::sleep(Duration::from_millis(200));
            fleet.kill_instance(victim);
            thread::sleep(Duration::from_millis(500));
            ended.store(true, Ordering::SeqCst);
            told.extend(operator.join().expect("an operator"));
        });
        fleet.restart(victim);
        fleet.wait_until_ready(victim);
    }
    let mut revisions: Vec<u64> = told.iter().map(|(_, revision)| *revision).collect();
    for (body, revision) in &told {
        let again = decide(&fleet, &[0, 1, 2], body);
        assert_eq!(again["revision"].as_u64(), Some(*revision), "{body}");
    }
    revisions.dedup();
    assert_eq!(revisions.len(), told.len(), "two changes at one revision");
    for at in 0..3 {
        let pools = pools(&fleet, at);
        for (body, _) in &told {
            let name = body["operations"][0]["put"]["name"].as_str().unwrap();
            assert!(pools.iter().any(|p| p == name), "{name} is lost on {at}");
        }
    }
}

/// An instance is frozen while an operator retires a route, and wakes after
/// its lease. It must never serve the retired route again, not even in the
/// moment of its waking.
#[test]
fn serve_instance_frozen_past_its_lease() {
    let mut fleet = Fleet::with_instances(4);
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    let ask = CompletionRequest::new(KEY, "before the change", 2).route("narrow");
    wait_for("an answer", || {
        let reply = ask.send(fleet.caller_addr(3)).ok()?;
        (reply.status == 200).then_some(())
    });
    fleet.instance(3).process.freeze();
    let retire = json!({"id": "retire", "expect": "any",
        "operations": [{"retire": {"kind": "route", "name": "narrow"}}]});
    let outcome = decide(&fleet, &[0, 1, 2], &retire);
    assert_eq!(outcome["outcome"], "accepted", "{outcome}");
    thread::sleep(PAST_LEASE);
    let address = fleet.caller_addr(3);
    let asked = thread::spawn(move || ask.send(address).map(|r| (r.status, r.code().to_owned())));
    thread::sleep(Duration::from_millis(200));
    fleet.instance(3).process.thaw();
    let (status, code) = asked.join().expect("a caller").expect("an answer");
    assert!(
        matches!(code.as_str(), "catalogue_lease" | "unknown_route"),
        "{status} {code}"
    );
    wait_for("the change in force", || {
        let reply = CompletionRequest::new(KEY, "after", 2)
            .route("narrow")
            .send(address)
            .ok()?;
        assert_ne!(reply.status, 200, "the retired route was served");
        (reply.code() == "unknown_route").then_some(())
    });
}

/// Two of three voters freeze: a silent loss of the quorum. No instance can
/// know of a change accepted elsewhere, so after a lease each refuses new work,
/// says that it didn't run it, and isn't ready. With the quorum back all goes on.
#[test]
fn serve_quorum_frozen_and_back() {
    let mut fleet = Fleet::with_instances(4);
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    for at in [0, 1] {
        fleet.instance(at).process.freeze();
    }
    let ask = CompletionRequest::new(KEY, "while cut off", 2);
    for at in [2, 3] {
        wait_for("a refusal", || {
            let reply = ask.send(fleet.caller_addr(at)).ok()?;
            if reply.code() != "catalogue_lease" {
                return None;
            }
            assert_eq!(reply.ran(), "no");
            assert!(reply.retry_after.is_some(), "no time to come back");
            Some(())
        });
        let uri = format!("http://{}/readyz", fleet.caller_addr(at));
        assert_eq!(agent().get(&uri).call().expect("a probe").status(), 503);
    }
    for at in [0, 1] {
        fleet.instance(at).process.thaw();
    }
    for at in 0..4 {
        wait_for("an answer again", || {
            let reply = ask.send(fleet.caller_addr(at)).ok()?;
            (reply.status == 200).then_some(())
        });
    }
}

/// A voter loses its disk and is replaced; right after the repair another one
/// is lost for good. Nothing accepted is lost, and changes go on.
#[test]
fn change_disk_replaced_then_second_loss() {
    let mut fleet = Fleet::with_instances(3);
    let accepted = decide(&fleet, &[0, 1, 2], &put("early", "early"));
    assert_eq!(accepted["outcome"], "accepted");
    fleet.instance(2).process.kill();
    fs::remove_dir_all(fleet.data_dir(2)).expect("wipe the disk");
    fleet.restart(2);
    let target = fleet.control_addr(0).to_string();
    wait_for("the new store in every group", || {
        fleet.run_command(&["voters", "add", "--target", &target, "3"])
    });
    let voting = || {
        let text = fleet.run_command(&["voters", "list", "--json", "--target", &target])?;
        let groups: Value = serde_json::from_str(&text).ok()?;
        let all = |g: &Value| {
            let members = g["members"].as_array().map_or(0, Vec::len);
            let votes = g["members"]
                .as_array()
                .is_some_and(|m| m.iter().all(|m| m["role"] == 0));
            let stranger = g["strangers"].as_array().is_some_and(|s| !s.is_empty());
            members == 3 && votes && !stranger
        };
        groups.as_array()?.iter().all(all).then_some(())
    };
    wait_for("three voters", voting);
    let middle = decide(&fleet, &[0, 1, 2], &put("middle", "middle"));
    assert_eq!(middle["outcome"], "accepted");
    fleet.instance(0).process.kill();
    let late = decide(&fleet, &[1, 2], &put("late", "late"));
    assert_eq!(late["outcome"], "accepted", "{late}");
    let again = decide(&fleet, &[2], &put("early", "early"));
    assert_eq!(again["revision"], accepted["revision"]);
    for at in [1, 2] {
        let pools = pools(&fleet, at);
        for name in ["early", "middle", "late", POOL] {
            assert!(pools.iter().any(|p| p == name), "{name} is lost on {at}");
        }
    }
}

/// Whatever is sent to the leader is cut in silence, for longer than a lease,
/// while its own messages still pass: heartbeats go out, no answer comes in. It
/// must step down, another voter must lead, and changes be accepted; and what
/// the former leader had accepted stands when the cut heals.
#[test]
fn change_leader_cut_in_silence() {
    let fleet = Fleet::with_proxies(3);
    let before = decide(&fleet, &[0, 1, 2], &put("before", "before"));
    assert_eq!(before["outcome"], "accepted");
    let cut = leader(&fleet, 0);
    let others: Vec<usize> = (0..3).filter(|at| *at != cut).collect();
    fleet.proxy(cut).block();
    wait_for("another leader", || {
        let led = leader(&fleet, others[0]);
        (led != cut).then_some(())
    });
    let during = decide(&fleet, &others, &put("during", "during"));
    assert_eq!(during["outcome"], "accepted", "{during}");
    thread::sleep(PAST_LEASE);
    fleet.proxy(cut).unblock();
    wait_for("the change in force on the former leader", || {
        pools(&fleet, cut)
            .iter()
            .any(|p| p == "during")
            .then_some(())
    });
    for (body, first) in [
        (put("before", "before"), before),
        (put("during", "during"), during),
    ] {
        let again = decide(&fleet, &[cut], &body);
        assert_eq!(again["revision"], first["revision"]);
    }
}

/// A request waits for a place at a busy engine. Meanwhile its organisation
/// loses the route. It must be refused as not run, and not be sent on by what
/// the catalogue said when it came.
#[test]
fn completions_route_retired_while_waiting() {
    let fleet = Fleet::with_flags(1, &["--first-ms=60000"]);
    let engine = fleet.start_engine_with("eng-1", "0..32", |p| p.flag("slots", 1));
    fleet.wait_until_serving();
    engine.inject_fault(&json!({"mode": "slow", "count": 4, "ms": 2000}));
    let address = fleet.caller_addr(0);
    let asks: Vec<_> = (0..12)
        .map(|i| CompletionRequest::new(KEY, &format!("waiting {i}"), 3).route("narrow-wide"))
        .collect();
    let widen = json!({"id": "widen", "expect": "any", "operations": [{"put": {
        "kind": "route", "name": "narrow-wide", "organisation": "kouvertoura",
        "target": {"model": "quote-7b"}, "pools": [POOL], "idempotent": true,
        "limits": {"requests": 1000, "tokens": 100_000, "concurrent": 1000, "queued": 1000}}}]});
    assert_eq!(decide(&fleet, &[0], &widen)["outcome"], "accepted");
    wait_for("the route in force", || {
        let reply = asks[0].send(address).ok()?;
        (reply.status == 200).then_some(())
    });
    engine.inject_fault(&json!({"mode": "slow", "count": 4, "ms": 2000}));
    let waiting: Vec<_> = asks
        .into_iter()
        .map(|ask| thread::spawn(move || ask.send(address)))
        .collect();
    wait_for("waiting requests", || {
        let state: Value = serde_json::from_str(&fleet.state_json(0)).ok()?;
        (state["requests"]["queued"].as_u64()? > 0).then_some(())
    });
    let retire = json!({"id": "retire", "expect": "any",
        "operations": [{"retire": {"kind": "route", "name": "narrow-wide"}}]});
    assert_eq!(decide(&fleet, &[0], &retire)["outcome"], "accepted");
    let answers: Vec<_> = waiting
        .into_iter()
        .map(|w| w.join().expect("a caller").expect("an answer"))
        .collect();
    let refused: Vec<_> = answers
        .iter()
        .filter(|r| r.code() == "unknown_route")
        .collect();
    assert!(!refused.is_empty(), "all were sent on");
    assert!(refused.iter().all(|r| r.ran() == "no"));
}
