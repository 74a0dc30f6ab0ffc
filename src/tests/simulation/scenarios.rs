//! Scenarios of single failures.

use super::{SECOND, Sim, TICK};
use crate::replica::{Body, Hello, Replica, Vote};
use crate::voter::core::Input;
use crate::{Change, Message, Peer, Role};

/// Starts three instances that have committed some commands.
fn cluster_of_three(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3);
    sim.run_until("healthy", Sim::is_healthy);
    commit_commands(&mut sim, 100);
    sim
}

/// Commits some commands in group 0 through a leader that isn't paused.
pub(super) fn commit_commands(sim: &mut Sim, count: usize) {
    let goal = sim.checker.lock().acknowledged() + count;
    let limit = sim.now + 60 * SECOND;
    while sim.checker.lock().acknowledged() < goal {
        assert!(sim.now < limit, "accepts commands within a minute");
        let leader = sim.leader(0);
        if let Some(at) = leader.filter(|&at| sim.nodes[at].paused_until <= sim.now) {
            sim.propose(at, 0);
        }
        sim.tick();
    }
}

/// The two instances that don't lead group 0.
fn followers(sim: &Sim) -> (usize, usize) {
    let leader = sim.leader(0).unwrap();
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// The replica of group 0 on a running instance.
fn replica(sim: &Sim, at: usize) -> &Replica {
    sim.nodes[at].core.as_ref().unwrap().replica(0)
}

/// Blocks all links between one instance and the others.
pub(super) fn isolate(sim: &mut Sim, id: u64) {
    for other in 1..=sim.nodes.len() as u64 {
        sim.blocked_links.insert((id, other));
        sim.blocked_links.insert((other, id));
    }
}

fn role(sim: &Sim, at: usize) -> Option<Role> {
    let members = replica(sim, sim.leader(0)?).log().members().1;
    let (id, store) = (sim.nodes[at].id, sim.nodes[at].store);
    members.role(Peer { id, store })
}

#[test]
fn replace_then_lose_second() {
    // An instance loses its disk and restarts with an empty one. Right after it
    // has become a voter, a second instance loses its disk. Each accepted change
    // must survive: the new store must hold them all before it votes.
    for seed in 1..=5 {
        let mut sim = cluster_of_three(seed);
        let (first, second) = followers(&sim);
        sim.replace(first);
        sim.run_until("settled", Sim::is_settled);
        sim.replace(second);
        sim.finish();
    }
}

#[test]
fn bootstrap_with_wiped_voter() {
    // During bootstrap, the first leader loses its disk. If a majority were enough
    // to bootstrap, two of three could bootstrap again and drop changes that the
    // others had accepted.
    for seed in 1..=20 {
        let mut sim = Sim::new(seed, 3);
        sim.run_until("a leader", |s| s.leader(0).is_some());
        let at = sim.leader(0).unwrap();
        sim.propose(at, 0);
        sim.tick();
        sim.replace(at);
        sim.finish();
    }
}

#[test]
fn roll_back_latest_run() {
    // A directory is restored from a copy of its latest run, taken while it ran.
    // No peer can detect the copy by its run, but the leader knows that the store
    // had acknowledged more entries than it holds now, and bars it.
    let mut sim = cluster_of_three(3);
    let (at, _) = followers(&sim);
    let copy = sim.nodes[at].disk.copy();
    commit_commands(&mut sim, 5);
    sim.run_until("healthy", Sim::is_healthy);
    sim.nodes[at].core = None;
    sim.nodes[at].disk = copy;
    sim.run_until("barred", |s| role(s, at) == Some(Role::Barred));
    sim.replace(at);
    sim.finish();
}

#[test]
fn roll_back_earlier_run() {
    // A directory is restored from a copy of an earlier run. Its peers reject it,
    // and the process exits with an error and a remedy, however often it starts.
    let mut sim = cluster_of_three(4);
    let (at, _) = followers(&sim);
    let copy = sim.nodes[at].disk.copy();
    for _ in 0..2 {
        sim.lose_power(at);
        sim.run_until("known", |s| s.is_run_known(at));
    }
    let store = sim.nodes[at].store;
    sim.nodes[at].core = None;
    (sim.nodes[at].disk, sim.nodes[at].on_old_copy) = (copy, true);
    sim.run_until("replaced", |s| s.nodes[at].store != store && s.is_settled());
    sim.finish();
}

#[test]
fn pause_through_snapshot() {
    // An instance is paused while the others take snapshots and drop the entries
    // that it lacks. It must catch up from a snapshot, without an election.
    let mut sim = cluster_of_three(5);
    let (at, _) = followers(&sim);
    let term = replica(&sim, at).term();
    sim.nodes[at].paused_until = u64::MAX;
    commit_commands(&mut sim, 200);
    sim.nodes[at].paused_until = 0;
    let goal = replica(&sim, sim.leader(0).unwrap()).commit();
    sim.run_until("caught up", |s| replica(s, at).applied() >= goal);
    assert_eq!(replica(&sim, at).term(), term);
    assert!(replica(&sim, at).log().snapshot().index > 200);
    sim.finish();
}

#[test]
fn cut_off_leader() {
    // The leader loses both links. It must not accept a change or confirm a read,
    // and must step down by itself.
    let mut sim = cluster_of_three(6);
    let leader = sim.leader(0).unwrap();
    let id = sim.nodes[leader].id;
    isolate(&mut sim, id);
    let before = sim.checker.lock().done();
    sim.propose(leader, 0);
    sim.read(leader, 0);
    sim.run_until("another leader", |s| {
        s.leader(0).is_some_and(|at| at != leader)
    });
    assert!(!replica(&sim, leader).is_leader());
    assert_eq!(sim.checker.lock().done(), before);
    sim.finish();
}

#[test]
fn transfer_without_timeout() {
    // The leader shuts down gracefully. Callers must not wait an election timeout
    // for the next leader.
    let mut sim = cluster_of_three(7);
    let old_copy = sim.leader(0).unwrap();
    let begin = sim.now;
    sim.run(old_copy, vec![Input::Transfer]);
    sim.run_until("another leader", |s| {
        s.leader(0).is_some_and(|at| at != old_copy)
    });
    assert!(sim.now - begin <= 10 * TICK, "took {} us", sim.now - begin);
    sim.finish();
}

#[test]
fn leader_unreachable_one_way() {
    // The link from the leader to one instance is blocked in one direction. The
    // instance must not depose the leader, which the others can still reach.
    let mut sim = cluster_of_three(8);
    let leader = sim.leader(0).unwrap();
    let term = replica(&sim, leader).term();
    let (follower, _) = followers(&sim);
    let link = (sim.nodes[leader].id, sim.nodes[follower].id);
    sim.blocked_links.insert(link);
    advance(&mut sim, 5);
    assert_eq!(sim.leader(0), Some(leader));
    assert_eq!(replica(&sim, leader).term(), term);
    sim.finish();
}

#[test]
fn reconnect_after_isolation() {
    // An instance is isolated for a while. It must not raise its term meanwhile,
    // since that would depose the leader when it is connected again.
    let mut sim = cluster_of_three(9);
    let leader = sim.leader(0).unwrap();
    let term = replica(&sim, leader).term();
    let (follower, _) = followers(&sim);
    let id = sim.nodes[follower].id;
    isolate(&mut sim, id);
    advance(&mut sim, 5);
    sim.blocked_links.clear();
    advance(&mut sim, 5);
    assert!(replica(&sim, leader).is_leader());
    assert_eq!(replica(&sim, leader).term(), term);
    sim.finish();
}

#[test]
fn add_silent_store() {
    // An operator adds a store that never answers, then an instance stops. If the
    // new store counted before it has caught up, two of four would be no quorum,
    // and no change could be committed.
    let mut sim = cluster_of_three(10);
    let leader = sim.leader(0).unwrap();
    let change = Change::Add(Peer { id: 9, store: 99 });
    sim.change(leader, 0, change);
    advance(&mut sim, 2);
    let (stopped, _) = followers(&sim);
    sim.nodes[stopped].paused_until = u64::MAX;
    advance(&mut sim, 2);
    commit_commands(&mut sim, 5);
    let members = &sim.nodes[sim.leader(0).unwrap()]
        .core
        .as_ref()
        .unwrap()
        .status()[0]
        .members;
    assert!(
        members
            .iter()
            .any(|m| m.id == 9 && m.role() == Role::Learner)
    );
}

pub(super) fn advance(sim: &mut Sim, seconds: u64) {
    let end = sim.now + seconds * SECOND;
    while sim.now < end {
        sim.tick();
    }
}

#[test]
fn later_run_before_record() {
    // A peer restarts and sends messages at once, and the receiver's power fails
    // before it has recorded the new run. Had it answered, it could have counted a
    // vote of that run, and one of an old copy after its own restart.
    let mut sim = cluster_of_three(11);
    let (at, other) = followers(&sim);
    let store = sim.nodes[other].store;
    let core = sim.nodes[at].core.as_mut().unwrap();
    let (boot, run) = core.known_run(store).unwrap();
    let message = |body| {
        Input::Message(Message {
            from: other as u64 + 1,
            from_store: store,
            to: at as u64 + 1,
            boot: boot + 1,
            run: run ^ 1,
            body: Some(body),
            ..Message::default()
        })
    };
    let hello = message(Body::Hello(Hello { runs: vec![run] }));
    let vote = message(Body::Vote(Vote::default()));
    sim.nodes[at].disk.fail_power_after(0);
    let mut answers = 0;
    let now = sim.local(at);
    let core = sim.nodes[at].core.as_mut().unwrap();
    let outcome = core.run(now, [hello, vote], &mut |m| {
        answers += u32::from(m.to_store == store)
    });
    assert!(outcome.is_err());
    assert_eq!(answers, 0);
}
