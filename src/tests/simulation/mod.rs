//! Voters on simulated time, network and disks, determined by one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::checker::{RecordingMachine, SharedChecker};
use self::disk::SimDisk;
use self::seeding::Seeding;
use crate::clock::Time;
use crate::decide::members;
use crate::voter::core::{Config, Core, Input};
use crate::voter::responder::Responder;
use crate::{Change, ChangeError, Message, Peer, ProposeError, ReadError, Role, StoreError};

pub(super) mod checker;
pub(super) mod disk;
mod replacements;
mod restored_copies;
mod runs;
mod scenarios;
mod seeding;

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
    machines: Vec<RecordingMachine>,
    inbox: Vec<Message>,
    /// Id of its current store, zero for an empty disk.
    store: u64,
    /// A copy of the disk from an earlier power failure.
    old_copy: Option<SimDisk>,
    /// Whether the disk is a copy from before the latest run.
    on_old_copy: bool,
    /// Whether the disk is a copy of the latest run, or damaged.
    on_copy: bool,
    /// Whether it runs on such a disk and still lacks state that was lost with it.
    catching_up: bool,
    /// Run and disk of a copy taken while the instance ran.
    live_copy: Option<((u64, u64), SimDisk)>,
    /// Speed of its clock in thousandths.
    rate: u64,
    /// End of its pause.
    paused_until: u64,
    /// When it restarts after it was stopped.
    restart_at: u64,
    /// Whether its next start is the first one, at the start of the fleet.
    first_start: bool,
}

/// A simulation of several instances.
struct Sim {
    rng: ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    /// Messages in flight by arrival time and number.
    in_flight: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Sender and receiver of the links that lose all messages.
    blocked_links: BTreeSet<(u64, u64)>,
    /// Percentage of messages lost, and of those duplicated or delayed.
    loss_percent: u32,
    checker: SharedChecker,
    /// Leader by group and term.
    leaders: BTreeMap<(u32, u64), Peer>,
    command: u64,
    /// Number of disks lost or restored from a copy so far.
    disk_losses: u32,
    /// Number of voters below which any store is added.
    required: usize,
    /// What the settings of the instances name.
    seeding: Seeding,
}

