//! Data directories restored from a copy while the leader changes.

use std::panic::catch_unwind;

use rand::RngExt;
use rstest::rstest;

use super::disk::SimDisk;
use super::runs::{RUNS_VARIABLE, SEED_VARIABLE, number};
use super::scenarios::{advance, commit_commands, isolate};
use super::{SECOND, Sim};

/// Number of seeds of each case unless the environment names another.
const SEEDS: u64 = 40;

/// Runs a case for each seed, and reports the seeds that fail.
pub(super) fn each_seed(case: impl Fn(u64) + std::panic::RefUnwindSafe) {
    let fails = |seed: &u64| catch_unwind(|| case(*seed)).is_err();
    let (first, count) = (number(SEED_VARIABLE, 1), number(RUNS_VARIABLE, SEEDS));
    let failed: Vec<u64> = (first..first + count).filter(fails).collect();
    assert!(
        failed.is_empty(),
        "{} of {count} seeds fail: {failed:?}",
        failed.len()
    );
}

/// Starts instances that have committed some commands.
pub(super) fn settled(seed: u64, size: u64) -> Sim {
    let mut sim = Sim::new(seed, size);
    sim.run_until("healthy", Sim::is_healthy);
    commit_commands(&mut sim, 20);
    sim
}

/// Stops an instance and restarts it on another disk.
fn restart_on(sim: &mut Sim, at: usize, disk: SimDisk) {
    let node = &mut sim.nodes[at];
    node.core = None;
    node.inbox.clear();
    (node.disk, node.restart_at) = (disk, 0);
    (node.on_copy, node.catching_up) = (true, true);
}

/// Five instances, the leader first and the two to isolate last.
fn roles(sim: &Sim) -> [usize; 5] {
    let leader = sim.leader(0).unwrap();
    std::array::from_fn(|n| (leader + n) % 5)
}

/// Commits commands through the leader and two others while the last two are
/// isolated. Then pauses the leader, restarts the second instance on the disk that
/// `restore` makes of its copy and its current disk, and unblocks the links.
fn change_leader(seed: u64, restore: fn(SimDisk, &SimDisk) -> SimDisk) -> Sim {
    let mut sim = settled(seed, 5);
    let [leader, second, _, fourth, fifth] = roles(&sim);
    let copy = sim.nodes[second].disk.copy();
    isolate(&mut sim, fourth as u64 + 1);
    isolate(&mut sim, fifth as u64 + 1);
    commit_commands(&mut sim, 5);
    sim.nodes[leader].paused_until = sim.now + 20 * SECOND;
    let disk = restore(copy, &sim.nodes[second].disk);
    restart_on(&mut sim, second, disk);
    sim.blocked_links.clear();
    commit_commands(&mut sim, 5);
    sim
}

/// Guards against the loss of an acknowledged change: a voter is restored from a
/// copy of its latest run, and its vote helps a previously isolated voter to win.
#[test]
fn copy_of_latest_run_leader_changed() {
    each_seed(|seed| {
        change_leader(seed, |copy, _| copy).finish();
    });
}

/// The same with a damaged last frame of the voter's log, which looks like a torn
/// write.
#[test]
fn damaged_last_frame_leader_changed() {
    each_seed(|seed| {
        let damage = |_, disk: &SimDisk| {
            let disk = disk.copy();
            disk.flip_bit("log-", disk.size("log-") - 1);
            disk
        };
        change_leader(seed, damage).finish();
    });
}

/// The same if only unreachable voters saw the run after the copied one.
#[test]
fn copy_before_unseen_run_leader_changed() {
    each_seed(|seed| {
        let mut sim = settled(seed, 5);
        let [leader, second, _, fourth, fifth] = roles(&sim);
        let copy = sim.nodes[second].disk.copy();
        isolate(&mut sim, fourth as u64 + 1);
        isolate(&mut sim, fifth as u64 + 1);
        let disk = sim.nodes[second].disk.copy();
        restart_on(&mut sim, second, disk);
        sim.nodes[second].catching_up = false;
        advance(&mut sim, 5);
        commit_commands(&mut sim, 5);
        sim.nodes[leader].paused_until = sim.now + 20 * SECOND;
        restart_on(&mut sim, second, copy);
        sim.nodes[second].on_old_copy = true;
        sim.blocked_links.clear();
        commit_commands(&mut sim, 5);
        sim.finish();
    });
}

/// The same if the two voters without the changes were down, not isolated: they
/// query their peers at the same time as the copy.
#[test]
fn copy_among_restarted_voters() {
    each_seed(|seed| {
        let mut sim = settled(seed, 5);
        let [leader, second, _, fourth, fifth] = roles(&sim);
        let copy = sim.nodes[second].disk.copy();
        for at in [fourth, fifth] {
            sim.lose_power(at);
            sim.nodes[at].restart_at = u64::MAX;
        }
        commit_commands(&mut sim, 5);
        sim.nodes[leader].paused_until = sim.now + 20 * SECOND;
        restart_on(&mut sim, second, copy);
        sim.nodes[fourth].restart_at = 0;
        sim.nodes[fifth].restart_at = 0;
        commit_commands(&mut sim, 5);
        sim.finish();
    });
}

/// A voter on a copy that lacks entries of the previous leader must rejoin as a
/// voter.
#[test]
fn copy_under_next_leader() {
    each_seed(|seed| {
        let mut sim = settled(seed, 3);
        let leader = sim.leader(0).unwrap();
        let at = (leader + 1) % 3;
        let copy = sim.nodes[at].disk.copy();
        commit_commands(&mut sim, 5);
        sim.nodes[leader].paused_until = sim.now + 3 * SECOND;
        advance(&mut sim, 2);
        assert_ne!(sim.leader(0), Some(leader));
        sim.run_until("healthy", Sim::is_healthy);
        restart_on(&mut sim, at, copy);
        sim.finish();
    });
}

/// Guards against an election timeout in which nobody leads after all voters have returned from a
/// power failure.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn power_failure_leader_at_once(#[case] size: u64) {
    each_seed(|seed| {
        let mut sim = settled(seed, size);
        let begin = sim.now;
        for at in 0..sim.nodes.len() {
            sim.lose_power(at);
            sim.nodes[at].restart_at = begin + sim.rng.random_range(0..SECOND / 2);
        }
        let last = sim.nodes.iter().map(|n| n.restart_at).max().unwrap();
        sim.run_until("a leader", |s| s.leader(0).is_some());
        let took = sim.now.saturating_sub(last) / 1000;
        assert!(took < 150, "a leader {took} ms after the last start");
        sim.finish();
    });
}

/// All voters lose power and one disk is lost. The others must not wait for it
/// indefinitely.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn power_failure_with_lost_disk(#[case] size: u64) {
    each_seed(|seed| {
        let mut sim = settled(seed, size);
        let lost = sim.pick();
        (0..sim.nodes.len()).for_each(|at| sim.lose_power(at));
        sim.nodes[lost].restart_at = u64::MAX;
        let begin = sim.now;
        sim.run_until("a leader", |s| s.leader(0).is_some());
        let took = (sim.now - begin) / 1000;
        assert!(took < 6_000, "a leader after {took} ms");
        commit_commands(&mut sim, 5);
        sim.replace(lost);
        sim.nodes[lost].restart_at = 0;
        sim.finish();
    });
}
