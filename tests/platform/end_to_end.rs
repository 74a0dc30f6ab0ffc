//! The whole path: configuration, keys, plain requests, streams.

use std::thread;

use crate::common::wait_for;
use crate::deployment::{APPLY_TIME, Deployment, KEY};
use crate::engine::expected_stream;

/// A fitter asks for a quotation, an officer books a visit; someone without a
/// key and someone on an unknown path are turned away. Each answer is the
/// engine's own, and every path covers each layer once and in order.
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

/// Operators take a key away. It must be refused on all instances within
/// seconds, and what was acknowledged is read back from every controller.
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
    // An older change arrives late: acknowledged, and without effect.
    assert!(deployment.replace_configuration(4, &[KEY]));
    for i in 0..3 {
        wait_for("a read", || deployment.fetch_version(i))
            .eq(&5)
            .then_some(())
            .expect("the newest");
    }
}

/// The leading controller is killed. What was acknowledged is still read, a
/// new change is taken, and callers are served meanwhile.
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
        deployment.controllers[usize::from(i)] = deployment.start_controller(i, false);
        wait_for("a read by the one that is back", || {
            deployment.fetch_version(i).filter(|&v| v == version)
        });
    }
}
