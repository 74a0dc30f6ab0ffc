//! Selects where an attempt goes, and books its load.

use std::sync::Arc;

use rand::RngExt;

use super::pool::{self, HealthPolicy, Pool};
use super::proxy::Via;
use super::view::{Upstream, View, of_service};
use super::{Entry, Shared};
use crate::clock::Time;
use crate::configuration::Model;
use crate::decide::health::HealthStatus;
use crate::decide::path::{self, Hop, NoPath, Start, Work};
use crate::decide::pick::{self, Candidate};
use crate::decide::quarantine::{suspect_may_enter, suspect_priority};
use crate::decide::rank::Rank;
use crate::decide::refusal::Reason;
use crate::fingerprint::Fingerprint;
use crate::roster::LayerRange;
use crate::sync::address_from_key;

/// Restrictions on the upstreams of an attempt.
#[derive(Clone, Copy)]
pub(super) struct Exclusions<'a> {
    /// Upstreams at which the request failed.
    pub(super) failed: &'a [u64],
    /// The request, if it is suspect: it may enter one engine that can be spared, or a subset of
    /// plain upstreams.
    pub(super) suspect: Option<&'a Fingerprint>,
    /// Rank of the request. With one, it shares room only with requests that are at least as
    /// urgent.
    pub(super) rank: Option<Rank>,
    /// Whether the caller may already have a part of the response.
    pub(super) begun: bool,
}

impl Exclusions<'_> {
    /// Whether the request may begin at an upstream; only suspect requests are restricted.
    fn may_enter(&self, upstream: u64) -> bool {
        self.suspect.is_none_or(|f| suspect_may_enter(f, upstream))
    }
}

/// Where an attempt goes. Dropping it releases the booked load.
pub(super) struct Selection {
    entry: Arc<Entry>,
    pub(super) upstream: Upstream,
    /// The path as encoded for engines; `None` for a plain service.
    pub(super) path: Option<String>,
    /// The instance that carries the attempt, if one does.
    pub(super) via: Option<Arc<Via>>,
    booked: Vec<(u64, Hop)>,
    /// Engines that the attempt was led around. It never returns to them, so that engines that
    /// are suspected in turn can't send it back and forth.
    avoided: Vec<u64>,
    work: Work,
    pub(super) selected_at: Time,
}

impl Drop for Selection {
    fn drop(&mut self) {
        self.entry.shared().loads.release(&self.booked, &self.work);
    }
}

/// A path around some engines.
pub(super) struct Detour {
    /// The path as encoded for engines.
    pub(super) text: String,
    hops: Vec<(u64, Hop)>,
}

impl Selection {
    /// Whether the attempt passes through an upstream.
    pub(super) fn passes_through(&self, upstream: u64) -> bool {
        self.booked.iter().any(|(key, _)| *key == upstream)
    }

    /// Engines of the path that get no new work of `service` and can be replaced.
    pub(super) fn withdrawn(&self, service: &str) -> Vec<u64> {
        let view = self.entry.view();
        pool::withdrawn(of_service(&view.services, service), &self.booked)
    }

    /// Finds a path around engines over others of the same `service`, and over failing ones
    /// only if there is no other.
    pub(super) fn detour(&self, service: &str, lost: &[u64], model: &Model) -> Option<Detour> {
        let choose = |policy| self.detour_with_policy(service, lost, model, policy);
        choose(HealthPolicy::HealthyOnly).or_else(|| choose(HealthPolicy::AllowFailing))
    }

    fn detour_with_policy(
        &self,
        service: &str,
        lost: &[u64],
        model: &Model,
        policy: HealthPolicy,
    ) -> Option<Detour> {
        let view = self.entry.view();
        let now = self.entry.now();
        let shared = self.entry.shared();
        let mut hops = self.booked.clone();
        let work = Work {
            headroom: 0.0,
            obeys_quota: false,
            ..self.work
        };
        for lost in lost {
            let passed: Vec<u64> = hops.iter().map(|(key, _)| *key).collect();
            let usable = |u: &Upstream| {
                !u.late && !passed.contains(&u.key) && !self.avoided.contains(&u.key)
            };
            let target = Target {
                service,
                model,
                rank: None,
            };
            let pool = shared.pool(now, &view, target, policy, usable);
            hops = pool.replace(*lost, &hops, &work, rand::rng().random())?;
        }
        drop(shared);
        assert!(
            path::is_contiguous(0, model.layers, hops.iter().map(|(_, h)| h.range)),
            "a detour with a gap: {hops:?}"
        );
        let text = encode(&hops);
        Some(Detour { text, hops })
    }

