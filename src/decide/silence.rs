//! Decides whether silence is evidence against upstreams.
//!
//! Failure pattern: this process, its host or its network pauses for a second or two, or the
//! machines of many engines are short of processor time. Many upstreams miss the time of an answer
//! at once, while all of them live and go on afterwards. Excluding them moves their load to the
//! few others, refuses requests that would have been served, and uses up retries.
//!
//! Upstreams that die independently of each other do so one or a few at a time. So the silence of
//! many says something about what they share, and nothing about each of them. Load balancers call
//! this limit the panic threshold. It bounds silence only: a refused or reset connection, or the
//! refusal of a neighbour, is evidence however many upstreams are concerned.

use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Maximum share of the upstreams of a service that are excluded for silence alone.
const MAX_SHARE: f64 = 0.25;

/// Time within which upstreams are silent at once, and for which silence is no evidence after
/// that. Upstreams that respond again after a pause do so one after the other.
const WINDOW: Duration = Duration::from_millis(1_500);

/// Time for which the silence of an upstream is remembered. Longer than any exclusion for it.
const RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of upstreams of a service that are excluded for silence alone. The last one never
/// is, since nothing would be served without it.
pub(crate) fn max_silent(known: usize) -> usize {
    match known {
        0 | 1 => 0,
        _ => ((known as f64 * MAX_SHARE) as usize).max(1),
    }
}

/// What the silence of an upstream tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The upstream may be dead.
    Evidence,
    /// Nothing, since `silent` upstreams were silent at once. `began` is set at the first such
    /// report.
    Shared { silent: usize, began: bool },
}

/// Silent upstreams of one service.
#[derive(Debug, Default)]
pub(crate) struct Silences {
    /// Latest silence of each upstream, by address key.
    latest: HashMap<u64, Time>,
    shared_until: Time,
}

impl Silences {
    /// Records that one of `known` upstreams was silent.
    pub(crate) fn record(&mut self, now: Time, upstream: u64, known: usize) -> Verdict {
        self.latest.retain(|_, at| now.since(*at) < RETENTION);
        self.latest.insert(upstream, now);
        let recent = self.latest.values().filter(|at| now.since(**at) < WINDOW);
        let silent = recent.count();
        let was_shared = now < self.shared_until;
        if silent > max_silent(known) {
            self.shared_until = now + WINDOW;
        }
        match now < self.shared_until {
            true => Verdict::Shared {
                silent,
                began: !was_shared,
            },
            false => Verdict::Evidence,
        }
    }

    /// Upstreams whose silence is remembered.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = u64> {
        self.latest.keys().copied()
    }
}
