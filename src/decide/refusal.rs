//! Decides when a refused client should retry.
//!
//! Load pattern: a burst or a lost engine leaves more requests than room, and all refused
//! clients would return at the same moment. Each gets a different time, spread over the time in
//! which room becomes free: a client that returns too early is refused again, and one that
//! returns late waits longer than needed.

use std::time::Duration;

use crate::fingerprint::Fingerprint;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// This instance has no configuration yet, or its lease has expired.
    NoConfiguration,
    /// No running upstream can serve the request.
    NoUpstream,
    /// Every upstream that could serve the request is full.
    Full,
    /// The memory for bodies is used up, or was needed for others while this body was received.
    NoMemory,
    /// The body of the request didn't arrive in time.
    SlowBody,
    /// This instance stops too soon for an answer.
    Draining,
    /// This instance reaches no upstream of the service, and no other instance carries the request.
    Unreachable,
    /// Each attempt was refused by an upstream, or found no upstream.
    NotRun,
    /// The rate limits of all upstreams that the request could enter allow none now.
    Limited,
    /// All upstreams that the request could enter asked for a pause; the first ends after this
    /// time.
    Paused(Duration),
    /// The request or a part of its prompt, with this fingerprint, is quarantined for this
    /// remaining time, since it crashed engines.
    Quarantined { cause: Fingerprint, left: Duration },
}

/// A request that was sent to no upstream yet.
///
/// Neither copied nor cloned: [`AttemptCounts::new`](super::retry::AttemptCounts::new) consumes it
/// before the first attempt.
#[derive(Debug)]
pub(crate) struct Unsent(());

impl Unsent {
    /// A request that has just arrived.
    pub(crate) fn on_arrival() -> Self {
        Self(())
    }

    /// Rejects the request.
    pub(crate) fn reject(&self, reason: Reason) -> Rejection {
        Rejection::new(reason)
    }
}

/// Rejection of a request. It promises the client that no upstream has run the request and none
/// will.
///
/// Only an [`Unsent`] request and [`AttemptCounts::reject`](super::retry::AttemptCounts::reject)
/// make one, so that there is none once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    reason: Reason,
}

impl Rejection {
    pub(super) fn new(reason: Reason) -> Self {
        Self { reason }
    }

    pub(crate) fn reason(self) -> Reason {
        self.reason
    }
}

impl Reason {
    /// Stable code in logs and response bodies.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoUpstream => "no_upstream",
            Self::Full => "full",
            Self::NoMemory => "no_memory",
            Self::SlowBody => "slow_body",
            Self::Draining => "draining",
            Self::Unreachable => "unreachable",
            Self::NotRun => "not_run",
            Self::Limited => "limited",
            Self::Paused(_) => "paused",
            Self::Quarantined { .. } => "quarantined",
        }
    }
}

/// Maximum retry delay of a client that found no room, in seconds: if hardly any request is
/// refused, and if nearly all are.
///
/// The delay grows with the refusals because, in a burst, all room that becomes free goes to new
/// callers; refused ones should return after the burst. A request occupies its room for two to
/// three seconds. In five bursts of 2 s, 681 requests were refused for good with delays up to
/// 2.4 s, and 609 with delays up to 5 s.
///
/// The upper value is the longest delay that clients with a deadline of 20 s honour, a third of the
/// remaining time.
const FULL_MAX_DELAY: (f64, f64) = (2.4, 6.6);

/// Time over which clients return after a pause of all upstreams, in seconds.
const PAUSE_SPREAD: f64 = 1.0;

/// Weight of the newest request in the refusal rates. They reflect some twenty requests, which
/// arrive within a second at a busy instance.
const WEIGHT: f64 = 0.05;

/// Minimum success rate of long requests as a fraction of the rate of all requests.
///
/// The higher it is, the more long requests find room, and the fewer requests in all. In a replay
/// of 4,804 requests to one engine at three times its capacity, 1,342 requests found room, and 64
/// of the 500 longest, when all were treated alike. It was 1,827 and 60 with a fraction of 0.4, and
/// 2,652 and 29 with 0.2. Without this bound, under another seed, it was 2,992 and 9.
const MIN_LONG_FRACTION: f64 = 0.3;

/// Moving averages of the fraction of requests that found no room.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalRates {
    all: f64,
    long: f64,
}

impl RefusalRates {
    /// Records whether a request was refused for lack of room. A request is `long` if it exceeds
    /// the usual length.
    pub(crate) fn record(&mut self, refused: bool, long: bool) {
        let refused = if refused { 1.0 } else { 0.0 };
        self.all += WEIGHT * (refused - self.all);
        if long {
            self.long += WEIGHT * (refused - self.long);
        }
    }

    /// Fraction of all requests that found no room.
    pub(crate) fn overall(&self) -> f64 {
        self.all
    }

    /// Whether long requests find room so rarely compared to others that they should take
    /// precedence.
    ///
    /// Guards against starvation of long requests: while room is short, many short requests take
    /// it before there is enough for a long one, and in a lasting overload only one in fifty of
    /// the longest tenth found room.
    pub(crate) fn starves_long(&self) -> bool {
        1.0 - self.long < MIN_LONG_FRACTION * (1.0 - self.all)
    }
}

/// Delay after which a refused client should retry. The range of delays depends on how soon the
/// cause of the refusal passes.
///
/// `refused` is the recent fraction of requests that found no room; `draw` in [0, 1) selects a
/// delay within the range.
pub(crate) fn retry_after(reason: Reason, refused: f64, draw: f64) -> Duration {
    let (least, most) = match reason {
        // A lease or a leader is back within about a second.
        Reason::NoConfiguration => (0.4, 1.2),
        // Lost layers are loaded again in two to four seconds.
        Reason::NoUpstream => (1.0, 3.0),
        // A request occupies its room for about three seconds, so a third of the room becomes free
        // within one.
        Reason::Full => (
            0.6,
            FULL_MAX_DELAY.0 + (FULL_MAX_DELAY.1 - FULL_MAX_DELAY.0) * refused,
        ),
        // A client that returns reaches another instance.
        Reason::Unreachable
        | Reason::NotRun
        | Reason::NoMemory
        | Reason::SlowBody
        | Reason::Draining => (0.3, 1.0),
        Reason::Limited => (0.6, 3.0),
        // Spread, since all of them return to the one whose pause ends first.
        Reason::Paused(left) => (left.as_secs_f64(), left.as_secs_f64() + PAUSE_SPREAD),
        Reason::Quarantined { left, .. } => (left.as_secs_f64(), left.as_secs_f64()),
    };
    Duration::from_secs_f64(least + (most - least) * draw)
}
