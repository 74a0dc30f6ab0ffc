//! Configuration, keys, plain requests and streams from caller to engine.

use std::net::IpAddr;
use std::thread;

use crate::common::wait_for;
use crate::deployment::{APPLY_TIME, Deployment, KEY};
use crate::engine::{expected_stream, post_heartbeat};

/// Guards against responses that aren't the engine's own, requests that reach an engine
/// without a valid key or route, and paths that don't cover each layer once and in order.
#[test]
fn entry_serves_all_kinds() {
    let deployment = Deployment::start();
    let (status, body) = deployment.request(0, "/letters/x", "a-1", KEY);
    assert_eq!((status, body), (200, expected_stream()));
    let (status, body) = deployment.request(1, "/bookings/x", "a-2", KEY);
    assert_eq!(status, 200);
    assert!(body.starts_with("done by "));
    assert_eq!(
        deployment.request(0, "/lookups/x", "a-3", "no such key").0,
        401
    );
    assert_eq!(deployment.request(0, "/nowhere/x", "a-4", KEY).0, 404);
    let state = deployment.engine_state();
    assert_eq!(state.runs("a-3") + state.runs("a-4"), 0);
    assert_eq!(state.invalid_paths(), [""; 0]);
}

/// Guards against a removed key that some instance still accepts after a few seconds, and
/// against a controller that doesn't return an acknowledged configuration.
#[test]
fn replace_revokes_key() {
    let deployment = Deployment::start();
    assert!(deployment.replace_configuration(5, &["another"]));
    thread::sleep(APPLY_TIME);
    for entry in 0..2 {
        assert_eq!(deployment.request(entry, "/lookups/x", "r-1", KEY).0, 401);
        assert_eq!(
            deployment.request(entry, "/lookups/x", "r-2", "another").0,
            200
        );
    }
    // A late configuration with an older version is acknowledged and has no effect.
    assert!(deployment.replace_configuration(4, &[KEY]));
    for i in 0..3 {
        wait_for("a read", || deployment.fetch_version(i))
            .eq(&5)
            .then_some(())
            .expect("the newest configuration");
    }
}

/// Guards against losing an acknowledged configuration, refusing a new one or refusing
/// callers when a controller is killed. Each controller is killed in turn, the leader among
/// them.
#[test]
fn replace_survives_kill() {
    let mut deployment = Deployment::start();
    assert!(deployment.replace_configuration(7, &[KEY]));
    for i in 0..3 {
        deployment.controllers[usize::from(i)].kill();
        assert_eq!(
            deployment
                .request(0, "/lookups/x", &format!("k-{i}"), KEY)
                .0,
            200
        );
        let version = 8 + u64::from(i);
        wait_for("an acknowledgement", || {
            deployment
                .replace_configuration(version, &[KEY])
                .then_some(())
        });
        let other = (i + 1) % 3;
        assert_eq!(
            wait_for("a read", || deployment.fetch_version(other)),
            version
        );
        deployment.return_controller(i);
        wait_for("a read by the restarted controller", || {
            deployment.fetch_version(i).filter(|&v| v == version)
        });
    }
}

/// Guards against controllers that send operators and upstreams away: those that aren't members of
/// the replicated log knew no leader, so half of ten controllers answered 503.
#[test]
fn calls_at_non_members() {
    let deployment = Deployment::with_non_members();
    let mut spec = deployment.engines[0].clone();
    for i in 0..5 {
        let version = 5 + u64::from(i);
        wait_for("an acknowledged configuration", || {
            deployment
                .replace_configuration_at(i, version)
                .then_some(())
        });
        spec.id = format!("i-new-{i}");
        spec.address.set_port(9_000 + u16::from(i));
        wait_for("an acknowledged heartbeat", || {
            post_heartbeat(deployment.control_addr(i), &spec, None, version, None).then_some(())
        });
    }
}

/// Guards against instances that miss a configuration, or refuse callers, when the follower that
/// answers them or the leader ends.
#[test]
fn followers_answer() {
    let mut deployment = Deployment::with_followers(3, 4, &[3, 2]);
    let leader = wait_for("a leader", || deployment.leader());
    let ip = match deployment.control_addr(leader as u8).ip() {
        IpAddr::V4(ip) => u32::from(ip),
        IpAddr::V6(_) => unreachable!("the addresses are of IPv4"),
    };
    let told_by_follower = |log: String| {
        let applied = log.lines().rfind(|l| l.contains("\"event\":208"));
        applied.is_some_and(|l| !l.contains(&format!("\"leader\":{ip}")))
    };
    let mut version = 1;
    wait_for("configurations that followers told", || {
        version += 1;
        assert!(deployment.replace_configuration(version, &[KEY]));
        thread::sleep(APPLY_TIME);
        let all = deployment.entries.iter().all(|e| told_by_follower(e.log()));
        all.then_some(())
    });
    for i in 0..3 {
        deployment.controllers[usize::from(i)].kill();
        let (version, key) = (version + 1 + u64::from(i), format!("key-{i}"));
        wait_for("an acknowledgement", || {
            let acknowledged = deployment.replace_configuration(version, &[&key]);
            acknowledged.then_some(())
        });
        thread::sleep(APPLY_TIME);
        for entry in 0..4 {
            let attempt = format!("f-{i}-{entry}");
            let status = |key: &str| deployment.request(entry, "/lookups/x", &attempt, key).0;
            assert_eq!((status(&key), status(KEY)), (200, 401), "entry {entry}");
        }
        deployment.return_controller(i);
        wait_for("a read by the restarted controller", || {
            (deployment.fetch_version(i) == Some(version)).then_some(())
        });
    }
}
