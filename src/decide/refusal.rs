//! When a refused client should come back.
//!
//! Load pattern: a burst or a lost engine leaves more requests than room, and
//! all that are refused would come back at the same moment. Each is told
//! another time, spread over the time in which room comes free: a refused
//! request that returns too early is refused again, and one that returns late
//! waits for nothing.

use std::time::Duration;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// No configuration is known here yet, or its lease has run out.
    NoConfiguration,
    /// No upstream that is up can serve it.
    NoUpstream,
    /// Every upstream that could serve it is full.
    Full,
    /// Each attempt was refused by an upstream, or found none.
    NotRun,
    /// The rate limits of all upstreams at which it could begin allow no request now.
    Limited,
    /// The request is quarantined for this remaining time, since it crashed engines.
    Quarantined(Duration),
}

impl Reason {
    /// Stable code for logs and bodies.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoUpstream => "no_upstream",
            Self::Full => "full",
            Self::NotRun => "not_run",
            Self::Limited => "limited",
            Self::Quarantined(_) => "quarantined",
        }
    }
}

/// Latest time at which a client comes back that found no room, in seconds: when
/// hardly any request is refused, and when nearly all are.
///
/// A request holds its room for two to three seconds. Under a burst all that
/// comes free goes to callers that ask for the first time; those that are sent
/// away come back behind it, as late as they honour with a deadline of 20 s (a
/// third of what is left). Five bursts of 2 s: 681 requests refused for good
/// when all came back within 2.4 s, 609 within 5 s.
const FULL: (f64, f64) = (2.4, 6.6);

/// Weight of the newest request in the shares of those refused: some twenty
/// requests, which pass in a second at a busy instance.
const WEIGHT: f64 = 0.05;

/// Part of all requests' chance to find room below which the long ones must not
/// fall. In a replay of one engine under three times its load, 1,342 of 4,804
/// requests and 64 of the 500 longest found room when all were treated alike,
/// 1,827 and 60 with a part of 0.4, 2,652 and 29 with 0.2 (one seed; another one
/// without this bound 2,992 and 9).
const FAIR: f64 = 0.3;

/// Shares of the requests that found no room lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalRates {
    all: f64,
    long: f64,
}

impl RefusalRates {
    /// Notes whether a request was refused for want of room. `long` is one of
    /// more than the usual length.
    pub(crate) fn record(&mut self, refused: bool, long: bool) {
        let refused = if refused { 1.0 } else { 0.0 };
        self.all += WEIGHT * (refused - self.all);
        if long {
            self.long += WEIGHT * (refused - self.long);
        }
    }

    /// Share of all requests.
    pub(crate) fn overall(&self) -> f64 {
        self.all
    }

    /// Whether long requests find room so much more seldom than others that
    /// they should go first.
    ///
    /// Guards against their starving: while room is short, many short requests
    /// take what comes free before there is enough for a long one, and in a
    /// lasting overload one in fifty of the longest tenth found some.
    pub(crate) fn starves_long(&self) -> bool {
        1.0 - self.long < FAIR * (1.0 - self.all)
    }
}

/// Time after which a refused client should come back. `refused` is the share of
/// the requests that found no room lately, `draw` lies in [0, 1).
///
/// The ranges: a lease or a leader comes back within about a second; lost
/// layers are loaded again in two to four; a request holds its room for about
/// three seconds, so a third of the room is free after one.
pub(crate) fn retry_after(reason: Reason, refused: f64, draw: f64) -> Duration {
    let (least, most) = match reason {
        Reason::NoConfiguration => (0.4, 1.2),
        Reason::NoUpstream => (1.0, 3.0),
        Reason::Full => (0.6, FULL.0 + (FULL.1 - FULL.0) * refused),
        Reason::NotRun => (0.3, 1.0),
        Reason::Limited => (0.6, 3.0),
        Reason::Quarantined(left) => (left.as_secs_f64(), left.as_secs_f64()),
    };
    Duration::from_secs_f64(least + (most - least) * draw)
}
