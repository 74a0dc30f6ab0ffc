//! Counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::call::Try;
use crate::outcome::{Breach, Outcome};

/// Results of one way (through instances, or direct).
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) exact: u64,
    pub(crate) crossed: u64,
    pub(crate) doubled: u64,
    pub(crate) short: u64,
    pub(crate) wrong: u64,
    pub(crate) cut: u64,
    pub(crate) unreachable: u64,
    pub(crate) timeout: u64,
    pub(crate) resent: u64,
    /// Final refusals by code and what they say of the run.
    pub(crate) refused: BTreeMap<String, u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    whole: Histogram<u64>,
}

/// Highest latency that is told apart, in microseconds.
const HIGHEST: u64 = 120_000_000;
const DIGITS: u8 = 3;

impl Tally {
    pub(crate) fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, HIGHEST, DIGITS).expect("valid bounds");
        Self {
            sent: 0,
            exact: 0,
            crossed: 0,
            doubled: 0,
            short: 0,
            wrong: 0,
            cut: 0,
            unreachable: 0,
            timeout: 0,
            resent: 0,
            refused: BTreeMap::new(),
            first: histogram(),
            between: histogram(),
            whole: histogram(),
        }
    }

    /// Takes in the last try of a request. `late` is how long it began behind
    /// its time, so that a full tool doesn't hide a slow fleet.
    pub(crate) fn add(&mut self, last: &Try, tries: usize, late: Duration) {
        self.sent += 1;
        self.resent += tries as u64 - 1;
        let counter = match &last.outcome {
            Outcome::Exact => &mut self.exact,
            Outcome::Cut => &mut self.cut,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Timeout => &mut self.timeout,
            Outcome::Broken(Breach::Crossed) => &mut self.crossed,
            Outcome::Broken(Breach::Doubled) => &mut self.doubled,
            Outcome::Broken(Breach::Short) => &mut self.short,
            Outcome::Broken(Breach::Wrong) => &mut self.wrong,
            Outcome::Refused { code, ran, .. } => self
                .refused
                .entry(format!("{code} (ran: {ran})"))
                .or_default(),
        };
        *counter += 1;
        if last.outcome == Outcome::Exact {
            self.time(last, late);
        }
    }

    fn time(&mut self, last: &Try, late: Duration) {
        let micros = |d: Duration| d.as_micros() as u64;
        if let Some(first) = last.arrivals.first() {
            self.first.saturating_record(micros(*first + late));
        }
        for pair in last.arrivals.windows(2) {
            self.between.saturating_record(micros(pair[1] - pair[0]));
        }
        self.whole.saturating_record(micros(last.whole + late));
    }

    /// Answers that break a promise; with kills, a cut isn't one.
    pub(crate) fn violations(&self, kills: bool) -> u64 {
        let broken = self.crossed + self.doubled + self.short + self.wrong + self.timeout;
        if kills {
            broken
        } else {
            broken + self.cut + self.unreachable
        }
    }

    pub(crate) fn json(&self, elapsed: Duration) -> Value {
        let refused: u64 = self.refused.values().sum();
        json!({
            "sent": self.sent,
            "exact": self.exact,
            "refused": refused,
            "refusals": self.refused,
            "lost": self.cut + self.unreachable + self.timeout,
            "cut": self.cut,
            "unreachable": self.unreachable,
            "timeout": self.timeout,
            "doubled": self.doubled,
            "crossed": self.crossed,
            "short": self.short,
            "wrong": self.wrong,
            "resent": self.resent,
            "seconds": elapsed.as_secs_f64(),
            "per_second": self.exact as f64 / elapsed.as_secs_f64(),
            "first_ms": quantiles(&self.first),
            "between_ms": quantiles(&self.between),
            "whole_ms": quantiles(&self.whole),
        })
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    json!({
        "count": histogram.len(),
        "mean": histogram.mean() / 1e3,
        "p50": at(0.5),
        "p90": at(0.9),
        "p99": at(0.99),
        "p999": at(0.999),
        "max": histogram.max() as f64 / 1e3,
    })
}
