//! All engines, with their groups of peers and failure domains.

use std::ops::Index;
use std::sync::Arc;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engine::Engine;
use super::health::{DomainFailures, PeerGroup};
use super::types::Stage;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::UpstreamId;

/// All engines. An engine keeps its index in `slab` while it is in use.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    slab: Vec<Engine>,
    /// Index in `slab` of each engine.
    by_id: HashMap<UpstreamId, u32>,
    peers: Vec<PeerGroup>,
    /// Recent failures by failure domain.
    domains: HashMap<Arc<str>, DomainFailures>,
    /// Whether an engine was ejected since the last view.
    ejected: bool,
}

impl Index<u32> for Engines {
    type Output = Engine;

    fn index(&self, i: u32) -> &Engine {
        &self.slab[i as usize]
    }
}

impl Engines {
    /// Applies a view. Returns whether plans must be recomputed.
    pub(crate) fn update(
        &mut self,
        now: Time,
        stages: &[Stage],
        instances: Option<f64>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let instances = instances.unwrap_or_else(|| self.estimated_instances());
        let mut changed = std::mem::take(&mut self.ejected);
        let before: Vec<bool> = self.slab.iter().map(|e| e.present).collect();
        self.slab.iter_mut().for_each(|e| e.present = false);
        // Known engines first: until they are updated they look absent, and a
        // new engine would take the entry of one of them and erase its state.
        let known = |engines: &Self, stage: &&Stage| engines.by_id.contains_key(&stage.id);
        let (old, new): (Vec<_>, Vec<_>) = stages.iter().partition(|s| known(self, s));
        for stage in old {
            changed |= self.update_engine(now, stage, instances, rng);
        }
        for stage in new {
            self.insert(stage, instances, rng);
            changed = true;
        }
        // An engine that returns unchanged affects plans just like one that
        // disappears.
        let before = before.into_iter().chain(std::iter::repeat(false));
        changed |= self
            .slab
            .iter()
            .zip(before)
            .any(|(e, was)| was != e.present);
        for engine in &mut self.slab {
            changed |= engine.health.end_ejection(now);
        }
        if changed {
            self.regroup();
        }
        self.compare_peers();
        changed
    }

    /// Estimated number of instances, assuming all are as busy as this one.
    fn estimated_instances(&self) -> f64 {
        let own: u32 = self.slab.iter().map(|e| e.own).sum();
        let others: f64 = self.slab.iter().map(|e| e.others).sum();
        1.0 + others / f64::from(own.max(1))
    }

    fn update_engine(
        &mut self,
        now: Time,
        stage: &Stage,
        instances: f64,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let Some(&i) = self.by_id.get(&stage.id) else {
            return false;
        };
        let engine = &mut self.slab[i as usize];
        let fresh = engine.stage.reported != stage.reported;
        let changed = engine.update(now, stage);
        if fresh {
            engine.set_quota(instances, rng.random());
        }
        changed
    }

    /// Adds an engine, reusing the entry of an absent one if possible.
    fn insert(&mut self, stage: &Stage, instances: f64, rng: &mut ChaCha8Rng) {
        let free = self.slab.iter().position(|e| !e.present && e.own == 0);
        let epoch = free.map_or(0, |i| self.slab[i].epoch + 1);
        let mut engine = Engine::new(stage.clone(), epoch);
        engine.set_quota(instances, rng.random());
        let i = free.unwrap_or(self.slab.len());
        if let Some(entry) = self.slab.get_mut(i) {
            self.by_id.remove(&entry.stage.id);
            *entry = engine;
        } else {
            self.slab.push(engine);
        }
        self.by_id.insert(stage.id.clone(), i as u32);
    }

    /// Groups engines that hold the same layers as peers.
    fn regroup(&mut self) {
        type Range = (Arc<str>, Arc<str>, u32, u32);
        let mut ranges: HashMap<Range, usize> = HashMap::default();
        self.peers.clear();
        for (i, engine) in self.slab.iter_mut().enumerate() {
            if !engine.is_up() {
                continue;
            }
            let stage = &engine.stage;
            let key = (
                stage.model.clone(),
                stage.version.clone(),
                stage.first,
                stage.end,
            );
            let next = ranges.len();
            engine.peers = *ranges.entry(key).or_insert(next);
            if engine.peers == next {
                self.peers.push(PeerGroup::default());
            }
            self.peers[engine.peers].members.push(i);
        }
        for peers in &self.peers {
            readmit(&mut self.slab, peers);
        }
    }

