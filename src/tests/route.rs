//! Tests of [`crate::route`].

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::clock::Time;
use crate::id::UpstreamId;
use crate::route::{
    Choice, FlowShares, GreedyCheapest, LeastInFlight, NoPathReason, Outcome, Policy, Query,
    RoundRobin, Router, Stage,
};

fn stage(id: &str, first: u32, end: u32, rate: u32) -> Stage {
    Stage {
        id: id.into(),
        domain: "a".into(),
        pool: "p".into(),
        model: "m".into(),
        version: "1".into(),
        first,
        end,
        total: 32,
        rate,
        slots: 16,
        link: 10_000,
        running: 0,
        waiting: 0,
        leaving: false,
        reported: Time(0),
    }
}

fn pools() -> Vec<String> {
    vec!["p".to_owned()]
}

fn ids(choice: &Choice) -> Vec<&str> {
    choice.hops.iter().map(|h| &*h.upstream.0).collect()
}

/// Outcome of a request: failed at its first engine, or done.
fn outcome(failed: bool) -> Outcome {
    if failed {
        return Outcome::Failed { stage: 0 };
    }
    let token = Duration::from_millis(5);
    Outcome::Done { token }
}

#[test]
fn choose_overlapping_ranges() {
    let mut router = Router::new(1);
    router.set_view(Time(0), &[stage("a", 0, 20, 100), stage("b", 16, 32, 100)]);
    let pools = pools();
    let choice = router.choose(Time(0), &Query::new("m", &pools)).unwrap();
    let ranges: Vec<_> = choice.hops.iter().map(|h| (h.first, h.end)).collect();
    assert_eq!(ranges, [(0, 20), (20, 32)]);
}

/// The view is empty for a moment, as after a frozen instance resumes, and the
/// same engines return. If routing kept the plan of the empty view, callers
/// would get "no upstream" until something else changed.
#[test]
fn choose_after_empty_view() {
    let mut router = Router::new(1);
    let stages = [stage("a", 0, 16, 100), stage("b", 16, 32, 100)];
    let pools = pools();
    let query = Query::new("m", &pools);
    router.set_view(Time(0), &stages);
    drop(router.choose(Time(0), &query).unwrap());
    router.set_view(Time(1), &[]);
    assert!(router.choose(Time(1), &query).is_err());
    router.set_view(Time(2), &stages);
    assert!(
        router.choose(Time(2), &query).is_ok(),
        "the plan stayed empty"
    );
}

#[test]
fn choose_missing_layer() {
    let mut router = Router::new(1);
    router.set_view(Time(0), &[stage("a", 0, 15, 100), stage("b", 16, 32, 100)]);
    let pools = pools();
    let err = router
        .choose(Time(0), &Query::new("m", &pools))
        .unwrap_err();
    assert_eq!(err.reason, NoPathReason::Missing);
}

#[rstest]
#[case::by_slots(1000, 16..=20)]
#[case::by_pace(100, 8..=8)]
fn choose_full(#[case] rate: u32, #[case] most: std::ops::RangeInclusive<usize>) {
    let mut router = Router::new(1);
    router.set_view(Time(0), &[stage("a", 0, 32, rate)]);
    let pools = pools();
    let mut held = Vec::new();
    let err = loop {
        match router.choose(Time(0), &Query::new("m", &pools)) {
            Ok(choice) => held.push(choice),
            Err(err) => break err,
        }
    };
    assert_eq!(err.reason, NoPathReason::Full);
    assert!(most.contains(&held.len()), "{} held", held.len());
    drop(held.pop());
    assert!(router.choose(Time(0), &Query::new("m", &pools)).is_ok());
}

#[test]
fn choose_versions_unmixed() {
    let mut router = Router::new(1);
    let mut other = stage("b", 16, 32, 100);
    other.version = "2".into();
    router.set_view(Time(0), &[stage("a", 0, 16, 100), other]);
    let pools = pools();
    let err = router
        .choose(Time(0), &Query::new("m", &pools))
        .unwrap_err();
    assert_eq!(err.reason, NoPathReason::Missing);
}

