//! Random runs: every fault at any time, twice or together.

use rand::RngExt;

use super::{GROUPS, Node, SECOND, Sim};
use crate::voter::GroupStatus;
use crate::voter::core::Core;
use crate::{Change, Peer};

/// Random runs of each size in every test run.
const RUNS: u64 = 40;
/// Variable that sets another number of runs.
const RUNS_VARIABLE: &str = "LQ_RUNS";
/// Variable that sets the first seed.
const SEED_VARIABLE: &str = "LQ_SEED";
/// Simulated time with faults.
const LENGTH: u64 = 20 * SECOND;

impl Sim {
    pub(super) fn pick(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Does something bad, or ends it.
    fn disturb(&mut self) {
        let at = self.pick();
        match self.rng.random_range(0..14) {
            0 => self.split(),
            1 => self.cut_one_way(),
            2 | 3 => self.cut.clear(),
            4 => self.nodes[at].frozen = self.now + self.rng.random_range(0..2 * SECOND),
            5 | 6 => self.nodes[at]
                .disk
                .light(self.rng.clone().random_range(0..30)),
            7 => self.nodes[at].disk.break_sync(),
            8 => self.noise = self.rng.random_range(0..20),
            9 => self.noise = 0,
            10 => self.remove(at),
            11 => (0..self.nodes.len()).for_each(|at| self.lose_power(at)),
            _ => self.lose_disk(at),
        }
    }

    fn split(&mut self) {
        self.cut.clear();
        let size = self.nodes.len() as u64;
        let sides: Vec<bool> = (0..=size).map(|_| self.rng.random_bool(0.5)).collect();
        for from in 1..=size {
            for to in 1..=size {
                if sides[usize::try_from(from).unwrap()] != sides[usize::try_from(to).unwrap()] {
                    self.cut.insert((from, to));
                }
            }
        }
    }

    fn cut_one_way(&mut self) {
        let (from, to) = (self.pick() as u64 + 1, self.pick() as u64 + 1);
        self.cut.insert((from, to));
    }

    /// Replaces a disk by an empty one, or by an old copy. Only one at a time:
    /// the next one when every instance votes with its current store again,
    /// whether it runs or not. The first may go while the groups form.
    fn lose_disk(&mut self, at: usize) {
        if self.losses > 0 && !self.is_settled() {
            return;
        }
        self.losses += 1;
        let old = self.nodes[at].old.take();
        let known = self.is_run_known(at);
        match old.filter(|_| known) {
            None => self.replace(at),
            Some(disk) => {
                let node = &mut self.nodes[at];
                node.core = None;
                node.inbox.clear();
                (node.disk, node.stale) = (disk, true);
            }
        }
    }

    /// Copies the disk of an instance while it runs.
    fn copy_disk(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.recent = node.core.as_ref().map(|c| (c.run_id(), node.disk.copy()));
    }

    /// Starts an instance on a copy of its latest run, or with its last frame
    /// damaged, as long as that is no fault more than a group tolerates. Power
    /// failures that are due would be one more.
    fn put_back(&mut self, at: usize) {
        let tolerated = (self.nodes.len() - 1) / 2;
        if !self.is_settled() || self.away(at) + 1 > tolerated {
            return;
        }
        let damage = self.chance(30);
        let node = &mut self.nodes[at];
        let Some(core) = node.core.take() else { return };
        let recent = node
            .recent
            .take()
            .filter(|(run_id, _)| *run_id == core.run_id());
        let disk = match (damage, recent) {
            (true, _) => {
                let disk = node.disk.copy();
                disk.flip("log-", disk.size("log-") - 1);
                disk
            }
            (false, Some((_, disk))) => disk,
            (false, None) => {
                node.core = Some(core);
                return;
            }
        };
        self.losses += 1;
        node.inbox.clear();
        (node.disk, node.start) = (disk, 0);
        (node.copied, node.behind) = (true, true);
        self.nodes.iter().for_each(|n| n.disk.mend());
    }

    /// Instances that can't tell the one at `at` anything now.
    fn away(&self, at: usize) -> usize {
        let id = self.nodes[at].id;
        let store = self.nodes[at].store;
        let tells = |s: &GroupStatus| {
            let knows = s.members.iter().any(|m| (m.id, m.store) == (id, store));
            knows && s.confirmed.is_some()
        };
        let asks = |n: &Node| {
            let status = n.core.as_ref().map(Core::status);
            status.is_none_or(|s| !s.iter().all(tells))
        };
        let silent = |n: &&Node| {
            let cut = self.cut.contains(&(id, n.id)) || self.cut.contains(&(n.id, id));
            n.id != id && (cut || asks(n) || n.frozen > self.now)
        };
        self.nodes.iter().filter(silent).count()
    }

    /// Whether an instance still lacks what its copied disk did.
    fn is_recovering(&self) -> bool {
        self.nodes.iter().any(|n| n.behind)
    }

    /// Has the leader remove a member, which the operator adds again. Not
    /// before the first loss of a disk, which may come at any time: two voters
    /// don't survive it.
    fn remove(&mut self, at: usize) {
        let group = self.rng.random_range(0..GROUPS);
        let node = &self.nodes[at];
        let (id, store) = (node.id, node.store);
        if let Some(leader) = self
            .leader(group)
            .filter(|_| self.losses > 0 && self.is_settled())
        {
            self.change(leader, group, Change::Remove(Peer { id, store }));
        }
    }

    /// Whether all others know the present run of an instance. An old copy is
    /// only recognised by those that do.
    pub(super) fn is_run_known(&self, at: usize) -> bool {
        let Some(core) = &self.nodes[at].core else {
            return false;
        };
        let (store, run_id) = (self.nodes[at].store, core.run_id());
        let mut others = (0..self.nodes.len()).filter(|&n| n != at);
        others.all(|n| {
            let core = self.nodes[n].core.as_ref();
            core.is_some_and(|c| c.known_run(store) == Some(run_id))
        })
    }

    fn work(&mut self) {
        let group = self.rng.random_range(0..GROUPS);
        let any = self.pick();
        // A former leader that doesn't know gets commands too.
        let direct = self.chance(60);
        let known = self.leader(group).filter(|_| direct);
        let at = known.unwrap_or(any);
        if self.nodes[at].frozen > self.now {
            return;
        }
        match self.rng.random_bool(0.7) {
            true => self.propose(at, group),
            false => self.read(any, group),
        }
    }
}

/// Which faults a run has.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// All but copies of a latest run.
    Usual,
    /// Copies of the latest run and damaged last frames too.
    Copies,
}

