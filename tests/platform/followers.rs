//! Followers that answer entry instances while controllers fail.

use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::wait_for;
use crate::deployment::{APPLY_TIME, Deployment, KEY};
use crate::engine::expected_stream;

const CONTROLLERS: u8 = 5;
const ENTRIES: usize = 6;

/// Time for which the leader is paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Time for which callers send after the leader woke.
const SEND_TIME: Duration = Duration::from_secs(2);

const NEW_KEY: &str = "key-2";

/// Sends a request of each kind to each instance, with the new key and with the revoked one.
fn check_keys(deployment: &Deployment, round: usize) {
    for entry in 0..ENTRIES {
        let attempt = format!("f-{round}-{entry}");
        let revoked = deployment.request(entry, "/lookups/x", &attempt, KEY).0;
        assert_eq!(revoked, 401, "entry {entry} in round {round}");
        let (status, body) = deployment.request(entry, "/letters/x", &attempt, NEW_KEY);
        assert_eq!(
            (status, body),
            (200, expected_stream()),
            "entry {entry} in round {round}"
        );
    }
}

/// Guards against instances that miss a configuration while the leader and half of its followers
/// fail, and against a paused leader that wakes and brings the revoked key back.
#[rstest]
#[case::leader_paused(&[], true)]
#[case::leader_and_follower_killed(&[0, 1], false)]
fn followers_survive_faults(#[case] killed: &[usize], #[case] paused: bool) {
    let mut deployment = Deployment::with_followers(CONTROLLERS, ENTRIES, &[3, 2]);
    let leader = wait_for("a leader", || deployment.leader());
    let began = Instant::now();
    if paused {
        deployment.controllers[leader].freeze();
    }
    for after in killed {
        let which = (leader + after) % usize::from(CONTROLLERS);
        deployment.controllers[which].kill();
    }
    wait_for("an acknowledgement", || {
        deployment
            .replace_configuration(2, &[NEW_KEY])
            .then_some(())
    });
    thread::sleep(APPLY_TIME);
    check_keys(&deployment, 0);
    if paused {
        thread::sleep(PAUSE.saturating_sub(began.elapsed()));
        deployment.controllers[leader].thaw();
        let woke = Instant::now();
        for round in 1.. {
            check_keys(&deployment, round);
            if woke.elapsed() >= SEND_TIME {
                break;
            }
        }
    }
}