    /// Books another path for the rest of the attempt.
    pub(super) fn switch_to(&mut self, detour: Detour) {
        let mut shared = self.entry.shared();
        shared.loads.release(&self.booked, &self.work);
        shared.loads.book(&detour.hops, &self.work);
        drop(shared);
        let stays = |key: &u64| detour.hops.iter().any(|(k, _)| k == key);
        let before = self.booked.iter().map(|(key, _)| *key);
        self.avoided.extend(before.filter(|key| !stays(key)));
        self.booked = detour.hops;
        self.path = Some(detour.text);
    }

    /// Records that all engines of the path served the request.
    pub(super) fn record_success(&self) {
        let health = &mut self.entry.shared().health;
        for (upstream, _) in &self.booked {
            health.record_success(*upstream);
        }
    }
}

/// What a path is for.
#[derive(Clone, Copy)]
struct Target<'a> {
    service: &'a str,
    model: &'a Model,
    rank: Option<Rank>,
}

/// Cost factor of an engine that is leaving.
const LEAVING_PENALTY: f64 = 8.0;

impl Shared {
    /// Whether a request may be sent to an upstream, as far as it has asked for less.
    fn may_send(&self, now: Time, upstream: &Upstream) -> bool {
        let Upstream { key, id, born, .. } = upstream;
        self.rate_limiter.may_send(now, *key, id, *born)
            && self.backoffs.may_send(now, *key, id, *born)
    }

    /// Engines of the service that `policy` allows by their health, and that are `usable`.
    fn pool<'a>(
        &self,
        now: Time,
        view: &'a View,
        target: Target<'_>,
        policy: HealthPolicy,
        usable: impl Fn(&Upstream) -> bool,
    ) -> Pool<'a> {
        let Target {
            service,
            model,
            rank,
        } = target;
        let share = rank.and_then(|r| self.admission.share(now, service, r));
        let factor = |u: &Upstream| {
            let status = self.health.status(now, u.key, u.late);
            let status = status.with_suspicion(u.suspected);
            let is_allowed = match (policy, status) {
                (HealthPolicy::AllowCut, HealthStatus::Failing) => {
                    !u.late && !u.suspected && self.health.is_only_cut(now, u.key)
                }
                _ => true,
            };
            let leaving = self.backoffs.is_leaving(u.key, &u.id, u.born);
            let penalty = if leaving { LEAVING_PENALTY } else { 1.0 };
            policy
                .factor(status)
                .filter(|_| is_allowed && usable(u))
                .map(|factor| factor * penalty)
        };
        let (services, instances) = (&view.services, view.active_entries());
        let share = share.unwrap_or(1.0);
        Pool::new(
            services,
            service,
            model,
            &self.loads,
            instances,
            share,
            factor,
        )
    }
}

/// Work of a request to a plain service: it takes a slot and no memory.
pub(super) const PLAIN_WORK: Work = Work {
    prompt: 0.0,
    answer: 0.0,
    token_mb: 0.0,
    crossing_ms: 0.0,
    may_cross: false,
    caller_domain: 0,
    headroom: 0.0,
    obeys_quota: false,
};

impl Entry {
    /// Chooses an upstream or a path of `service`, and books it. Falls back to all upstreams of a
    /// plain service if a suspect request finds none in its subset.
    pub(super) fn choose(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        model: Option<&Model>,
        work: Work,
        exclusions: Exclusions<'_>,
    ) -> Result<Selection, Reason> {
        let selection = match model {
            Some(model) => self.choose_path(view, service, model, work, exclusions),
            None => self.choose_plain(view, service, exclusions),
        };
        selection.map_err(|reason| match reason {
            Reason::Limited => self.limit_reason(view, service, exclusions),
            reason => reason,
        })
    }

    /// Why all upstreams of a service are limited: with the time to the end of the first pause, if
    /// one of them asked for a pause.
    fn limit_reason(&self, view: &View, service: &str, exclusions: Exclusions<'_>) -> Reason {
        let now = self.now();
        let backoffs = &self.shared().backoffs;
        let open = view.entrances(service);
        let open = open.filter(|u| !exclusions.failed.contains(&u.key));
        let left = open.filter_map(|u| backoffs.remaining(now, u.key, &u.id, u.born));
        left.min().map_or(Reason::Limited, Reason::Paused)
    }

    fn choose_plain(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        exclusions: Exclusions<'_>,
    ) -> Result<Selection, Reason> {
        let selection = self.choose_upstream(view, service, exclusions);
        if selection.is_ok() || exclusions.suspect.is_none() {
            return selection;
        }
        let any = Exclusions {
            suspect: None,
            ..exclusions
        };
        self.choose_upstream(view, service, any)
    }

