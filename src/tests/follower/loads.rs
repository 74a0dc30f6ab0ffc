//! Loads on their way from entry instances over followers and the leader to other instances.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::{Fleet, LEADER, MANY, follower, restarted};
use crate::collections::HashMap;
use crate::sync::{Load, SyncRequest};
use crate::tests::at;
use crate::tests::roster::request;

fn load(engine: u64, requests: u32) -> Load {
    Load {
        engine,
        memory: 10 * requests,
        requests,
        first_hops: 0,
    }
}

/// Guards against loads that are sent though they are as before: at 6,000 engines with requests, ten
/// polls a second of nine followers took 11 MB a second at the leader, and as much in its replies.
#[rstest]
#[case::engines_300(300)]
#[case::engines_1000(1_000)]
#[case::engines_6000(6_000)]
fn loads_sent_by_change(#[case] engines: u64) {
    let mut fleet = Fleet::new(9, 3, MANY);
    let own = |instance: u64, requests| {
        let engines = (0..engines).filter(|e| e % 9 + 1 == instance);
        engines.map(|e| load(e, requests)).collect::<Vec<_>>()
    };
    for _ in 0..12 {
        for instance in 1..=9 {
            let ask = request(instance, own(instance, 1));
            fleet.ask(instance as usize - 1, ask).unwrap();
        }
        // All loads take a few seconds, since they are paced by the controller's link.
        fleet.now += 900;
        fleet.follow();
    }
    fleet.loads_sent = 0;
    // In a second, ten loads change each 50 ms.
    for step in 0..20 {
        fleet.now += 50;
        let instance = 1 + step % 9;
        let mut loads = own(instance, 1);
        loads
            .iter_mut()
            .take(10)
            .for_each(|l| l.requests += 1 + step as u32);
        fleet
            .ask(instance as usize - 1, request(instance, loads))
            .unwrap();
        fleet.follow();
    }
    // A change is sent once to the leader and once to each of nine followers.
    let changes = 20 * 10;
    assert!(
        fleet.loads_sent <= changes * 10,
        "{} loads",
        fleet.loads_sent
    );
    assert!(
        fleet.loads_sent >= changes * 9,
        "{} loads",
        fleet.loads_sent
    );
}

/// What happens to one poll of the leader.
struct Fate {
    arrives: bool,
    answered: bool,
}

/// A fleet whose instances have random loads.
struct World {
    fleet: Fleet,
    /// Follower, sequence number and loads of each instance.
    instances: Vec<(usize, u64, HashMap<u64, u32>)>,
    /// Requests of followers that arrive late, or twice.
    late: Vec<SyncRequest>,
    rng: ChaCha8Rng,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            fleet: Fleet::new(3, 30, MANY),
            instances: (0..6).map(|i| (i % 3, 0, HashMap::default())).collect(),
            late: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// An instance asks its follower. Returns the loads of the others that it is told.
    fn report(&mut self, instance: usize) -> Option<HashMap<u64, u32>> {
        let (which, sequence, loads) = &mut self.instances[instance];
        *sequence += 1;
        let ask = SyncRequest {
            sequence: *sequence,
            ..request(
                1 + instance as u64,
                loads.iter().map(|(e, n)| load(*e, *n)).collect(),
            )
        };
        let told = self.fleet.ask(*which, ask)?.work?.loads;
        assert!(told.iter().all(|l| l.memory == 10 * l.requests));
        Some(told.iter().map(|l| (l.engine, l.requests)).collect())
    }

    fn poll(&mut self, which: usize, fate: &Fate) {
        let now = at(self.fleet.now);
        self.fleet.leader.tick(now);
        let mut polling = std::mem::replace(&mut self.fleet.followers[which], follower(1));
        let (ask, report) = polling.request(now, LEADER);
        if !fate.arrives || self.rng.random_bool(0.1) {
            self.late.push(ask.clone());
        }
        let reply = match fate.arrives {
            true => self.fleet.ask_leader(ask),
            false => None,
        };
        let current = reply.filter(|_| fate.answered);
        if let Some(current) = current.and_then(|r| polling.check(r)) {
            polling.apply(now, &report, current);
        }
        self.fleet.followers[which] = polling;
    }

    /// Instances without load keep the leader delegating.
    fn report_idle(&mut self) {
        for instance in 1_000..1_000 + MANY {
            self.fleet.ask_leader(request(instance, Vec::new()));
        }
    }

    fn disturb(&mut self) {
        let which = self.rng.random_range(0..3);
        match self.rng.random_range(0..200) {
            0 => {
                self.fleet.elect(which);
                self.report_idle();
            }
            1 => self.fleet.followers[which] = restarted(90_001 + which as u64, self.fleet.now),
            2 => self.fleet.now += 2_100,
            3..6 => {
                let instance = self.rng.random_range(0..6);
                self.instances[instance].0 = which;
            }
            6..20 if !self.late.is_empty() => {
                let late = self.rng.random_range(0..self.late.len());
                let late = self.late.swap_remove(late);
                self.fleet.ask_leader(late);
            }
            20..120 => {
                let fate = Fate {
                    arrives: self.rng.random_bool(0.9),
                    answered: self.rng.random_bool(0.9),
                };
                self.poll(which, &fate);
            }
            _ => {
                let instance = self.rng.random_range(0..6);
                let (engine, requests) =
                    (self.rng.random_range(0..20), self.rng.random_range(0..4));
                let loads = &mut self.instances[instance].2;
                match requests {
                    0 => loads.remove(&engine),
                    _ => loads.insert(engine, requests),
                };
                self.report(instance);
            }
        }
    }

    /// Everything arrives for longer than a report is valid. Returns what each instance is told.
    fn settle(&mut self) -> Vec<HashMap<u64, u32>> {
        self.late.clear();
        let mut told = vec![HashMap::default(); 6];
        for _ in 0..12 {
            self.fleet.now += 200;
            self.report_idle();
            for which in [0, 1, 2, 0, 1, 2] {
                let fate = Fate {
                    arrives: true,
                    answered: true,
                };
                self.poll(which, &fate);
            }
            for (instance, told) in told.iter_mut().enumerate() {
                *told = self.report(instance).unwrap_or_default();
            }
        }
        told
    }
}

/// Guards against sums that stay wrong after polls were lost, late or doubled, after followers
/// restarted or fell silent, instances changed their follower, and leaders followed one another.
#[test]
fn loads_right_after_failures() {
    for seed in 0..40 {
        let mut world = World::new(seed);
        for round in 0..4 {
            for _ in 0..300 {
                world.fleet.now += world.rng.random_range(0..20);
                world.disturb();
            }
            let told = world.settle();
            for (instance, told) in told.into_iter().enumerate() {
                let mut others: HashMap<u64, u32> = HashMap::default();
                for (other, (_, _, loads)) in world.instances.iter().enumerate() {
                    for (engine, requests) in loads.iter().filter(|_| other != instance) {
                        *others.entry(*engine).or_default() += requests;
                    }
                }
                assert_eq!(told, others, "seed {seed}, round {round}, {instance}");
            }
        }
    }
}
