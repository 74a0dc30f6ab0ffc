//! Random runs of [`crate::follow`] and of the catalogue's machine behind it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::catalogue::{
    CatalogueMachine, Change, Class, Entry, EntryKey, Expect, Kind, Limits, Operation,
    Organisation, Outcome, Pool, Route, Shared, Target, digest,
};
use crate::clock::Time;
use crate::follow::{Ask, CatalogueFollower};
use crate::id::InstanceId;
use crate::lease::LeasedCatalogue;
use crate::message::FeedReply;
use crate::voter::StateMachine;

const LEASE: Duration = Duration::from_secs(4);

/// Runs in CI, unless `LQ_RUNS` asks for more.
const RUNS: u64 = 60;

/// Steps of one run.
const STEPS: usize = 1500;

fn runs() -> u64 {
    let asked = std::env::var("LQ_RUNS").ok().and_then(|n| n.parse().ok());
    asked.unwrap_or(RUNS)
}

fn pool(name: &str) -> Operation {
    Operation::Put(Entry::Pool(Pool {
        name: name.to_owned(),
        credential: digest(name),
    }))
}

fn change(id: &str, expect: Expect, operations: Vec<Operation>) -> Vec<u8> {
    let change = Change {
        id: id.to_owned(),
        expect,
        operations,
    };
    serde_json::to_vec(&change).unwrap()
}

fn outcome(reply: &[u8]) -> Outcome {
    serde_json::from_slice(reply).unwrap()
}

/// One voter that has applied the log up to some index.
struct Replica {
    machine: CatalogueMachine,
    shared: Arc<Shared>,
    applied: usize,
}

impl Replica {
    fn new() -> Self {
        let (machine, shared) = CatalogueMachine::new();
        Self {
            machine,
            shared,
            applied: 0,
        }
    }

    fn apply(&mut self, log: &[Vec<u8>], to: usize) {
        while self.applied < to {
            let index = self.applied as u64 + 1;
            self.machine.apply(index, &log[self.applied]);
            self.applied += 1;
        }
    }

    fn feed(&self, have: u64) -> FeedReply {
        FeedReply::new(self.shared.feed(have), Vec::new())
    }
}

/// An answer on its way to the follower, due at a global time.
struct Flight {
    due: u64,
    ask: Ask,
    feed: FeedReply,
}

