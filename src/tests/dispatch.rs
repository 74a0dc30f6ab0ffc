//! Randomised tests of [`crate::dispatch`].

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

/// Slots of the single engine of each run.
const SLOTS: u32 = 6;

/// Maximum number of requests that routing sends to it: a quarter more than its
/// slots, so that it never waits for the next one.
const MAX_RUNNING: usize = 7;

/// Limit on concurrent requests of a route.
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

/// Stage of a request.
enum Progress {
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
    requests: BTreeMap<u64, (&'static str, Progress)>,
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
            8 => self.disconnect(&mut out),
            _ => {}
        }
        self.dispatcher.tick(self.now, &mut out);
        if self.dispatcher.due() <= self.now {
            let ask = self.dispatcher.share_request(self.now);
            // Some share requests are lost; shares expire and are granted anew.
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
        self.apply(out);
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
        self.requests.insert(id, (route, Progress::Parked));
        self.dispatcher.admit(self.now, admission, id, out);
    }

    fn pick(&mut self, matching: fn(&Progress) -> bool) -> Option<u64> {
        let found: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, (_, progress))| matching(progress))
            .map(|(id, _)| *id)
            .collect();
        (!found.is_empty()).then(|| found[self.rng.random_range(0..found.len())])
    }

    fn place(&mut self, out: &mut Vec<Notification<u64>>) {
        let Some(id) = self.pick(|p| matches!(p, Progress::Admitted(_))) else {
            return;
        };
        let Some((route, Progress::Admitted(permit))) = self.requests.remove(&id) else {
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
        self.requests.insert(id, (route, Progress::Waiting(permit)));
        self.dispatcher.place(self.now, placement, id, out);
    }

    fn finish(&mut self, out: &mut Vec<Notification<u64>>) {
        let Some(id) = self.pick(|p| matches!(p, Progress::Running(..))) else {
            return;
        };
        let Some((_, Progress::Running(permit, placed))) = self.requests.remove(&id) else {
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

    /// A caller disconnects at any stage; dropping what it held releases it.
    fn disconnect(&mut self, _out: &mut Vec<Notification<u64>>) {
        if let Some(id) = self.pick(|_| true) {
            self.dispatcher.cancel(id);
            self.requests.remove(&id);
        }
    }

    fn apply(&mut self, out: Vec<Notification<u64>>) {
        let seed = self.seed;
        for (id, decision) in out {
            let Some((route, progress)) = self.requests.remove(&id) else {
                panic!("seed {seed}: {id} got a decision after its end");
            };
            let next = match (progress, decision) {
                (Progress::Parked, Decision::Admitted(permit)) => Progress::Admitted(permit),
                (Progress::Parked, Decision::Denied(_) | Decision::Full(_) | Decision::Expired) => {
                    continue;
                }
                (Progress::Waiting(permit), Decision::Placed(placed)) => {
                    Progress::Running(permit, placed)
                }
                (Progress::Waiting(_), Decision::Unplaced(..)) => continue,
                (_, decision) => panic!("seed {seed}: {id} got {decision:?} in the wrong stage"),
            };
            self.requests.insert(id, (route, next));
        }
    }

    fn check(&self) {
        let seed = self.seed;
        let stages = || self.requests.values().map(|(_, progress)| progress);
        let running = stages()
            .filter(|p| matches!(p, Progress::Running(..)))
            .count();
        assert!(running <= MAX_RUNNING, "seed {seed}: {running} running");
        let waits = |p: &&Progress| matches!(p, Progress::Parked | Progress::Waiting(_));
        let queued = self.dispatcher.queued();
        assert_eq!(
            stages().filter(waits).count(),
            queued,
            "seed {seed}: queued"
        );
        for route in ROUTES {
            let held = self.requests.values().filter(|(r, _)| *r == route);
            let held = held.filter(|(_, p)| !matches!(p, Progress::Parked)).count();
            assert!(
                held <= CONCURRENT as usize,
                "seed {seed}: {held} in {route}"
            );
        }
    }
}

/// Callers arrive, wait and disconnect at any time, share requests are lost,
/// and the only engine disappears and returns. Each request must get each
/// decision once and in order, no limit or slot count may be exceeded, and no
/// slot may leak.
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
            "seed {seed}: slots leaked"
        );
    }
}
