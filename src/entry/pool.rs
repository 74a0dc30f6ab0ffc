//! Candidate engines of a service for the path of a request.

use super::view::{Services, Upstream, of_service};
use crate::configuration::Model;
use crate::decide::health::HealthStatus;
use crate::decide::load::{Contention, Loads, Speed};
use crate::decide::path::{self, Candidate, Hop, Start, Work};
use crate::roster::LayerRange;

/// Cost factor of an engine whose heartbeats are late.
const LATE_PENALTY: f64 = 4.0;

/// Cost factor of an engine that fails some of its requests. It is used only if every path has
/// such engines, and then with as few of them as possible.
const FAILING_PENALTY: f64 = 8.0;

/// Cost factor of an engine that is silent as are many others. It probably lives, but answers late
/// if at all.
const SILENT_PENALTY: f64 = 4.0;

/// Step time, as a share of the slowest engine's, from which an engine counts as slow.
const SLOW_SHARE: f64 = 0.5;

/// Half the width of the random factor on an engine's cost.
const JITTER: f64 = 0.1;

/// Which engines a path may pass through, by their health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthPolicy {
    /// Only engines that are not excluded.
    HealthyOnly,
    /// Also engines that are excluded only because they broke off responses.
    AllowCut,
    /// Also engines that are excluded but alive.
    AllowFailing,
}

impl HealthPolicy {
    /// Cost factor of an engine, or `None` if it may not be used.
    pub(crate) fn factor(self, status: HealthStatus) -> Option<f64> {
        match (self, status) {
            (_, HealthStatus::Healthy) => Some(1.0),
            (_, HealthStatus::Silent) => Some(SILENT_PENALTY),
            (Self::AllowCut | Self::AllowFailing, HealthStatus::Failing) => Some(FAILING_PENALTY),
            _ => None,
        }
    }
}

/// Engines that a path may use, with their load.
pub(crate) struct Pool<'a> {
    /// All engines of the service, including those that may not be used.
    all: &'a [Upstream],
    /// Failure domains of `all`; candidates hold an index into them.
    domains: Vec<&'a str>,
    /// Each candidate's engine.
    pub(crate) engines: Vec<&'a Upstream>,
    pub(crate) candidates: Vec<Candidate>,
}

impl<'a> Pool<'a> {
    /// Collects the engines of `service` that hold layers and for which `factor` returns a
    /// cost factor. `instances` share their room, or the part `share` of the requests; see
    /// [`Contention`].
    pub(crate) fn new(
        services: &'a Services,
        service: &str,
        model: &Model,
        loads: &Loads,
        instances: u32,
        share: f64,
        factor: impl Fn(&Upstream) -> Option<f64>,
    ) -> Self {
        let all = of_service(services, service);
        let domains = domains(all);
        let replicas = replicas(all, model, &domains);
        let of = |u: &'a Upstream| {
            let factor = factor(u)?;
            let domain = domains.iter().position(|d| *d == u.domain)?;
            let contention = Contention {
                instances,
                share,
                replicas: replicas[domain],
            };
            let mut candidate = candidate(u, model, loads, contention, domain)?;
            candidate.cost_factor *= factor;
            Some((u, candidate))
        };
        let (engines, candidates) = all.iter().filter_map(of).unzip();
        Self {
            all,
            domains,
            engines,
            candidates,
        }
    }

    /// Restricts the engines at which a path may begin to those that `may_enter` accepts.
    pub(crate) fn restrict_entry(&mut self, may_enter: impl Fn(&Upstream) -> bool) {
        for (engine, candidate) in self.engines.iter().zip(&mut self.candidates) {
            candidate.may_enter &= may_enter(engine);
        }
    }

    /// Restricts the engines at which a path may begin to one that can be spared: all its layers
    /// have another holder in its domain. Of several, the one of highest `priority` among the slow
    /// ones, with which the least is lost if the request crashes it.
    pub(crate) fn restrict_to_spare(&mut self, priority: impl Fn(&Upstream) -> u64) {
        let spare = |i: &usize| {
            let candidate = &self.candidates[*i];
            candidate.may_enter && candidate.range.first == 0 && self.is_spare(*i)
        };
        let spare: Vec<usize> = (0..self.candidates.len()).filter(spare).collect();
        let step = |i: usize| self.candidates[i].step_ms;
        let slowest = spare.iter().map(|&i| step(i)).fold(0.0, f64::max);
        let slow = spare
            .into_iter()
            .filter(|&i| step(i) >= SLOW_SHARE * slowest);
        let chosen = slow.max_by_key(|&i| priority(self.engines[i]));
        for (i, candidate) in self.candidates.iter_mut().enumerate() {
            candidate.may_enter = chosen == Some(i);
        }
    }

    /// Whether all layers of a candidate have another holder in its domain.
    fn is_spare(&self, at: usize) -> bool {
        let own = &self.candidates[at];
        let others = || {
            let all = self.candidates.iter().enumerate();
            all.filter(|(i, c)| *i != at && c.domain == own.domain)
        };
        let mut layers = own.range.first..own.range.end;
        layers.all(|layer| others().any(|(_, c)| c.range.contains(layer)))
    }

    /// Like [`Pool::restrict_entry`], for rate limits. Returns whether the limits exclude
    /// all engines at which a path could begin; false if there were none before.
    pub(crate) fn limit_entry(&mut self, may_send: impl Fn(&Upstream) -> bool) -> bool {
        let begins = |c: &Candidate| c.may_enter && c.range.first == 0;
        let before = self.candidates.iter().any(begins);
        self.restrict_entry(may_send);
        before && !self.candidates.iter().any(begins)
    }

    /// Index of a failure domain, or `None` if it has no engines.
    pub(crate) fn domain(&self, name: &str) -> Option<usize> {
        self.domains.iter().position(|d| *d == name)
    }

    /// The path as booked, with the keys of its engines.
    pub(crate) fn booking(&self, hops: &[Hop]) -> Vec<(u64, Hop)> {
        let key = |h: &Hop| (self.engines[h.engine].key, *h);
        hops.iter().map(key).collect()
    }

    /// Replaces `lost` in a booked path with other engines of its domain. The other engines
    /// keep their layers, so that only the replaced ones process the prompt again; from
    /// another domain, the whole prompt would have to cross the shared link.
    pub(crate) fn replace(
        &self,
        lost: u64,
        booked: &[(u64, Hop)],
        work: &Work,
        draw: f64,
    ) -> Option<Vec<(u64, Hop)>> {
        let at = booked.iter().position(|(key, _)| *key == lost)?;
        // The first engine holds the caller's connection and can't be replaced.
        let before = booked.get(at.checked_sub(1)?)?;
        let home = self.all.iter().find(|u| u.key == before.0)?;
        let range = booked[at].1.range;
        let start = Start::After {
            layer: range.first,
            domain: self.domain(&home.domain)?,
        };
        let noise = |i: usize| jitter((draw * 97.0 + i as f64 * 0.618).fract());
        let found = path::choose(range.end, start, &self.candidates, work, noise).ok()?;
        let mut hops = booked.to_vec();
        hops.splice(at..=at, self.booking(&found));
        Some(hops)
    }
}

