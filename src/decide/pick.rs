//! Choice of one upstream of a plain service.
//!
//! Load pattern: short requests to a few equal upstreams with few places each.
//! The one with the least use of its places is taken, one in the caller's
//! failure domain before others that are as free, so that none fills up while
//! another is idle.

/// Disadvantage of another failure domain, in shares of an upstream's places.
const FAR: f64 = 0.2;

/// Disadvantage of an upstream whose heartbeats are late.
const LATE: f64 = 2.0;

/// Disadvantage of an upstream at which requests failed lately.
const OUT: f64 = 4.0;

/// An upstream to choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Requests under way there.
    pub(crate) requests: f64,
    /// Requests that it takes at once.
    pub(crate) slots: f64,
    /// Whether it is in the caller's failure domain.
    pub(crate) same_domain: bool,
    pub(crate) late: bool,
    pub(crate) excluded: bool,
    /// Whether this request has been there before.
    pub(crate) tried: bool,
    /// Whether its rate limit allows no request now.
    pub(crate) limited: bool,
}

/// Index of the best one that wasn't tried; ties are broken by `draw` in
/// [0, 1).
pub(crate) fn choose(offers: &[Candidate], draw: f64) -> Option<usize> {
    let cost = |o: &Candidate| {
        let used = (o.requests + 1.0) / o.slots.max(1.0);
        let far = if o.same_domain { 0.0 } else { FAR };
        let late = if o.late { LATE } else { 0.0 };
        let out = if o.excluded { OUT } else { 0.0 };
        used + far + late + out
    };
    let count = offers.len();
    let start = (draw * count as f64) as usize;
    let turned = (0..count).map(|i| (start + i) % count);
    let free = turned.filter(|&i| !offers[i].tried && !offers[i].limited);
    free.min_by(|&a, &b| cost(&offers[a]).total_cmp(&cost(&offers[b])))
}
