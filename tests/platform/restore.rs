//! Controllers whose data directory is restored from a copy.

use std::fs;
use std::path::Path;

use rstest::rstest;

use crate::common::{wait_for, wait_or_describe};
use crate::deployment::{Deployment, KEY};

/// Copies the files of a data directory into an empty one.
fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), to.join(entry.file_name())).unwrap();
    }
}

/// Guards against an acknowledged configuration that is replaced by an earlier one: the
/// data directory of a controller is restored from a copy taken while it ran, and the
/// controller elects a leader with two others that were down meanwhile.
#[test]
fn restored_directory_keeps_configuration() {
    let mut deployment = Deployment::controllers_only(5);
    wait_for("first configuration", || {
        deployment.replace_configuration(1, &[KEY]).then_some(())
    });
    let leader = wait_for("a leader", || deployment.leader());
    let [second, third, fourth, fifth] = [1, 2, 3, 4].map(|n| (leader + n) % 5);
    for i in [second, third, fourth, fifth] {
        let i = u8::try_from(i).unwrap();
        wait_for("first configuration everywhere", || {
            deployment.fetch_version(i).filter(|&v| v == 1)
        });
    }
    let data = deployment.data_dir(u8::try_from(second).unwrap());
    let backup = tempfile::tempdir().unwrap();
    copy(&data, backup.path());
    deployment.controllers[fourth].kill();
    deployment.controllers[fifth].kill();
    let leader_id = u8::try_from(leader).unwrap();
    for version in 2..=6 {
        assert!(
            deployment.replace_configuration_at(leader_id, version),
            "configuration {version}"
        );
    }
    deployment.controllers[second].kill();
    fs::remove_dir_all(&data).unwrap();
    copy(backup.path(), &data);
    deployment.controllers[leader].freeze();
    for i in [second, fourth, fifth] {
        deployment.return_controller(u8::try_from(i).unwrap());
    }
    let third = u8::try_from(third).unwrap();
    let read = wait_for("a read after the change of leader", || {
        deployment.fetch_version(third)
    });
    assert_eq!(read, 6);
    deployment.controllers[leader].thaw();
    for i in 0..5 {
        wait_for("the configuration everywhere", || {
            deployment.fetch_version(i).filter(|&v| v == 6)
        });
        assert!(deployment.controllers[usize::from(i)].is_running());
    }
}

/// Guards against losing an acknowledged configuration when all processes end right after it was
/// acknowledged and the disks of two controllers are lost, that of the leader among them or not.
#[rstest]
#[case::of_leader(&[0])]
#[case::of_leader_and_follower(&[0, 1])]
#[case::of_followers(&[2, 3])]
fn lost_disks_keep_configuration(#[case] lost: &[usize]) {
    let mut deployment = Deployment::controllers_only(5);
    wait_for("first configuration", || {
        deployment.replace_configuration(1, &[KEY]).then_some(())
    });
    let mut version = 1;
    for _ in 0..3 {
        // While a lost store is being replaced, it still counts as lost: two more would leave no
        // quorum.
        wait_or_describe(
            "five voters",
            || deployment.all_vote().then_some(()),
            || deployment.describe_voters(),
        );
        let leader = wait_for("the next configuration", || {
            let leader = deployment.leader()?;
            version += 1;
            let id = u8::try_from(leader).unwrap();
            let done = deployment.replace_configuration_at(id, version);
            done.then_some(leader)
        });
        for controller in &mut deployment.controllers {
            controller.kill();
        }
        for n in lost {
            let i = u8::try_from((leader + n) % 5).unwrap();
            fs::remove_dir_all(deployment.data_dir(i)).unwrap();
        }
        for i in 0..5 {
            deployment.return_controller(i);
        }
        for i in 0..5 {
            let read = wait_or_describe(
                "a read after the return",
                || deployment.fetch_version(i),
                || deployment.describe_voters(),
            );
            assert_eq!(read, version, "controller {i}");
        }
    }
}

/// Guards against a controller that stays outside of the group since its disk is lost again before
/// its new store votes. The group has more voters than the settings ask for, so it isn't added as
/// a missing one.
#[test]
fn disk_lost_again_votes_again() {
    let mut deployment = Deployment::controllers_only(5);
    wait_for("first configuration", || {
        deployment.replace_configuration(1, &[KEY]).then_some(())
    });
    let lost = 2;
    let mut version = 1;
    for _ in 0..6 {
        wait_for("the next configuration", || {
            let leader = u8::try_from(deployment.leader()?).unwrap();
            version += 1;
            let done = deployment.replace_configuration_at(leader, version);
            done.then_some(())
        });
        for controller in &mut deployment.controllers {
            controller.kill();
        }
        fs::remove_dir_all(deployment.data_dir(lost)).unwrap();
        for i in 0..5 {
            deployment.return_controller(i);
        }
        for i in [0, 1, 3, 4, lost] {
            let read = wait_or_describe(
                "a read after the return",
                || deployment.fetch_version(i),
                || deployment.describe_voters(),
            );
            assert_eq!(read, version, "controller {i}");
        }
    }
    wait_or_describe(
        "five voters",
        || deployment.all_vote().then_some(()),
        || deployment.describe_voters(),
    );
}
