//! Decides which new connections of callers an instance closes unread.
//!
//! Load pattern: the balancer hands most new connections of a region to one instance, several times
//! what its processor serves. Everything there is late then, also the responses to callers that it
//! served before, while other instances are idle. A caller whose connection is closed unread tries
//! again at another instance at once, whatever its request. An instance that fails the readiness
//! check instead would hand the whole crowd to the next one.
//!
//! Connections are closed only while the instance both lags and has far more requests than others
//! have on average: if all instances lag, another one serves no sooner.

use std::time::Duration;

/// Interval at which the lag is measured.
pub(crate) const INTERVAL: Duration = Duration::from_millis(50);

/// Lag from which the processor counts as overloaded. A request waits for the processor some ten
/// times before its first event, so it is late by ten times as much.
const MAX_LAG: Duration = Duration::from_millis(10);

/// Number of lags in a row that count as an overload. A process that was frozen lags once.
const MIN_LAGS: u32 = 3;

/// Multiple of the mean number of requests from which an instance is crowded. Balancers that choose
/// by a hash give some instances twice as many as others.
const CROWDED: f64 = 2.5;

/// Factors on the admitted share of new connections at each interval with and without an overload.
/// The increase is a factor, too: a fixed amount would be too much at a crowd of many times what
/// the processor serves.
const DECREASE: f64 = 0.85;
const INCREASE: f64 = 1.03;

/// Minimum share of new connections that are admitted.
const MIN_SHARE: f64 = 0.02;

/// Share of new connections that an instance admits.
#[derive(Debug)]
pub(crate) struct Shedding {
    share: f64,
    /// Part of a connection that was not admitted yet, below 1 between two calls.
    credit: f64,
    /// Number of lags in a row.
    lags: u32,
}

impl Default for Shedding {
    fn default() -> Self {
        Self {
            share: 1.0,
            credit: 0.0,
            lags: 0,
        }
    }
}

impl Shedding {
    /// Records the lag over the last interval. `crowding` is the ratio of this instance's requests
    /// to the mean of all instances.
    pub(crate) fn record_lag(&mut self, lag: Duration, crowding: f64) {
        self.lags = if lag < MAX_LAG { 0 } else { self.lags + 1 };
        let share = if self.lags >= MIN_LAGS && crowding >= CROWDED {
            self.share * DECREASE
        } else if self.lags == 0 {
            self.share * INCREASE
        } else {
            self.share
        };
        self.share = share.clamp(MIN_SHARE, 1.0);
    }

    /// Decides whether a new connection is admitted.
    pub(crate) fn admit(&mut self) -> bool {
        self.credit += self.share;
        let admitted = self.credit >= 1.0;
        if admitted {
            self.credit -= 1.0;
        }
        admitted
    }

    /// Share of new connections that are admitted.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
