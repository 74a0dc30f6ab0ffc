//! Single failures, told in order.

use super::{SECOND, Sim, TICK};
use crate::replica::{Body, Hello, Replica, Vote};
use crate::voter::core::Input;
use crate::{Change, Message, Peer, Role};

/// Three instances that have accepted some commands.
fn three(seed: u64) -> Sim {
    let mut sim = Sim::new(seed, 3);
    sim.until("whole", Sim::is_whole);
    work(&mut sim, 100);
    sim
}

/// Has some commands accepted in group 0 by a leader that isn't frozen.
pub(super) fn work(sim: &mut Sim, count: usize) {
    let goal = sim.ledger.lock().acked() + count;
    let limit = sim.now + 60 * SECOND;
    while sim.ledger.lock().acked() < goal {
        assert!(sim.now < limit, "accepts commands within a minute");
        let leader = sim.leader(0);
        if let Some(at) = leader.filter(|&at| sim.nodes[at].frozen <= sim.now) {
            sim.propose(at, 0);
        }
        sim.tick();
    }
}

/// The instance that doesn't lead group 0, and another one.
fn followers(sim: &Sim) -> (usize, usize) {
    let leader = sim.leader(0).unwrap();
    ((leader + 1) % 3, (leader + 2) % 3)
}

/// Group 0 of an instance that runs.
fn replica(sim: &Sim, at: usize) -> &Replica {
    sim.nodes[at].core.as_ref().unwrap().replica(0)
}

/// Cuts all links between one instance and the others.
pub(super) fn isolate(sim: &mut Sim, id: u64) {
    for other in 1..=sim.nodes.len() as u64 {
        sim.cut.insert((id, other));
        sim.cut.insert((other, id));
    }
}

fn role(sim: &Sim, at: usize) -> Option<Role> {
    let members = replica(sim, sim.leader(0)?).log().members().1;
    let (id, store) = (sim.nodes[at].id, sim.nodes[at].store);
    members.role(Peer { id, store })
}

#[test]
fn replace_then_lose_second() {
    // An instance loses its disk and is replaced by an empty one. Right after
    // the repair a second instance loses its disk. An operator must still see
    // every accepted change: the newcomer must hold them all before it votes.
    for seed in 1..=5 {
        let mut sim = three(seed);
        let (first, second) = followers(&sim);
        sim.replace(first);
        sim.until("settled", Sim::is_settled);
        sim.replace(second);
        sim.finish();
    }
}

#[test]
fn found_with_wiped_founder() {
    // While the groups form, the first leader's disk is lost and comes back
    // empty. Were a majority enough to found, two of three could found again
    // and drop what the others had accepted.
    for seed in 1..=20 {
        let mut sim = Sim::new(seed, 3);
        sim.until("a leader", |s| s.leader(0).is_some());
        let at = sim.leader(0).unwrap();
        sim.propose(at, 0);
        sim.tick();
        sim.replace(at);
        sim.finish();
    }
}

#[test]
fn roll_back_latest_run() {
    // A folder is put back from a copy of its latest run, taken while it ran.
    // No peer can tell the run apart, but the leader knows that the store had
    // acknowledged more than it holds now, and takes its vote away.
    let mut sim = three(3);
    let (at, _) = followers(&sim);
    let copy = sim.nodes[at].disk.copy();
    work(&mut sim, 5);
    sim.until("whole", Sim::is_whole);
    sim.nodes[at].core = None;
    sim.nodes[at].disk = copy;
    sim.until("barred", |s| role(s, at) == Some(Role::Barred));
    sim.replace(at);
    sim.finish();
}

#[test]
fn roll_back_earlier_run() {
    // A folder is put back from a copy of an earlier run. Its peers refuse
    // it, and the process ends with an error that names the remedy, however
    // often it starts.
    let mut sim = three(4);
    let (at, _) = followers(&sim);
    let copy = sim.nodes[at].disk.copy();
    for _ in 0..2 {
        sim.lose_power(at);
        sim.until("known", |s| s.is_run_known(at));
    }
    let store = sim.nodes[at].store;
    sim.nodes[at].core = None;
    (sim.nodes[at].disk, sim.nodes[at].stale) = (copy, true);
    sim.until("replaced", |s| s.nodes[at].store != store && s.is_settled());
    sim.finish();
}

