//! The engines as this instance knows them.

use std::ops::Index;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::health::{Health, Peers, Trouble};
use super::types::Stage;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::UpstreamId;

/// Bits that one token carries over a link between two engines: a vector of
/// 8192 numbers of 16 bits.
const TOKEN_BITS: f64 = 131_072.0;

/// Time constant with which a load report loses its worth, in seconds.
const REPORT_WORTH: f64 = 1.0;

/// How much of its slots an engine may be thought to have in use before it is
/// passed over. Above 1, because reports lag: an engine that waits for the
/// report of its free slots would idle.
const FILL: f64 = 1.25;

/// Seconds between two tokens of a sequence that an engine may come to: it is
/// full with as many sequences as it can give a token each in this time. More
/// would slow all down and could wait here instead, in fair order.
const PACE: f64 = 0.08;

/// Time that a refusal counts as a full engine.
const REFUSED: Duration = Duration::from_millis(200);

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) stage: Stage,
    /// Grows when the place is taken by another engine.
    pub(crate) epoch: u32,
    /// Whether it is in the present view.
    present: bool,
    /// Requests of this instance in flight.
    own: u32,
    /// Load of other instances at the time of the report.
    others: f64,
    /// Load of other instances to expect when the report is worth nothing.
    usual: f64,
    /// Index of its peers.
    peers: usize,
    pub(crate) health: Health,
    refused: Option<Time>,
    /// Sequences that this instance may start before the next report, when
    /// all instances have work waiting. Grows as own sequences end.
    claims: f64,
}

impl Engine {
    /// Tokens a second that engine and link allow. An engine that holds the
    /// whole model sends no vectors over its link.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.stage.rate).min(self.link_rate())
    }

    fn link_rate(&self) -> f64 {
        let stage = &self.stage;
        if stage.first == 0 && stage.end == stage.total {
            return f64::INFINITY;
        }
        f64::from(stage.link) * 1e6 / TOKEN_BITS
    }

    /// Whether it may take new work at all.
    pub(crate) fn is_up(&self) -> bool {
        self.present && !self.stage.leaving
    }

    /// Sequences that are on the engine by all that is known: own ones, and
    /// those of others, who fade from the last report to the usual load.
    pub(crate) fn load(&self, now: Time) -> f64 {
        let worth = self.report_worth(now);
        f64::from(self.own) + self.usual + (self.others - self.usual) * worth
    }

    /// How far [`load`](Self::load) is known: own sequences are, others as far
    /// as the report is fresh.
    pub(crate) fn knowledge(&self, now: Time) -> f64 {
        let own = f64::from(self.own) + 1.0;
        (own + self.others * self.report_worth(now)) / (own + self.others)
    }

    fn report_worth(&self, now: Time) -> f64 {
        let age = now.since(self.stage.reported).as_secs_f64();
        (-age / REPORT_WORTH).exp()
    }

    /// Whether another sequence would only wait.
    pub(crate) fn is_full(&self, now: Time) -> bool {
        self.is_refusing(now) || self.load(now) + 1.0 > self.most()
    }

    /// Whether this instance used up its part of the places that were free at
    /// the last report.
    ///
    /// Guards against the stampede of many instances with work waiting: all
    /// see the same few free places in the same late reports and take them at
    /// once, which shows as throughput far below the bound under overload.
    /// Since each takes its part only, they don't take more than there is.
    pub(crate) fn is_claimed(&self, now: Time) -> bool {
        self.is_refusing(now) || self.claims <= 0.0
    }

    fn is_refusing(&self, now: Time) -> bool {
        self.refused.is_some_and(|at| now.since(at) < REFUSED)
    }

    /// Sequences that the engine should have at most. A plain service, which
    /// routing knows as a model of one layer, has no pace of tokens.
    pub(crate) fn most(&self) -> f64 {
        let slots = f64::from(self.stage.slots) * FILL;
        if self.stage.total <= 1 {
            return slots;
        }
        slots.min(self.capacity() * PACE).max(1.0)
    }

    /// Counts the places free at a new report. `instances` share them; `chance`
    /// between 0 and 1 decides whether a fraction is a place.
    fn claim(&mut self, instances: f64, chance: f64) {
        let load = f64::from(self.stage.running) + f64::from(self.stage.waiting);
        let part = (self.most() - load).max(0.0) / instances;
        let idle = if load < 1.0 { 1.0 } else { 0.0 };
        self.claims = (part + chance).floor().max(idle);
    }

    /// Requests of this instance in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Seconds a token is expected to take here with one more sequence.
    pub(crate) fn token_time(&self, now: Time) -> f64 {
        let queue = (self.load(now) + 1.0) / self.capacity().max(1.0);
        let link = 1.0 / self.link_rate();
        queue * self.health.slowness() + link
    }
}