    fn choose_upstream(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        exclusions: Exclusions<'_>,
    ) -> Result<Selection, Reason> {
        let upstreams = of_service(&view.services, service);
        let now = self.now();
        let shared = self.shared();
        let candidates: Vec<Candidate> = upstreams
            .iter()
            .map(|u| Candidate {
                requests: shared.loads.at(u.key).requests,
                slots: u.slots.into(),
                same_domain: u.domain == self.boot.domain,
                late: u.late || shared.backoffs.is_leaving(u.key, &u.id, u.born),
                excluded: u.suspected || shared.health.is_excluded(now, u.key),
                tried: exclusions.failed.contains(&u.key) || !exclusions.may_enter(u.key),
                limited: !shared.may_send(now, u),
            })
            .collect();
        drop(shared);
        let found = pick::choose(&candidates, rand::rng().random());
        let upstream = match found {
            Some(found) => upstreams[found].clone(),
            None if candidates.iter().any(|c| c.limited && !c.tried) => {
                return Err(Reason::Limited);
            }
            None => return Err(Reason::NoUpstream),
        };
        let hop = Hop {
            engine: 0,
            range: LayerRange::new(0, 1),
        };
        Ok(self.book(
            upstream.clone(),
            None,
            vec![(upstream.key, hop)],
            PLAIN_WORK,
        ))
    }

    /// Books a path over healthy engines, or also over failing ones if a layer has no other
    /// holder. A response that has begun also takes one over engines that broke off others, if the
    /// healthy ones are full: its caller waits, and one reset doesn't show that an engine is dead.
    fn choose_path(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        model: &Model,
        work: Work,
        exclusions: Exclusions<'_>,
    ) -> Result<Selection, Reason> {
        let choose = |policy| self.path_with_policy(view, service, model, work, exclusions, policy);
        match choose(HealthPolicy::HealthyOnly) {
            Err(Reason::NoUpstream) => choose(HealthPolicy::AllowFailing),
            Err(Reason::Full) if exclusions.begun && exclusions.suspect.is_none() => {
                choose(HealthPolicy::AllowCut)
            }
            found => found,
        }
    }

    fn path_with_policy(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        model: &Model,
        mut work: Work,
        exclusions: Exclusions<'_>,
        policy: HealthPolicy,
    ) -> Result<Selection, Reason> {
        let now = self.now();
        let usable = |u: &Upstream| !exclusions.failed.contains(&u.key);
        let target = Target {
            service,
            model,
            rank: exclusions.rank,
        };
        let mut pool = self.shared().pool(now, view, target, policy, usable);
        if let Some(suspect) = exclusions.suspect {
            pool.restrict_to_spare(|u| suspect_priority(suspect, u.key));
        }
        let shared = self.shared();
        let limited = pool.limit_entry(|u| shared.may_send(now, u));
        drop(shared);
        // A domain without engines gets an index that no candidate has.
        work.caller_domain = pool.domain(&self.boot.domain).unwrap_or(usize::MAX);
        let mut rng = rand::rng();
        let noise: Vec<f64> = pool
            .candidates
            .iter()
            .map(|_| pool::jitter(rng.random()))
            .collect();
        let search = |work: &Work| {
            let noise = |i: usize| noise[i];
            path::choose(model.layers, Start::Caller, &pool.candidates, work, noise)
        };
        let mut found = search(&work);
        if found.is_err() {
            work.may_cross = true;
            found = search(&work).and_then(|hops| {
                let crossings = path::crossings(&pool.candidates, &hops) as f64;
                let occupied = crossings * work.link_ms();
                let link = &mut self.shared().link;
                let free = link.try_acquire(now, view.active_entries(), occupied);
                if free { Ok(hops) } else { Err(NoPath::Full) }
            });
        }
        let hops = found.map_err(|e| match e {
            NoPath::MissingLayer(_) => Reason::NoUpstream,
            NoPath::Full if limited => Reason::Limited,
            NoPath::Full => Reason::Full,
        })?;
        assert!(
            path::is_complete(0, model.layers, &pool.candidates, &hops),
            "a path that doesn't cover each layer once and in order: {hops:?}"
        );
        let booked = pool.booking(&hops);
        let first = pool.engines[hops[0].engine].clone();
        let path = encode(&booked);
        Ok(self.book(first, Some(path), booked, work))
    }

    fn book(
        self: &Arc<Self>,
        upstream: Upstream,
        path: Option<String>,
        booked: Vec<(u64, Hop)>,
        work: Work,
    ) -> Selection {
        self.shared().loads.book(&booked, &work);
        Selection {
            entry: Arc::clone(self),
            upstream,
            path,
            via: None,
            booked,
            avoided: Vec::new(),
            work,
            selected_at: self.now(),
        }
    }
}

/// Encodes a booked path for engines.
fn encode(booked: &[(u64, Hop)]) -> String {
    let named: Vec<_> = booked
        .iter()
        .map(|(k, h)| (address_from_key(*k), *h))
        .collect();
    crate::platform::engine::encode_path(&named)
}