    /// Computes the expected load and the median speed of each group of peers.
    fn compare_peers(&mut self) {
        for peers in &mut self.peers {
            let members = peers.members.iter().map(|&i| &self.slab[i]);
            let capacity: f64 = members.clone().map(Engine::capacity).sum();
            let others: f64 = members.clone().map(|e| e.others).sum();
            let mut factors: Vec<f64> = members.filter_map(|e| e.health.factor()).collect();
            factors.sort_by(f64::total_cmp);
            let median = factors.get(factors.len() / 2).copied();
            peers.median = median;
            for &i in &peers.members {
                let engine = &mut self.slab[i];
                engine.expected_others = others * engine.capacity() / capacity.max(1.0);
                engine.health.compare(median);
            }
        }
    }

    pub(crate) fn start(&mut self, i: u32) {
        self.slab[i as usize].start();
    }

    pub(crate) fn stop(&mut self, i: u32) {
        self.slab[i as usize].stop();
    }

    pub(crate) fn record_success(&mut self, now: Time, i: u32, factor: f64) {
        self.slab[i as usize].health.succeeded(factor);
        let Some(median) = self.peers_of(i).and_then(|p| p.median) else {
            return;
        };
        if self.slab[i as usize].health.is_slow(median) {
            self.eject(now, i);
        }
    }

    pub(crate) fn record_failure(&mut self, now: Time, i: u32) {
        let first = self.slab[i as usize].health.failures() == 0;
        let domain = self.slab[i as usize].stage.domain.clone();
        let failures = self.domains.entry(domain).or_default();
        if first {
            failures.record(now);
        }
        let suspect = failures.is_suspect(now);
        if self.slab[i as usize].health.failed(suspect) {
            self.eject(now, i);
        }
    }

    /// Records a failure that another engine of the path may have caused. It
    /// doesn't count against the failure domain, or one cut stream over three
    /// engines of a domain would look like the loss of the domain.
    pub(crate) fn record_suspicion(&mut self, now: Time, i: u32) {
        if self.slab[i as usize].health.failed(false) {
            self.eject(now, i);
        }
    }

    pub(crate) fn record_refusal(&mut self, now: Time, i: u32) {
        self.slab[i as usize].refused_at = Some(now);
    }

    /// Ejects an engine unless too many of its peers are already ejected.
    fn eject(&mut self, now: Time, i: u32) {
        let Some(peers) = self.peers_of(i) else {
            return;
        };
        let members = peers.members.iter();
        let out = members
            .filter(|&&p| self.slab[p].health.is_ejected(now))
            .count();
        if out >= peers.max_ejected() {
            return;
        }
        self.slab[i as usize].health.eject(now);
        self.ejected = true;
    }

    fn peers_of(&self, i: u32) -> Option<&PeerGroup> {
        let engine = &self.slab[i as usize];
        let peers = self.peers.get(engine.peers)?;
        peers.members.contains(&(i as usize)).then_some(peers)
    }

    pub(crate) fn in_flight(&self, id: &UpstreamId) -> u32 {
        self.by_id.get(id).map_or(0, |&i| self[i].own)
    }

    pub(crate) fn is_ejected(&self, now: Time, id: &UpstreamId) -> bool {
        let found = self.by_id.get(id);
        found.is_some_and(|&i| self[i].health.is_ejected(now))
    }

    /// All engines with their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Engine)> {
        self.slab.iter().enumerate().map(|(i, e)| (i as u32, e))
    }
}

/// Readmits ejected engines of a group that shrank until the cap on ejections
/// is met again.
///
/// Prevents an outage: if an engine is ejected while its only peer serves and
/// that peer leaves, no engine would be left.
fn readmit(slab: &mut [Engine], peers: &PeerGroup) {
    let out = peers
        .members
        .iter()
        .filter(|&&i| slab[i].health.is_excluded());
    let out: Vec<usize> = out.copied().collect();
    for &i in out.iter().skip(peers.max_ejected()) {
        slab[i].health.readmit();
    }
}