struct World {
    seed: u64,
    rng: ChaCha8Rng,
    /// Global time in microseconds.
    now: u64,
    /// The follower's clock runs at this many parts in a thousand.
    rate: u64,
    offset: u64,
    log: Vec<Vec<u8>>,
    /// Global time at which the change of each revision was accepted.
    accepted: BTreeMap<u64, u64>,
    /// What the machine decides, once and for all.
    judge: Replica,
    replicas: Vec<Replica>,
    follower: CatalogueFollower,
    force: Arc<LeasedCatalogue>,
    flights: Vec<Flight>,
    seen: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let force = Arc::new(LeasedCatalogue::new());
        let voters = vec![InstanceId(1), InstanceId(2), InstanceId(3)];
        Self {
            seed,
            rate: rng.random_range(990..=1010),
            offset: rng.random_range(0..1 << 40),
            follower: CatalogueFollower::new(voters, LEASE, Arc::clone(&force)),
            rng,
            now: 0,
            log: Vec::new(),
            accepted: BTreeMap::new(),
            judge: Replica::new(),
            replicas: (0..3).map(|_| Replica::new()).collect(),
            force,
            flights: Vec::new(),
            seen: 0,
        }
    }

    fn local(&self) -> Time {
        Time(self.offset + self.now * self.rate / 1000)
    }

    fn step(&mut self) {
        // Most steps are short; some are a freeze of the follower.
        let freeze = self.rng.random_ratio(1, 200);
        self.now += if freeze {
            self.rng.random_range(1_000_000..20_000_000)
        } else {
            self.rng.random_range(1_000..200_000)
        };
        match self.rng.random_range(0..10) {
            0 => self.accept(),
            1..=4 => self.ask(),
            5 => self.catch_up(),
            _ => self.deliver(),
        }
        self.check();
    }

    /// An operator's change is committed: the judge tells its outcome.
    fn accept(&mut self) {
        let number = self.rng.random_range(0..40);
        let id = format!("c{}", self.rng.random_range(0..self.log.len() + 2));
        let operation = if self.rng.random_ratio(1, 4) {
            Operation::Retire(EntryKey {
                kind: Kind::Pool,
                name: format!("p{number}"),
            })
        } else {
            pool(&format!("p{number}"))
        };
        self.log.push(change(&id, Expect::Any, vec![operation]));
        let before = self.judge.shared.catalogue().revision;
        self.judge.apply(&self.log, self.log.len());
        let after = self.judge.shared.catalogue().revision;
        if after != before {
            self.accepted.insert(after, self.now);
        }
    }

    /// The follower asks; the voter confirms what is committed now and
    /// answers later, or the answer is lost.
    fn ask(&mut self) {
        let ask = self.follower.ask(self.local());
        let travel = self.rng.random_range(100..3_000_000);
        if self.rng.random_ratio(1, 5) {
            return self.follower.failed(ask);
        }
        let voter = usize::try_from(ask.voter.0).unwrap() - 1;
        let committed = self.log.len();
        let replica = &mut self.replicas[voter];
        replica.apply(&self.log, committed);
        let copies = if self.rng.random_ratio(1, 10) { 2 } else { 1 };
        for copy in 0..copies {
            self.flights.push(Flight {
                due: self.now + travel * (copy + 1),
                ask,
                feed: replica.feed(ask.have),
            });
        }
    }

    /// A voter restarts from its snapshot: it has no recent commands.
    fn catch_up(&mut self) {
        let voter = self.rng.random_range(0..3);
        let mut fresh = Replica::new();
        fresh.applied = self.replicas[voter].applied;
        fresh
            .machine
            .restore(&self.replicas[voter].machine.snapshot());
        self.replicas[voter] = fresh;
    }

    fn deliver(&mut self) {
        let due: Vec<usize> = (0..self.flights.len())
            .filter(|at| self.flights[*at].due <= self.now)
            .collect();
        if due.is_empty() {
            return;
        }
        let at = due[self.rng.random_range(0..due.len())];
        let flight = self.flights.swap_remove(at);
        self.follower.answered(flight.ask, &flight.feed);
    }

    /// What must hold whenever the request path looks.
    fn check(&mut self) {
        let last = self.force.latest().revision;
        assert!(
            last >= self.seen,
            "revision went from {} to {last}",
            self.seen
        );
        self.seen = last;
        let Ok(catalogue) = self.force.get(self.local()) else {
            return;
        };
        let seed = self.seed;
        // A clock that runs 1% slow stretches the lease by as much.
        let lease = 4_000_000 * 1000 / self.rate + 1;
        let must = self
            .accepted
            .iter()
            .rev()
            .find(|(_, at)| **at + lease < self.now)
            .map_or(0, |(revision, _)| *revision);
        assert!(
            catalogue.revision >= must,
            "seed {seed}: revision {} acted on, {must} was accepted a lease ago",
            catalogue.revision
        );
    }
}

/// An operator's change is accepted while an instance is frozen, cut off, or
/// hears late and doubled answers. Once the lease has passed, the instance
/// must act on the change or on nothing, and never go back to an older one; a
/// caller would else be served by rights that were taken away.
#[test]
fn follow_random_faults() {
    for seed in 0..runs() {
        let mut world = World::new(seed);
        let mut held = 0;
        for _ in 0..STEPS {
            world.step();
            held += usize::from(world.force.get(world.local()).is_ok());
        }
        assert!(held > STEPS / 10, "seed {seed}: the lease was hardly held");
        assert_eq!(
            world.judge.shared.catalogue().records,
            {
                world.flights.clear();
                let ask = world.follower.ask(world.local());
                world.replicas[0].apply(&world.log, world.log.len());
                let feed = world.replicas[0].feed(ask.have);
                world.follower.answered(ask, &feed);
                world.force.latest().records.clone()
            },
            "seed {seed}: the follower ends with another catalogue"
        );
    }
}

