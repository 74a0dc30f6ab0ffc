//! Outcome counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::call::CallResult;
use crate::outcome::{Defect, Outcome};

/// Results of the requests to one kind of destination.
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
    /// Final refusals by error code and `ran` value.
    pub(crate) refused: BTreeMap<String, u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    total: Histogram<u64>,
}

/// Highest latency that the histograms record, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl Tally {
    pub(crate) fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid bounds")
        };
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
            first_token: histogram(),
            token_gap: histogram(),
            total: histogram(),
        }
    }

    /// Records the last call of a request. `delay` is the time between the scheduled start of the
    /// request and this call; the latencies include it, to avoid coordinated omission.
    pub(crate) fn record(&mut self, last: &CallResult, calls: usize, delay: Duration) {
        self.sent += 1;
        self.resent += calls as u64 - 1;
        let counter = match &last.outcome {
            Outcome::Exact => &mut self.exact,
            Outcome::Cut => &mut self.cut,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Timeout => &mut self.timeout,
            Outcome::Invalid(Defect::Crossed) => &mut self.crossed,
            Outcome::Invalid(Defect::Doubled) => &mut self.doubled,
            Outcome::Invalid(Defect::Short) => &mut self.short,
            Outcome::Invalid(Defect::Wrong) => &mut self.wrong,
            Outcome::Refused { code, ran, .. } => self
                .refused
                .entry(format!("{code} (ran: {ran})"))
                .or_default(),
        };
        *counter += 1;
        if last.outcome == Outcome::Exact {
            self.record_latency(last, delay);
        }
    }

    fn record_latency(&mut self, last: &CallResult, delay: Duration) {
        let micros = |d: Duration| d.as_micros() as u64;
        if let Some(first) = last.arrivals.first() {
            self.first_token.saturating_record(micros(*first + delay));
        }
        for pair in last.arrivals.windows(2) {
            self.token_gap.saturating_record(micros(pair[1] - pair[0]));
        }
        self.total.saturating_record(micros(last.duration + delay));
    }

    /// Number of violations. `kills` excludes interrupted answers and failed connections.
    pub(crate) fn violations(&self, kills: bool) -> u64 {
        let violations = self.crossed + self.doubled + self.short + self.wrong + self.timeout;
        if kills {
            violations
        } else {
            violations + self.cut + self.unreachable
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
            "first_ms": quantiles(&self.first_token),
            "between_ms": quantiles(&self.token_gap),
            "whole_ms": quantiles(&self.total),
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