#[test]
fn choose_cached_prefix() {
    let mut router = Router::new(1);
    let all: Vec<_> = (0..20)
        .map(|i| stage(&format!("e{i}"), 0, 32, 400))
        .collect();
    router.set_view(Time(0), &all);
    let pools = pools();
    let query = Query {
        prompt: 4000,
        expected: 10,
        prefix: Some(7),
        ..Query::new("m", &pools)
    };
    let first = router.choose(Time(0), &query).unwrap();
    let engine = ids(&first)[0].to_owned();
    let token = Duration::from_millis(2);
    router.finish(Time(1), first.ticket, Outcome::Done { token });
    for _ in 0..5 {
        let next = router.choose(Time(2), &query).unwrap();
        assert_eq!(ids(&next), [engine.as_str()]);
    }
}

/// The bottleneck is the second half of the layers. Both equal groups of
/// engines of the first half must be used, although a maximum flow may leave
/// one idle.
#[test]
fn choose_spreads_over_idle_groups() {
    let mut router = Router::new(1);
    let view = [
        stage("a", 0, 16, 400),
        stage("b", 0, 17, 400),
        stage("c", 16, 32, 400),
    ];
    router.set_view(Time(0), &view);
    let pools = pools();
    assert_eq!(router.bound(Time(0), "m", &pools), 400.0);
    let query = Query::new("m", &pools);
    let mut used = [0, 0];
    for _ in 0..200 {
        let choice = router.choose(Time(0), &query).unwrap();
        used[usize::from(ids(&choice)[0] == "b")] += 1;
    }
    assert!(used.iter().all(|&n| n > 60), "{used:?}");
}

/// One engine of five is ten times slower than its peers without reporting
/// load, and would slow down every fifth answer. The router must detect and
/// eject it, and use it again once it has recovered.
#[test]
fn finish_slow_engine_ejected_and_probed_back() {
    let mut router = Router::new(3);
    let all: Vec<_> = (0..5)
        .map(|i| stage(&format!("e{i}"), 0, 32, 400))
        .collect();
    let pools = pools();
    let slow = UpstreamId::from("e2");
    let mut now = Time(0);
    let run = |router: &mut Router, now: &mut Time, millis: u64, rounds: usize| {
        let mut used = 0;
        for i in 0..rounds {
            *now = *now + Duration::from_millis(10);
            if i % 10 == 0 {
                router.set_view(*now, &all);
            }
            let choice = router.choose(*now, &Query::new("m", &pools)).unwrap();
            let hit = choice.hops[0].upstream == slow;
            used += usize::from(hit);
            let token = Duration::from_millis(if hit { millis } else { 5 });
            router.finish(*now, choice.ticket, Outcome::Done { token });
        }
        used
    };
    run(&mut router, &mut now, 50, 300);
    assert!(router.is_ejected(now, &slow));
    assert_eq!(run(&mut router, &mut now, 50, 50), 0);
    let after = run(&mut router, &mut now, 5, 4000);
    assert!(after > 400, "{after} uses after it recovered");
}

/// All engines fail. The cap on ejections keeps most of them in use: if all
/// were ejected, the instance would refuse every request, although the cause
/// may be its own network.
#[test]
fn finish_all_fail_capped() {
    let mut router = Router::new(3);
    let all: Vec<_> = (0..10)
        .map(|i| stage(&format!("e{i}"), 0, 32, 400))
        .collect();
    router.set_view(Time(0), &all);
    let pools = pools();
    for _ in 0..300 {
        let choice = router.choose(Time(0), &Query::new("m", &pools)).unwrap();
        router.finish(Time(0), choice.ticket, Outcome::Failed { stage: 0 });
    }
    let out = all.iter().filter(|s| router.is_ejected(Time(0), &s.id));
    assert_eq!(out.count(), 4);
}

