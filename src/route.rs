//! Choice of a pipeline: an ordered list of upstreams that covers each layer
//! once.
//!
//! [`Router::set_view`] applies the announced upstreams and, if the capacity or
//! state of one changed, computes the maximum flow over engines and links for
//! each model in use and distributes it evenly. [`Router::choose`] walks from
//! layer 0 to the last one, draws each hop by its share of that flow and then
//! corrects for load. Because the draw is random, instances that see the same
//! outdated reports don't all choose the same engine.

mod engine;
mod engines;
mod health;
mod plan;
mod policy;
mod prefix;
mod types;
mod walk;

use std::cell::Cell;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::queue::SegQueue;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;

pub use policy::{
    Candidate, FlowShares, GreedyCheapest, HopContext, LeastInFlight, Policy, RoundRobin,
};
pub use types::{Choice, Hop, NoPath, NoPathReason, Outcome, Query, Stage, Ticket};

use crate::clock::Time;
use crate::collections::HashMap;
use engines::Engines;
use plan::Plan;
use prefix::Prefixes;
use walk::Walk;

/// Time after which the plan of an unused model and set of pools is dropped.
const PLAN_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of plans; beyond it the least recently used one is dropped.
const MAX_PLANS: usize = 512;

/// Chooses paths for one instance.
#[derive(Debug)]
pub struct Router {
    rng: ChaCha8Rng,
    policy: Box<dyn Policy>,
    engines: Engines,
    /// Plans by the hash of their model and pools.
    plans: HashMap<u64, Vec<Plan>>,
    prefixes: Prefixes,
    /// Number of instances that choose from the same reports, including this
    /// one; `None` if never set.
    instances: Option<u32>,
    returns: Arc<SegQueue<Vec<u32>>>,
}

