//! Bounds the lines a second of each kind of event.
//!
//! Load pattern: a failure makes every request log several lines, just when the
//! processor is needed for serving. Each kind has a number of lines a second;
//! successes have fewer than failures, so that the lines that explain a failure
//! stay. What was left out is counted and summed up in a line of its own.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

use crate::collections::HashMap;
use crate::event;

/// Lines a second of kinds that log successes. A busy entry instance of the
/// users' deployments logs some 30 of each.
const SUCCESSES: u32 = 200;

/// Lines a second of all other kinds.
const OTHERS: u32 = 500;

/// Events that log what went well.
const WELL: &[event::Event] = &[
    event::ATTEMPT_SENT,
    event::REQUEST_ANSWERED,
    event::REQUEST_WAITED,
    event::UPSTREAM_JOINED,
];

#[derive(Clone, Copy, Debug)]
struct Count {
    /// Second, by this process's clock, in which `passed` lines passed.
    second: u64,
    passed: u32,
    /// Lines left out since the last sum.
    left: u64,
}

/// Counts lines by kind.
#[derive(Debug)]
pub(crate) struct Cap {
    began: Instant,
    counts: Mutex<HashMap<u64, Count>>,
}

impl Cap {
    pub(crate) fn new() -> Self {
        Self {
            began: Instant::now(),
            counts: Mutex::default(),
        }
    }

    /// Whether another line of a kind may pass in `second`.
    pub(crate) fn passes(&self, kind: u64, second: u64) -> bool {
        let well = WELL.iter().any(|e| u64::from(e.id) == kind);
        let most = if well { SUCCESSES } else { OTHERS };
        let mut counts = self.counts();
        let count = counts.entry(kind).or_insert(Count {
            second,
            passed: 0,
            left: 0,
        });
        if count.second != second {
            count.second = second;
            count.passed = 0;
        }
        if count.passed >= most {
            count.left += 1;
            return false;
        }
        count.passed += 1;
        true
    }

    /// Takes the numbers of lines that were left out, by kind.
    pub(crate) fn take_left(&self) -> Vec<(u64, u64)> {
        let mut counts = self.counts();
        let left = counts.iter_mut().filter(|(_, c)| c.left > 0);
        left.map(|(&kind, c)| (kind, std::mem::take(&mut c.left)))
            .collect()
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<u64, Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the number of a line's event.
#[derive(Default)]
struct Kind(Option<u64>);

impl Visit for Kind {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn fmt::Debug) {}
}

impl<S: Subscriber> Filter<S> for &'static Cap {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, line: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut kind = Kind::default();
        line.record(&mut kind);
        // Lines without a number are of libraries; they share one bound.
        self.passes(kind.0.unwrap_or(0), self.began.elapsed().as_secs())
    }
}