/// Two operators change the same entry with equal expected revisions. Exactly
/// one wins; the other learns the revision that is in force.
#[test]
fn apply_racing_operators() {
    let (mut machine, _) = CatalogueMachine::new();
    let create = |id| change(id, Expect::Entry(0), vec![pool("p")]);
    let first = outcome(&machine.apply(5, &create("a")));
    let second = outcome(&machine.apply(6, &create("b")));
    assert_eq!(first, Outcome::Accepted { revision: 5 });
    let key = EntryKey {
        kind: Kind::Pool,
        name: "p".to_owned(),
    };
    let conflict = Outcome::Conflict {
        revision: 5,
        entry: Some(key),
    };
    assert_eq!(second, conflict);
}

/// An operator's answer was lost, and the change is sent again, after other
/// changes and a restart from a snapshot. It gets the first outcome and isn't
/// carried out a second time.
#[test]
fn apply_resend() {
    let (mut machine, shared) = CatalogueMachine::new();
    let first = change("a", Expect::Any, vec![pool("p")]);
    let retire = Operation::Retire(EntryKey {
        kind: Kind::Pool,
        name: "p".to_owned(),
    });
    let accepted = outcome(&machine.apply(1, &first));
    machine.apply(2, &change("b", Expect::Any, vec![retire]));
    let (mut restored, view) = CatalogueMachine::new();
    restored.restore(&machine.snapshot());
    assert_eq!(outcome(&restored.apply(3, &first)), accepted);
    assert!(view.catalogue().records.is_empty(), "the pool came back");
    assert_eq!(shared.catalogue().revision, view.catalogue().revision);
}

/// The same change id with other content must not pass for a resend: the
/// operator would believe that a change is in force which isn't.
#[test]
fn apply_reused_id() {
    let (mut machine, shared) = CatalogueMachine::new();
    machine.apply(1, &change("a", Expect::Any, vec![pool("p")]));
    let reused = outcome(&machine.apply(2, &change("a", Expect::Any, vec![pool("q")])));
    assert_eq!(reused, Outcome::Reused);
    assert_eq!(shared.catalogue().records.len(), 1);
}

fn organisation(name: &str, key: &str) -> Operation {
    Operation::Put(Entry::Organisation(Organisation {
        name: name.into(),
        keys: vec![digest(key)],
    }))
}

fn route(name: &str, owner: &str) -> Operation {
    Operation::Put(Entry::Route(Route {
        name: name.to_owned(),
        organisation: owner.into(),
        target: Target::Model("m".to_owned()),
        class: Class::Standard,
        pools: vec!["p".to_owned()],
        idempotent: true,
        limits: Limits {
            requests: 1,
            tokens: 1,
            concurrent: 1,
            queued: 1,
        },
    }))
}

/// Two organisations with one key: whose request it is would be a matter of
/// chance, and one would reach the other's capacity.
#[test]
fn apply_shared_key() {
    let (mut machine, _) = CatalogueMachine::new();
    machine.apply(1, &change("a", Expect::Any, vec![organisation("x", "k")]));
    let reply = machine.apply(2, &change("b", Expect::Any, vec![organisation("y", "k")]));
    assert!(matches!(outcome(&reply), Outcome::Invalid { .. }));
}

#[test]
fn apply_dangling_route() {
    let (mut machine, shared) = CatalogueMachine::new();
    let reply = machine.apply(1, &change("a", Expect::Any, vec![route("r", "x")]));
    assert!(matches!(outcome(&reply), Outcome::Invalid { .. }));
    let whole = vec![organisation("x", "k"), pool("p"), route("r", "x")];
    let reply = machine.apply(2, &change("b", Expect::Any, whole));
    assert_eq!(outcome(&reply), Outcome::Accepted { revision: 2 });
    let catalogue = shared.catalogue();
    assert!(catalogue.route(&"x".into(), "r").is_some());
    assert!(
        catalogue.route(&"y".into(), "r").is_none(),
        "another's route"
    );
}