/// A failure domain with four of twelve engines is lost, and every request sent
/// there fails. The router must not need three failures of each engine.
#[test]
fn finish_lost_domain() {
    let mut router = Router::new(3);
    let mut all: Vec<_> = (0..12)
        .map(|i| stage(&format!("e{i}"), 0, 32, 400))
        .collect();
    for stage in &mut all[..4] {
        stage.domain = "lost".into();
    }
    router.set_view(Time(0), &all);
    let pools = pools();
    let mut failures = 0;
    for _ in 0..500 {
        let choice = router.choose(Time(0), &Query::new("m", &pools)).unwrap();
        let hit = all[..4].iter().any(|s| s.id == choice.hops[0].upstream);
        failures += u32::from(hit);
        router.finish(Time(0), choice.ticket, outcome(hit));
    }
    assert!(all[..4].iter().all(|s| router.is_ejected(Time(0), &s.id)));
    assert!(failures <= 8, "{failures} requests failed");
}

/// An ejected engine stays ejected when a new one joins, at any position in the
/// view. If the new engine took over its entry, the ejection would be lost and
/// the failing engine used again whenever another one starts.
#[test]
fn set_view_join_keeps_records() {
    let mut router = Router::new(3);
    let mut all: Vec<_> = (0..5)
        .map(|i| stage(&format!("e{i}"), 0, 32, 400))
        .collect();
    router.set_view(Time(0), &all);
    let pools = pools();
    for _ in 0..500 {
        let choice = router.choose(Time(0), &Query::new("m", &pools)).unwrap();
        let bad = &*choice.hops[0].upstream.0 == "e0";
        router.finish(Time(0), choice.ticket, outcome(bad));
    }
    assert!(router.is_ejected(Time(0), &"e0".into()));
    all.insert(0, stage("new", 0, 32, 400));
    router.set_view(Time(1), &all);
    assert!(router.is_ejected(Time(1), &"e0".into()));
}

/// One of two engines is ejected, and then the other one leaves. If the first
/// one stayed ejected, callers would be refused for lack of an engine.
#[test]
fn set_view_last_engine_readmitted() {
    let mut router = Router::new(3);
    let mut all = vec![stage("bad", 0, 32, 400), stage("good", 0, 32, 400)];
    router.set_view(Time(0), &all);
    let pools = pools();
    let query = Query::new("m", &pools);
    while !router.is_ejected(Time(0), &"bad".into()) {
        let choice = router.choose(Time(0), &query).unwrap();
        let bad = &*choice.hops[0].upstream.0 == "bad";
        router.finish(Time(0), choice.ticket, outcome(bad));
    }
    all[1].leaving = true;
    router.set_view(Time(1), &all);
    let choice = router.choose(Time(1), &query).unwrap();
    assert_eq!(ids(&choice), ["bad"]);
}

/// An engine on probation already has its one request. The next caller must
/// wait for it instead of being refused for lack of an engine.
#[test]
fn choose_probed_engine_busy() {
    let mut router = Router::new(3);
    let all = [stage("bad", 0, 32, 400), stage("good", 0, 32, 400)];
    router.set_view(Time(0), &all);
    let pools = pools();
    let query = Query {
        exclude: &["good".into()],
        ..Query::new("m", &pools)
    };
    for _ in 0..3 {
        let choice = router.choose(Time(0), &query).unwrap();
        router.finish(Time(0), choice.ticket, Outcome::Failed { stage: 0 });
    }
    let later = Time(0) + Duration::from_secs(10);
    router.set_view(later, &all);
    let probe = router.choose(later, &query).unwrap();
    let none = router.choose(later, &query).unwrap_err();
    assert_eq!(none.reason, NoPathReason::Full);
    drop(probe);
    assert!(router.choose(later, &query).is_ok());
}

