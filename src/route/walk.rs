//! The walk from layer 0 to the last one that makes a path.

use std::cell::Cell;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engines::Engines;
use super::plan::{Plan, Variant};
use super::policy::{HopContext, Policy};
use super::prefix::Cached;
use super::types::{NoPath, Query};
use crate::clock::Time;

/// Cost of reading a prompt token by that of generating one. Prompts are read
/// in large batches.
const PREFILL: f64 = 0.1;

/// Seconds that a token takes to pass into another failure domain.
const CROSSING: f64 = 0.000_25;

/// What one walk looks at.
#[derive(Debug)]
pub(crate) struct Walk<'a> {
    pub(crate) now: Time,
    pub(crate) query: &'a Query<'a>,
    pub(crate) engines: &'a Engines,
    pub(crate) cached: &'a [Cached],
    /// Whether an engine was passed over because it is full.
    pub(crate) full: Cell<bool>,
    /// Whether engines that failed lately may be used too.
    pub(crate) probing: Cell<bool>,
    /// Load by places where the walk ended.
    pub(crate) crowd: Cell<f64>,
    /// Whether the instances contend for free places.
    pub(crate) contended: bool,
}

/// One hop of a path.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) engine: u32,
    pub(crate) first: u32,
    pub(crate) end: u32,
    /// Seconds a token is expected to take.
    pub(crate) cost: f64,
}

impl Walk<'_> {
    /// A path through one of the plan's versions.
    pub(crate) fn path<'p>(
        &self,
        plan: &'p Plan,
        policy: &mut dyn Policy,
        rng: &mut ChaCha8Rng,
    ) -> Result<(&'p Variant, Vec<Step>), NoPath> {
        let wanted = |v: &&Variant| self.query.version.is_none_or(|w| *v.version == *w);
        let mut left: Vec<&Variant> = plan.variants.iter().filter(wanted).collect();
        while !left.is_empty() {
            let variant = left.swap_remove(draw(&left, rng));
            if let Some(steps) = self.steps(variant, policy, rng) {
                return Ok((variant, steps));
            }
        }
        Err(if self.full.get() {
            NoPath::full()
        } else {
            NoPath::unknown()
        })
    }

    /// A path through one version: first without engines on probation if the
    /// request can't be run again.
    fn steps(
        &self,
        variant: &Variant,
        policy: &mut dyn Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<Vec<Step>> {
        self.probing.set(self.query.idempotent);
        let steps = self.try_steps(variant, policy, rng);
        if steps.is_some() || self.query.idempotent {
            return steps;
        }
        self.probing.set(true);
        self.try_steps(variant, policy, rng)
    }

    /// Walks on from cut to cut. An engine may be entered at any layer it
    /// holds, so a cut without a usable engine means that its layer has none,
    /// and no other walk would get past it either: there is no turning back.
    fn try_steps(
        &self,
        variant: &Variant,
        policy: &mut dyn Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<Vec<Step>> {
        let last = variant.cuts.len() - 1;
        let mut steps: Vec<Step> = Vec::with_capacity(last);
        let mut cut = 0;
        while cut != last {
            let ways = &variant.ways[cut];
            let site = HopContext {
                walk: self,
                variant,
                ways,
                last: steps.last().map(|s| s.engine),
            };
            let Some(pick) = policy.pick(&site, rng) else {
                self.crowd.set(site.crowd());
                return None;
            };
            let way = &ways[pick.way];
            steps.push(Step {
                engine: pick.engine,
                first: variant.cuts[cut],
                end: variant.cuts[way.to],
                cost: self.engines[pick.engine].token_time(self.now),
            });
            cut = way.to;
        }
        Some(steps)
    }

    /// Whether a request may be sent to an engine now.
    pub(crate) fn usable(&self, i: u32) -> bool {
        let engine = &self.engines[i];
        let excluded = self.query.exclude.contains(&engine.stage.id);
        if excluded || !engine.is_up() || engine.health.is_ejected(self.now) {
            return false;
        }
        if engine.health.is_probed() && (engine.own() > 0 || !self.probing.get()) {
            // It will be free again, which isn't the same as no engine.
            self.full.set(true);
            return false;
        }
        let full = if self.contended {
            engine.is_claimed(self.now)
        } else {
            engine.is_full(self.now)
        };
        self.full.set(self.full.get() || full);
        !full
    }

    /// Seconds a request is expected to spend at an engine: waiting for a
    /// slot, reading the prompt unless it is cached, generating.
    pub(crate) fn cost(&self, i: u32, last: Option<u32>) -> f64 {
        let engine = &self.engines[i];
        let stage = &engine.stage;
        let crosses = last.is_some_and(|l| self.engines[l].stage.domain != stage.domain);
        let crossing = if crosses { CROSSING } else { 0.0 };
        let token = engine.token_time(self.now) + crossing;
        let tokens = f64::from(self.query.expected.max(1));
        let slots = f64::from(stage.slots.max(1));
        let over = (engine.load(self.now) + 1.0 - slots).max(0.0) / slots;
        let known = self.cached.iter();
        let known = known.filter(|c| c.engine == i && c.epoch == engine.epoch);
        let cached = known.map(|c| c.chance(self.now)).fold(0.0, f64::max);
        let prefill = f64::from(self.query.prompt) * PREFILL / engine.capacity().max(1.0);
        token * tokens * (1.0 + over) + prefill * (1.0 - cached)
    }
}

/// Draws a version by its maximum flow.
fn draw(variants: &[&Variant], rng: &mut ChaCha8Rng) -> usize {
    if variants.len() == 1 {
        return 0;
    }
    let total: f64 = variants.iter().map(|v| v.bound).sum();
    let mut at = rng.random::<f64>() * total;
    for (i, variant) in variants.iter().enumerate() {
        at -= variant.bound;
        if at < 0.0 {
            return i;
        }
    }
    variants.len() - 1
}