/// Engines of a booked path that are no longer in `upstreams` with their layers. Empty if the
/// first engine is one of them: it holds the caller's connection and can't be replaced, and it
/// refuses a path that names it with layers that it gives up.
pub(crate) fn withdrawn(upstreams: &[Upstream], booked: &[(u64, Hop)]) -> Vec<u64> {
    let stays = |key: u64, part: LayerRange| {
        let mut same = upstreams.iter().filter(|u| u.key == key);
        same.any(|u| u.layers.is_some_and(|held| held.covers(part)))
    };
    let lost = booked.iter().filter(|(key, hop)| !stays(*key, hop.range));
    let lost: Vec<u64> = lost.map(|(key, _)| *key).collect();
    if lost.first() == booked.first().map(|(key, _)| key) {
        return Vec::new();
    }
    lost
}

/// Random cost factor for a `draw` from 0 to 1. It spreads requests over engines of equal
/// cost, since all instances see the same costs.
pub(crate) fn jitter(draw: f64) -> f64 {
    1.0 + JITTER * (2.0 * draw - 1.0)
}

fn domains(upstreams: &[Upstream]) -> Vec<&str> {
    let mut domains: Vec<&str> = upstreams.iter().map(|u| u.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Average number of engines that hold a layer, by failure domain.
fn replicas(upstreams: &[Upstream], model: &Model, domains: &[&str]) -> Vec<f64> {
    let mut replicas = vec![0.0; domains.len()];
    for upstream in upstreams {
        let domain = domains.iter().position(|d| *d == upstream.domain);
        if let (Some(domain), Some(layers)) = (domain, upstream.layers) {
            replicas[domain] += f64::from(layers.len()) / f64::from(model.layers);
        }
    }
    replicas
}

/// Speed and room of an engine under its current load, if it holds layers.
pub(crate) fn speed(upstream: &Upstream, model: &Model, loads: &Loads) -> Option<Speed> {
    let accelerator = model.accelerator(upstream.kind.as_deref()?)?;
    let load = loads.at(upstream.key);
    Some(Speed::new(model, accelerator, upstream.layers?, load))
}

/// The engine as a candidate for a path, if it holds layers.
fn candidate(
    upstream: &Upstream,
    model: &Model,
    loads: &Loads,
    contention: Contention,
    domain: usize,
) -> Option<Candidate> {
    let range = upstream.layers?;
    let speed = speed(upstream, model, loads)?;
    let usual = model.usual_mb(range.len());
    Some(Candidate {
        range,
        domain,
        step_ms: speed.step_ms * upstream.pace,
        read_ms: speed.read_ms * upstream.pace,
        memory_mb: speed.memory_mb,
        room_mb: speed.room_mb,
        has_quota: loads.may_add(upstream.key, speed.room_mb, usual, contention),
        utilisation: speed.utilisation,
        may_enter: loads.at(upstream.key).first_hops < f64::from(upstream.slots),
        cost_factor: if upstream.late { LATE_PENALTY } else { 1.0 },
    })
}
