//! Failures of engines and instances while requests run.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::wait_for;
use crate::deployment::{Deployment, HOST, KEY};
use crate::engine::{Fault, HEARTBEAT_PERIOD, LONG_ANSWER, LONG_PATH, expected_stream};

/// Guards against lost, repeated or reordered events when engines break off their streams
/// in the middle of an event: the stream is resumed within the same response.
#[test]
fn stream_resumed_within_answer() {
    let deployment = Deployment::start();
    // Engines of both domains: the choice among engines of nearly equal cost is random.
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

/// Guards against refused requests when engines of every domain break off some streams and
/// serve the rest. The instance excluded each such engine for 1.5 to 6 s; with all engines
/// that hold a layer excluded it found no path and refused every request at once: 282
/// refusals with `no_upstream` (407) in 8 s while no layer was missing (307), after `cut`
/// (408) had named the first engine of each domain.
#[test]
fn streams_served_by_failing_engines() {
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
        assert_eq!((status, body), (200, expected_stream()), "stream {i}");
    }
    assert_eq!(deployment.engine_state().invalid_paths(), [""; 0]);
}

/// Guards against a non-idempotent request that is sent again, or reported as not run,
/// after an engine accepted it and never responded: it may have run.
#[test]
fn non_idempotent_runs_once() {
    let deployment = Deployment::start();
    for engine in deployment.engines.iter().filter(|e| e.service == "desk") {
        deployment
            .engine_state()
            .set_fault(&engine.id, Fault::HangOnce);
    }
    let address = deployment.caller_addr(0);
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build();
    let reply = ureq::Agent::from(config)
        .post(format!("http://{address}/bookings/x"))
        .header("host", crate::deployment::HOST)
        .header("x-attempt-id", "b-1")
        .header("x-credential", KEY)
        .header("x-deadline-ms", "900")
        .send("text");
    assert_eq!(reply.unwrap().status(), 504);
    assert_eq!(deployment.engine_state().runs("b-1"), 1);
}

/// Guards against layers that stay missing after an engine was killed, and against wrong
/// responses meanwhile, when the engines of the other domain serve the requests.
#[test]
fn lost_layers_restored() {
    let deployment = Deployment::start();
    let lost = deployment.engines[0].clone();
    deployment.engine_state().kill(&lost);
    let rest: Vec<_> = deployment.engines[1..3].iter().map(|e| e.address).collect();
    let mut sent = 0;
    wait_for("the lost layers", || {
        sent += 1;
        let (status, body) = deployment.request(0, "/letters/x", &format!("l-{sent}"), KEY);
        assert!(status != 200 || body == expected_stream());
        deployment.engine_state().covers(&rest).then_some(())
    });
    let (status, body) = deployment.request(0, "/letters/x", "l-last", KEY);
    assert_eq!((status, body), (200, expected_stream()));
    assert_eq!(deployment.engine_state().invalid_paths(), [""; 0]);
}

/// Guards against unbounded concurrent orders when many engines join at once, as in a new
/// fleet. The leader sent all orders at once, each on its own connection: of 2,925 engines none
/// answered within 0.6 s, 16 times over (306 without `status`), the leader ran out of file
/// descriptors, and callers were refused until all was lost.
#[test]
fn orders_limited_when_many_join() {
    const JOINING: u8 = 100;
    let mut deployment = Deployment::start();
    let before = deployment.engine_state().layer_holders();
    deployment
        .engine_state()
        .set_order_delay(Duration::from_millis(100));
    for host in 20..20 + JOINING {
        deployment.start_engine(host, "models", "north");
    }
    wait_for("layers on all engines", || {
        let joined = deployment.engine_state().layer_holders() - before;
        (joined == usize::from(JOINING)).then_some(())
    });
    let most = deployment.engine_state().max_pending_orders();
    assert!((2..=64).contains(&most), "{most} concurrent orders");
}

/// Guards against losing an acknowledged configuration when controllers lose their disks
/// one after another: each must rejoin with an empty store, catch up and vote again.
#[test]
fn wiped_controller_rejoins() {
    let mut deployment = Deployment::start();
    assert!(deployment.replace_configuration(9, &[KEY]));
    for i in [0, 1, 2] {
        deployment.controllers[usize::from(i)].kill();
        fs::remove_dir_all(deployment.data_dir(i)).unwrap();
        deployment.return_controller(i);
        wait_for("a read by the wiped controller", || {
            deployment.fetch_version(i).filter(|&v| v == 9)
        });
        // It can read before it votes again; the next disk may be wiped only after it votes.
        thread::sleep(Duration::from_secs(2));
    }
    assert!(deployment.replace_configuration(10, &[KEY]));
}

