//! Chooses where an attempt goes, and books it.

use std::net::SocketAddrV4;
use std::sync::Arc;

use rand::RngExt;

use super::Entry;
use super::view::{Upstream, View};
use crate::configuration::Model;
use crate::decide::load::{Loads, Speed};
use crate::decide::path::{self, Candidate, Hop, NoPath, Start, Work};
use crate::decide::pick::{self, Offer};
use crate::decide::refusal::Reason;
use crate::roster::Range;
use crate::sync::key_address;

/// Factor on the cost of an engine whose heartbeats are late.
const LATE: f64 = 4.0;

/// Half the width of the random factor on an engine's cost.
const NOISE: f64 = 0.1;

/// Where an attempt goes. Dropping it ends the booking.
pub(super) struct Chosen {
    entry: Arc<Entry>,
    pub(super) upstream: Upstream,
    /// The path in the form that engines get; `None` of a plain service.
    pub(super) path: Option<String>,
    booked: Vec<(u64, Hop)>,
    work: Work,
}

impl Drop for Chosen {
    fn drop(&mut self) {
        self.entry.shared().loads.leave(&self.booked, &self.work);
    }
}

/// A path around an engine.
pub(super) struct Detour {
    /// In the form that engines get.
    pub(super) text: String,
    hops: Vec<(u64, Hop)>,
}

impl Chosen {
    /// Whether the attempt passes through an upstream.
    pub(super) fn passes(&self, upstream: u64) -> bool {
        self.booked.iter().any(|(key, _)| *key == upstream)
    }

    /// A path with other engines in the place of one. The parts of the others
    /// stay, so that only what is replaced is read again; and it stays in the
    /// domain, since a whole prompt would have to cross the shared link.
    pub(super) fn detour(&self, around: u64, model: &Model, draw: f64) -> Option<Detour> {
        let entry = &self.entry;
        let at = self.booked.iter().position(|(key, _)| *key == around)?;
        // The first part has the caller's connection and must stay.
        let before = self.booked.get(at.checked_sub(1)?)?;
        let range = self.booked[at].1.range;
        let view = entry.view();
        let now = entry.now();
        let upstreams: Vec<&Upstream> = view.services.values().flatten().collect();
        let domains = domains(upstreams.iter().copied());
        let home = upstreams.iter().find(|u| u.key == before.0)?;
        let domain = domains.iter().position(|d| *d == home.domain)?;
        let shared = entry.shared();
        let usable = upstreams
            .iter()
            .filter(|u| !self.passes(u.key) && !u.late && !shared.health.is_out(now, u.key))
            .filter_map(|u| Some((u.key, candidate(u, model, &shared.loads, &domains)?)));
        let (keys, candidates): (Vec<u64>, Vec<Candidate>) = usable.unzip();
        drop(shared);
        let start = Start::Behind {
            layer: range.first,
            domain,
        };
        let noise = |i: usize| 1.0 + NOISE * ((draw * 97.0 + i as f64 * 0.618).fract() - 0.5);
        let found = path::choose(range.end, start, &candidates, &self.work, noise).ok()?;
        let replaced = found.iter().map(|h| (keys[h.engine], *h));
        let mut hops = self.booked.clone();
        hops.splice(at..=at, replaced);
        assert!(
            path::is_gapless(0, model.layers, hops.iter().map(|(_, h)| h.range)),
            "a detour with a gap: {hops:?}"
        );
        let named: Vec<_> = hops.iter().map(|(k, h)| (key_address(*k), *h)).collect();
        let text = crate::platform::engine::encode_path(&named);
        Some(Detour { text, hops })
    }

    /// Books another path for the rest of the attempt.
    pub(super) fn follow(&mut self, detour: Detour) {
        let mut shared = self.entry.shared();
        shared.loads.leave(&self.booked, &self.work);
        shared.loads.enter(&detour.hops, &self.work);
        drop(shared);
        self.booked = detour.hops;
        self.path = Some(detour.text);
    }

    /// Notes that the request got through all its upstreams.
    pub(super) fn succeeded(&self) {
        let health = &mut self.entry.shared().health;
        for (upstream, _) in &self.booked {
            health.succeeded(*upstream);
        }
    }
}

/// Work of a request to a plain service: it takes a place and no memory.
pub(super) const PLAIN: Work = Work {
    prompt: 0.0,
    answer: 0.0,
    token_mb: 0.0,
    crossing_ms: 0.0,
    crosses: false,
    home: 0,
};

impl Entry {
    /// Chooses an upstream or a path of `service`, and books it. `tried` are
    /// upstreams at which this request failed.
    pub(super) fn choose(
        self: &Arc<Self>,
        view: &View,
        service: &str,
        model: Option<&Model>,
        work: Work,
        tried: &[u64],
    ) -> Result<Chosen, Reason> {
        let upstreams = view.services.get(service).map_or(&[][..], Vec::as_slice);
        match model {
            Some(model) => self.choose_path(view, upstreams, model, work, tried),
            None => self.choose_one(upstreams, tried),
        }
    }