#[test]
fn sleep_through_snapshot() {
    // An instance sleeps while the others take snapshots and drop the entries
    // it needs. It must catch up from a snapshot, without an election.
    let mut sim = three(5);
    let (at, _) = followers(&sim);
    let term = replica(&sim, at).term();
    sim.nodes[at].frozen = u64::MAX;
    work(&mut sim, 200);
    sim.nodes[at].frozen = 0;
    let goal = replica(&sim, sim.leader(0).unwrap()).commit();
    sim.until("caught up", |s| replica(s, at).applied() >= goal);
    assert_eq!(replica(&sim, at).term(), term);
    assert!(replica(&sim, at).log().snapshot().index > 200);
    sim.finish();
}

#[test]
fn cut_off_leader() {
    // The leader loses both links. Its clients must not see a change accepted
    // or a read confirmed there, and it must give up by itself.
    let mut sim = three(6);
    let leader = sim.leader(0).unwrap();
    let id = sim.nodes[leader].id;
    isolate(&mut sim, id);
    let before = sim.ledger.lock().done();
    sim.propose(leader, 0);
    sim.read(leader, 0);
    sim.until("another leader", |s| {
        s.leader(0).is_some_and(|at| at != leader)
    });
    assert!(!replica(&sim, leader).is_leader());
    assert_eq!(sim.ledger.lock().done(), before);
    sim.finish();
}

#[test]
fn transfer_without_timeout() {
    // An instance shuts down gracefully. Clients must not wait an election
    // timeout for the next leader.
    let mut sim = three(7);
    let old = sim.leader(0).unwrap();
    let begin = sim.now;
    sim.run(old, vec![Input::Transfer]);
    sim.until("another leader", |s| {
        s.leader(0).is_some_and(|at| at != old)
    });
    assert!(sim.now - begin <= 10 * TICK, "took {} us", sim.now - begin);
    sim.finish();
}

#[test]
fn hear_no_leader() {
    // The link from the leader to one instance is cut, in one direction only.
    // Clients must not notice: the others hear the leader, so the instance
    // that doesn't can't depose it.
    let mut sim = three(8);
    let leader = sim.leader(0).unwrap();
    let term = replica(&sim, leader).term();
    let (deaf, _) = followers(&sim);
    let link = (sim.nodes[leader].id, sim.nodes[deaf].id);
    sim.cut.insert(link);
    rest(&mut sim, 5);
    assert_eq!(sim.leader(0), Some(leader));
    assert_eq!(replica(&sim, leader).term(), term);
    sim.finish();
}

#[test]
fn come_back_from_isolation() {
    // An instance is cut off for a while and comes back. It must not have
    // raised its term meanwhile, which would depose the leader.
    let mut sim = three(9);
    let leader = sim.leader(0).unwrap();
    let term = replica(&sim, leader).term();
    let (lone, _) = followers(&sim);
    let id = sim.nodes[lone].id;
    isolate(&mut sim, id);
    rest(&mut sim, 5);
    sim.cut.clear();
    rest(&mut sim, 5);
    assert!(replica(&sim, leader).is_leader());
    assert_eq!(replica(&sim, leader).term(), term);
    sim.finish();
}

#[test]
fn add_silent_store() {
    // An operator adds a store that never answers, then an instance stops. If
    // the newcomer counted before it has caught up, two of four would be no
    // quorum, and clients could change nothing.
    let mut sim = three(10);
    let leader = sim.leader(0).unwrap();
    let change = Change::Add(Peer { id: 9, store: 99 });
    sim.change(leader, 0, change);
    rest(&mut sim, 2);
    let (stopped, _) = followers(&sim);
    sim.nodes[stopped].frozen = u64::MAX;
    rest(&mut sim, 2);
    work(&mut sim, 5);
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

pub(super) fn rest(sim: &mut Sim, seconds: u64) {
    let end = sim.now + seconds * SECOND;
    while sim.now < end {
        sim.tick();
    }
}

#[test]
fn hear_later_run() {
    // A peer restarts and talks at once, and the power of the hearer fails
    // before it has noted the new run. Had it answered, it could have counted
    // a vote of that run, and count one of an old copy after its own restart.
    let mut sim = three(11);
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
    sim.nodes[at].disk.light(0);
    let mut answers = 0;
    let now = sim.local(at);
    let core = sim.nodes[at].core.as_mut().unwrap();
    let outcome = core.run(now, [hello, vote], &mut |m| {
        answers += u32::from(m.to_store == store)
    });
    assert!(outcome.is_err());
    assert_eq!(answers, 0);
}
