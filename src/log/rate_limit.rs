//! Rate limit of log lines, by event.
//!
//! A failure can make every request log several lines, just when CPU time is
//! short. Each event therefore has a maximum number of lines per second, lower
//! for routine events than for failures, so that the lines that explain a failure
//! are kept. Suppressed lines are counted, and the counts are logged.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

use crate::collections::HashMap;
use crate::event;

/// Maximum lines per second of a routine event. A busy entry instance of the users' deployments
/// logs about 30.
const MAX_ROUTINE_LINES: u32 = 200;

/// Maximum lines per second of any other event.
const MAX_OTHER_LINES: u32 = 500;

/// Events that log a success, or a message that came too late.
const ROUTINE_EVENTS: &[event::Event] = &[
    event::ATTEMPT_SENT,
    event::REQUEST_ANSWERED,
    event::REQUEST_WAITED,
    event::UPSTREAM_JOINED,
    event::HEARTBEAT_STALE,
    event::SYNC_OUTDATED,
    event::SYNC_REJECTED,
];

#[derive(Clone, Copy, Debug)]
struct Count {
    /// Second in which `passed` lines were logged, since the start of the limiter.
    second: u64,
    passed: u32,
    /// Lines suppressed since the last report.
    suppressed: u64,
}

/// Counts lines by event id and limits their rate.
#[derive(Debug)]
pub(crate) struct LineLimiter {
    started: Instant,
    counts: Mutex<HashMap<u64, Count>>,
}

impl LineLimiter {
    pub(crate) fn new() -> Self {
        Self {
            started: Instant::now(),
            counts: Mutex::default(),
        }
    }

    /// Counts a line of an event in `second`. Returns whether it may be logged.
    pub(crate) fn allow(&self, event: u64, second: u64) -> bool {
        let routine = ROUTINE_EVENTS.iter().any(|e| u64::from(e.id) == event);
        let limit = if routine {
            MAX_ROUTINE_LINES
        } else {
            MAX_OTHER_LINES
        };
        let mut counts = self.counts();
        let count = counts.entry(event).or_insert(Count {
            second,
            passed: 0,
            suppressed: 0,
        });
        if count.second != second {
            count.second = second;
            count.passed = 0;
        }
        if count.passed >= limit {
            count.suppressed += 1;
            return false;
        }
        count.passed += 1;
        true
    }

    /// Takes the number of suppressed lines of each event that has any.
    pub(crate) fn take_suppressed(&self) -> Vec<(u64, u64)> {
        let mut counts = self.counts();
        let suppressed = counts.iter_mut().filter(|(_, c)| c.suppressed > 0);
        suppressed
            .map(|(&event, c)| (event, std::mem::take(&mut c.suppressed)))
            .collect()
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<u64, Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Visitor that reads the event id of a line.
#[derive(Default)]
struct EventId(Option<u64>);

impl Visit for EventId {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn fmt::Debug) {}
}

impl<S: Subscriber> Filter<S> for &'static LineLimiter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, line: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut id = EventId::default();
        line.record(&mut id);
        // Lines without an event id come from libraries and share one limit.
        self.allow(id.0.unwrap_or(0), self.started.elapsed().as_secs())
    }
}
