//! Fairness of the queue disciplines, simulated with a pool of slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::Path;
use std::time::Duration;

use laburnumquay::{Class, Discipline, Item, Queue, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Failure;
use crate::fleet::quantile;
use crate::output::write_table;

/// Number of requests that are served concurrently.
const SLOTS: usize = 50;
const ORGANISATIONS: usize = 10;
/// Duration of a run in seconds.
const SECONDS: f64 = 300.0;
/// Mean costs of short and long requests, in seconds of a slot.
const SHORT_COST: f64 = 0.5;
const LONG_COST: f64 = 5.0;

/// Workload of the organisations, of which organisation 0 differs from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// Organisation 0 offers ten times its share, in requests of the same mean cost.
    Burst,
    /// Organisation 0 offers ten times its share, in requests ten times as long.
    LongBurst,
    /// All offer more than their share, organisation 0 three times its share in requests ten
    /// times as long.
    LongAgainstShort,
}

impl Work {
    /// Offered work of an organisation, relative to its equal share of the slots.
    fn offered_load(self, organisation: usize) -> f64 {
        match (self, organisation) {
            (Work::LongAgainstShort, 0) => 3.0,
            (Work::LongAgainstShort, _) => 1.3,
            (_, 0) => 10.0,
            _ => 0.8,
        }
    }

    fn mean_cost(self, organisation: usize) -> f64 {
        match (self, organisation) {
            (Work::LongBurst | Work::LongAgainstShort, 0) => LONG_COST,
            _ => SHORT_COST,
        }
    }
}

#[derive(Default)]
struct Stats {
    /// Waiting times of all organisations but the first, in seconds.
    waits: Vec<f64>,
    /// Cost served, by organisation.
    served: [f64; ORGANISATIONS],
    /// Idle slot time while requests were waiting, in seconds.
    idle: f64,
    busy: f64,
}

impl Stats {
    /// Jain's fairness index of the cost served, relative to the max-min fair share of each
    /// organisation.
    fn jain_index(&self, work: Work) -> f64 {
        let other_share = work.offered_load(1).min(1.0);
        let first_share = ORGANISATIONS as f64 - other_share * (ORGANISATIONS - 1) as f64;
        let fair_share = |i: usize| if i == 0 { first_share } else { other_share };
        let ratios = self
            .served
            .iter()
            .enumerate()
            .map(|(i, s)| s / fair_share(i));
        let (sum, squares) = ratios.fold((0.0, 0.0), |(a, b), x| (a + x, b + x * x));
        sum * sum / (ORGANISATIONS as f64 * squares)
    }
}

struct Job {
    organisation: usize,
    estimated: f64,
    actual: f64,
}

fn to_time(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// Simulates one discipline. Cost estimates are wrong by a factor of up to two.
fn simulate(discipline: Discipline, work: Work, seed: u64) -> Stats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::new(discipline);
    let mut stats = Stats::default();
    let mut arrivals: Vec<(f64, f64)> = Vec::new();
    let mut actuals: Vec<f64> = Vec::new();
    let mut completions: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut jobs: Vec<Job> = Vec::new();
    let mut busy = 0;
    let mut next_arrival = [0.0f64; ORGANISATIONS];
    let mut now = 0.0;
    let mut exponential = |mean: f64| -(1.0 - rng.random::<f64>()).ln() * mean;
    loop {
        let (first, arrival) = (0..ORGANISATIONS)
            .map(|i| (i, next_arrival[i]))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, SECONDS));
        let end = completions.peek().map(|Reverse((t, _))| *t as f64 / 1e6);
        let next_event = end.map_or(arrival, |e| e.min(arrival));
        if next_event >= SECONDS {
            return stats;
        }
        if !queue.is_empty() {
            stats.idle += (next_event - now) * (SLOTS - busy) as f64;
        }
        stats.busy += (next_event - now) * busy as f64;
        now = next_event;
        if end.is_some_and(|e| e <= arrival) {
            let Some(Reverse((_, i))) = completions.pop() else {
                continue;
            };
            let job: &Job = &jobs[i];
            let name = format!("o{}", job.organisation);
            queue.settle(
                &name.as_str().into(),
                Class::Standard,
                job.estimated,
                job.actual,
            );
            stats.served[job.organisation] += job.actual;
            busy -= 1;
        } else {
            let mean = work.mean_cost(first);
            let rate = work.offered_load(first) * SLOTS as f64 / ORGANISATIONS as f64 / mean;
            next_arrival[first] = now + exponential(1.0 / rate);
            let actual = exponential(mean).max(0.01);
            let error = 2f64.powf(1.0 - 2.0 * (-exponential(1.0)).exp());
            let name = format!("o{first}");
            let item = Item {
                id: arrivals.len() as u64,
                route: name.as_str().into(),
                organisation: name.as_str().into(),
                class: Class::Standard,
                cost: actual * error,
                deadline: Time(0) + Duration::from_secs(1_000_000),
                bound: u32::MAX,
            };
            arrivals.push((now, first as f64));
            actuals.push(actual);
            let _ = queue.push(to_time(now), item);
        }
        while busy < SLOTS {
            let Some(item) = queue.pop(to_time(now)) else {
                break;
            };
            let (arrived, organisation) = arrivals[item.id as usize];
            let organisation = organisation as usize;
            let actual = actuals[item.id as usize];
            if organisation != 0 {
                stats.waits.push(now - arrived);
            }
            jobs.push(Job {
                organisation,
                estimated: item.cost,
                actual,
            });
            completions.push(Reverse((to_time(now + actual).0, jobs.len() - 1)));
            busy += 1;
        }
    }
}

pub(crate) fn run(out: &Path, seed: u64) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for work in [Work::Burst, Work::LongBurst, Work::LongAgainstShort] {
        for discipline in [Discipline::Fifo, Discipline::Stride, Discipline::Cost] {
            let mut stats = simulate(discipline, work, seed);
            let jain_index = stats.jain_index(work);
            let first = stats.served[0] / stats.served.iter().sum::<f64>();
            let total = SLOTS as f64 * SECONDS;
            let waits = [0.5, 0.95, 0.99].map(|q| quantile(&mut stats.waits, q));
            rows.push(vec![
                format!("{work:?}"),
                format!("{discipline:?}"),
                format!("{:.2}", waits[0]),
                format!("{:.2}", waits[1]),
                format!("{:.2}", waits[2]),
                format!("{jain_index:.3}"),
                format!("{first:.3}"),
                format!("{:.3}", stats.idle / total),
                format!("{:.3}", stats.busy / total),
            ]);
        }
    }
    let header = [
        "work",
        "discipline",
        "wait of others p50 s",
        "p95 s",
        "p99 s",
        "Jain index",
        "first organisation's part",
        "idle while work waits",
        "busy",
    ];
    write_table(out, "fairness", &header, &rows)
}