/// One stream over four engines of one domain is cut by any of them. If this
/// counted as the loss of the domain, all four would be ejected.
#[test]
fn finish_unattributed_spares_domain() {
    let mut router = Router::new(3);
    let all: Vec<_> = (0..12)
        .map(|i| stage(&format!("e{i}"), i % 4 * 8, i % 4 * 8 + 8, 400))
        .collect();
    router.set_view(Time(0), &all);
    let pools = pools();
    let choice = router.choose(Time(0), &Query::new("m", &pools)).unwrap();
    router.finish(Time(0), choice.ticket, Outcome::Unattributed);
    assert!(!all.iter().any(|s| router.is_ejected(Time(0), &s.id)));
}

fn policy(i: u64) -> Box<dyn Policy> {
    match i % 4 {
        0 => Box::new(FlowShares),
        1 => Box::new(RoundRobin::default()),
        2 => Box::new(LeastInFlight),
        _ => Box::new(GreedyCheapest),
    }
}

/// A changing fleet with random overlapping layer ranges, pools, versions,
/// states and failures; every choice is checked.
#[test]
fn choose_random_fleets() {
    for seed in 0..120 {
        Fleet::new(seed).run(400);
    }
}

/// Routers that found their only engine full before it reports `running`.
fn contended(instances: u32, running: u32) -> Vec<Router> {
    let pools = pools();
    let mut engine = stage("a", 0, 32, 1000);
    engine.slots = 100;
    let router = |seed| {
        let mut router = Router::new(u64::from(seed));
        router.set_instances(instances);
        engine.running = 80;
        engine.reported = Time(1);
        router.set_view(Time(1), std::slice::from_ref(&engine));
        assert!(router.choose(Time(1), &Query::new("m", &pools)).is_err());
        engine.running = running;
        engine.reported = Time(2);
        router.set_view(Time(2), std::slice::from_ref(&engine));
        router
    };
    (0..instances).map(router).collect()
}

/// Twenty instances have work waiting for a full engine and receive its report
/// of five free slots. If each took all of them, the engine would get a hundred
/// requests, and the surplus would occupy slots on other engines.
#[test]
fn choose_contended_slots_once() {
    let pools = pools();
    let mut held = Vec::new();
    for router in &mut contended(20, 75) {
        while let Ok(choice) = router.choose(Time(2), &Query::new("m", &pools)) {
            held.push(choice);
        }
    }
    assert!((2..=10).contains(&held.len()), "{} held", held.len());
}

/// A contended engine becomes mostly free. An instance with much work must not
/// stop at its quota.
#[test]
fn choose_contended_engine_empties() {
    let pools = pools();
    let mut routers = contended(20, 10);
    let tries = (0..40).map(|_| routers[0].choose(Time(2), &Query::new("m", &pools)));
    let held: Vec<_> = tries.filter_map(Result::ok).collect();
    assert!(held.len() > 30, "{} held", held.len());
}

