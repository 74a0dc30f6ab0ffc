//! Fairness of the queue's disciplines, over a pool of places.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::Path;
use std::time::Duration;

use laburnumquay::{Class, Discipline, Item, Queue, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Failure;
use crate::fleet::quantile;
use crate::output::table;

/// Requests that are served at the same time.
const PLACES: usize = 50;
const ORGANISATIONS: usize = 10;
/// Length of a run in seconds.
const SECONDS: f64 = 300.0;
/// Costs in seconds of a place.
const SHORT: f64 = 0.5;
const LONG: f64 = 5.0;

/// Work of the organisations. Organisation 0 is the one that differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    /// It sends ten times its share; all requests are alike.
    Burst,
    /// It sends ten times its share, in requests ten times as long.
    LongBurst,
    /// All send more than their share, it three times as much as it is due,
    /// in requests ten times as long.
    LongAgainstShort,
}

impl Work {
    /// Offered work of an organisation by the share of ten that is its due.
    fn load(self, organisation: usize) -> f64 {
        match (self, organisation) {
            (Work::LongAgainstShort, 0) => 3.0,
            (Work::LongAgainstShort, _) => 1.3,
            (_, 0) => 10.0,
            _ => 0.8,
        }
    }

    fn mean(self, organisation: usize) -> f64 {
        match (self, organisation) {
            (Work::LongBurst | Work::LongAgainstShort, 0) => LONG,
            _ => SHORT,
        }
    }
}

#[derive(Default)]
struct Figures {
    /// Waits of the organisations but the first, in seconds.
    waits: Vec<f64>,
    /// Cost served to each.
    served: [f64; ORGANISATIONS],
    /// Place seconds that were idle while something waited.
    idle: f64,
    busy: f64,
}

impl Figures {
    /// Jain's index of the cost served by what each was due: its part when the
    /// least part is as large as can be (max-min fairness).
    fn jain(&self, work: Work) -> f64 {
        let others = work.load(1).min(1.0);
        let first = ORGANISATIONS as f64 - others * (ORGANISATIONS - 1) as f64;
        let due = |i: usize| if i == 0 { first } else { others };
        let parts = self.served.iter().enumerate().map(|(i, s)| s / due(i));
        let (sum, squares) = parts.fold((0.0, 0.0), |(a, b), x| (a + x, b + x * x));
        sum * sum / (ORGANISATIONS as f64 * squares)
    }
}

struct Running {
    organisation: usize,
    estimated: f64,
    actual: f64,
}

fn at(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64)
}

/// Runs one discipline. Estimates are off by a factor of up to two.
fn simulate(discipline: Discipline, work: Work, seed: u64) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut queue = Queue::new(discipline);
    let mut figures = Figures::default();
    let mut arrivals: Vec<(f64, f64)> = Vec::new();
    let mut actuals: Vec<f64> = Vec::new();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut busy = 0;
    let mut next = [0.0f64; ORGANISATIONS];
    let mut now = 0.0;
    let mut exponential = |mean: f64| -(1.0 - rng.random::<f64>()).ln() * mean;
    loop {
        let (first, arrival) = (0..ORGANISATIONS)
            .map(|i| (i, next[i]))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, SECONDS));
        let end = ends.peek().map(|Reverse((t, _))| *t as f64 / 1e6);
        let then = end.map_or(arrival, |e| e.min(arrival));
        if then >= SECONDS {
            return figures;
        }
        if !queue.is_empty() {
            figures.idle += (then - now) * (PLACES - busy) as f64;
        }
        figures.busy += (then - now) * busy as f64;
        now = then;
        if end.is_some_and(|e| e <= arrival) {
            let Some(Reverse((_, i))) = ends.pop() else {
                continue;
            };
            let ended: &Running = &running[i];
            let name = format!("o{}", ended.organisation);
            queue.settle(
                &name.as_str().into(),
                Class::Standard,
                ended.estimated,
                ended.actual,
            );
            figures.served[ended.organisation] += ended.actual;
            busy -= 1;
        } else {
            let mean = work.mean(first);
            let rate = work.load(first) * PLACES as f64 / ORGANISATIONS as f64 / mean;
            next[first] = now + exponential(1.0 / rate);
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
            let _ = queue.push(at(now), item);
        }
        while busy < PLACES {
            let Some(item) = queue.pop(at(now)) else {
                break;
            };
            let (arrived, organisation) = arrivals[item.id as usize];
            let organisation = organisation as usize;
            let actual = actuals[item.id as usize];
            if organisation != 0 {
                figures.waits.push(now - arrived);
            }
            running.push(Running {
                organisation,
                estimated: item.cost,
                actual,
            });
            ends.push(Reverse((at(now + actual).0, running.len() - 1)));
            busy += 1;
        }
    }
}

pub(crate) fn run(out: &Path, seed: u64) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for work in [Work::Burst, Work::LongBurst, Work::LongAgainstShort] {
        for discipline in [Discipline::Fifo, Discipline::Stride, Discipline::Cost] {
            let mut figures = simulate(discipline, work, seed);
            let jain = figures.jain(work);
            let first = figures.served[0] / figures.served.iter().sum::<f64>();
            let total = PLACES as f64 * SECONDS;
            let waits = [0.5, 0.95, 0.99].map(|q| quantile(&mut figures.waits, q));
            rows.push(vec![
                format!("{work:?}"),
                format!("{discipline:?}"),
                format!("{:.2}", waits[0]),
                format!("{:.2}", waits[1]),
                format!("{:.2}", waits[2]),
                format!("{jain:.3}"),
                format!("{first:.3}"),
                format!("{:.3}", figures.idle / total),
                format!("{:.3}", figures.busy / total),
            ]);
        }
    }
    let head = [
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
    table(out, "fairness", &head, &rows)
}
