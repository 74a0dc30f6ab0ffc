//! Random runs of [`crate::dispatch`].

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::catalogue::{Class, Limits};
use crate::clock::Time;
use crate::dispatch::{Admission, Decision, Dispatcher, Notification, Placed, Placement};
use crate::id::{Incarnation, InstanceId};
use crate::limit::{Allocator, Permit};
use crate::route::{Outcome, Stage};

const RUNS: u64 = 40;
const STEPS: usize = 1200;

/// Places at the one engine of each run.
const SLOTS: u32 = 6;

/// Requests that routing lets run on it: a quarter more, so that the engine
/// never waits for the next one.
const MOST: usize = 7;

/// Requests of a route that may run at a time.
const CONCURRENT: u32 = 4;

const ROUTES: [&str; 3] = ["a", "b", "c"];

fn limits() -> Limits {
    Limits {
        requests: 1000,
        tokens: 1_000_000,
        concurrent: CONCURRENT,
        queued: 8,
    }
}

fn engine(now: Time) -> Stage {
    Stage {
        id: "e".into(),
        domain: "d".into(),
        pool: "p".into(),
        model: "m".into(),
        version: "1".into(),
        first: 0,
        end: 4,
        total: 4,
        rate: 1_000_000,
        slots: SLOTS,
        link: 10_000,
        running: 0,
        waiting: 0,
        leaving: false,
        reported: now,
    }
}

/// Where a request is.
enum Place {
    Parked,
    Admitted(Permit),
    Waiting(Permit),
    Running(Permit, Placed),
}