struct Fleet {
    rng: ChaCha8Rng,
    router: Router,
    stages: Vec<Stage>,
    open: Vec<Choice>,
    now: Time,
    seed: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(1..40);
        let mut stages: Vec<_> = (0..count)
            .map(|i| stage(&format!("e{i}"), 0, 32, 1))
            .collect();
        for stage in &mut stages {
            let at = [0, 8, 12, 16, 24, 32];
            let first = rng.random_range(0..5);
            stage.first = at[first];
            stage.end = at[rng.random_range(first + 1..6)];
            stage.rate = [10, 100, 400, 2000][rng.random_range(0..4)];
            stage.link = [10, 100, 1000][rng.random_range(0..3)];
            stage.slots = rng.random_range(1..6);
            stage.pool = ["p", "q", "r"][rng.random_range(0..3)].into();
            stage.version = ["1", "2"][rng.random_range(0..2)].into();
        }
        let router = Router::with_policy(seed, policy(seed));
        Self {
            rng,
            router,
            stages,
            open: Vec::new(),
            now: Time(0),
            seed,
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + Duration::from_millis(self.rng.random_range(0..100));
            match self.rng.random_range(0..10) {
                0..=1 => self.announce(),
                2..=6 => self.choose(),
                _ => self.finish(),
            }
        }
        self.open.clear();
        for stage in &self.stages {
            assert_eq!(self.router.in_flight(&stage.id), 0, "seed {}", self.seed);
        }
    }

    fn announce(&mut self) {
        let all = self.stages.len();
        let i = self.rng.random_range(0..all);
        self.stages[i].leaving = self.rng.random_bool(0.3);
        self.stages[i].running = self.rng.random_range(0..6);
        self.stages[i].reported = self.now;
        let present = self.rng.random_range(0..=all);
        let view: Vec<_> = self
            .stages
            .sample(&mut self.rng, present.max(all / 2))
            .cloned()
            .collect();
        self.router.set_view(self.now, &view);
    }

    fn choose(&mut self) {
        let sets = [vec!["p"], vec!["q", "p"], vec!["p", "q", "r"]];
        let set = self.rng.random_range(0..3);
        let pools: Vec<String> = sets[set].iter().map(|&s| s.to_owned()).collect();
        let exclude = [self.stages[0].id.clone()];
        let excluding = self.rng.random_bool(0.3);
        let query = Query {
            prefix: Some(self.rng.random_range(0..5)),
            exclude: if excluding { &exclude } else { &[] },
            idempotent: self.rng.random_bool(0.5),
            ..Query::new("m", &pools)
        };
        let Ok(choice) = self.router.choose(self.now, &query) else {
            return;
        };
        self.check(&choice, &query);
        self.open.push(choice);
    }

    fn check(&self, choice: &Choice, query: &Query<'_>) {
        let seed = self.seed;
        let mut layer = 0;
        for hop in &choice.hops {
            let stage = self.stages.iter().find(|s| s.id == hop.upstream).unwrap();
            assert_eq!(hop.first, layer, "layer skipped or repeated, seed {seed}");
            assert!(hop.first < hop.end, "empty hop, seed {seed}");
            assert!(
                stage.first <= hop.first && hop.end <= stage.end,
                "seed {seed}"
            );
            assert!(query.pools.contains(&stage.pool.to_string()), "seed {seed}");
            assert!(!query.exclude.contains(&stage.id), "excluded, seed {seed}");
            assert!(!stage.leaving, "leaving engine chosen, seed {seed}");
            assert_eq!(stage.version, choice.version, "seed {seed}");
            layer = hop.end;
        }
        assert_eq!(layer, 32, "layers missing, seed {seed}");
    }

    fn finish(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let i = self.rng.random_range(0..self.open.len());
        let choice = self.open.swap_remove(i);
        let stage = self.rng.random_range(0..choice.hops.len());
        let token = Duration::from_millis(self.rng.random_range(1..100));
        let outcome = match self.rng.random_range(0..5) {
            0 => Outcome::Failed { stage },
            1 => Outcome::Busy { stage },
            2 => Outcome::Cancelled,
            3 => return,
            _ => Outcome::Done { token },
        };
        self.router.finish(self.now, choice.ticket, outcome);
    }
}

/// Under any load, a request is refused only if no path of engines with a free
/// slot exists: the router leaves no allowed engine idle.
#[test]
fn choose_work_conserving() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stages: Vec<_> = (0..12)
            .map(|i| stage(&format!("e{i}"), 16 * (i % 2), 16 * (i % 2) + 16, 100))
            .collect();
        for stage in &mut stages {
            stage.slots = rng.random_range(1..4);
            stage.rate = [50, 200, 1000][rng.random_range(0..3)];
        }
        let mut router = Router::new(seed);
        router.set_view(Time(0), &stages);
        let pools = pools();
        let mut held = Vec::new();
        while let Ok(choice) = router.choose(Time(0), &Query::new("m", &pools)) {
            held.push(choice);
        }
        for half in 0..2 {
            let free = |s: &&Stage| s.first == half * 16 && router.in_flight(&s.id) < s.slots;
            let idle: Vec<_> = stages.iter().filter(free).map(|s| &s.id).collect();
            if idle.is_empty() {
                break;
            }
            assert!(
                half == 0,
                "idle engines {idle:?} in both halves, seed {seed}"
            );
        }
    }
}
