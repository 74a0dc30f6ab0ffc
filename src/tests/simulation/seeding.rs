//! What the settings of simulated instances name: founders, and contacts that change.

use rand::RngExt;

use super::{GROUPS, Sim};
use crate::voter::GroupStatus;
use crate::voter::core::Input;

/// Instances that the settings name as founders and contacts.
pub(super) enum Seeding {
    /// All instances, at each start.
    All,
    /// A few instances. They are founders at the first start of the fleet only, and
    /// contacts until others are named. Stores beyond the required voters wait.
    Seeds(Vec<u64>),
}

impl Sim {
    /// Instances of which the first three are the seeds.
    pub(super) fn with_seeds(seed: u64, size: u64) -> Self {
        let mut sim = Self::new(seed, size);
        sim.seeding = Seeding::Seeds(vec![1, 2, 3]);
        sim
    }

    /// Founders and contacts in the settings of the next start of an instance.
    pub(super) fn settings(&mut self, at: usize) -> (Vec<u64>, Vec<u64>) {
        let first_start = std::mem::take(&mut self.nodes[at].first_start);
        match &self.seeding {
            Seeding::All => {
                let all: Vec<u64> = self.nodes.iter().map(|n| n.id).collect();
                (all.clone(), all)
            }
            Seeding::Seeds(seeds) if first_start => (seeds.clone(), seeds.clone()),
            Seeding::Seeds(seeds) => (Vec::new(), seeds.clone()),
        }
    }

    /// Lets an instance read the seeds in its settings now and then.
    pub(super) fn read_settings(&mut self) {
        let Seeding::Seeds(seeds) = &self.seeding else {
            return;
        };
        let seeds = seeds.clone();
        let at = self.rng.random_range(0..100 * self.nodes.len());
        if at < self.nodes.len() && self.nodes[at].paused_until <= self.now {
            self.run(at, vec![Input::Contacts(seeds)]);
        }
    }

    /// Number of instances whose current store the leader could add.
    pub(super) fn count_waiting(&self, status: &GroupStatus) -> usize {
        let waiting = status.non_members.iter();
        waiting.filter(|p| self.store(p.id) == p.store).count()
    }

    /// Names three random instances as seeds from now on.
    pub(super) fn exchange_seeds(&mut self) {
        let seeds = [(); 3].map(|()| self.pick() as u64 + 1);
        self.seeding = Seeding::Seeds(seeds.to_vec());
    }

    /// Stops all instances outside of the memberships at once.
    pub(super) fn restart_waiting(&mut self) {
        for at in 0..self.nodes.len() {
            if (0..GROUPS).all(|g| !self.is_member(at, g)) {
                self.lose_power(at);
            }
        }
    }
}
