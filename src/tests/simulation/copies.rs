//! Data folders put back from a copy while the leader changes.

use std::panic::catch_unwind;

use rstest::rstest;

use super::disk::SimDisk;
use super::stories::{isolate, rest, work};
use super::{SECOND, Sim};

/// Seeds of each case.
const SEEDS: u64 = 40;

/// Runs a case for each seed, and names those that fail.
fn each_seed(case: impl Fn(u64) + std::panic::RefUnwindSafe) {
    let fails = |seed: &u64| catch_unwind(|| case(*seed)).is_err();
    let failed: Vec<u64> = (1..=SEEDS).filter(fails).collect();
    assert!(
        failed.is_empty(),
        "{} of {SEEDS} seeds fail: {failed:?}",
        failed.len()
    );
}

/// Instances that have accepted some commands.
fn settled(seed: u64, size: u64) -> Sim {
    let mut sim = Sim::new(seed, size);
    sim.until("whole", Sim::is_whole);
    work(&mut sim, 20);
    sim
}

/// Ends an instance and starts it on another disk.
fn restart_on(sim: &mut Sim, at: usize, disk: SimDisk) {
    let node = &mut sim.nodes[at];
    node.core = None;
    node.inbox.clear();
    (node.disk, node.start) = (disk, 0);
    (node.copied, node.behind) = (true, true);
}

/// Five instances with the leader first and the two that get cut off last.
fn roles(sim: &Sim) -> [usize; 5] {
    let leader = sim.leader(0).unwrap();
    std::array::from_fn(|n| (leader + n) % 5)
}

/// Has commands accepted by the leader and two others while the last two are
/// cut off, then freezes the leader, starts the second instance on the disk
/// that `put_back` makes of its copy and of its present one, and heals the cuts.
fn change_leader(seed: u64, put_back: fn(SimDisk, &SimDisk) -> SimDisk) -> Sim {
    let mut sim = settled(seed, 5);
    let [leader, second, _, fourth, fifth] = roles(&sim);
    let copy = sim.nodes[second].disk.copy();
    isolate(&mut sim, fourth as u64 + 1);
    isolate(&mut sim, fifth as u64 + 1);
    work(&mut sim, 5);
    sim.nodes[leader].frozen = sim.now + 20 * SECOND;
    let disk = put_back(copy, &sim.nodes[second].disk);
    restart_on(&mut sim, second, disk);
    sim.cut.clear();
    work(&mut sim, 5);
    sim
}

/// An acknowledged change is replaced by another one when a voter is put back
/// on a copy of its latest run and helps the voters that were cut off to elect.
#[test]
fn copy_of_latest_run_leader_changed() {
    each_seed(|seed| {
        change_leader(seed, |copy, _| copy).finish();
    });
}

/// The same when the last frame of the voter's log is damaged, which looks like
/// a torn write.
#[test]
fn damaged_last_frame_leader_changed() {
    each_seed(|seed| {
        let damage = |_, disk: &SimDisk| {
            let disk = disk.copy();
            disk.flip("log-", disk.size("log-") - 1);
            disk
        };
        change_leader(seed, damage).finish();
    });
}

/// The same when only voters that are away saw the run after the copied one.
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
        sim.nodes[second].behind = false;
        rest(&mut sim, 5);
        work(&mut sim, 5);
        sim.nodes[leader].frozen = sim.now + 20 * SECOND;
        restart_on(&mut sim, second, copy);
        sim.nodes[second].stale = true;
        sim.cut.clear();
        work(&mut sim, 5);
        sim.finish();
    });
}

/// The same when the two that missed the changes were down, not cut off: they
/// ask themselves when the copy does.
#[test]
fn copy_among_restarted_voters() {
    each_seed(|seed| {
        let mut sim = settled(seed, 5);
        let [leader, second, _, fourth, fifth] = roles(&sim);
        let copy = sim.nodes[second].disk.copy();
        for at in [fourth, fifth] {
            sim.lose_power(at);
            sim.nodes[at].start = u64::MAX;
        }
        work(&mut sim, 5);
        sim.nodes[leader].frozen = sim.now + 20 * SECOND;
        restart_on(&mut sim, second, copy);
        sim.nodes[fourth].start = 0;
        sim.nodes[fifth].start = 0;
        work(&mut sim, 5);
        sim.finish();
    });
}

/// A voter on a copy is a voter again once the others have told it what it
/// missed under the leader before.
#[test]
fn copy_under_next_leader() {
    each_seed(|seed| {
        let mut sim = settled(seed, 3);
        let leader = sim.leader(0).unwrap();
        let at = (leader + 1) % 3;
        let copy = sim.nodes[at].disk.copy();
        work(&mut sim, 5);
        sim.nodes[leader].frozen = sim.now + 3 * SECOND;
        rest(&mut sim, 2);
        assert_ne!(sim.leader(0), Some(leader));
        sim.until("whole", Sim::is_whole);
        restart_on(&mut sim, at, copy);
        sim.finish();
    });
}

/// All voters lose power and one disk is lost. The others must not wait for it
/// for ever.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn power_failure_with_lost_disk(#[case] size: u64) {
    each_seed(|seed| {
        let mut sim = settled(seed, size);
        let lost = sim.pick();
        (0..sim.nodes.len()).for_each(|at| sim.lose_power(at));
        sim.nodes[lost].start = u64::MAX;
        let begin = sim.now;
        sim.until("a leader", |s| s.leader(0).is_some());
        let took = (sim.now - begin) / 1000;
        assert!(took < 6_000, "a leader after {took} ms");
        work(&mut sim, 5);
        sim.replace(lost);
        sim.nodes[lost].start = 0;
        sim.finish();
    });
}