struct World {
    seed: u64,
    rng: ChaCha8Rng,
    now: Time,
    allocator: Allocator,
    dispatcher: Dispatcher<u64>,
    requests: BTreeMap<u64, (&'static str, Place)>,
    next: u64,
    ended: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut allocator = Allocator::new(Time(0));
        allocator.set_limits(ROUTES.map(|route| (route, limits())));
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time(0) + Duration::from_secs(10),
            allocator,
            dispatcher: Dispatcher::new(InstanceId(1), Incarnation(1), seed),
            requests: BTreeMap::new(),
            next: 0,
            ended: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(1..40));
        let mut out = Vec::new();
        match self.rng.random_range(0..12) {
            0..=3 => self.submit(&mut out),
            4 | 5 => self.place(&mut out),
            6 | 7 => self.finish(&mut out),
            8 => self.leave(&mut out),
            _ => {}
        }
        self.dispatcher.tick(self.now, &mut out);
        if self.dispatcher.due() <= self.now {
            let ask = self.dispatcher.share_request(self.now);
            // Some questions are lost; shares run out and come back.
            if self.rng.random_ratio(9, 10)
                && let Some(grant) = self.allocator.allocate(self.now, &ask)
            {
                self.dispatcher.grant(self.now, &grant, &mut out);
            }
        }
        if self.rng.random_ratio(1, 4) {
            let stages = [engine(self.now)];
            let seen = if self.rng.random_ratio(1, 20) { 0 } else { 1 };
            self.dispatcher
                .set_view(self.now, &stages[..seen], 1, &mut out);
        }
        self.hear(out);
        self.check();
    }

    fn submit(&mut self, out: &mut Vec<Notification<u64>>) {
        let id = self.next;
        self.next += 1;
        let route = ROUTES[self.rng.random_range(0..ROUTES.len())];
        let admission = Admission {
            id,
            route: route.into(),
            limits: limits(),
            tokens: 10,
            deadline: self.now + Duration::from_millis(self.rng.random_range(50..3000)),
        };
        self.requests.insert(id, (route, Place::Parked));
        self.dispatcher.admit(self.now, admission, id, out);
    }

    fn pick(&mut self, fits: fn(&Place) -> bool) -> Option<u64> {
        let found: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, (_, place))| fits(place))
            .map(|(id, _)| *id)
            .collect();
        (!found.is_empty()).then(|| found[self.rng.random_range(0..found.len())])
    }

    fn place(&mut self, out: &mut Vec<Notification<u64>>) {
        let Some(id) = self.pick(|p| matches!(p, Place::Admitted(_))) else {
            return;
        };
        let Some((route, Place::Admitted(permit))) = self.requests.remove(&id) else {
            unreachable!("picked as admitted");
        };
        let placement = Placement {
            id,
            route: route.into(),
            organisation: route.into(),
            class: Class::Standard,
            model: "m".into(),
            version: None,
            pools: vec!["p".to_owned()].into(),
            prompt: 4,
            expected: 6,
            prefix: None,
            exclude: Vec::new(),
            idempotent: true,
            resumed: self.rng.random_ratio(1, 5),
            deadline: self.now + Duration::from_millis(self.rng.random_range(50..3000)),
        };
        self.requests.insert(id, (route, Place::Waiting(permit)));
        self.dispatcher.place(self.now, placement, id, out);
    }

    fn finish(&mut self, out: &mut Vec<Notification<u64>>) {
        let Some(id) = self.pick(|p| matches!(p, Place::Running(..))) else {
            return;
        };
        let Some((_, Place::Running(permit, placed))) = self.requests.remove(&id) else {
            unreachable!("picked as running");
        };
        let outcome = Outcome::Done {
            token: Duration::from_millis(1),
        };
        self.dispatcher
            .finish(self.now, placed.receipt, outcome, 6, out);
        self.dispatcher.settle(self.now, permit, 10, out);
        self.ended += 1;
    }

    /// A caller leaves at any time; what it held is given back by its drop.
    fn leave(&mut self, _out: &mut Vec<Notification<u64>>) {
        if let Some(id) = self.pick(|_| true) {
            self.dispatcher.cancel(id);
            self.requests.remove(&id);
        }
    }

    fn hear(&mut self, out: Vec<Notification<u64>>) {
        let seed = self.seed;
        for (id, told) in out {
            let Some((route, place)) = self.requests.remove(&id) else {
                panic!("seed {seed}: {id} was told after its end");
            };
            let next = match (place, told) {
                (Place::Parked, Decision::Admitted(permit)) => Place::Admitted(permit),
                (Place::Parked, Decision::Denied(_) | Decision::Full(_) | Decision::Expired) => {
                    continue;
                }
                (Place::Waiting(permit), Decision::Placed(placed)) => {
                    Place::Running(permit, placed)
                }
                (Place::Waiting(_), Decision::Unplaced(..)) => continue,
                (_, told) => panic!("seed {seed}: {id} was told {told:?} out of turn"),
            };
            self.requests.insert(id, (route, next));
        }
    }

    fn check(&self) {
        let seed = self.seed;
        let places = || self.requests.values().map(|(_, place)| place);
        let running = places().filter(|p| matches!(p, Place::Running(..))).count();
        assert!(running <= MOST, "seed {seed}: {running} run");
        let waits = |p: &&Place| matches!(p, Place::Parked | Place::Waiting(_));
        let queued = self.dispatcher.queued();
        assert_eq!(
            places().filter(waits).count(),
            queued,
            "seed {seed}: queued"
        );
        for route in ROUTES {
            let held = self.requests.values().filter(|(r, _)| *r == route);
            let held = held.filter(|(_, p)| !matches!(p, Place::Parked)).count();
            assert!(
                held <= CONCURRENT as usize,
                "seed {seed}: {held} in {route}"
            );
        }
    }
}

/// Callers come, wait, leave at any time; questions for shares are lost and
/// the only engine goes and comes back. Each request must be told each thing
/// once and in turn, no limit or slot be passed, and nothing be left behind
/// that takes a place for ever.
#[test]
fn dispatch_random_requests() {
    for seed in 0..RUNS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        assert!(
            world.ended > STEPS / 20,
            "seed {seed}: {} ended",
            world.ended
        );
        let ids: Vec<u64> = world.requests.keys().copied().collect();
        for id in ids {
            world.dispatcher.cancel(id);
            world.requests.remove(&id);
        }
        world.check();
        let before = world.ended;
        for _ in 0..STEPS {
            world.step();
        }
        assert!(
            world.ended > before + STEPS / 20,
            "seed {seed}: places were lost"
        );
    }
}
