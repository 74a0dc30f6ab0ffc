//! Engines and instances that fail in the middle of requests.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::wait_for;
use crate::deployment::{Deployment, KEY};
use crate::engine::{Fault, expected_stream};

/// Engines reset their streams in the middle of an event. The officer on the
/// line must get every event once, in order, in one answer.
#[test]
fn stream_resumed_within_answer() {
    let deployment = Deployment::start();
    // In both domains: engines of nearly equal cost take turns by chance.
    let models = deployment.engines.iter().filter(|e| e.service == "models");
    for engine in models {
        deployment
            .engine_state()
            .set_fault(&engine.id, Fault::ResetAfter(5));
    }
    let (status, body) = deployment.request(0, "/letters/x", "s-1", KEY);
    assert_eq!((status, body), (200, expected_stream()));
    assert_eq!(deployment.engine_state().runs("s-1"), 2);
    assert_eq!(deployment.engine_state().invalid_paths(), [""; 0]);
}

/// The engines of every domain reset a part of their streams and answer the rest.
/// An officer's next letters must be written all the same. The instance left out
/// each engine that had reset one, for 1.5 to 6 s; with all holders of a layer
/// left out it saw no path and refused every letter at once: 282 refusals with
/// `no_upstream` (407) in 8 s while no layer was missing (307), after `cut` (408)
/// had named the first engine of each domain.
#[test]
fn letters_written_by_failing_engines() {
    let deployment = Deployment::start();
    let models = deployment.engines.iter().filter(|e| e.service == "models");
    for engine in models {
        deployment
            .engine_state()
            .set_fault(&engine.id, Fault::ResetAfter(2));
    }
    for i in 0..12 {
        let attempt = format!("f-{i}");
        let (status, body) = deployment.request(0, "/letters/x", &attempt, KEY);
        assert_eq!((status, body), (200, expected_stream()), "letter {i}");
    }
    assert_eq!(deployment.engine_state().invalid_paths(), [""; 0]);
}

/// Engines take a booking and say nothing more. It may have run, so it must
/// not be sent again, and the caller must not be told that it did not run.
#[test]
fn booking_runs_once() {
    let deployment = Deployment::start();
    for engine in deployment.engines.iter().filter(|e| e.service == "desk") {
        deployment
            .engine_state()
            .set_fault(&engine.id, Fault::HangOnce);
    }
    let address = deployment.caller_addr(0);
    let ask = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let reply = ureq::Agent::from(ask)
        .post(format!("http://{address}/bookings/x"))
        .header("host", crate::deployment::HOST)
        .header("x-attempt-id", "b-1")
        .header("x-credential", KEY)
        .header("x-deadline-ms", "900")
        .send("text");
    assert_eq!(reply.unwrap().status(), 504);
    assert_eq!(deployment.engine_state().runs("b-1"), 1);
}

/// An engine of a domain dies without a word. Its layers must come back on
/// another engine, and requests are served all the while by the other domain.
#[test]
fn layers_come_back() {
    let deployment = Deployment::start();
    let lost = deployment.engines[0].clone();
    deployment.engine_state().kill(&lost);
    let rest: Vec<_> = deployment.engines[1..3].iter().map(|e| e.address).collect();
    let mut asked = 0;
    wait_for("the lost layers", || {
        asked += 1;
        let (status, body) = deployment.request(0, "/letters/x", &format!("l-{asked}"), KEY);
        assert!(status != 200 || body == expected_stream());
        deployment.engine_state().covers(&rest).then_some(())
    });
    let (status, body) = deployment.request(0, "/letters/x", "l-last", KEY);
    assert_eq!((status, body), (200, expected_stream()));
    assert_eq!(deployment.engine_state().invalid_paths(), [""; 0]);
}

/// Many engines join in one moment, as in a new fleet. Each must get its layers
/// soon. The leader gave all orders at once, with a connection for each: of 2,925
/// engines none answered within 0.6 s, 16 times over (306 without `status`), it ran
/// out of descriptors, and callers were refused until all was lost.
#[test]
fn orders_given_by_turns() {
    const JOINING: u8 = 100;
    let mut deployment = Deployment::start();
    let before = deployment.engine_state().layer_holders();
    deployment
        .engine_state()
        .set_order_delay(Duration::from_millis(100));
    for host in 20..20 + JOINING {
        deployment.start_engine(host, "models", "north");
    }
    wait_for("layers of all", || {
        let joined = deployment.engine_state().layer_holders() - before;
        (joined == usize::from(JOINING)).then_some(())
    });
    let most = deployment.engine_state().max_pending_orders();
    assert!((2..=64).contains(&most), "{most} orders at once");
}

