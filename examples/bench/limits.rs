//! Schemes for sharing a fleet-wide rate limit between instances.

use std::collections::VecDeque;
use std::path::Path;

use laburnumquay::{
    Allocator, Grant, Holder, Incarnation, InstanceId, LEASE, Limits, ShareRequest, Time,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Failure;
use crate::output::write_table;

/// Fleet-wide limit in requests per second.
const LIMIT: u32 = 1000;
/// Time step of the model in microseconds.
const STEP: u64 = 10_000;
/// One-way network latency in steps.
const LATENCY: u64 = 1;
/// Duration of a run in seconds.
const SECONDS: u64 = 60;
/// Time at which the concentrated demand moves to another instance, in seconds.
const SHIFT_SECONDS: u64 = 30;
/// Fraction of the demand that is concentrated on one instance.
const HOT_SHARE: f64 = 0.6;
/// Interval between the counters that an instance sends, in steps.
const GOSSIP_INTERVAL: u64 = 100;
/// Time that a denied request waits in the queue, in steps.
const QUEUE_TIMEOUT: u64 = 100;
/// Size of a counter (route, instance, count) in bytes.
const COUNTER_BYTES: u64 = 16;

#[derive(Clone, Copy, Debug)]
enum Scheme {
    /// Each instance has a fixed, equal share.
    Static,
    /// Each instance sends its rate to all others once per second and admits requests while
    /// the sum is below the limit.
    Gossip,
    /// The allocator leases shares of the limit to the instances.
    Leases,
}

/// Fleet whose instances admit requests by one of the schemes.
struct Fleet {
    scheme: Scheme,
    allocator: Allocator,
    holders: Vec<Holder>,
    /// Messages to the allocator, with their step of arrival.
    requests: Vec<(u64, ShareRequest)>,
    /// Messages from the allocator, with their step of arrival.
    grants: Vec<(u64, Grant)>,
    /// Tokens in the bucket of each instance.
    tokens: Vec<f64>,
    /// Requests that each instance admitted since it sent its last counter.
    counts: Vec<u32>,
    /// Last reported rate of each instance.
    reported: Vec<u32>,
    /// Sum of `reported`.
    sum: u32,
    messages: u64,
    bytes: u64,
    /// Steps of arrival of the waiting requests of each instance.
    queues: Vec<VecDeque<u64>>,
}

fn to_time(step: u64) -> Time {
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
            requests: Vec::new(),
            grants: Vec::new(),
            tokens: vec![0.0; instances],
            counts: vec![0; instances],
            reported: vec![0; instances],
            sum: 0,
            messages: 0,
            bytes: 0,
            queues: vec![VecDeque::new(); instances],
        }
    }

    fn step(&mut self, step: u64) {
        let instances = self.holders.len() as u64;
        match self.scheme {
            Scheme::Static => {
                let share = f64::from(LIMIT) / instances as f64;
                let refill = share * STEP as f64 / 1e6;
                let capacity = share.max(1.0);
                self.tokens
                    .iter_mut()
                    .for_each(|tokens| *tokens = (*tokens + refill).min(capacity));
            }
            Scheme::Gossip => {
                for i in (0..instances).filter(|i| (step + i).is_multiple_of(GOSSIP_INTERVAL)) {
                    let i = i as usize;
                    self.sum = self.sum - self.reported[i] + self.counts[i];
                    self.reported[i] = std::mem::take(&mut self.counts[i]);
                    self.messages += instances - 1;
                    self.bytes += COUNTER_BYTES * (instances - 1);
                }
            }
            Scheme::Leases => self.exchange_leases(step),
        }
    }

    fn exchange_leases(&mut self, step: u64) {
        let now = to_time(step);
        for holder in &mut self.holders {
            if holder.due() <= now {
                let request = holder.share_request(now);
                self.messages += 1;
                self.bytes += request.encoded_len() as u64;
                self.requests.push((step + LATENCY, request));
            }
        }
        let (delivered, later) = self.requests.drain(..).partition(|(t, _)| *t <= step);
        self.requests = later;
        let delivered: Vec<(u64, ShareRequest)> = delivered;
        for (_, request) in delivered {
            if let Some(grant) = self.allocator.allocate(now, &request) {
                self.messages += 1;
                self.bytes += grant.encoded_len() as u64;
                self.grants.push((step + LATENCY, grant));
            }
        }
        let (delivered, later) = self.grants.drain(..).partition(|(t, _)| *t <= step);
        self.grants = later;
        let delivered: Vec<(u64, Grant)> = delivered;
        for (_, grant) in delivered {
            self.holders[grant.instance as usize - 1].grant(now, &grant);
        }
    }

    /// Admits waiting requests and drops those that have waited too long.
    fn admit_queued(&mut self, step: u64) -> u32 {
        let mut admitted = 0;
        for i in 0..self.queues.len() {
            while let Some(&arrived) = self.queues[i].front() {
                let expired = step - arrived > QUEUE_TIMEOUT;
                let granted = !expired && self.admit(step, i, true);
                if !expired && !granted {
                    break;
                }
                self.queues[i].pop_front();
                admitted += u32::from(granted);
            }
        }
        admitted
    }

    /// Admits a new request or queues it.
    fn on_arrival(&mut self, step: u64, i: usize) -> u32 {
        let admitted = self.admit(step, i, false);
        if !admitted {
            self.queues[i].push_back(step);
        }
        u32::from(admitted)
    }

    fn admit(&mut self, step: u64, i: usize, queued: bool) -> bool {
        match self.scheme {
            Scheme::Static => {
                let admitted = self.tokens[i] >= 1.0;
                self.tokens[i] -= f64::from(u8::from(admitted));
                admitted
            }
            Scheme::Gossip => {
                let admitted = self.sum - self.reported[i] + self.counts[i] < LIMIT;
                self.counts[i] += u32::from(admitted);
                admitted
            }
            Scheme::Leases if queued => self.holders[i].readmit(to_time(step), "route", 1).is_ok(),
            Scheme::Leases => self.holders[i].admit(to_time(step), "route", 1).is_ok(),
        }
    }
}

