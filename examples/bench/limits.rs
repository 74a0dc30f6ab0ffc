//! Ways to share a fleet-wide limit between instances.

use std::collections::VecDeque;
use std::path::Path;

use laburnumquay::{
    Allocator, Grant, Holder, Incarnation, InstanceId, LEASE, Limits, ShareRequest, Time,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Failure;
use crate::output::table;

/// Requests a second that the fleet may admit.
const LIMIT: u32 = 1000;
/// Step of the model in microseconds.
const STEP: u64 = 10_000;
/// One-way latency in steps.
const LATENCY: u64 = 1;
/// Length of a run, and the time at which demand moves, in seconds.
const SECONDS: u64 = 60;
const MOVE: u64 = 30;
/// Part of the demand that meets one instance.
const HOT: f64 = 0.6;
/// Time between two counters of an instance, in steps.
const GOSSIP: u64 = 100;
/// Time that a denied request waits, in steps.
const PATIENCE: u64 = 100;
/// Bytes of one counter: route, instance, count.
const COUNTER: u64 = 16;

#[derive(Clone, Copy, Debug)]
enum Scheme {
    /// Every instance has an equal part for ever.
    Static,
    /// Every instance tells all others its rate once a second and admits while
    /// the sum is below the limit.
    Gossip,
    /// Leased shares.
    Leases,
}

/// Admission by one of the schemes.
struct Fleet {
    scheme: Scheme,
    allocator: Allocator,
    holders: Vec<Holder>,
    /// Messages to the allocator and back, by step of arrival.
    asks: Vec<(u64, ShareRequest)>,
    grants: Vec<(u64, Grant)>,
    /// Level of the bucket of each instance, and its count this second.
    levels: Vec<f64>,
    counts: Vec<u32>,
    /// Rates of all instances as they were last told.
    told: Vec<u32>,
    sum: u32,
    messages: u64,
    bytes: u64,
    /// Waiting requests of each instance by step of arrival.
    lines: Vec<VecDeque<u64>>,
}

fn at(step: u64) -> Time {
    Time(step * STEP) + 3 * LEASE
}

impl Fleet {
    fn new(scheme: Scheme, instances: usize) -> Self {
        let mut allocator = Allocator::new(Time(0));
        let limits = Limits {
            requests: LIMIT,
            tokens: u32::MAX / 2,
            concurrent: 1_000_000,
            queued: 0,
        };
        allocator.set_limits([("route", limits)]);
        let holder = |i| Holder::new(InstanceId(i), Incarnation(1));
        Self {
            scheme,
            allocator,
            holders: (1..=instances as u64).map(holder).collect(),
            asks: Vec::new(),
            grants: Vec::new(),
            levels: vec![0.0; instances],
            counts: vec![0; instances],
            told: vec![0; instances],
            sum: 0,
            messages: 0,
            bytes: 0,
            lines: vec![VecDeque::new(); instances],
        }
    }

    fn step(&mut self, step: u64) {
        let instances = self.holders.len() as u64;
        match self.scheme {
            Scheme::Static => {
                let part = f64::from(LIMIT) / instances as f64;
                let gain = part * STEP as f64 / 1e6;
                let full = part.max(1.0);
                self.levels
                    .iter_mut()
                    .for_each(|l| *l = (*l + gain).min(full));
            }
            Scheme::Gossip => {
                for i in (0..instances).filter(|i| (step + i).is_multiple_of(GOSSIP)) {
                    let i = i as usize;
                    self.sum = self.sum - self.told[i] + self.counts[i];
                    self.told[i] = std::mem::take(&mut self.counts[i]);
                    self.messages += instances - 1;
                    self.bytes += COUNTER * (instances - 1);
                }
            }
            Scheme::Leases => self.lease(step),
        }
    }

    fn lease(&mut self, step: u64) {
        let now = at(step);
        for holder in &mut self.holders {
            if holder.due() <= now {
                let ask = holder.share_request(now);
                self.messages += 1;
                self.bytes += ask.encoded_len() as u64;
                self.asks.push((step + LATENCY, ask));
            }
        }
        let (here, later) = self.asks.drain(..).partition(|(t, _)| *t <= step);
        self.asks = later;
        let here: Vec<(u64, ShareRequest)> = here;
        for (_, ask) in here {
            if let Some(grant) = self.allocator.allocate(now, &ask) {
                self.messages += 1;
                self.bytes += grant.encoded_len() as u64;
                self.grants.push((step + LATENCY, grant));
            }
        }
        let (here, later) = self.grants.drain(..).partition(|(t, _)| *t <= step);
        self.grants = later;
        let here: Vec<(u64, Grant)> = here;
        for (_, grant) in here {
            self.holders[grant.instance as usize - 1].grant(now, &grant);
        }
    }

    /// Lets waiting requests in, and drops those that waited for too long.
    fn drain(&mut self, step: u64) -> u32 {
        let mut admitted = 0;
        for i in 0..self.lines.len() {
            while let Some(&arrived) = self.lines[i].front() {
                let late = step - arrived > PATIENCE;
                let enters = !late && self.admit(step, i, true);
                if !late && !enters {
                    break;
                }
                self.lines[i].pop_front();
                admitted += u32::from(enters);
            }
        }
        admitted
    }

    /// Lets a new request in or makes it wait.
    fn arrive(&mut self, step: u64, i: usize) -> u32 {
        let admitted = self.admit(step, i, false);
        if !admitted {
            self.lines[i].push_back(step);
        }
        u32::from(admitted)
    }

    fn admit(&mut self, step: u64, i: usize, again: bool) -> bool {
        match self.scheme {
            Scheme::Static => {
                let admitted = self.levels[i] >= 1.0;
                self.levels[i] -= f64::from(u8::from(admitted));
                admitted
            }
            Scheme::Gossip => {
                let admitted = self.sum - self.told[i] + self.counts[i] < LIMIT;
                self.counts[i] += u32::from(admitted);
                admitted
            }
            Scheme::Leases if again => self.holders[i].readmit(at(step), "route", 1).is_ok(),
            Scheme::Leases => self.holders[i].admit(at(step), "route", 1).is_ok(),
        }
    }
}

/// Admitted and arrived requests by step.
fn simulate(fleet: &mut Fleet, demand: f64, seed: u64) -> Vec<(u32, u32)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let instances = fleet.holders.len();
    let steps = SECONDS * 1_000_000 / STEP;
    let mean = demand * f64::from(LIMIT) * STEP as f64 / 1e6;
    let mut counts = Vec::new();
    for step in 0..steps {
        fleet.step(step);
        let hot = usize::from(step * STEP >= MOVE * 1_000_000);
        let mut arrived = 0;
        let mut admitted = fleet.drain(step);
        let mut left = mean;
        while left >= 1.0 || (left > 0.0 && rng.random_bool(left)) {
            left -= 1.0;
            let any = rng.random_range(0..instances);
            let i = if rng.random_bool(HOT) { hot } else { any };
            arrived += 1;
            admitted += fleet.arrive(step, i);
        }
        counts.push((admitted, arrived));
    }
    counts
}