fn random_run(seed: u64, size: u64, faults: Faults) -> (usize, usize) {
    let mut sim = Sim::new(seed, size);
    while sim.now < LENGTH {
        sim.tick();
        if sim.chance(50) {
            sim.work();
        }
        // While a copy is put back, faults that began before go on.
        if sim.chance(4) && !sim.is_recovering() {
            sim.disturb();
        }
        if faults == Faults::Copies {
            let at = sim.pick();
            match sim.rng.random_range(0..50) {
                0 | 1 => sim.copy_disk(at),
                2 | 3 => sim.put_back(at),
                _ => {}
            }
        }
        if sim.chance(5) {
            sim.operate();
            sim.check_logs();
        }
    }
    sim.finish();
    let ledger = sim.ledger.lock();
    (ledger.acked(), ledger.reads)
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |t| t.parse().expect("a number"))
}

fn random_runs(size: u64, faults: Faults) {
    let first = number(SEED_VARIABLE, 1);
    let mut total = (0, 0);
    for seed in first..first + number(RUNS_VARIABLE, RUNS) {
        // Shown when the run fails, and with --nocapture.
        println!("size {size} seed {seed}");
        let (acked, reads) = random_run(seed, size, faults);
        total = (total.0 + acked, total.1 + reads);
    }
    println!("size {size}: {} commands, {} reads", total.0, total.1);
    assert!(total.0 > 0 && total.1 > 0, "the runs did nothing");
}

#[test]
fn random_runs_three() {
    random_runs(3, Faults::Usual);
}

#[test]
fn random_runs_five() {
    random_runs(5, Faults::Usual);
}

/// Voters put back on copies of their latest run lose no acknowledged change.
#[test]
fn random_runs_copies_three() {
    random_runs(3, Faults::Copies);
}

/// The same with five voters, of which one may be away meanwhile.
#[test]
fn random_runs_copies_five() {
    random_runs(5, Faults::Copies);
}
