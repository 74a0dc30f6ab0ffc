//! Tracks the load of each engine: this instance's own requests exactly, those of other
//! instances as of the last report.
//!
//! Load pattern: several instances share the engines, and each sees only its own requests
//! immediately. An engine that runs out of memory interrupts the newest request in the middle
//! of its stream, so the total must be known before a request is placed, not after it failed.

use crate::collections::HashMap;
use crate::configuration::{Accelerator, Model};
use crate::decide::demand::Demand;
use crate::decide::path::{Hop, Work};
use crate::roster::LayerRange;
use crate::sync::Load;

/// Number of equal parts of an engine's room that an instance may fill between two reports.
/// Callers are spread unevenly over the instances, so with one part each some room stays free.
const PARTS: f64 = 1.5;

/// Fraction of an engine's memory for requests that must stay free on the path of a fresh request
/// of usual length. For other lengths, it is in proportion to the length, up to
/// [`MAX_LENGTH_RATIO`].
///
/// It covers responses that grow longer than expected, and the requests that other instances place
/// meanwhile.
///
/// It depends on the length so that short requests find room before a long one takes the place of
/// several. At three and a half times the usual load, 3,957 requests were on time within 25 s, and
/// 2,589 with a headroom of 0.08 for all lengths.
///
/// It is a fraction, not a number of requests, because engines differ in size: eleven requests are
/// a tenth of a fast engine's room and nearly half of a small one's.
const HEADROOM: f64 = 0.11;

/// Part of the headroom that is no longer required once a request has waited as long as it may.
const WAIT_DISCOUNT: f64 = 0.3;

/// Multiple of the usual length from which the headroom no longer grows, so that no length is
/// shut out. Under the same load, 4,201 requests were on time with two and 3,603 with one, when
/// the headroom was still a number of requests.
const MAX_LENGTH_RATIO: f64 = 2.0;

/// Expected number of holders of a layer at which an instance has quota, from which the quota
/// is drawn per engine. With four, a path of ten engines nearly always exists; with fewer, the
/// same draw for all engines of a path finds more paths.
const MIN_OPEN_REPLICAS: f64 = 4.0;

/// Part of its maximum wait for which a retry obeys its instance's quota, which a report renews
/// meanwhile.
const RETRY_QUOTA_WAIT: f64 = 0.7;

/// Instances and engines among which room is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Contention {
    /// Number of instances that send requests.
    pub(crate) instances: u32,
    /// Part of the requests that share the room, from 0 to 1: those that are at least as urgent as
    /// the present one.
    pub(crate) share: f64,
    /// Number of engines in the domain that hold a layer, on average over the layers.
    pub(crate) replicas: f64,
}

/// Load of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Usage {
    /// Memory that the requests are expected to use, in megabytes.
    pub(crate) memory: f64,
    /// Number of requests that pass through it.
    pub(crate) requests: f64,
    /// Number of requests whose path begins at it.
    pub(crate) first_hops: f64,
}

/// Load of all engines, by address key.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    own: HashMap<u64, Usage>,
    others: HashMap<u64, Usage>,
    /// State of `own` at the last report.
    own_at_report: HashMap<u64, Usage>,
    /// Random number in [0, 1) that decides how a fractional quota is rounded.
    draw: f64,
    /// Number of requests that ask for room.
    pub(crate) demand: Demand,
}

impl Loads {
    /// Load of an engine.
    pub(crate) fn at(&self, engine: u64) -> Usage {
        let own = self.own.get(&engine).copied().unwrap_or_default();
        let others = self.others.get(&engine).copied().unwrap_or_default();
        Usage {
            memory: own.memory + others.memory,
            requests: own.requests + others.requests,
            first_hops: own.first_hops + others.first_hops,
        }
    }

    /// Books a request that this instance sends, until [`Loads::release`] with the same
    /// arguments.
    pub(crate) fn book(&mut self, path: &[(u64, Hop)], work: &Work) {
        self.add(path, work, 1.0);
    }

    /// Releases a booked request.
    pub(crate) fn release(&mut self, path: &[(u64, Hop)], work: &Work) {
        self.add(path, work, -1.0);
        // Sums of fractions don't return to exactly zero.
        self.own.retain(|_, u| u.requests > 0.5);
    }

    fn add(&mut self, path: &[(u64, Hop)], work: &Work, sign: f64) {
        for (at, (engine, hop)) in path.iter().enumerate() {
            let used = self.own.entry(*engine).or_default();
            used.memory += sign * work.memory(hop.range.len());
            used.requests += sign;
            used.first_hops += if at == 0 { sign } else { 0.0 };
        }
    }

