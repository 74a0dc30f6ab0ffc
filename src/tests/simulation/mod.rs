//! Voters on simulated time, network and disks, all from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::disk::SimDisk;
use self::ledger::{Shared, Tape};
use crate::clock::Time;
use crate::voter::answer::Answer;
use crate::voter::core::{Config, Core, Input};
use crate::{Change, ChangeError, Message, Peer, ProposeError, ReadError, Role, StoreError};

mod copies;
pub(super) mod disk;
pub(super) mod ledger;
mod runs;
mod stories;

/// Groups on each store.
const GROUPS: u32 = 2;
/// Simulated microseconds between two runs of an idle core.
const TICK: u64 = 10_000;
const SECOND: u64 = 1_000_000;

/// One instance.
struct Node {
    id: u64,
    disk: SimDisk,
    core: Option<Core>,
    tapes: Vec<Tape>,
    inbox: Vec<Message>,
    /// Id of its current store, zero for an empty disk.
    store: u64,
    /// A copy of the disk at an earlier stop.
    old: Option<SimDisk>,
    /// Whether the disk is an old copy.
    stale: bool,
    /// Whether the disk is a copy of its latest run, or damaged.
    copied: bool,
    /// Whether it runs on such a disk and hasn't been told what that lacks.
    behind: bool,
    /// Run and disk of a copy that was taken while it ran.
    recent: Option<((u64, u64), SimDisk)>,
    /// Speed of its clock in parts of a thousand.
    rate: u64,
    /// Until when it doesn't run.
    frozen: u64,
    /// When a stopped one starts again.
    start: u64,
}

/// A run of several instances.
struct Sim {
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    /// Messages on their way by arrival.
    wire: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Pairs of instances whose messages are lost.
    cut: BTreeSet<(u64, u64)>,
    /// Percentage of messages lost, and of those duplicated or late.
    noise: u32,
    ledger: Shared,
    /// Leader by group and term.
    leaders: BTreeMap<(u32, u64), Peer>,
    command: u64,
    /// Disks lost or put back so far.
    losses: u32,
}

