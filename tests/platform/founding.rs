//! Which controllers found the replicated log, while the settings name other seeds.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::common::wait_for;
use crate::deployment::{APPLY_TIME, Deployment, KEY};

/// Controllers that are started after the log was founded.
const ADDED: [u8; 3] = [3, 4, 5];

/// Time in which restarted controllers elect a leader if they can: twice the four election timeouts
/// for which they query other voters.
const ELECTION_TIME: Duration = Duration::from_secs(5);

/// Three controllers that have founded a log and acknowledged the first configuration.
fn founded() -> Deployment {
    let deployment = Deployment::controllers_only(3);
    wait_for("first configuration", || {
        deployment.replace_configuration(1, &[KEY]).then_some(())
    });
    deployment
}

/// Asserts for a while that at most one controller leads.
fn assert_one_log(deployment: &Deployment) {
    let began = Instant::now();
    while began.elapsed() < ELECTION_TIME {
        assert!(deployment.count_leaders() <= 1, "two leaders");
        thread::sleep(Duration::from_millis(100));
    }
}

/// Adds controllers, and later names them as the only seeds.
fn add_then_name(deployment: &mut Deployment) {
    deployment.add_controllers(3);
    assert_one_log(deployment);
    deployment.set_seeds(&ADDED);
}

fn one_restarts(deployment: &mut Deployment) {
    add_then_name(deployment);
    deployment.restart_controller(3);
}

fn all_restart(deployment: &mut Deployment) {
    add_then_name(deployment);
    ADDED.iter().for_each(|&i| deployment.restart_controller(i));
}

fn disk_lost(deployment: &mut Deployment) {
    add_then_name(deployment);
    fs::remove_dir_all(deployment.data_dir(4)).unwrap();
    for i in [4, 3, 5, 4] {
        deployment.restart_controller(i);
        thread::sleep(Duration::from_secs(1));
    }
}

fn named_before_start(deployment: &mut Deployment) {
    deployment.set_seeds(&ADDED);
    deployment.add_controllers(3);
    assert_one_log(deployment);
    ADDED.iter().for_each(|&i| deployment.restart_controller(i));
}

fn voters_down(deployment: &mut Deployment) {
    add_then_name(deployment);
    for i in 0..3 {
        deployment.controllers[i].kill();
    }
    ADDED.iter().for_each(|&i| deployment.restart_controller(i));
    let began = Instant::now();
    while began.elapsed() < ELECTION_TIME {
        let accepted = ADDED.map(|i| deployment.replace_configuration_at(i, 9));
        assert_eq!(accepted, [false; 3], "accepted without any voter");
        thread::sleep(Duration::from_millis(200));
    }
    for i in 0..3 {
        deployment.return_controller(i);
    }
}

fn all_killed(deployment: &mut Deployment) {
    add_then_name(deployment);
    for controller in &mut deployment.controllers {
        controller.kill();
    }
    for i in [3, 4, 5, 0, 1, 2] {
        deployment.return_controller(i);
    }
}

/// Guards against a second replicated log, founded by added controllers that restart after the
/// settings have named them as seeds. Both logs acknowledged configurations, and the older voters
/// failed once they met the second one.
#[rstest]
#[case::one_restarts(one_restarts)]
#[case::all_restart(all_restart)]
#[case::disk_lost(disk_lost)]
#[case::named_before_start(named_before_start)]
#[case::voters_down(voters_down)]
#[case::all_killed(all_killed)]
fn exchanged_seeds_one_log(#[case] exchange: fn(&mut Deployment)) {
    let mut deployment = founded();
    exchange(&mut deployment);
    assert_one_log(&deployment);
    wait_for("the next configuration", || {
        deployment.replace_configuration(2, &[KEY]).then_some(())
    });
    thread::sleep(APPLY_TIME);
    for i in 0..6 {
        let read = deployment.fetch_version(i);
        assert!(read.is_none_or(|v| v == 2), "controller {i} reads {read:?}");
        assert!(deployment.controllers[usize::from(i)].is_running());
    }
    let reads = (0..3).filter_map(|i| deployment.fetch_version(i)).count();
    assert_eq!(reads, 3, "voters that confirm a read");
}

/// Whether a controller has written its log file. One that is killed before knows nothing.
fn has_written(deployment: &Deployment, i: u8) -> bool {
    let files = fs::read_dir(deployment.data_dir(i)).unwrap();
    let mut files = files.filter_map(Result::ok);
    files.any(|f| {
        let size = f.metadata().map_or(0, |m| m.len());
        size > 0 && f.file_name().to_string_lossy().starts_with("log-")
    })
}

/// Guards against a log that is never founded since its seeds were killed, or lost a disk, right
/// after their first start.
#[rstest]
#[case::killed(false)]
#[case::killed_and_disk_lost(true)]
fn seeds_killed_at_once_found(#[case] disk_lost: bool) {
    for delay in [0, 20, 50, 80] {
        let mut deployment = Deployment::controllers_only(3);
        wait_for("log files", || {
            (0..3).all(|i| has_written(&deployment, i)).then_some(())
        });
        thread::sleep(Duration::from_millis(delay));
        for i in 0..3 {
            deployment.controllers[i].kill();
        }
        if disk_lost {
            fs::remove_dir_all(deployment.data_dir(1)).unwrap();
        }
        for i in 0..3 {
            deployment.return_controller(i);
        }
        wait_for("first configuration", || {
            deployment.replace_configuration(1, &[KEY]).then_some(())
        });
    }
}

/// Three voters and three added controllers, all restarted after the settings have named the added
/// ones as the only seeds.
fn exchanged() -> Deployment {
    let mut deployment = founded();
    add_then_name(&mut deployment);
    for i in 0..6 {
        deployment.restart_controller(i);
    }
    wait_for("a leader", || {
        (deployment.count_leaders() == 1).then_some(())
    });
    deployment
}

/// Guards against added controllers that no longer know of any voter once the settings name only
/// them: none took the place of a voter that was lost.
#[test]
fn exchanged_seeds_replace_voter() {
    let mut deployment = exchanged();
    deployment.controllers[0].kill();
    wait_for("a read at an added controller", || {
        let mut reads = ADDED.iter().filter_map(|&i| deployment.fetch_version(i));
        reads.next().filter(|&v| v == 1)
    });
}

/// Guards against a voter that loses its disk after the exchange and never votes again, since its
/// seeds don't know the leader.
#[test]
fn exchanged_seeds_wiped_voter() {
    let mut deployment = exchanged();
    deployment.controllers[0].kill();
    fs::remove_dir_all(deployment.data_dir(0)).unwrap();
    deployment.return_controller(0);
    wait_for("a read at the wiped controller", || {
        deployment.fetch_version(0).filter(|&v| v == 1)
    });
}