/// All engines, at stable indices while they are in use.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    slab: Vec<Engine>,
    index: HashMap<UpstreamId, u32>,
    peers: Vec<Peers>,
    /// Failures by failure domain.
    domains: HashMap<Arc<str>, Trouble>,
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
    /// Takes a view over. Returns whether plans must be computed anew.
    pub(crate) fn update(
        &mut self,
        now: Time,
        stages: &[Stage],
        instances: Option<f64>,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let instances = instances.unwrap_or_else(|| self.instances());
        let mut changed = std::mem::take(&mut self.ejected);
        let before: Vec<bool> = self.slab.iter().map(|e| e.present).collect();
        self.slab.iter_mut().for_each(|e| e.present = false);
        for stage in stages {
            let known = self.index.get(&stage.id).map(|&i| &self[i].stage);
            let fresh = known.is_none_or(|s| s.reported != stage.reported);
            changed |= self.take(now, stage);
            if fresh && let Some(&i) = self.index.get(&stage.id) {
                self.slab[i as usize].claim(instances, rng.random());
            }
        }
        // An engine that comes back as it was changes the plan as much as one
        // that goes.
        let before = before.into_iter().chain(std::iter::repeat(false));
        changed |= self
            .slab
            .iter()
            .zip(before)
            .any(|(e, was)| was != e.present);
        for engine in &mut self.slab {
            changed |= engine.health.wake(now);
        }
        if changed {
            self.regroup();
        }
        self.spread_load();
        changed
    }

    /// Instances that would make up the load, were all as busy as this one.
    fn instances(&self) -> f64 {
        let own: u32 = self.slab.iter().map(|e| e.own).sum();
        let others: f64 = self.slab.iter().map(|e| e.others).sum();
        1.0 + others / f64::from(own.max(1))
    }

    fn take(&mut self, now: Time, stage: &Stage) -> bool {
        let Some(&i) = self.index.get(&stage.id) else {
            self.insert(stage);
            return true;
        };
        let engine = &mut self.slab[i as usize];
        let same = same_capacity(&engine.stage, stage);
        if engine.stage.reported != stage.reported {
            let total = f64::from(stage.running) + f64::from(stage.waiting);
            engine.others = (total - f64::from(engine.own)).max(0.0);
        }
        if !engine.present && engine.own == 0 && now.since(engine.stage.reported) > REFUSED {
            engine.refused = None;
        }
        engine.present = true;
        engine.stage.clone_from(stage);
        !same
    }

    fn insert(&mut self, stage: &Stage) {
        let others = f64::from(stage.running) + f64::from(stage.waiting);
        let free = self.slab.iter().position(|e| !e.present && e.own == 0);
        let mut engine = Engine {
            stage: stage.clone(),
            epoch: 0,
            present: true,
            own: 0,
            others,
            usual: others,
            peers: 0,
            health: Health::default(),
            refused: None,
            claims: 0.0,
        };
        let i = match free {
            Some(i) => {
                engine.epoch = self.slab[i].epoch + 1;
                self.index.remove(&self.slab[i].stage.id);
                self.slab[i] = engine;
                i
            }
            None => {
                self.slab.push(engine);
                self.slab.len() - 1
            }
        };
        self.index.insert(stage.id.clone(), i as u32);
    }

    /// Sorts engines that hold the same layers into groups of peers.
    fn regroup(&mut self) {
        type Range = (Arc<str>, Arc<str>, u32, u32);
        let mut ranges: HashMap<Range, usize> = HashMap::default();
        self.peers.clear();
        for (i, engine) in self.slab.iter_mut().enumerate() {
            if !engine.present {
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
                self.peers.push(Peers::default());
            }
            self.peers[engine.peers].members.push(i);
        }
    }

    /// Computes for each group of peers the usual load and the usual speed.
    fn spread_load(&mut self) {
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
                engine.usual = others * engine.capacity() / capacity.max(1.0);
                engine.health.compare(median);
            }
        }
    }

    pub(crate) fn start(&mut self, i: u32) {
        self.slab[i as usize].own += 1;
        self.slab[i as usize].claims -= 1.0;
    }

    pub(crate) fn stop(&mut self, i: u32) {
        let engine = &mut self.slab[i as usize];
        assert!(
            engine.own > 0,
            "weight of {} came back twice",
            engine.stage.id
        );
        engine.own -= 1;
        engine.claims += 1.0;
    }

    pub(crate) fn succeeded(&mut self, now: Time, i: u32, factor: f64) {
        self.slab[i as usize].health.succeeded(factor);
        let Some(median) = self.peers_of(i).and_then(|p| p.median) else {
            return;
        };
        if self.slab[i as usize].health.is_slow(median) {
            self.eject(now, i);
        }
    }

    pub(crate) fn failed(&mut self, now: Time, i: u32) {
        let first = self.slab[i as usize].health.failures() == 0;
        let domain = self.slab[i as usize].stage.domain.clone();
        let trouble = self.domains.entry(domain).or_default();
        if first {
            trouble.book(now);
        }
        let doubted = trouble.is_doubted(now);
        if self.slab[i as usize].health.failed(doubted) {
            self.eject(now, i);
        }
    }

    /// Books a failure that another engine of the path may have caused. It
    /// says nothing about the failure domain: a cut stream over three engines
    /// of one domain would look like the loss of the domain.
    pub(crate) fn suspected(&mut self, now: Time, i: u32) {
        if self.slab[i as usize].health.failed(false) {
            self.eject(now, i);
        }
    }

    pub(crate) fn refused(&mut self, now: Time, i: u32) {
        self.slab[i as usize].refused = Some(now);
    }

    /// Ejects an engine unless too many of its peers are out already.
    fn eject(&mut self, now: Time, i: u32) {
        let Some(peers) = self.peers_of(i) else {
            return;
        };
        let members = peers.members.iter();
        let out = members
            .filter(|&&p| self.slab[p].health.is_ejected(now))
            .count();
        if out >= peers.most_ejected() {
            return;
        }
        self.slab[i as usize].health.eject(now);
        self.ejected = true;
    }

    fn peers_of(&self, i: u32) -> Option<&Peers> {
        let engine = &self.slab[i as usize];
        let peers = self.peers.get(engine.peers)?;
        peers.members.contains(&(i as usize)).then_some(peers)
    }

    pub(crate) fn in_flight(&self, id: &UpstreamId) -> u32 {
        self.index.get(id).map_or(0, |&i| self[i].own)
    }

    pub(crate) fn is_ejected(&self, now: Time, id: &UpstreamId) -> bool {
        let found = self.index.get(id);
        found.is_some_and(|&i| self[i].health.is_ejected(now))
    }

    /// All engines with their index.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Engine)> {
        self.slab.iter().enumerate().map(|(i, e)| (i as u32, e))
    }
}

/// Whether nothing changed but the load.
fn same_capacity(a: &Stage, b: &Stage) -> bool {
    let numbers = |s: &Stage| (s.first, s.end, s.total, s.rate, s.slots, s.link, s.leaving);
    numbers(a) == numbers(b)
        && a.model == b.model
        && a.version == b.version
        && a.pool == b.pool
        && a.domain == b.domain
}