/// Simulates a run. Returns the admitted and arrived requests per step.
fn simulate(fleet: &mut Fleet, demand: f64, seed: u64) -> Vec<(u32, u32)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let instances = fleet.holders.len();
    let steps = SECONDS * 1_000_000 / STEP;
    let mean = demand * f64::from(LIMIT) * STEP as f64 / 1e6;
    let mut counts = Vec::new();
    for step in 0..steps {
        fleet.step(step);
        let hot_instance = usize::from(step * STEP >= SHIFT_SECONDS * 1_000_000);
        let mut arrived = 0;
        let mut admitted = fleet.admit_queued(step);
        let mut remaining = mean;
        while remaining >= 1.0 || (remaining > 0.0 && rng.random_bool(remaining)) {
            remaining -= 1.0;
            let random = rng.random_range(0..instances);
            let i = if rng.random_bool(HOT_SHARE) {
                hot_instance
            } else {
                random
            };
            arrived += 1;
            admitted += fleet.on_arrival(step, i);
        }
        counts.push((admitted, arrived));
    }
    counts
}

/// Admitted requests in each window of one second.
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
    let header = [
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
    write_table(out, "limits", &header, &rows)
}

fn row(fleet: &Fleet, counts: &[(u32, u32)], demand: f64) -> Vec<String> {
    let second = (1_000_000 / STEP) as usize;
    let shift = SHIFT_SECONDS as usize * second;
    let rates = windows(counts);
    let limit = f64::from(LIMIT);
    let possible = limit * demand.min(1.0);
    let peak = rates.iter().max().copied().unwrap_or(0);
    let minimum = rates[10 * second..].iter().min().copied().unwrap_or(0);
    let sum: u32 = counts[10 * second..].iter().map(|c| c.0).sum();
    let duration = (counts.len() - 10 * second) as f64 / second as f64;
    let tail = &rates[rates.len() - 15 * second..];
    let steady = f64::from(tail.iter().sum::<u32>()) / tail.len() as f64;
    let after_shift = &rates[shift..shift + 15 * second];
    let last_below = after_shift
        .iter()
        .rposition(|&r| f64::from(r) < 0.9 * steady);
    let instances = fleet.holders.len() as f64;
    let per_instance = |n: u64| n as f64 / SECONDS as f64 / instances;
    vec![
        fleet.holders.len().to_string(),
        format!("{demand}"),
        format!("{:?}", fleet.scheme),
        format!("{:.3}", f64::from(peak) / limit),
        format!("{:.3}", f64::from(minimum) / possible),
        format!("{:.3}", f64::from(sum) / duration / possible),
        format!(
            "{:.2}",
            last_below.map_or(0.0, |n| (n + 1) as f64 / second as f64)
        ),
        format!("{:.2}", per_instance(fleet.messages)),
        format!("{:.0}", per_instance(fleet.bytes)),
    ]
}