impl Sim {
    fn new(seed: u64, size: u64) -> Self {
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            noise: 0,
            ledger: Shared::default(),
            leaders: BTreeMap::new(),
            command: 0,
            losses: 0,
        };
        for id in 1..=size {
            let rate = sim.rng.random_range(950..=1050);
            sim.nodes.push(Node {
                id,
                disk: SimDisk::default(),
                core: None,
                tapes: Vec::new(),
                inbox: Vec::new(),
                store: 0,
                old: None,
                stale: false,
                copied: false,
                behind: false,
                recent: None,
                rate,
                frozen: 0,
                start: 0,
            });
        }
        sim
    }

    fn local(&self, at: usize) -> Time {
        Time(self.now * self.nodes[at].rate / 1000)
    }

    /// Starts a stopped instance on its disk.
    fn boot(&mut self, at: usize) {
        let now = self.local(at);
        let initial_voters: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        let config = Config {
            instance: self.nodes[at].id,
            contacts: initial_voters.clone(),
            initial_voters,
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(50),
            snapshot_interval: 40,
            retained_entries: 5,
            seed: self.rng.random(),
            run: self.rng.random(),
            new_store: self.rng.random::<u64>().max(1),
        };
        let tapes: Vec<Tape> = (0..GROUPS).map(|g| Tape::new(g, &self.ledger)).collect();
        let machines = tapes.iter().map(|t| Box::new(t.clone()) as _).collect();
        let node = &mut self.nodes[at];
        let core = Core::open(config, Box::new(node.disk.clone()), machines, now);
        match core {
            Ok(core) => {
                let store = core.status()[0].me.store;
                // An old copy from before the first sync is an empty disk.
                node.stale &= store == node.store;
                node.store = store;
                (node.core, node.tapes) = (Some(core), tapes);
            }
            Err(e) => self.end(at, &e),
        }
    }

    /// Ends an instance whose store failed. What it hadn't synced is lost.
    fn end(&mut self, at: usize, error: &StoreError) {
        if matches!(error, StoreError::Superseded) {
            assert!(self.nodes[at].stale, "a current store was refused");
            return self.replace(at);
        }
        // The damaged frame was the only one, or named the latest snapshot.
        let refused = matches!(
            error,
            StoreError::Missing { .. } | StoreError::Damaged { .. }
        );
        if refused && self.nodes[at].copied {
            return self.replace(at);
        }
        let cause = error.to_string();
        let known = ["power is off", "sync failed", "failed earlier"];
        assert!(known.iter().any(|k| cause.contains(k)), "{cause}");
        self.lose_power(at);
    }

    /// Gives an instance an empty disk, as an operator does.
    fn replace(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.core = None;
        node.inbox.clear();
        node.disk = SimDisk::default();
        (node.store, node.old) = (0, None);
        (node.stale, node.copied, node.behind) = (false, false, false);
    }

    fn lose_power(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.core = None;
        node.inbox.clear();
        node.disk = node.disk.after_crash(&mut self.rng);
        if self.rng.random_bool(0.3) {
            node.old = Some(node.disk.copy());
        }
        node.start = self.now + self.rng.random_range(0..SECOND);
    }

    fn run(&mut self, at: usize, inputs: Vec<Input>) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        let Some(core) = &mut node.core else { return };
        let messages = std::mem::take(&mut node.inbox);
        let inputs = messages.into_iter().map(Input::Message).chain(inputs);
        let mut out = Vec::new();
        let outcome = core.run(now, inputs, &mut |m| out.push(m));
        for message in out {
            self.send(message);
        }
        match outcome {
            Ok(()) => self.check(at),
            Err(e) => self.end(at, &e),
        }
    }

    fn send(&mut self, message: Message) {
        if self.cut.contains(&(message.from, message.to)) || self.chance(self.noise) {
            return;
        }
        if self.chance(self.noise) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let most = if self.chance(self.noise) {
            3_000_000
        } else {
            5_000
        };
        let delay = self.rng.random_range(200..most);
        self.sent += 1;
        self.wire.insert((self.now + delay, self.sent), message);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Lets time pass up to the next tick.
    fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(first) = self.wire.first_entry()
            && first.key().0 < end
        {
            self.now = self.now.max(first.key().0);
            let message = first.remove();
            let at = usize::try_from(message.to - 1).unwrap();
            let Some(node) = self.nodes.get_mut(at) else {
                continue;
            };
            node.inbox.push(message);
            // Several messages may share a batch and its sync.
            let idle = self.nodes[at].frozen <= self.now;
            if idle && self.chance(70) {
                self.run(at, Vec::new());
            }
        }
        self.now = end;
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if node.frozen > self.now {
                continue;
            }
            match node.core {
                Some(_) => self.run(at, Vec::new()),
                None if node.start <= self.now => self.boot(at),
                None => {}
            }
        }
    }

    /// Lets time pass until `done` holds. Fails after a minute.
    fn until(&mut self, what: &str, done: impl Fn(&Sim) -> bool) {
        let limit = self.now + 60 * SECOND;
        while !done(self) {
            self.tick();
            self.operate();
            if self.now >= limit {
                panic!("within a minute: {what}\n{}", self.describe());
            }
        }
    }

    /// State of every instance, for a failed run.
    fn describe(&self) -> String {
        let nodes = self.nodes.iter().map(|n| {
            let status = n.core.as_ref().map(Core::status);
            format!(
                "{} store {} stale {}: {status:#?}\n",
                n.id, n.store, n.stale
            )
        });
        nodes.collect()
    }

    /// Proposes a new command to one instance.
    fn propose(&mut self, at: usize, group: u32) {
        self.command += 1;
        let command = self.command;
        let ledger = self.ledger.clone();
        let done = Box::new(move |outcome| match outcome {
            Ok(_) => ledger.lock().acknowledge(group, command),
            Err(ProposeError::Unknown) => {}
            Err(_) => ledger.lock().refuse(command),
        });
        let command = Bytes::copy_from_slice(&command.to_le_bytes());
        self.run(
            at,
            vec![Input::Propose {
                group,
                command,
                answer: Answer::new(done, ProposeError::Stopped),
            }],
        );
    }

    /// Reads from one instance; the result must hold all acknowledged so far.
    fn read(&mut self, at: usize, group: u32) {
        let Some(tape) = self.nodes[at].tapes.get(group as usize).cloned() else {
            return;
        };
        let ledger = self.ledger.clone();
        let count = ledger.lock().acked();
        let done = Box::new(move |outcome: Result<u64, _>| {
            if outcome.is_ok() {
                ledger.lock().reads += 1;
                tape.check(count);
            }
        });
        let answer = Answer::new(done, ReadError::Stopped);
        self.run(at, vec![Input::Read { group, answer }]);
    }

    /// The instance that leads a group, in the highest term if two believe so.
    fn leader(&self, group: u32) -> Option<usize> {
        let term = |at: &usize| {
            let replica = self.nodes[*at].core.as_ref()?.replica(group as usize);
            replica.is_leader().then_some(replica.term())
        };
        (0..self.nodes.len())
            .filter(|at| term(at).is_some())
            .max_by_key(term)
    }

    /// What an operator does: adds the new stores of replaced folders, and
    /// replaces copied folders that were barred.
    fn operate(&mut self) {
        for group in 0..GROUPS {
            let Some(at) = self.leader(group) else {
                continue;
            };
            self.replace_barred(at, group);
            let core = self.nodes[at].core.as_ref().unwrap();
            let strangers: Vec<Peer> = core.replica(group as usize).strangers().collect();
            for peer in strangers {
                if self.store(peer.id) == peer.store {
                    self.change(at, group, Change::Add(peer));
                }
            }
        }
    }

    fn replace_barred(&mut self, leader: usize, group: u32) {
        let status = &self.nodes[leader].core.as_ref().unwrap().status()[group as usize];
        let members = status.members.iter();
        let barred: Vec<Peer> = members
            .filter(|m| m.role() == Role::Barred)
            .map(|m| m.peer())
            .collect();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            let (id, store) = (node.id, node.store);
            if node.copied && barred.contains(&Peer { id, store }) {
                self.replace(at);
            }
        }
    }

    fn store(&self, id: u64) -> u64 {
        self.nodes[usize::try_from(id - 1).unwrap()].store
    }

    fn change(&mut self, at: usize, group: u32, change: Change) {
        let done = Box::new(|_: Result<(), ChangeError>| {});
        self.run(
            at,
            vec![Input::Change {
                group,
                change,
                answer: Answer::new(done, ChangeError::Stopped),
            }],
        );
    }

    /// Whether all instances run and are settled.
    fn is_whole(&self) -> bool {
        let up = |n: &Node| n.core.is_some() && n.frozen <= self.now;
        self.nodes.iter().all(up) && self.is_settled()
    }

    /// Whether each group is led and counts the current store of every
    /// instance as voter, all of it committed.
    fn is_settled(&self) -> bool {
        let stale = self.nodes.iter().any(|n| n.stale);
        !stale && (0..GROUPS).all(|g| self.is_group_settled(g) && self.has_copies_current(g))
    }

    /// Whether the instances on copied disks hold what is committed. Until then
    /// the leader may bar them.
    fn has_copies_current(&self, group: u32) -> bool {
        let last = |n: &Node| n.core.as_ref().map(|c| c.status()[group as usize].last);
        let led = self.leader(group).and_then(|at| last(&self.nodes[at]));
        let goal = led.unwrap_or(0).max(self.ledger.lock().applied(group));
        let mut copies = self.nodes.iter().filter(|n| n.copied);
        copies.all(|n| last(n).is_some_and(|l| l >= goal))
    }

    fn is_group_settled(&self, group: u32) -> bool {
        let Some(at) = self.leader(group) else {
            return false;
        };
        let core = self.nodes[at].core.as_ref().unwrap();
        let status = &core.status()[group as usize];
        let voters = status.members.iter().filter(|m| m.role() == Role::Voter);
        let current = voters.filter(|m| self.store(m.id) == m.store).count();
        status.commit == status.last
            && current == self.nodes.len()
            && status.members.len() == current
    }

    /// Asserts what must hold over all instances.
    fn check(&mut self, at: usize) {
        let core = self.nodes[at].core.as_ref().unwrap();
        let status = core.status();
        if self.nodes[at].behind {
            let trusted = status.iter().any(|s| s.confirmed == Some(false));
            assert!(!trusted, "a copy trusts its folder");
            let asks = status.iter().any(|s| s.confirmed.is_none());
            let behind = asks || (0..GROUPS).any(|g| !self.has_copies_current(g));
            self.nodes[at].behind = behind;
        }
        for status in status.iter().filter(|s| s.leads) {
            let key = (status.group, status.term);
            let first = *self.leaders.entry(key).or_insert(status.me);
            assert_eq!(first, status.me, "two leaders in term {}", status.term);
        }
    }

    /// Asserts that logs that agree at an index agree before it.
    fn check_logs(&self) {
        let cores: Vec<&Core> = self.nodes.iter().filter_map(|n| n.core.as_ref()).collect();
        for group in 0..GROUPS as usize {
            for pair in cores.windows(2) {
                let (a, b) = (pair[0].replica(group).log(), pair[1].replica(group).log());
                let low = a.first_index().max(b.first_index());
                let high = a.last_index().min(b.last_index());
                let common = (low..=high).rev().find(|&i| a.term(i) == b.term(i));
                for index in low..=common.unwrap_or(0) {
                    assert_eq!(a.get(index), b.get(index), "logs differ at {index}");
                }
            }
        }
    }

    /// Heals everything and asserts that all instances catch up, losing nothing.
    fn finish(&mut self) {
        self.cut.clear();
        self.noise = 0;
        self.until("whole again", Sim::is_whole);
        for group in 0..GROUPS {
            self.insist("accepts commands", |s| {
                let before = s.ledger.lock().done();
                if let Some(at) = s.leader(group) {
                    s.propose(at, group);
                }
                before
            });
        }
        for at in 0..self.nodes.len() {
            for group in 0..GROUPS {
                self.insist("confirms reads", |s| {
                    let before = s.ledger.lock().done();
                    s.read(at, group);
                    before
                });
            }
        }
        self.check_logs();
    }

    /// Repeats a request each second until one succeeds. `request` returns the
    /// successes before it.
    fn insist(&mut self, what: &str, request: impl Fn(&mut Sim) -> usize) {
        for _ in 0..60 {
            let before = request(self);
            for _ in 0..SECOND / TICK {
                self.tick();
                self.operate();
                if self.ledger.lock().done() > before {
                    return;
                }
            }
        }
        panic!("within a minute: {what}");
    }
}
