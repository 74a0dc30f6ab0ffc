//! Random runs: any fault at any time, repeatedly and in combination.

use rand::RngExt;

use super::{GROUPS, Node, SECOND, Sim};
use crate::voter::GroupStatus;
use crate::voter::core::Core;
use crate::{Change, Peer};

/// Default number of random runs of each size.
const RUNS: u64 = 40;
/// Environment variable with another number of runs.
pub(super) const RUNS_VARIABLE: &str = "LQ_RUNS";
/// Environment variable with the first seed.
pub(super) const SEED_VARIABLE: &str = "LQ_SEED";
/// Simulated duration of the faults.
const LENGTH: u64 = 20 * SECOND;

impl Sim {
    pub(super) fn pick(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    /// Starts or ends a random fault.
    fn inject_fault(&mut self) {
        let at = self.pick();
        match self.rng.random_range(0..14) {
            0 => self.partition(),
            1 => self.block_one_link(),
            2 | 3 => self.blocked_links.clear(),
            4 => self.nodes[at].paused_until = self.now + self.rng.random_range(0..2 * SECOND),
            5 | 6 => self.nodes[at]
                .disk
                .fail_power_after(self.rng.clone().random_range(0..30)),
            7 => self.nodes[at].disk.break_sync(),
            8 => self.loss_percent = self.rng.random_range(0..20),
            9 => self.loss_percent = 0,
            10 => self.remove(at),
            11 => (0..self.nodes.len()).for_each(|at| self.lose_power(at)),
            _ => self.lose_disk(at),
        }
    }

    fn partition(&mut self) {
        self.blocked_links.clear();
        let size = self.nodes.len() as u64;
        let sides: Vec<bool> = (0..=size).map(|_| self.rng.random_bool(0.5)).collect();
        for from in 1..=size {
            for to in 1..=size {
                if sides[usize::try_from(from).unwrap()] != sides[usize::try_from(to).unwrap()] {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }

    fn block_one_link(&mut self) {
        let (from, to) = (self.pick() as u64 + 1, self.pick() as u64 + 1);
        self.blocked_links.insert((from, to));
    }

    /// Replaces a disk by an empty one, or by an old copy. Only one at a time: the
    /// next one once the current stores of all instances, running or not, are
    /// voters again. The first may be lost during bootstrap.
    fn lose_disk(&mut self, at: usize) {
        if self.disk_losses > 0 && !self.is_settled() {
            return;
        }
        self.disk_losses += 1;
        let old = self.nodes[at].old_copy.take();
        let known = self.is_run_known(at);
        match old.filter(|_| known) {
            None => self.replace(at),
            Some(disk) => {
                let node = &mut self.nodes[at];
                node.core = None;
                node.inbox.clear();
                (node.disk, node.on_old_copy) = (disk, true);
            }
        }
    }

    /// Copies the disk of an instance while it runs.
    fn copy_disk(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.live_copy = node.core.as_ref().map(|c| (c.run_id(), node.disk.copy()));
    }

    /// Restarts an instance on a copy of its latest run, or with its last frame
    /// damaged, unless that is one fault more than a group tolerates. Cancels
    /// pending power failures, which would also be one more.
    fn restore_copy(&mut self, at: usize) {
        let tolerated = (self.nodes.len() - 1) / 2;
        if !self.is_settled() || self.unavailable_peers(at) + 1 > tolerated {
            return;
        }
        let damage = self.chance(30);
        let node = &mut self.nodes[at];
        let Some(core) = node.core.take() else { return };
        let live_copy = node
            .live_copy
            .take()
            .filter(|(run_id, _)| *run_id == core.run_id());
        let disk = match (damage, live_copy) {
            (true, _) => {
                let disk = node.disk.copy();
                disk.flip_bit("log-", disk.size("log-") - 1);
                disk
            }
            (false, Some((_, disk))) => disk,
            (false, None) => {
                node.core = Some(core);
                return;
            }
        };
        self.disk_losses += 1;
        node.inbox.clear();
        (node.disk, node.restart_at) = (disk, 0);
        (node.on_copy, node.catching_up) = (true, true);
        self.nodes.iter().for_each(|n| n.disk.clear_faults());
    }

    /// Stops all instances at once. They return within half a second, but one may be late, on a
    /// copy of its latest run, or have lost its disk.
    fn restart_all(&mut self) {
        if !self.is_settled() {
            return;
        }
        let odd = self.pick();
        let node = &mut self.nodes[odd];
        let run_id = node.core.as_ref().map(Core::run_id);
        let copy = node.live_copy.take().filter(|(id, _)| Some(*id) == run_id);
        for at in 0..self.nodes.len() {
            self.lose_power(at);
            let restart_at = self.now + self.rng.random_range(0..SECOND / 2);
            let node = &mut self.nodes[at];
            (node.restart_at, node.paused_until) = (restart_at, 0);
            node.disk.clear_faults();
        }
        match (self.rng.random_range(0..4), copy) {
            (0, _) => self.nodes[odd].restart_at += 3 * SECOND,
            (1, _) => {
                self.disk_losses += 1;
                self.replace(odd);
            }
            (_, Some((_, disk))) => {
                self.disk_losses += 1;
                self.blocked_links.clear();
                self.loss_percent = 0;
                let node = &mut self.nodes[odd];
                node.disk = disk;
                (node.on_copy, node.catching_up) = (true, true);
            }
            (_, None) => {}
        }
    }

    /// Number of instances that can't answer the query of the one at `at`.
    fn unavailable_peers(&self, at: usize) -> usize {
        let id = self.nodes[at].id;
        let store = self.nodes[at].store;
        let answers = |s: &GroupStatus| {
            let knows = s.members.iter().any(|m| (m.id, m.store) == (id, store));
            knows && s.confirmed.is_some()
        };
        let unable = |n: &Node| {
            let status = n.core.as_ref().map(Core::status);
            status.is_none_or(|s| !s.iter().all(answers))
        };
        let unavailable = |n: &&Node| {
            let blocked = self.blocked_links.contains(&(id, n.id))
                || self.blocked_links.contains(&(n.id, id));
            n.id != id && (blocked || unable(n) || n.paused_until > self.now)
        };
        self.nodes.iter().filter(unavailable).count()
    }

    /// Whether an instance on a copied disk is still catching up.
    fn is_recovering(&self) -> bool {
        self.nodes.iter().any(|n| n.catching_up)
    }

    /// Has the leader remove a member, which the operator adds again. Not before
    /// the first loss of a disk, which may occur at any time: two voters don't
    /// survive it.
    fn remove(&mut self, at: usize) {
        let group = self.rng.random_range(0..GROUPS);
        let node = &self.nodes[at];
        let (id, store) = (node.id, node.store);
        if let Some(leader) = self
            .leader(group)
            .filter(|_| self.disk_losses > 0 && self.is_settled())
        {
            self.change(leader, group, Change::Remove(Peer { id, store }));
        }
    }

    /// Whether all others have recorded the current run of an instance. Only these
    /// can detect an old copy.
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

    fn issue_request(&mut self) {
        let group = self.rng.random_range(0..GROUPS);
        let any = self.pick();
        // Some requests also go to followers and outdated leaders.
        let direct = self.chance(60);
        let known = self.leader(group).filter(|_| direct);
        let at = known.unwrap_or(any);
        if self.nodes[at].paused_until > self.now {
            return;
        }
        match self.rng.random_bool(0.7) {
            true => self.propose(at, group),
            false => self.read(any, group),
        }
    }
}

/// The faults of a run.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Faults {
    /// All except copies of the latest run.
    Usual,
    /// Also copies of the latest run and damaged last frames.
    Copies,
    /// Also restarts of all instances at once.
    Restarts,
    /// Also added instances, other seeds in the settings, and restarts of some or all.
    Seeds,
}

/// Instances that are added in a run with [`Faults::Seeds`].
const ADDED: usize = 3;

fn random_run(seed: u64, size: u64, faults: Faults) -> (usize, usize) {
    let mut sim = match faults {
        Faults::Seeds => Sim::with_seeds(seed, size),
        _ => Sim::new(seed, size),
    };
    let first = sim.nodes.len();
    while sim.now < LENGTH {
        sim.tick();
        if sim.chance(50) {
            sim.issue_request();
        }
        // While a restored copy catches up, earlier faults continue, but no new ones
        // begin.
        if sim.chance(4) && !sim.is_recovering() {
            sim.inject_fault();
        }
        if faults == Faults::Copies {
            let at = sim.pick();
            match sim.rng.random_range(0..50) {
                0 | 1 => sim.copy_disk(at),
                2 | 3 => sim.restore_copy(at),
                _ => {}
            }
        }
        if faults == Faults::Restarts && !sim.is_recovering() {
            let at = sim.pick();
            match sim.rng.random_range(0..100) {
                0..4 => sim.copy_disk(at),
                4 => sim.restart_all(),
                _ => {}
            }
        }
        if faults == Faults::Seeds {
            match sim.rng.random_range(0..200) {
                0..4 if sim.nodes.len() < first + ADDED => sim.add_node(false),
                4..8 => sim.exchange_seeds(),
                8..11 => sim.restart_waiting(),
                11..13 => sim.restart_all(),
                _ => {}
            }
        }
        if sim.chance(5) {
            sim.run_operator();
            sim.check_logs();
        }
    }
    sim.finish();
    let checker = sim.checker.lock();
    (checker.acknowledged(), checker.reads)
}

pub(super) fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.map_or(default, |t| t.parse().expect("a number"))
}

fn random_runs(size: u64, faults: Faults) {
    let first = number(SEED_VARIABLE, 1);
    let mut total = (0, 0);
    for seed in first..first + number(RUNS_VARIABLE, RUNS) {
        // Printed if the run fails, or with --nocapture.
        println!("size {size} seed {seed}");
        let (acknowledged, reads) = random_run(seed, size, faults);
        total = (total.0 + acknowledged, total.1 + reads);
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

/// Guards against the loss of an acknowledged change when a voter restarts on a copy
/// of its latest run.
#[test]
fn random_runs_copies_three() {
    random_runs(3, Faults::Copies);
}

/// The same with five voters, one of which may be unreachable meanwhile.
#[test]
fn random_runs_copies_five() {
    random_runs(5, Faults::Copies);
}

/// Guards against the loss of an acknowledged change when all voters return at once, one of them
/// late, on a copy of its latest run, or with an empty disk.
#[test]
fn random_runs_restarts_three() {
    random_runs(3, Faults::Restarts);
}

/// The same with five voters.
#[test]
fn random_runs_restarts_five() {
    random_runs(5, Faults::Restarts);
}

/// Guards against a second log, and against stores that no leader ever hears of, when instances are
/// added with empty disks and the settings name others as seeds.
#[test]
fn random_runs_seeds_three() {
    random_runs(3, Faults::Seeds);
}

/// The same with five voters, three of which found the groups.
#[test]
fn random_runs_seeds_five() {
    random_runs(5, Faults::Seeds);
}

/// Guards against a store that drops all messages of a leader: it knows an earlier run of the leader's
/// store, which was a member of another group then and isn't now.
#[test]
fn random_run_former_member_leads() {
    random_run(1477, 3, Faults::Seeds);
}