/// Guards against an entry instance that breaks off running streams when it is terminated,
/// or that doesn't exit once they have ended.
#[test]
fn entry_drains() {
    let mut deployment = Deployment::start();
    let running = thread::scope(|scope| {
        let deployment_ref = &deployment;
        let requests: Vec<_> = (0..4)
            .map(|i| {
                scope.spawn(move || deployment_ref.request(0, "/letters/x", &format!("d-{i}"), KEY))
            })
            .collect();
        wait_for("running streams", || {
            (0..4)
                .all(|i| deployment_ref.engine_state().runs(&format!("d-{i}")) == 1)
                .then_some(())
        });
        deployment_ref.entries[0].terminate();
        wait_for("an entry that isn't ready", || {
            (!deployment_ref.is_ready(0)).then_some(())
        });
        requests
            .into_iter()
            .map(|r| r.join().unwrap())
            .collect::<Vec<_>>()
    });
    for (status, body) in running {
        assert_eq!((status, body), (200, expected_stream()));
    }
    assert!(deployment.entries[0].wait_for_exit().success());
}

/// Guards against cutting off an answer that counts as ended when its instance stops, while its
/// caller still reads it.
#[test]
fn entry_drains_slow_reader() {
    let mut deployment = Deployment::start();
    let mut caller = TcpStream::connect(deployment.caller_addr(0)).unwrap();
    let head = format!(
        "POST {LONG_PATH} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: long\r\n\
         x-credential: {KEY}\r\nx-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).unwrap();
    let mut answer = vec![0; 1 << 10];
    caller.read_exact(&mut answer).unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200 "));
    deployment.entries[0].terminate();
    // Longer than new connections are accepted.
    thread::sleep(Duration::from_secs(4));
    caller.read_to_end(&mut answer).expect("no reset");
    let body = answer.iter().rev().take_while(|b| **b == b'x').count();
    assert_eq!(body, LONG_ANSWER);
    drop(caller);
    assert!(deployment.entries[0].wait_for_exit().success());
}

/// Guards against logs that contain a key, valid or not.
#[test]
fn logs_hold_no_key() {
    let deployment = Deployment::start();
    deployment.request(0, "/letters/x", "n-1", KEY);
    deployment.request(0, "/letters/x", "n-2", "a wrong key that is secret");
    let read = || -> String {
        let processes = deployment.entries.iter().chain(&deployment.controllers);
        processes.map(|p| p.log()).collect()
    };
    // Log lines are written by a separate thread, after the responses.
    let logs = wait_for("the log lines of both requests", || {
        let logs = read();
        (logs.contains("n-1") && logs.contains("n-2")).then_some(logs)
    });
    assert!(!logs.contains(KEY) && !logs.contains("secret"));
}

/// Guards against requests that wait for the log: when an instance's output isn't read, the
/// pipe is full after some hundred lines.
#[test]
fn unread_log_delays_nothing() {
    let mut deployment = Deployment::start();
    deployment.entries[0].kill();
    deployment.entries[0] = deployment.start_unread_entry(0);
    wait_for("ready entry", || deployment.is_ready(0).then_some(()));
    for i in 0..400 {
        let start = Instant::now();
        let (status, _) = deployment.request(0, "/lookups/x", &format!("u-{i}"), KEY);
        assert!(status == 200 || i < 20, "{status} at request {i}");
        assert!(
            start.elapsed() < Duration::from_secs(3),
            "request {i} waited"
        );
    }
}

/// Guards against replacing an engine's error response, which names the cause, by one of
/// the instance's own when no other engine is left to retry: the only other one was killed.
#[test]
fn error_forwarded_without_other_engine() {
    let deployment = Deployment::start();
    let desks: Vec<_> = deployment
        .engines
        .iter()
        .filter(|e| e.service == "desk")
        .collect();
    deployment
        .engine_state()
        .set_fault(&desks[0].id, Fault::Error(500));
    deployment.engine_state().kill(desks[1]);
    for i in 0..4 {
        let (status, body) = deployment.request(0, "/lookups/x", &format!("e-{i}"), KEY);
        assert_eq!((status, body.as_str()), (500, "the stock file is locked"));
    }
}

/// Guards against a retry at the one of two engines that never responds although its heartbeats
/// arrive: a second attempt there hangs as well, while the other engine responds at once.
#[test]
fn unresponsive_upstream_not_retried() {
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

/// Guards against removing all engines since the controllers were paused, together, for longer than
/// an engine may be silent.
#[test]
fn paused_controllers_keep_engines() {
    let deployment = Deployment::start();
    for controller in &deployment.controllers {
        controller.freeze();
    }
    thread::sleep(HEARTBEAT_PERIOD * 6);
    for controller in &deployment.controllers {
        controller.thaw();
    }
    wait_for("a stream after the pause", || {
        let (status, _) = deployment.request(0, "/letters/x", "paused", KEY);
        (status == 200).then_some(())
    });
    // Log lines are written by a separate thread.
    thread::sleep(HEARTBEAT_PERIOD);
    let logs = deployment.controllers.iter().map(|p| p.log());
    let removed = logs.map(|log| log.matches("no heartbeats").count());
    assert_eq!(removed.sum::<usize>(), 0, "engines were removed");
}
