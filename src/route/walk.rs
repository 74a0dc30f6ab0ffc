//! The walk from layer 0 to the last layer that builds a path.

use std::cell::Cell;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::engines::Engines;
use super::plan::{Plan, Variant};
use super::policy::{HopContext, Policy};
use super::prefix::Cached;
use super::types::{NoPath, Query};
use crate::clock::Time;

/// Cost of processing a prompt token relative to generating one. Prompts are
/// processed in large batches.
const PREFILL_COST: f64 = 0.1;

/// Seconds that a token takes to pass to another failure domain.
const DOMAIN_HOP_SECONDS: f64 = 0.000_25;

/// Inputs and findings of one walk.
#[derive(Debug)]
pub(crate) struct Walk<'a> {
    pub(crate) now: Time,
    pub(crate) query: &'a Query<'a>,
    pub(crate) engines: &'a Engines,
    pub(crate) cached: &'a [Cached],
    /// Whether an engine was skipped because it is full.
    pub(crate) full: Cell<bool>,
    /// Whether engines on probation may be used.
    pub(crate) probing: Cell<bool>,
    /// Load ratio of the engines at which the walk ended.
    pub(crate) load_ratio: Cell<f64>,
    /// Whether the instances contend for free slots.
    pub(crate) contended: bool,
}

/// One hop of a path.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Step {
    pub(crate) engine: u32,
    pub(crate) first: u32,
    pub(crate) end: u32,
    /// Expected seconds per token.
    pub(crate) cost: f64,
}

impl Walk<'_> {
    /// Finds a path through one of the plan's versions.
    pub(crate) fn path<'p>(
        &self,
        plan: &'p Plan,
        policy: &mut dyn Policy,
        rng: &mut ChaCha8Rng,
    ) -> Result<(&'p Variant, Vec<Step>), NoPath> {
        let wanted = |v: &&Variant| self.query.version.is_none_or(|w| *v.version == *w);
        let mut untried: Vec<&Variant> = plan.variants.iter().filter(wanted).collect();
        while !untried.is_empty() {
            let variant = untried.swap_remove(draw(&untried, rng));
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

    /// Finds a path through one version. If the request isn't idempotent,
    /// engines on probation are used only if there is no other path.
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

    /// Walks from boundary to boundary without backtracking. An engine may be
    /// entered at any layer it holds, so a boundary without a usable engine
    /// means that the layer has none, and no other walk would get past it.
    fn try_steps(
        &self,
        variant: &Variant,
        policy: &mut dyn Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<Vec<Step>> {
        let last = variant.boundaries.len() - 1;
        let mut steps: Vec<Step> = Vec::with_capacity(last);
        let mut boundary = 0;
        while boundary != last {
            let edges = &variant.edges[boundary];
            let context = HopContext {
                walk: self,
                variant,
                edges,
                last: steps.last().map(|s| s.engine),
            };
            let Some(pick) = policy.pick(&context, rng) else {
                self.load_ratio.set(context.load_ratio());
                return None;
            };
            let edge = &edges[pick.edge];
            steps.push(Step {
                engine: pick.engine,
                first: variant.boundaries[boundary],
                end: variant.boundaries[edge.to],
                cost: self.engines[pick.engine].token_time(self.now),
            });
            boundary = edge.to;
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
        if engine.health.is_on_probation() && (engine.own() > 0 || !self.probing.get()) {
            // Counts as full, not as missing: it becomes free again.
            self.full.set(true);
            return false;
        }
        let full = if self.contended {
            engine.is_over_quota(self.now)
        } else {
            engine.is_full(self.now)
        };
        self.full.set(self.full.get() || full);
        !full
    }

    /// Seconds that a request is expected to spend at an engine: waiting for a
    /// slot, processing the prompt unless it is cached, and generating.
    pub(crate) fn cost(&self, i: u32, last: Option<u32>) -> f64 {
        let engine = &self.engines[i];
        let stage = &engine.stage;
        let crosses_domain = last.is_some_and(|l| self.engines[l].stage.domain != stage.domain);
        let hop = if crosses_domain {
            DOMAIN_HOP_SECONDS
        } else {
            0.0
        };
        let token = engine.token_time(self.now) + hop;
        let tokens = f64::from(self.query.expected.max(1));
        let slots = f64::from(stage.slots.max(1));
        let overload = (engine.load(self.now) + 1.0 - slots).max(0.0) / slots;
        let known = self.cached.iter();
        let known = known.filter(|c| c.engine == i && c.epoch == engine.epoch);
        let cached = known.map(|c| c.probability(self.now)).fold(0.0, f64::max);
        let prefill = f64::from(self.query.prompt) * PREFILL_COST / engine.capacity().max(1.0);
        token * tokens * (1.0 + overload) + prefill * (1.0 - cached)
    }
}

/// Draws a version in proportion to its maximum flow.
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