    fn choose_one(
        self: &Arc<Self>,
        upstreams: &[Upstream],
        tried: &[u64],
    ) -> Result<Chosen, Reason> {
        let now = self.now();
        let shared = self.shared();
        let offers: Vec<Offer> = upstreams
            .iter()
            .map(|u| Offer {
                requests: shared.loads.at(u.key).requests,
                slots: u.slots.into(),
                near: u.domain == self.boot.domain,
                late: u.late,
                out: shared.health.is_out(now, u.key),
                tried: tried.contains(&u.key),
            })
            .collect();
        drop(shared);
        let found = pick::choose(&offers, rand::rng().random());
        let upstream = upstreams[found.ok_or(Reason::NoUpstream)?].clone();
        let hop = Hop {
            engine: 0,
            range: Range::new(0, 1),
        };
        Ok(self.book(upstream.clone(), None, vec![(upstream.key, hop)], PLAIN))
    }

    fn choose_path(
        self: &Arc<Self>,
        view: &View,
        upstreams: &[Upstream],
        model: &Model,
        mut work: Work,
        tried: &[u64],
    ) -> Result<Chosen, Reason> {
        let now = self.now();
        let domains = domains(upstreams.iter());
        // A caller's domain without engines is none of theirs.
        let home = domains.iter().position(|d| *d == self.boot.domain);
        work.home = home.unwrap_or(usize::MAX);
        let shared = self.shared();
        let usable: Vec<(&Upstream, Candidate)> = upstreams
            .iter()
            .filter(|u| !tried.contains(&u.key) && !shared.health.is_out(now, u.key))
            .filter_map(|u| Some((u, candidate(u, model, &shared.loads, &domains)?)))
            .collect();
        drop(shared);
        let (engines, candidates): (Vec<_>, Vec<_>) = usable.into_iter().unzip();
        let mut rng = rand::rng();
        let noise: Vec<f64> = candidates
            .iter()
            .map(|_| 1.0 + NOISE * (2.0 * rng.random::<f64>() - 1.0))
            .collect();
        let search = |work: &Work| {
            path::choose(model.layers, Start::Caller, &candidates, work, |i| noise[i])
        };
        let mut found = search(&work);
        if found.is_err() {
            work.crosses = true;
            found = search(&work).and_then(|hops| {
                let crossings = path::crossings(&candidates, &hops) as f64;
                let occupied = crossings * work.occupies();
                let link = &mut self.shared().link;
                let free = link.take(now, view.entries, occupied);
                if free { Ok(hops) } else { Err(NoPath::Full) }
            });
        }
        let hops = found.map_err(|e| match e {
            NoPath::Missing(_) => Reason::NoUpstream,
            NoPath::Full => Reason::Full,
        })?;
        assert!(
            path::is_whole(0, model.layers, &candidates, &hops),
            "a path that doesn't cover each layer once and in order: {hops:?}"
        );
        let named: Vec<(SocketAddrV4, Hop)> = hops
            .iter()
            .map(|h| (engines[h.engine].address, *h))
            .collect();
        let booked = hops.iter().map(|h| (engines[h.engine].key, *h)).collect();
        let first = engines[hops[0].engine].clone();
        let path = crate::platform::engine::encode_path(&named);
        Ok(self.book(first, Some(path), booked, work))
    }

    fn book(
        self: &Arc<Self>,
        upstream: Upstream,
        path: Option<String>,
        booked: Vec<(u64, Hop)>,
        work: Work,
    ) -> Chosen {
        self.shared().loads.enter(&booked, &work);
        Chosen {
            entry: Arc::clone(self),
            upstream,
            path,
            booked,
            work,
        }
    }
}

fn domains<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Vec<&'a str> {
    let mut domains: Vec<&str> = upstreams.map(|u| u.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// The engine as a path may use it, if it holds layers.
fn candidate(
    upstream: &Upstream,
    model: &Model,
    loads: &Loads,
    domains: &[&str],
) -> Option<Candidate> {
    let range = upstream.layers?;
    let accelerator = model.accelerator(upstream.kind.as_deref()?)?;
    let load = loads.at(upstream.key);
    let speed = Speed::new(model, accelerator, range, load);
    Some(Candidate {
        range,
        domain: domains.iter().position(|d| *d == upstream.domain)?,
        step_ms: speed.step_ms,
        read_ms: speed.read_ms,
        room_mb: speed.room_mb,
        used: speed.used,
        enters: load.entered < f64::from(upstream.slots),
        penalty: if upstream.late { LATE } else { 1.0 },
    })
}
