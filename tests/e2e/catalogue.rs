//! Changes and use of the catalogue while voters are killed, frozen, cut off or lose their disk.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{fs, thread};

use serde_json::{Value, json};

use crate::common::caller::{CompletionRequest, agent};
use crate::common::fleet::{Fleet, KEY, POOL};
use crate::common::wait_for;

/// Longer than the default catalogue lease.
const PAST_LEASE: Duration = Duration::from_millis(4500);

/// Sends a change to an instance. Returns its outcome, or `None` if the change wasn't decided.
fn send_change(fleet: &Fleet, at: usize, body: &Value) -> Option<Value> {
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

fn pool_operation(name: &str) -> Value {
    let digest = format!(
        "{:0>64}",
        name.bytes().map(|b| format!("{b:02x}")).collect::<String>()
    );
    json!({"put": {"kind": "pool", "name": name, "credential": digest}})
}

fn put_pool(id: &str, name: &str) -> Value {
    json!({"id": id, "expect": "any", "operations": [pool_operation(name)]})
}

/// Sends a change to one instance after the other until it is decided. Returns the outcome.
fn decide(fleet: &Fleet, alive: &[usize], body: &Value) -> Value {
    wait_for("a decision", || {
        alive.iter().find_map(|at| send_change(fleet, *at, body))
    })
}

/// Returns the names of the pools in the catalogue, read from one instance.
fn pools(fleet: &Fleet, at: usize) -> Vec<String> {
    wait_for("a confirmed catalogue", || {
        let target = fleet.control_addr(at).to_string();
        let text = fleet.run_command(&["catalogue", "list", "--json", "--target", &target])?;
        let listing: Value = serde_json::from_str(&text).ok()?;
        let records = listing["records"].as_array()?;
        let entries = records.iter().map(|r| &r["entry"]);
        let pools = entries.filter(|e| e["kind"] == "pool");
        Some(
            pools
                .map(|e| e["name"].as_str().unwrap_or("").to_owned())
                .collect(),
        )
    })
}

/// Returns the index of the leader of the catalogue group, according to instance `at`.
fn leader(fleet: &Fleet, at: usize) -> usize {
    wait_for("a leader", || {
        let state: Value = serde_json::from_str(&fleet.state_json(at)).ok()?;
        let id = state["groups"][0]["leader"].as_u64()?;
        Some(usize::try_from(id).ok()? - 1)
    })
}

/// The leader is killed and restarted repeatedly while an operator makes changes. Responses are
/// lost, and changes are resent with their ids. Each accepted change must end up on all
/// instances, applied once, at the revision reported first.
#[test]
fn change_leader_killed_in_mid_change() {
    let mut fleet = Fleet::with_instances(3);
    let mut accepted = Vec::new();
    for round in 0..3 {
        let victim = leader(&fleet, (round + 1) % 3);
        let ended = AtomicBool::new(false);
        thread::scope(|scope| {
            let (fleet, ended) = (&fleet, &ended);
            let operator = scope.spawn(move || {
                let mut done = Vec::new();
                while !ended.load(Ordering::SeqCst) || done.len() < 5 {
                    let id = format!("change-{round}-{}", done.len());
                    let body = put_pool(&id, &format!("pool-{round}-{}", done.len()));
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
            accepted.extend(operator.join().expect("an operator"));
        });
        fleet.restart(victim);
        fleet.wait_until_ready(victim);
    }
    let mut revisions: Vec<u64> = accepted.iter().map(|(_, revision)| *revision).collect();
    for (body, revision) in &accepted {
        let resent = decide(&fleet, &[0, 1, 2], body);
        assert_eq!(resent["revision"].as_u64(), Some(*revision), "{body}");
    }
    revisions.dedup();
    assert_eq!(
        revisions.len(),
        accepted.len(),
        "two changes at one revision"
    );
    for at in 0..3 {
        let pools = pools(&fleet, at);
        for (body, _) in &accepted {
            let name = body["operations"][0]["put"]["name"].as_str().unwrap();
            assert!(pools.iter().any(|p| p == name), "{name} is lost on {at}");
        }
    }
}

/// An instance is frozen while an operator retires a route, and thawed after its lease has
/// expired. It must not serve the retired route again, not even a request that arrived while it
/// was frozen.
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
    let caller = thread::spawn(move || ask.send(address).map(|r| (r.status, r.code().to_owned())));
    thread::sleep(Duration::from_millis(200));
    fleet.instance(3).process.thaw();
    let (status, code) = caller.join().expect("a caller").expect("an answer");
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

/// Two of three voters are frozen, so the quorum is lost without an error. No instance can know
/// whether a change was accepted elsewhere: after its lease, each must refuse new work as not
/// run and be unready. With the quorum restored, all must serve again.
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

/// Guards against requests that hang once the quorum is lost: limit shares expire before the
/// catalogue lease, and a request that waited for one did so until its own deadline.
#[test]
fn serve_quorum_lost_while_waiting() {
    let mut fleet = Fleet::with_instances(4);
    let _engine = fleet.start_engine("eng-1", "0..32");
    fleet.wait_until_serving();
    // The shares then expire some time before the lease.
    thread::sleep(Duration::from_millis(700));
    for at in [0, 1] {
        fleet.instance(at).process.freeze();
    }
    let address = fleet.caller_addr(3);
    let call = move || {
        let began = Instant::now();
        let reply = CompletionRequest::new(KEY, "while cut off", 2).send(address);
        (reply.is_ok(), began.elapsed())
    };
    let callers: Vec<_> = (0..120)
        .map(|_| {
            thread::sleep(Duration::from_millis(50));
            thread::spawn(call)
        })
        .collect();
    for caller in callers {
        let (answered, took) = caller.join().expect("a caller");
        assert!(answered && took < PAST_LEASE, "{answered} after {took:?}");
    }
    for at in [0, 1] {
        fleet.instance(at).process.thaw();
    }
}

/// A voter loses its disk and is added again with an empty one. Right after that, another voter
/// is lost permanently. No accepted change may be lost, and changes must still be possible.
#[test]
fn change_disk_replaced_then_second_loss() {
    let mut fleet = Fleet::with_instances(3);
    let accepted = decide(&fleet, &[0, 1, 2], &put_pool("early", "early"));
    assert_eq!(accepted["outcome"], "accepted");
    fleet.instance(2).process.kill();
    fs::remove_dir_all(fleet.data_dir(2)).expect("wipe the disk");
    fleet.restart(2);
    let target = fleet.control_addr(0).to_string();
    wait_for("the new store in every group", || {
        fleet.run_command(&["voters", "add", "--target", &target, "3"])
    });
    let all_vote = || {
        let text = fleet.run_command(&["voters", "list", "--json", "--target", &target])?;
        let groups: Value = serde_json::from_str(&text).ok()?;
        let complete = |g: &Value| {
            let members = g["members"].as_array().map_or(0, Vec::len);
            let votes = g["members"]
                .as_array()
                .is_some_and(|m| m.iter().all(|m| m["role"] == 0));
            let joining = g["strangers"].as_array().is_some_and(|s| !s.is_empty());
            members == 3 && votes && !joining
        };
        groups.as_array()?.iter().all(complete).then_some(())
    };
    wait_for("three voters", all_vote);
    let middle = decide(&fleet, &[0, 1, 2], &put_pool("middle", "middle"));
    assert_eq!(middle["outcome"], "accepted");
    fleet.instance(0).process.kill();
    let late = decide(&fleet, &[1, 2], &put_pool("late", "late"));
    assert_eq!(late["outcome"], "accepted", "{late}");
    let resent = decide(&fleet, &[2], &put_pool("early", "early"));
    assert_eq!(resent["revision"], accepted["revision"]);
    for at in [1, 2] {
        let pools = pools(&fleet, at);
        for name in ["early", "middle", "late", POOL] {
            assert!(pools.iter().any(|p| p == name), "{name} is lost on {at}");
        }
    }
}

/// All messages to the leader are dropped without an error for longer than a lease, while its
/// own messages still get through: heartbeats go out, but no replies come in. It must step down,
/// another voter must become leader and accept changes, and what the former leader had accepted
/// must still be in force when the connection is restored.
#[test]
fn change_leader_inbound_dropped() {
    let fleet = Fleet::with_proxies(3);
    let before = decide(&fleet, &[0, 1, 2], &put_pool("before", "before"));
    assert_eq!(before["outcome"], "accepted");
    let former = leader(&fleet, 0);
    let others: Vec<usize> = (0..3).filter(|at| *at != former).collect();
    fleet.proxy(former).block();
    wait_for("another leader", || {
        let current = leader(&fleet, others[0]);
        (current != former).then_some(())
    });
    let during = decide(&fleet, &others, &put_pool("during", "during"));
    assert_eq!(during["outcome"], "accepted", "{during}");
    thread::sleep(PAST_LEASE);
    fleet.proxy(former).unblock();
    wait_for("the change in force on the former leader", || {
        pools(&fleet, former)
            .iter()
            .any(|p| p == "during")
            .then_some(())
    });
    for (body, first) in [
        (put_pool("before", "before"), before),
        (put_pool("during", "during"), during),
    ] {
        let resent = decide(&fleet, &[former], &body);
        assert_eq!(resent["revision"], first["revision"]);
    }
}

/// A request is queued for a slot of a busy engine while its route is retired. It must be
/// refused as not run; being sent to the engine would mean that the catalogue was only checked
/// when the request arrived.
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
    assert!(!refused.is_empty(), "all were sent to the engine");
    assert!(refused.iter().all(|r| r.ran() == "no"));
}
