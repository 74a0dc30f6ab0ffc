//! Power failures of all voters while the stores of lost disks are being replaced.

use std::collections::BTreeSet;
use std::sync::Mutex;

use rand::RngExt;
use rstest::rstest;

use super::restored_copies::{each_seed, settled};
use super::{GROUPS, SECOND, Sim};
use crate::decide::members;
use crate::replica::{Membership, Replica};

/// Upper bound of the ticks between a leader's election and the second power failure.
const MAX_TICKS: u32 = 15;

/// What the voters that kept their disks can do after a power failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Remaining {
    /// They are a quorum of each membership that any of them knows.
    Quorum,
    /// They are a quorum of some of these memberships.
    Undecided,
    /// They are a quorum of none.
    NoQuorum,
}

/// Two different instances.
fn pick_two(sim: &mut Sim) -> [usize; 2] {
    let first = sim.pick();
    let others = sim.nodes.len() - 1;
    let second = (first + 1 + sim.rng.random_range(0..others)) % sim.nodes.len();
    [first, second]
}

/// Ends all instances at once and empties the disks of some. All start within 50 ms.
fn restart_all(sim: &mut Sim, lost: &[usize]) {
    for at in 0..sim.nodes.len() {
        sim.lose_power(at);
        sim.nodes[at].restart_at = sim.now + sim.rng.random_range(0..SECOND / 20);
    }
    lost.iter().for_each(|&at| sim.replace(at));
    while sim.nodes.iter().any(|n| n.core.is_none()) {
        sim.tick();
    }
}

fn replicas(sim: &Sim, group: u32) -> impl Iterator<Item = &Replica> {
    let cores = sim.nodes.iter().filter_map(|n| n.core.as_ref());
    cores.map(move |c| c.replica(group as usize))
}

fn remaining(sim: &Sim, group: u32) -> Remaining {
    let running: BTreeSet<_> = replicas(sim, group).map(Replica::me).collect();
    let members = replicas(sim, group).map(|r| r.log().members().1);
    let known = members.filter(|m| !m.is_bootstrapping());
    let has_quorum = |m: &Membership| m.quorum(|p| running.contains(&p));
    let verdicts: BTreeSet<bool> = known.map(has_quorum).collect();
    match (verdicts.contains(&true), verdicts.contains(&false)) {
        (true, false) => Remaining::Quorum,
        (true, true) => Remaining::Undecided,
        (false, _) => Remaining::NoQuorum,
    }
}

/// Lets some time pass while the stores of lost disks are replaced and commands are proposed.
fn replace_for(sim: &mut Sim, ticks: u32) {
    for _ in 0..ticks {
        for group in 0..GROUPS {
            if let Some(at) = sim.leader(group) {
                sim.propose(at, group);
            }
        }
        sim.tick();
        sim.run_operator();
    }
}

/// Asks all instances to read and to accept commands for ten seconds, and asserts that none leads
/// a group whose voters have lost their quorum.
fn assert_unavailable(sim: &mut Sim, lost: &[u32]) {
    for tick in 0..1000 {
        for &group in lost {
            assert_eq!(sim.leader(group), None, "a leader without a quorum");
            let at = tick % sim.nodes.len();
            sim.read(at, group);
            sim.propose(at, group);
        }
        sim.tick();
    }
}

/// Ends all voters at a random moment of the replacement of two lost disks, and loses these two
/// again or any two.
fn lose_again(seed: u64, tolerated: u32) -> Vec<Remaining> {
    let mut sim = settled(seed, 5);
    sim.required = members::required_voters(tolerated);
    let lost = pick_two(&mut sim);
    restart_all(&mut sim, &lost);
    sim.run_until("a leader", |s| s.leader(0).is_some());
    let ticks = sim.rng.random_range(0..MAX_TICKS);
    replace_for(&mut sim, ticks);
    let lost = if sim.chance(50) {
        lost
    } else {
        pick_two(&mut sim)
    };
    restart_all(&mut sim, &lost);
    let remaining: Vec<Remaining> = (0..GROUPS).map(|g| remaining(&sim, g)).collect();
    let groups = (0..GROUPS).zip(&remaining);
    let (mut kept, mut gone) = (Vec::new(), Vec::new());
    for (group, remaining) in groups {
        match remaining {
            Remaining::Quorum => kept.push(group),
            Remaining::Undecided => {}
            Remaining::NoQuorum => gone.push(group),
        }
    }
    let begin = sim.now;
    sim.run_until("leaders", |s| kept.iter().all(|&g| s.leader(g).is_some()));
    let took = (sim.now - begin) / 1000;
    assert!(took < 6_000, "leaders after {took} ms");
    if kept.len() == GROUPS as usize {
        sim.finish();
    } else {
        assert_unavailable(&mut sim, &gone);
    }
    remaining
}

/// Guards against voters that elect nobody though enough are left, that go on without a quorum and
/// lose what was acknowledged, or that don't replace all lost stores, when two more disks are lost
/// before two lost ones are replaced. The group may have more voters than the settings ask for.
#[rstest]
#[case::three_required(1)]
#[case::five_required(2)]
fn power_failure_during_replacement(#[case] tolerated: u32) {
    let seen = Mutex::new(BTreeSet::new());
    each_seed(|seed| {
        let remaining = lose_again(seed, tolerated);
        seen.lock().unwrap().extend(remaining);
    });
    let seen = seen.into_inner().unwrap();
    let both = [Remaining::Quorum, Remaining::NoQuorum];
    assert!(both.iter().all(|r| seen.contains(r)), "only {seen:?}");
}