/// A controller's disk is lost right after an acknowledgement. It must come
/// back as a new store, catch up and vote, so that the loss of another one
/// loses nothing.
#[test]
fn wiped_controller_rejoins() {
    let mut deployment = Deployment::start();
    assert!(deployment.replace_configuration(9, &[KEY]));
    for i in [0, 1, 2] {
        deployment.controllers[usize::from(i)].kill();
        fs::remove_dir_all(deployment.data_dir(i)).unwrap();
        deployment.controllers[usize::from(i)] = deployment.start_controller(i, false);
        wait_for("the newcomer's read", || {
            deployment.fetch_version(i).filter(|&v| v == 9)
        });
        // It reads before it votes; the next disk may go only after that.
        thread::sleep(Duration::from_secs(2));
    }
    assert!(deployment.replace_configuration(10, &[KEY]));
}

/// An entry instance is stopped for an update while letters are being
/// written. They end whole, and the process ends by itself.
#[test]
fn entry_drains() {
    let mut deployment = Deployment::start();
    let running = thread::scope(|scope| {
        let deployment_ref = &deployment;
        let asks: Vec<_> = (0..4)
            .map(|i| {
                scope.spawn(move || deployment_ref.request(0, "/letters/x", &format!("d-{i}"), KEY))
            })
            .collect();
        wait_for("running letters", || {
            (0..4)
                .all(|i| deployment_ref.engine_state().runs(&format!("d-{i}")) == 1)
                .then_some(())
        });
        deployment_ref.entries[0].terminate();
        wait_for("an entry that isn't ready", || {
            (!deployment_ref.is_ready(0)).then_some(())
        });
        asks.into_iter()
            .map(|a| a.join().unwrap())
            .collect::<Vec<_>>()
    });
    for (status, body) in running {
        assert_eq!((status, body), (200, expected_stream()));
    }
    assert!(deployment.entries[0].wait_for_exit().success());
}

/// Logs and metrics must show no key, whatever fails.
#[test]
fn logs_hold_no_key() {
    let deployment = Deployment::start();
    deployment.request(0, "/letters/x", "n-1", KEY);
    deployment.request(0, "/letters/x", "n-2", "a wrong key that is secret");
    let read = || -> String {
        let processes = deployment.entries.iter().chain(&deployment.controllers);
        processes.map(|p| p.log()).collect()
    };
    // A thread of its own writes the lines, after the answers.
    let logs = wait_for("the lines of both requests", || {
        let logs = read();
        (logs.contains("n-1") && logs.contains("n-2")).then_some(logs)
    });
    assert!(!logs.contains(KEY) && !logs.contains("secret"));
}

/// Whoever reads an instance's log stops reading. The pipe is full after some
/// hundred lines, and from then on every request would wait for it.
#[test]
fn unread_log_delays_nothing() {
    let mut deployment = Deployment::start();
    deployment.entries[0].kill();
    deployment.entries[0] = deployment.start_unread_entry(0);
    wait_for("ready entry", || deployment.is_ready(0).then_some(()));
    for i in 0..400 {
        let began = Instant::now();
        let (status, _) = deployment.request(0, "/lookups/x", &format!("u-{i}"), KEY);
        assert!(status == 200 || i < 20, "{status} at request {i}");
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "request {i} waited"
        );
    }
}

/// An engine runs a look-up and answers with a failure of its own; the only
/// other one is dead. Nobody else can be asked, and the caller must get the
/// engine's answer, which says what is wrong, and not be told that none came.
#[test]
fn error_passed_on_without_other() {
    let deployment = Deployment::start();
    let desks: Vec<_> = deployment
        .engines
        .iter()
        .filter(|e| e.service == "desk")
        .collect();
    deployment
        .engine_state()
        .set_fault(&desks[0].id, Fault::Error);
    deployment.engine_state().kill(desks[1]);
    for i in 0..4 {
        let (status, body) = deployment.request(0, "/lookups/x", &format!("e-{i}"), KEY);
        assert_eq!((status, body.as_str()), (500, "the stock file is locked"));
    }
}

/// One of two engines takes requests and says nothing, with good heartbeats. A
/// second attempt at the same one is as silent; the other one answers at once.
#[test]
fn silent_upstream_not_asked_again() {
    let deployment = Deployment::start();
    let desk = deployment
        .engines
        .iter()
        .find(|e| e.service == "desk")
        .unwrap();
    deployment.engine_state().set_fault(&desk.id, Fault::Hang);
    thread::scope(|scope| {
        for i in 0..12 {
            let deployment = &deployment;
            scope.spawn(move || {
                let (status, _) = deployment.request(i % 2, "/lookups/x", &format!("d-{i}"), KEY);
                assert_eq!(status, 200);
            });
        }
    });
}
