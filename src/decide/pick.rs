//! Chooses one upstream of a plain service.
//!
//! Load pattern: short requests to a few equal upstreams with few slots each. The upstream with
//! the lowest utilisation of its slots is chosen, and among equally free ones one in the caller's
//! failure domain, so that none fills up while another is idle.

/// Penalty of another failure domain, as a fraction of an upstream's slots.
const REMOTE_PENALTY: f64 = 0.2;

/// Penalty of an upstream whose heartbeats are late.
const LATE_PENALTY: f64 = 2.0;

/// Penalty of an upstream at which requests failed recently.
const EXCLUDED_PENALTY: f64 = 4.0;

/// An upstream to choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    /// Number of requests in flight.
    pub(crate) requests: f64,
    /// Maximum number of concurrent requests.
    pub(crate) slots: f64,
    /// Whether it is in the caller's failure domain.
    pub(crate) same_domain: bool,
    pub(crate) late: bool,
    pub(crate) excluded: bool,
    /// Whether this request was sent to it before.
    pub(crate) tried: bool,
    /// Whether its rate limit allows no request now.
    pub(crate) limited: bool,
}

/// Returns the index of the best candidate that was not tried yet and is not rate limited. `draw`
/// in [0, 1) breaks ties.
pub(crate) fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let cost = |c: &Candidate| {
        let utilisation = (c.requests + 1.0) / c.slots.max(1.0);
        let remote = if c.same_domain { 0.0 } else { REMOTE_PENALTY };
        let late = if c.late { LATE_PENALTY } else { 0.0 };
        let excluded = if c.excluded { EXCLUDED_PENALTY } else { 0.0 };
        utilisation + remote + late + excluded
    };
    let count = candidates.len();
    let start = (draw * count as f64) as usize;
    let rotated = (0..count).map(|i| (start + i) % count);
    let usable = rotated.filter(|&i| !candidates[i].tried && !candidates[i].limited);
    usable.min_by(|&a, &b| cost(&candidates[a]).total_cmp(&cost(&candidates[b])))
}