/// Rate over each window of one second.
fn windows(counts: &[(u32, u32)]) -> Vec<u32> {
    let second = (1_000_000 / STEP) as usize;
    let sums = counts.windows(second);
    sums.map(|w| w.iter().map(|c| c.0).sum()).collect()
}

pub(crate) fn run(out: &Path, seed: u64) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for instances in [9, 90, 360] {
        for demand in [0.6, 1.5] {
            for scheme in [Scheme::Static, Scheme::Gossip, Scheme::Leases] {
                let mut fleet = Fleet::new(scheme, instances);
                let counts = simulate(&mut fleet, demand, seed);
                rows.push(row(&fleet, &counts, demand));
            }
        }
    }
    let head = [
        "instances",
        "demand by limit",
        "scheme",
        "most in a second by limit",
        "least of the possible after 10 s",
        "mean of the possible",
        "s until always 0.9 of steady after demand moved",
        "messages a second and instance",
        "bytes a second and instance",
    ];
    table(out, "limits", &head, &rows)
}

fn row(fleet: &Fleet, counts: &[(u32, u32)], demand: f64) -> Vec<String> {
    let second = (1_000_000 / STEP) as usize;
    let moved = MOVE as usize * second;
    let rates = windows(counts);
    let limit = f64::from(LIMIT);
    let possible = limit * demand.min(1.0);
    let most = rates.iter().max().copied().unwrap_or(0);
    let settled = rates[10 * second..].iter().min().copied().unwrap_or(0);
    let sum: u32 = counts[10 * second..].iter().map(|c| c.0).sum();
    let secs = (counts.len() - 10 * second) as f64 / second as f64;
    let end = &rates[rates.len() - 15 * second..];
    let steady = f64::from(end.iter().sum::<u32>()) / end.len() as f64;
    let near = &rates[moved..moved + 15 * second];
    let back = near.iter().rposition(|&r| f64::from(r) < 0.9 * steady);
    let instances = fleet.holders.len() as f64;
    let each = |n: u64| n as f64 / SECONDS as f64 / instances;
    vec![
        fleet.holders.len().to_string(),
        format!("{demand}"),
        format!("{:?}", fleet.scheme),
        format!("{:.3}", f64::from(most) / limit),
        format!("{:.3}", f64::from(settled) / possible),
        format!("{:.3}", f64::from(sum) / secs / possible),
        format!(
            "{:.2}",
            back.map_or(0.0, |n| (n + 1) as f64 / second as f64)
        ),
        format!("{:.2}", each(fleet.messages)),
        format!("{:.0}", each(fleet.bytes)),
    ]
}