impl Router {
    /// Creates a router that chooses by flow shares.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_policy(seed, Box::new(FlowShares))
    }

    /// Creates a router with another policy, for comparison.
    #[must_use]
    pub fn with_policy(seed: u64, policy: Box<dyn Policy>) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            policy,
            engines: Engines::default(),
            plans: HashMap::default(),
            prefixes: Prefixes::default(),
            instances: None,
            returns: Arc::default(),
        }
    }

    /// Sets how many instances choose from the same reports, including this
    /// one. Until it is set, the number is estimated from the loads.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = Some(instances.max(1));
    }

    /// Applies the engines announced at present. Plans in use are recomputed if
    /// capacities, states or ejections changed.
    pub fn set_view(&mut self, now: Time, stages: &[Stage]) {
        self.collect();
        let instances = self.instances.map(f64::from);
        let changed = self.engines.update(now, stages, instances, &mut self.rng);
        for plans in self.plans.values_mut() {
            plans.retain(|plan| now.since(plan.used) < PLAN_IDLE_TIMEOUT);
            if changed {
                plans.iter_mut().for_each(|p| p.rebuild(&self.engines));
            }
        }
        self.plans.retain(|_, plans| !plans.is_empty());
    }

    /// Chooses a path for one request.
    ///
    /// # Errors
    /// [`NoPath`] if there is no path; nothing was sent.
    pub fn choose(&mut self, now: Time, query: &Query<'_>) -> Result<Choice, NoPath> {
        self.collect();
        let key = self.plan_key(now, query);
        let plans = self.plans.get(&key).map_or(&[][..], Vec::as_slice);
        let plan = plans.iter().find(|p| p.serves(query));
        let plan = plan.ok_or(NoPath::unknown())?;
        let cached = query.prefix.map_or(&[][..], |p| self.prefixes.get(p));
        let walk = Walk {
            now,
            query,
            engines: &self.engines,
            cached,
            full: Cell::new(false),
            probing: Cell::new(true),
            load_ratio: Cell::new(0.0),
            contended: self.instances != Some(1) && plan.is_contended(now),
        };
        let path = walk.path(plan, self.policy.as_mut(), &mut self.rng);
        let full = matches!(&path, Err(none) if none.reason == NoPathReason::Full);
        if full {
            plan.set_contended(now, walk.load_ratio.get());
        }
        let (variant, steps) = path?;
        let hops = steps.iter().map(|step| Hop {
            upstream: self.engines[step.engine].stage.id.clone(),
            first: step.first,
            end: step.end,
        });
        let choice = Choice {
            hops: hops.collect(),
            version: variant.version.clone(),
            ticket: Ticket {
                engines: steps.iter().map(|step| step.engine).collect(),
                expected: steps.iter().map(|step| step.cost).sum(),
                prefix: query.prefix,
                returns: self.returns.clone(),
            },
        };
        for step in &steps {
            self.engines.start(step.engine);
        }
        Ok(choice)
    }

    /// Releases the in-flight count of a path and records its outcome.
    pub fn finish(&mut self, now: Time, mut ticket: Ticket, outcome: Outcome) {
        let engines = std::mem::take(&mut ticket.engines);
        for &engine in &engines {
            self.engines.stop(engine);
        }
        match outcome {
            Outcome::Done { token } => {
                let factor = token.as_secs_f64() / ticket.expected.max(1e-6);
                for &engine in &engines {
                    self.engines.record_success(now, engine, factor);
                }
                if let Some(prefix) = ticket.prefix {
                    let locations = engines.iter().map(|&e| (e, self.engines[e].epoch));
                    self.prefixes.record(now, prefix, locations);
                }
            }
            Outcome::Failed { stage } => {
                if let Some(&engine) = engines.get(stage) {
                    self.engines.record_failure(now, engine);
                }
            }
            Outcome::Unattributed => {
                for &engine in &engines {
                    self.engines.record_suspicion(now, engine);
                }
            }
            Outcome::Busy { stage } => {
                if let Some(&engine) = engines.get(stage) {
                    self.engines.record_refusal(now, engine);
                }
            }
            Outcome::Cancelled => {}
        }
    }

    /// Maximum flow of a model in a set of pools, in tokens per second, as
    /// bounded by engines and links. Zero if there is no complete path.
    pub fn bound(&mut self, now: Time, model: &str, pools: &[String]) -> f64 {
        let query = Query::new(model, pools);
        let key = self.plan_key(now, &query);
        let plans = self.plans.get(&key).map_or(&[][..], Vec::as_slice);
        let plan = plans.iter().find(|p| p.serves(&query));
        plan.map_or(0.0, Plan::bound)
    }

    /// Number of this instance's requests in flight on an upstream.
    #[must_use]
    pub fn in_flight(&mut self, upstream: &crate::id::UpstreamId) -> u32 {
        self.collect();
        self.engines.in_flight(upstream)
    }

    /// Whether an upstream is ejected at present.
    #[must_use]
    pub fn is_ejected(&self, now: Time, upstream: &crate::id::UpstreamId) -> bool {
        self.engines.is_ejected(now, upstream)
    }

    /// Finds or computes the plan of a query, marks it as used and returns its
    /// key.
    fn plan_key(&mut self, now: Time, query: &Query<'_>) -> u64 {
        let mut hasher = FxHasher::default();
        query.model.hash(&mut hasher);
        query.pools.hash(&mut hasher);
        let key = hasher.finish();
        let plans = self.plans.entry(key).or_default();
        if let Some(plan) = plans.iter_mut().find(|p| p.serves(query)) {
            plan.used = now;
            return key;
        }
        let mut plan = Plan::new(query.model, query.pools, now);
        plan.rebuild(&self.engines);
        plans.push(plan);
        self.evict();
        key
    }

    fn evict(&mut self) {
        if self.plans.len() <= MAX_PLANS {
            return;
        }
        let oldest = self.plans.iter().min_by_key(|(_, plans)| {
            let used = plans.iter().map(|p| p.used);
            used.max().unwrap_or_default()
        });
        if let Some(key) = oldest.map(|(&key, _)| key) {
            self.plans.remove(&key);
        }
    }

    /// Releases the in-flight counts of dropped tickets.
    fn collect(&mut self) {
        while let Some(engines) = self.returns.pop() {
            for engine in engines {
                self.engines.stop(engine);
            }
        }
    }
}