    /// Whether this instance may send another request to an engine that has `room_mb` of free
    /// memory and needs `usual_mb` for a usual request.
    ///
    /// Until the next report, each instance adds requests only up to its quota, a part of the room:
    /// for example one or two, if nine instances share room for ten. All instances see the same
    /// room in the same report, and without quotas each would fill it alone.
    pub(crate) fn may_add(
        &self,
        engine: u64,
        room_mb: f64,
        usual_mb: f64,
        contention: Contention,
    ) -> bool {
        let memory = |uses: &HashMap<u64, Usage>| uses.get(&engine).map_or(0.0, |u| u.memory);
        let added = memory(&self.own) - memory(&self.own_at_report);
        let sharers = self.demand.sharers(contention.instances, contention.share);
        let quota_mb = PARTS * (room_mb + added) / sharers;
        let quota = quota_mb / usual_mb.max(f64::MIN_POSITIVE);
        // With many replicas of each layer, the draw below differs by engine, so that an instance
        // always has quota at several holders of each layer. With one draw for all engines, some of
        // 300 instances had no quota for up to the 4.5 s between two reports, and refused a quarter
        // of their requests while the engines of their domain were idle.
        let per_engine = quota < 1.0 && contention.replicas * quota >= MIN_OPEN_REPLICAS;
        let offset = if per_engine { unit_hash(engine) } else { 0.0 };
        // A quota of less than one request is granted to a random subset of the instances. Usually
        // the subset is the same for all engines, since a path needs ten of them: with a draw per
        // engine, hardly any of 87 instances would have quota on a whole path, and requests would
        // be refused while the engines are half free.
        let whole = (quota + (self.draw + offset).fract()).floor();
        // Only earlier requests count, so a request that is larger than usual is never too large
        // for the quota, but uses up more of it.
        added < whole * usual_mb
    }

    /// Replaces the load of the other instances. `draw` in [0, 1) rounds this instance's quota
    /// until the next report.
    pub(crate) fn update(&mut self, loads: &[Load], draw: f64) {
        self.draw = draw;
        self.own_at_report.clone_from(&self.own);
        self.others = loads.iter().map(|l| (l.engine, Usage::from(l))).collect();
    }

    /// This instance's own load, as reported to the leader.
    pub(crate) fn report(&self) -> Vec<Load> {
        let own = self.own.iter();
        own.map(|(&engine, used)| Load {
            engine,
            memory: used.memory.max(0.0).round() as u32,
            requests: used.requests.max(0.0).round() as u32,
            first_hops: used.first_hops.max(0.0).round() as u32,
        })
        .collect()
    }
}

/// Hashes a number to [0, 1), so that adjacent numbers get unrelated values.
pub(crate) fn unit_hash(number: u64) -> f64 {
    /// The golden ratio as a fraction of 2^64, whose multiples are evenly distributed.
    const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (number ^ (number >> 16)).wrapping_mul(GOLDEN);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

impl From<&Load> for Usage {
    fn from(load: &Load) -> Self {
        Self {
            memory: f64::from(load.memory),
            requests: f64::from(load.requests),
            first_hops: f64::from(load.first_hops),
        }
    }
}

/// Processing times and memory of an engine under its current load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed {
    /// Duration of a step for one layer, in milliseconds.
    pub(crate) step_ms: f64,
    /// Time in which one layer reads one prompt token, in milliseconds.
    pub(crate) read_ms: f64,
    /// Total memory for requests, in megabytes.
    pub(crate) memory_mb: f64,
    /// Free memory for requests, in megabytes.
    pub(crate) room_mb: f64,
    /// Fraction of the memory for requests that is in use.
    pub(crate) utilisation: f64,
}

impl Speed {
    /// Estimates an engine that holds `range` of `model` on `accelerator`.
    pub(crate) fn new(
        model: &Model,
        accelerator: &Accelerator,
        range: LayerRange,
        load: Usage,
    ) -> Self {
        let layers = f64::from(model.layers);
        let held = f64::from(range.len());
        let memory = (accelerator.size_mb - held * model.layer_mb).max(0.0);
        let context = load.memory / (model.token_mb * held);
        let step = model.step_ms + model.sequence_ms * load.requests + model.context_ms * context;
        Self {
            step_ms: accelerator.step_factor * step / layers,
            read_ms: accelerator.read_factor * model.read_ms / layers,
            memory_mb: memory,
            room_mb: memory - load.memory,
            utilisation: (load.memory / memory.max(1.0)).min(1.0),
        }
    }
}

/// Fraction of an engine's memory for requests that must be free in addition to what a fresh
/// request of `tokens` uses, after it has waited for the part `waited` of its maximum wait.
/// `usual` is the number of tokens of a usual request.
pub(crate) fn headroom(tokens: f64, usual: f64, waited: f64) -> f64 {
    let discount = 1.0 - WAIT_DISCOUNT * waited.clamp(0.0, 1.0);
    HEADROOM * (tokens / usual).min(MAX_LENGTH_RATIO) * discount
}

/// Whether a request of which an attempt may have run still obeys its instance's quota, after it
/// has waited for the part `waited` of its maximum wait.
///
/// Guards against a thundering herd after a restart of all processes. All running streams return
/// within the same tenth of a second; without quotas, all of them would be sent to the first
/// pipeline that becomes known, and its engines would refuse most. While the instance is
/// `starting`, retries always obey the quota, since the herd lasts for longer than a request may
/// wait.
///
/// A single resumed stream finds quota immediately or after the next report, so its caller sees no
/// long pause.
pub(crate) fn retry_obeys_quota(starting: bool, waited: f64) -> bool {
    starting || waited < RETRY_QUOTA_WAIT
}