impl Sim {
    fn new(seed: u64, size: u64) -> Self {
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            checker: SharedChecker::default(),
            leaders: BTreeMap::new(),
            command: 0,
            disk_losses: 0,
            required: usize::try_from(size).unwrap(),
            seeding: Seeding::All,
        };
        for _ in 0..size {
            sim.add_node(true);
        }
        sim
    }

    /// Adds an instance with an empty disk.
    fn add_node(&mut self, first_start: bool) {
        let rate = self.rng.random_range(950..=1050);
        self.nodes.push(Node {
            id: self.nodes.len() as u64 + 1,
            disk: SimDisk::default(),
            core: None,
            machines: Vec::new(),
            inbox: Vec::new(),
            store: 0,
            old_copy: None,
            on_old_copy: false,
            on_copy: false,
            catching_up: false,
            live_copy: None,
            rate,
            paused_until: 0,
            restart_at: 0,
            first_start,
        });
    }

    fn local(&self, at: usize) -> Time {
        Time(self.now * self.nodes[at].rate / 1000)
    }

    /// Starts a stopped instance on its disk.
    fn boot(&mut self, at: usize) {
        let now = self.local(at);
        let (founders, contacts) = self.settings(at);
        let config = Config {
            instance: self.nodes[at].id,
            founders,
            contacts,
            election_timeout: Duration::from_millis(300),
            heartbeat_interval: Duration::from_millis(50),
            snapshot_interval: 40,
            retained_entries: 5,
            seed: self.rng.random(),
            run: self.rng.random(),
            new_store: self.rng.random::<u64>().max(1),
        };
        let machines: Vec<RecordingMachine> = (0..GROUPS)
            .map(|g| RecordingMachine::new(g, &self.checker))
            .collect();
        let boxed = machines.iter().map(|m| Box::new(m.clone()) as _).collect();
        let node = &mut self.nodes[at];
        let core = Core::open(config, Box::new(node.disk.clone()), boxed, now);
        match core {
            Ok(core) => {
                let store = core.status()[0].me.store;
                // A copy from before the first sync is an empty disk.
                node.on_old_copy &= store == node.store;
                node.store = store;
                (node.core, node.machines) = (Some(core), machines);
            }
            Err(e) => self.end(at, &e),
        }
    }

    /// Stops an instance whose store failed. Unsynced writes are lost.
    fn end(&mut self, at: usize, error: &StoreError) {
        if matches!(error, StoreError::Superseded) {
            assert!(self.nodes[at].on_old_copy, "a current store was refused");
            return self.replace(at);
        }
        // The damaged frame was the only one, or referred to the latest snapshot.
        let refused = matches!(
            error,
            StoreError::Missing { .. } | StoreError::Damaged { .. }
        );
        if refused && self.nodes[at].on_copy {
            return self.replace(at);
        }
        let cause = error.to_string();
        let known = ["power is off", "sync failed", "failed earlier"];
        assert!(known.iter().any(|k| cause.contains(k)), "{cause}");
        self.lose_power(at);
    }

    /// Replaces an instance's disk by an empty one, as an operator does.
    fn replace(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.core = None;
        node.inbox.clear();
        node.disk = SimDisk::default();
        (node.store, node.old_copy) = (0, None);
        (node.on_old_copy, node.on_copy, node.catching_up) = (false, false, false);
    }

    fn lose_power(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.core = None;
        node.inbox.clear();
        node.disk = node.disk.after_crash(&mut self.rng);
        if self.rng.random_bool(0.3) {
            node.old_copy = Some(node.disk.copy());
        }
        node.restart_at = self.now + self.rng.random_range(0..SECOND);
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
        if self.blocked_links.contains(&(message.from, message.to))
            || self.chance(self.loss_percent)
        {
            return;
        }
        if self.chance(self.loss_percent) {
            self.enqueue(message.clone());
        }
        self.enqueue(message);
    }

    fn enqueue(&mut self, message: Message) {
        let most = if self.chance(self.loss_percent) {
            3_000_000
        } else {
            5_000
        };
        let delay = self.rng.random_range(200..most);
        self.sent += 1;
        self.in_flight
            .insert((self.now + delay, self.sent), message);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Advances time to the next tick.
    fn tick(&mut self) {
        let end = self.now + TICK;
        while let Some(first) = self.in_flight.first_entry()
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
            let idle = self.nodes[at].paused_until <= self.now;
            if idle && self.chance(70) {
                self.run(at, Vec::new());
            }
        }
        self.now = end;
        self.read_settings();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if node.paused_until > self.now {
                continue;
            }
            match node.core {
                Some(_) => self.run(at, Vec::new()),
                None if node.restart_at <= self.now => self.boot(at),
                None => {}
            }
        }
    }

    /// Advances time until `done` holds. Fails after a minute.
    fn run_until(&mut self, what: &str, done: impl Fn(&Sim) -> bool) {
        let limit = self.now + 60 * SECOND;
        while !done(self) {
            self.tick();
            self.run_operator();
            if self.now >= limit {
                panic!("within a minute: {what}\n{}", self.describe());
            }
        }
    }

    /// Describes all instances, for a failed run.
    fn describe(&self) -> String {
        let nodes = self.nodes.iter().map(|n| {
            let status = n.core.as_ref().map(Core::status);
            format!(
                "{} store {} stale {}: {status:#?}\n",
                n.id, n.store, n.on_old_copy
            )
        });
        nodes.collect()
    }

    /// Proposes a new command to one instance.
    fn propose(&mut self, at: usize, group: u32) {
        self.command += 1;
        let command = self.command;
        let checker = self.checker.clone();
        let done = Box::new(move |outcome| match outcome {
            Ok(_) => checker.lock().acknowledge(group, command),
            Err(ProposeError::Unknown) => {}
            Err(_) => checker.lock().refuse(command),
        });
        let command = Bytes::copy_from_slice(&command.to_le_bytes());
        self.run(
            at,
            vec![Input::Propose {
                group,
                command,
                responder: Responder::new(done, ProposeError::Stopped),
            }],
        );
    }

    /// Reads from one instance and checks that the result contains everything
    /// acknowledged so far.
    fn read(&mut self, at: usize, group: u32) {
        let Some(machine) = self.nodes[at].machines.get(group as usize).cloned() else {
            return;
        };
        let checker = self.checker.clone();
        let count = checker.lock().acknowledged();
        let done = Box::new(move |outcome: Result<u64, _>| {
            if outcome.is_ok() {
                checker.lock().reads += 1;
                machine.check(count);
            }
        });
        let responder = Responder::new(done, ReadError::Stopped);
        self.run(at, vec![Input::Read { group, responder }]);
    }

    /// The leader of a group, that of the highest term if there are two.
    fn leader(&self, group: u32) -> Option<usize> {
        let term = |at: &usize| {
            let replica = self.nodes[*at].core.as_ref()?.replica(group as usize);
            replica.is_leader().then_some(replica.term())
        };
        (0..self.nodes.len())
            .filter(|at| term(at).is_some())
            .max_by_key(term)
    }

    /// Adds the new stores of replaced disks as a controller does, and replaces the
    /// disks of barred stores as an operator does.
    fn run_operator(&mut self) {
        for group in 0..GROUPS {
            let Some(at) = self.leader(group) else {
                continue;
            };
            self.replace_barred(at, group);
            let mut status = self.nodes[at].core.as_ref().unwrap().status();
            let mut status = status.swap_remove(group as usize);
            let is_current = |p: &Peer| self.store(p.id) == p.store;
            status.non_members.retain(is_current);
            let members = members::statuses(&status);
            let change = members::next_change(&members, &status.non_members, self.required);
            if let Some(change @ Change::Add(_)) = change {
                self.change(at, group, change);
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
            if node.on_copy && barred.contains(&Peer { id, store }) {
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
                responder: Responder::new(done, ChangeError::Stopped),
            }],
        );
    }

    /// Whether all instances run and the groups are settled.
    fn is_healthy(&self) -> bool {
        let up = |n: &Node| n.core.is_some() && n.paused_until <= self.now;
        self.nodes.iter().all(up) && self.is_settled()
    }

    /// Whether each group has a leader, everything is committed, and its members are
    /// the current stores of all instances, as voters.
    fn is_settled(&self) -> bool {
        let outdated = self.nodes.iter().any(|n| n.on_old_copy);
        !outdated && (0..GROUPS).all(|g| self.is_group_settled(g) && self.has_copies_current(g))
    }

    /// Whether the instances on copied disks hold all committed entries. Until then
    /// the leader may bar them.
    fn has_copies_current(&self, group: u32) -> bool {
        let last = |n: &Node| n.core.as_ref().map(|c| c.status()[group as usize].last);
        let leader = self.leader(group).and_then(|at| last(&self.nodes[at]));
        let goal = leader.unwrap_or(0).max(self.checker.lock().applied(group));
        let mut copies = self.nodes.iter().filter(|n| n.on_copy);
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
        let complete = match self.seeding {
            Seeding::All => current == self.nodes.len(),
            Seeding::Seeds(_) => {
                let known = current + self.count_waiting(status);
                current >= self.required && known == self.nodes.len()
            }
        };
        complete && status.commit == status.last && status.members.len() == current
    }

    /// Whether an instance is a member of a group, as its leader knows it.
    fn is_member(&self, at: usize, group: u32) -> bool {
        let members = self.leader(group).map(|leader| {
            let core = self.nodes[leader].core.as_ref().unwrap();
            core.status().swap_remove(group as usize).members
        });
        let id = self.nodes[at].id;
        members.is_some_and(|m| m.iter().any(|m| m.id == id))
    }

    /// Asserts the invariants over all instances after a run of one.
    fn check(&mut self, at: usize) {
        let core = self.nodes[at].core.as_ref().unwrap();
        let status = core.status();
        if self.nodes[at].catching_up {
            let trusted = status.iter().any(|s| s.confirmed == Some(false));
            assert!(!trusted, "an instance on a copy trusts its directory");
            let querying = status.iter().any(|s| s.confirmed.is_none());
            let catching_up = querying || (0..GROUPS).any(|g| !self.has_copies_current(g));
            self.nodes[at].catching_up = catching_up;
        }
        for status in status.iter().filter(|s| s.leads) {
            let key = (status.group, status.term);
            let first = *self.leaders.entry(key).or_insert(status.me);
            assert_eq!(first, status.me, "two leaders in term {}", status.term);
        }
    }

    /// Asserts that logs that match at an index match at all earlier ones.
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

    /// Ends all faults and asserts that all instances catch up without loss.
    fn finish(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        self.run_until("all instances are healthy again", Sim::is_healthy);
        for group in 0..GROUPS {
            self.retry_until_success("accepts commands", |s| {
                let before = s.checker.lock().done();
                if let Some(at) = s.leader(group) {
                    s.propose(at, group);
                }
                before
            });
        }
        for at in 0..self.nodes.len() {
            for group in 0..GROUPS {
                if !self.is_member(at, group) {
                    continue;
                }
                self.retry_until_success("confirms reads", |s| {
                    let before = s.checker.lock().done();
                    s.read(at, group);
                    before
                });
            }
        }
        self.check_logs();
    }

    /// Repeats a request each second until one succeeds. `request` returns the
    /// number of successes before it.
    fn retry_until_success(&mut self, what: &str, request: impl Fn(&mut Sim) -> usize) {
        for _ in 0..60 {
            let before = request(self);
            for _ in 0..SECOND / TICK {
                self.tick();
                self.run_operator();
                if self.checker.lock().done() > before {
                    return;
                }
            }
        }
        panic!("within a minute: {what}");
    }
}
