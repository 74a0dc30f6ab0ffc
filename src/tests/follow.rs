//! Random runs of [`crate::follow`] with the catalogue's state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::catalogue::{
    CatalogueHandle, CatalogueMachine, Change, Class, Entry, EntryKey, Expect, Kind, Limits,
    Operation, Organisation, Outcome, Pool, Route, Target, digest,
};
use crate::clock::Time;
use crate::follow::{CatalogueFollower, Poll};
use crate::id::InstanceId;
use crate::lease::LeasedCatalogue;
use crate::message::CatalogueReply;
use crate::voter::StateMachine;

const LEASE: Duration = Duration::from_secs(4);

/// Number of runs, unless `LQ_RUNS` sets another one.
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

/// One voter that has applied the log up to index `applied`.
struct Replica {
    machine: CatalogueMachine,
    shared: Arc<CatalogueHandle>,
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

    fn feed(&self, have: u64) -> CatalogueReply {
        CatalogueReply::new(self.shared.feed(have), Vec::new())
    }
}

/// A reply in flight to the follower, due at a global time.
struct InFlight {
    due: u64,
    poll: Poll,
    feed: CatalogueReply,
}

struct World {
    seed: u64,
    rng: ChaCha8Rng,
    /// Global time in microseconds.
    now: u64,
    /// Speed of the follower's clock in thousandths.
    rate: u64,
    offset: u64,
    log: Vec<Vec<u8>>,
    /// Global time at which the change of each revision was accepted.
    accepted: BTreeMap<u64, u64>,
    /// Reference replica that decides the outcome of each change.
    reference: Replica,
    replicas: Vec<Replica>,
    follower: CatalogueFollower,
    leased: Arc<LeasedCatalogue>,
    in_flight: Vec<InFlight>,
    seen: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leased = Arc::new(LeasedCatalogue::new());
        let voters = vec![InstanceId(1), InstanceId(2), InstanceId(3)];
        Self {
            seed,
            rate: rng.random_range(990..=1010),
            offset: rng.random_range(0..1 << 40),
            follower: CatalogueFollower::new(voters, LEASE, Arc::clone(&leased)),
            rng,
            now: 0,
            log: Vec::new(),
            accepted: BTreeMap::new(),
            reference: Replica::new(),
            replicas: (0..3).map(|_| Replica::new()).collect(),
            leased,
            in_flight: Vec::new(),
            seen: 0,
        }
    }

    fn local(&self) -> Time {
        Time(self.offset + self.now * self.rate / 1000)
    }

    fn step(&mut self) {
        // Most steps are short; some are a pause of the follower.
        let pause = self.rng.random_ratio(1, 200);
        self.now += if pause {
            self.rng.random_range(1_000_000..20_000_000)
        } else {
            self.rng.random_range(1_000..200_000)
        };
        match self.rng.random_range(0..10) {
            0 => self.accept(),
            1..=4 => self.poll(),
            5 => self.restart_voter(),
            _ => self.deliver(),
        }
        self.check();
    }

    /// Commits an operator's change. The reference replica decides its outcome.
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
        let before = self.reference.shared.catalogue().revision;
        self.reference.apply(&self.log, self.log.len());
        let after = self.reference.shared.catalogue().revision;
        if after != before {
            self.accepted.insert(after, self.now);
        }
    }

    /// Sends a poll. The voter confirms everything committed now and replies
    /// later, or the reply is lost.
    fn poll(&mut self) {
        let poll = self.follower.poll(self.local());
        let travel = self.rng.random_range(100..3_000_000);
        if self.rng.random_ratio(1, 5) {
            return self.follower.on_failure(poll);
        }
        let voter = usize::try_from(poll.voter.0).unwrap() - 1;
        let committed = self.log.len();
        let replica = &mut self.replicas[voter];
        replica.apply(&self.log, committed);
        let copies = if self.rng.random_ratio(1, 10) { 2 } else { 1 };
        for copy in 0..copies {
            self.in_flight.push(InFlight {
                due: self.now + travel * (copy + 1),
                poll,
                feed: replica.feed(poll.applied),
            });
        }
    }

    /// Restarts a voter from its snapshot, without recent commands.
    fn restart_voter(&mut self) {
        let voter = self.rng.random_range(0..3);
        let mut fresh = Replica::new();
        fresh.applied = self.replicas[voter].applied;
        fresh
            .machine
            .restore(&self.replicas[voter].machine.snapshot());
        self.replicas[voter] = fresh;
    }

    fn deliver(&mut self) {
        let due: Vec<usize> = (0..self.in_flight.len())
            .filter(|at| self.in_flight[*at].due <= self.now)
            .collect();
        if due.is_empty() {
            return;
        }
        let at = due[self.rng.random_range(0..due.len())];
        let flight = self.in_flight.swap_remove(at);
        self.follower.on_reply(flight.poll, &flight.feed);
    }

    /// Checks the invariants at a read of the request path.
    fn check(&mut self) {
        let last = self.leased.latest().revision;
        assert!(
            last >= self.seen,
            "revision went from {} to {last}",
            self.seen
        );
        self.seen = last;
        let Ok(catalogue) = self.leased.get(self.local()) else {
            return;
        };
        let seed = self.seed;
        // A clock that runs 1% slow extends the lease by as much.
        let lease = 4_000_000 * 1000 / self.rate + 1;
        let required = self
            .accepted
            .iter()
            .rev()
            .find(|(_, at)| **at + lease < self.now)
            .map_or(0, |(revision, _)| *revision);
        assert!(
            catalogue.revision >= required,
            "seed {seed}: revision {} used, {required} was accepted a lease ago",
            catalogue.revision
        );
    }
}

/// An operator's change is accepted while an instance is paused or partitioned, or
/// receives late and duplicate replies. Once the lease has expired, the instance
/// must use the change or refuse requests, and never return to an older revision:
/// a caller could use revoked rights.
#[test]
fn follow_random_faults() {
    for seed in 0..runs() {
        let mut world = World::new(seed);
        let mut held = 0;
        for _ in 0..STEPS {
            world.step();
            held += usize::from(world.leased.get(world.local()).is_ok());
        }
        assert!(held > STEPS / 10, "seed {seed}: the lease was hardly held");
        assert_eq!(
            world.reference.shared.catalogue().records,
            {
                world.in_flight.clear();
                let poll = world.follower.poll(world.local());
                world.replicas[0].apply(&world.log, world.log.len());
                let feed = world.replicas[0].feed(poll.applied);
                world.follower.on_reply(poll, &feed);
                world.leased.latest().records.clone()
            },
            "seed {seed}: the follower ends with another catalogue"
        );
    }
}

/// Two operators change the same entry with the same expected revision. One must
/// succeed, and the other must receive the current revision.
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

/// A change whose answer was lost is resent, after other changes and a restart
/// from a snapshot. It must get the first outcome and not be applied twice.
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

/// A reused change id with other content must not be taken for a resend: the
/// operator would believe that the new change was applied.
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

/// With a key shared by two organisations, a request could be attributed to
/// either, and one could use the other's capacity.
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
